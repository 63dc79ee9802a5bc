//! A client of the HTTP front.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use super::Program;

/// A response as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.into_iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }
}

/// The bytes of a request.
pub fn http(method: &str, path: &str, body: Option<&str>) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: test\r\n");
    if let Some(body) = body {
        text += &format!("Content-Type: application/sdp\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    } else {
        text += "\r\n";
    }
    text.into_bytes()
}

/// The bytes of a PATCH with a fragment of trickle ICE.
pub fn patch(path: &str, tag: Option<&str>, fragment: &str) -> Vec<u8> {
    let tag = tag.map_or(String::new(), |tag| format!("If-Match: {tag}\r\n"));
    let length = fragment.len();
    let kind = "application/trickle-ice-sdpfrag";
    format!("PATCH {path} HTTP/1.1\r\nHost: test\r\n{tag}Content-Type: {kind}\r\nContent-Length: {length}\r\n\r\n{fragment}")
        .into_bytes()
}

/// Reads one response; none if the connection ends before it.
pub fn reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let mut found = Reply { status: head[9..12].parse().unwrap(), head, body: String::new() };
    let mut body = vec![0; found.header("content-length").map_or(0, |l| l.parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    found.body = String::from_utf8(body).unwrap();
    Some(found)
}

/// One request on a connection of its own.
pub fn ask(program: &Program, method: &str, path: &str, body: Option<&str>) -> Reply {
    let mut stream = program.connect("http");
    stream.write_all(&http(method, path, body)).unwrap();
    let answer = reply(&mut stream).expect("each request is answered");
    let mut rest = Vec::new();
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty(), "and answered once");
    answer
}
