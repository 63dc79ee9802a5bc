//! A stand-in media server that speaks WHIP and WHEP, written from RFC 9725 and the WHEP draft, and that can be told
//! to misbehave.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use amberspindle::http::server::{Decoder, Request};

use super::PATIENCE;

/// What it does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Answers,
    /// Answers with this status; 503 with `Retry-After`.
    Says(u16),
    /// 503 without a word on coming again.
    Mute,
    /// Makes a session and answers once it is told to.
    Waits,
    /// Makes a session and closes before the first byte of the answer.
    Breaks,
    /// Makes a session and closes in the middle of the answer's body.
    Cuts,
    /// Makes a session and gives a description of another type.
    Spoils,
    /// Makes a session and answers twice.
    Twice,
}

#[derive(Default)]
pub struct Seen {
    /// Paths and offers of set-ups, in order.
    pub posts: Vec<(String, String)>,
    /// Sessions: whether they stand.
    pub sessions: BTreeMap<String, bool>,
    /// `If-Match` and bodies of fragments.
    pub patches: Vec<(Option<String>, String)>,
    /// DELETEs, heard or not.
    pub deletes: Vec<String>,
    /// Bodies of changes of layer.
    pub layers: Vec<String>,
    /// DELETEs that are still answered with 500.
    pub deaf: usize,
    go: bool,
}

#[derive(Clone)]
pub struct Media {
    pub address: SocketAddr,
    does: Arc<Mutex<Does>>,
    pub seen: Arc<(Mutex<Seen>, Condvar)>,
}

pub fn media_answer(n: usize) -> String {
    format!("v=0\r\no=media {n} 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n")
}

impl Media {
    pub fn start(does: Does) -> Media {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let media = Media { address, does: Arc::new(Mutex::new(does)), seen: Arc::default() };
        let server = media.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        media
    }

    pub fn url(&self) -> String {
        format!("http://{}/whep/{{title}}?rung={{rung}}", self.address)
    }

    pub fn behave(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    /// Lets the set-ups that wait be answered.
    pub fn go(&self) {
        self.seen.0.lock().unwrap().go = true;
        self.seen.1.notify_all();
    }

    /// Waits for something to be seen.
    pub fn until<T>(&self, what: &str, mut found: impl FnMut(&Seen) -> Option<T>) -> T {
        let mut seen = self.seen.0.lock().unwrap();
        loop {
            if let Some(found) = found(&seen) {
                return found;
            }
            let (next, late) = self.seen.1.wait_timeout(seen, PATIENCE).unwrap();
            assert!(!late.timed_out(), "never saw {what}");
            seen = next;
        }
    }

    pub fn posts(&self) -> usize {
        self.seen.0.lock().unwrap().posts.len()
    }

    /// Waits until sessions were made and none of them stands any more.
    pub fn all_ended(&self) {
        self.until("the end of all", |s| {
            (!s.sessions.is_empty() && s.sessions.values().all(|s| !s)).then_some(())
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut decoder, mut buffer) = (Decoder::default(), [0; 4096]);
        while let Ok(n) = stream.read(&mut buffer) {
            if n == 0 {
                return;
            }
            decoder.feed(&buffer[..n]);
            while let Some(request) =
                decoder.next_request(64 * 1024).expect("the broker writes whole requests")
            {
                let answer = self.answer(request);
                let Some((bytes, close)) = answer else {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                };
                let _ = stream.write_all(&bytes);
                if close {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    /// The bytes of the answer, and whether the connection ends behind it; none: it ends at once.
    fn answer(&self, request: Request) -> Option<(Vec<u8>, bool)> {
        let body = String::from_utf8(request.body).unwrap();
        let mut seen = self.seen.0.lock().unwrap();
        let plain = |status: u16, more: &str| {
            (format!("HTTP/1.1 {status} x\r\n{more}Content-Length: 0\r\n\r\n").into_bytes(), false)
        };
        let done = match request.method.as_str() {
            "DELETE" => {
                seen.deletes.push(request.target.clone());
                if seen.deaf > 0 {
                    seen.deaf -= 1;
                    Some(plain(500, ""))
                } else {
                    let stood = seen.sessions.insert(request.target, false);
                    Some(plain(if stood == Some(true) { 200 } else { 404 }, ""))
                }
            }
            "PATCH" => {
                seen.patches.push((request.if_match, body.clone()));
                if body.contains("a=ice-ufrag:new") {
                    let fragment = "a=ice-ufrag:edge\r\na=ice-pwd:edge\r\n";
                    let kind = "application/trickle-ice-sdpfrag";
                    let length = fragment.len();
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nETag: \"e2\"\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\r\n"
                    );
                    Some(((head + fragment).into_bytes(), false))
                } else {
                    Some((b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(), false))
                }
            }
            "POST" if request.target.ends_with("/layer") => {
                seen.layers.push(body);
                Some(plain(200, ""))
            }
            "POST" => {
                let n = seen.posts.len();
                seen.posts.push((request.target, body));
                let does = *self.does.lock().unwrap();
                match does {
                    Does::Says(503) => Some(plain(503, "Retry-After: 1\r\n")),
                    Does::Says(status) => Some(plain(status, "")),
                    Does::Mute => Some(plain(503, "")),
                    _ => {
                        let place = format!("/made/{n}");
                        seen.sessions.insert(place.clone(), true);
                        self.seen.1.notify_all();
                        if does == Does::Waits {
                            while !seen.go {
                                seen = self.seen.1.wait(seen).unwrap();
                            }
                        }
                        let kind = if does == Does::Spoils { "text/plain" } else { "application/sdp" };
                        let sdp = media_answer(n);
                        let links = format!(
                            "Link: <stun:stun.example.net>; rel=\"ice-server\"\r\nLink: <{place}/layer>; rel=\"urn:ietf:params:whep:ext:core:layer\"\r\n"
                        );
                        let load = "endpoint-load-metrics: TEXT application_utilization=0.25\r\n";
                        let whole = format!(
                            "HTTP/1.1 201 Created\r\nLocation: {place}\r\nETag: \"e1\"\r\n{links}{load}Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n{sdp}",
                            sdp.len()
                        );
                        match does {
                            Does::Breaks => None,
                            Does::Cuts => Some((whole.as_bytes()[..whole.len() - 9].to_vec(), true)),
                            Does::Twice => Some((whole.repeat(2).into_bytes(), false)),
                            _ => Some((whole.into_bytes(), false)),
                        }
                    }
                }
            }
            _ => Some(plain(405, "")),
        };
        self.seen.1.notify_all();
        done
    }
}
