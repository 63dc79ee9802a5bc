//! The client's side: requests out, responses in.

use super::HttpError;
use super::head::{Chunks, Framing, Head};

/// Writes a request; a body is sent with its type.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<(&str, &[u8])>,
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some((kind, bytes)) = body {
        head.push_str(&format!("Content-Type: {kind}\r\nContent-Length: {}\r\n", bytes.len()));
    } else if method == "POST" || method == "PUT" {
        head.push_str("Content-Length: 0\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body.map_or(&[], |(_, b)| b));
    bytes
}

#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(Chunks),
    /// Up to the end of the connection.
    Rest,
}

/// Reads one response; its body may come in pieces.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    status: Option<u16>,
    body: Option<Body>,
    done: bool,
}

impl Reader {
    /// Takes bytes in and moves what belongs to the body there.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        self.buffer.extend_from_slice(bytes);
        while self.body.is_none() {
            let Some((head, length)) = Head::parse(&self.buffer)? else { return Ok(()) };
            if !head.start[0].starts_with("HTTP/1.") {
                return Err(HttpError::BadVersion);
            }
            let status: u16 = head.start[1].parse().map_err(|_| HttpError::BadHead)?;
            let framing = head.framing()?;
            self.buffer.drain(..length);
            if (100..200).contains(&status) {
                continue;
            }
            self.status = Some(status);
            self.body = Some(match framing {
                _ if status == 204 || status == 304 => Body::Length(0),
                Framing::None => Body::Rest,
                Framing::Length(n) => Body::Length(n),
                Framing::Chunked => Body::Chunked(Chunks::default()),
            });
        }
        match &mut self.body {
            Some(Body::Length(n)) => {
                let take = (*n).min(self.buffer.len());
                body.extend(self.buffer.drain(..take));
                *n -= take;
                self.done = *n == 0;
            }
            Some(Body::Chunked(chunks)) => self.done = chunks.take(&mut self.buffer, body)?,
            Some(Body::Rest) => body.append(&mut self.buffer),
            None => {}
        }
        Ok(())
    }

    /// The status, once the head has come.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// The body has come whole; the end of the connection may tell too.
    pub fn done(&self, closed: bool) -> bool {
        self.done || closed && matches!(self.body, Some(Body::Rest))
    }
}
