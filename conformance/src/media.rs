//! A stand-in media server that speaks WHIP and WHEP, written from RFC 9725 and the WHEP draft, and that can be told
//! to misbehave.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use clap::ValueEnum;

use crate::wire::PATIENCE;

/// A whole request.
struct Request {
    method: String,
    target: String,
    if_match: Option<String>,
    body: String,
}

/// Takes a whole request with a length off the front of a stream; none until it is whole.
fn take_request(buffer: &mut Vec<u8>) -> Option<Request> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(start)) = head.parse(buffer) else { return None };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        Some(String::from_utf8_lossy(found.value).into_owned())
    };
    let length = header("content-length").and_then(|l| l.parse::<usize>().ok()).unwrap_or(0);
    let if_match = header("if-match");
    let (method, target) = (head.method?.to_owned(), head.path?.to_owned());
    let body = buffer.get(start..start + length)?;
    let body = String::from_utf8_lossy(body).into_owned();
    buffer.drain(..start + length);
    Some(Request { method, target, if_match, body })
}

/// What it does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Does {
    /// Makes a session and answers.
    Answers,
    /// Answers with this status; 503 with `Retry-After`.
    #[value(skip)]
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

/// What it has seen.
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

/// A stand-in media server on threads of its own.
#[derive(Clone)]
pub struct Media {
    /// Where it listens.
    pub address: SocketAddr,
    does: Arc<Mutex<Does>>,
    /// What it has seen, and the bell for it.
    pub seen: Arc<(Mutex<Seen>, Condvar)>,
}

/// The description that it answers its `n`th set-up with, from 0.
pub fn media_answer(n: usize) -> String {
    format!("v=0\r\no=media {n} 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n")
}

impl Media {
    /// Starts one on a free port.
    ///
    /// # Panics
    /// If the machine gives none.
    pub fn start(does: Does) -> Media {
        Media::listen(([127, 0, 0, 1], 0).into(), does).expect("a free port")
    }

    /// Starts one at an address.
    pub fn listen(address: SocketAddr, does: Does) -> io::Result<Media> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let media = Media { address, does: Arc::new(Mutex::new(does)), seen: Arc::default() };
        let server = media.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(media)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        // A thread that panicked left nothing half done.
        self.seen.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The URL of its set-ups, as a list of servers names it.
    pub fn url(&self) -> String {
        format!("http://{}/whep/{{title}}?rung={{rung}}", self.address)
    }

    /// From now on it does this.
    pub fn behave(&self, does: Does) {
        *self.does.lock().unwrap_or_else(PoisonError::into_inner) = does;
    }

    /// Lets the set-ups that wait be answered.
    pub fn go(&self) {
        self.seen().go = true;
        self.seen.1.notify_all();
    }

    /// Waits for something to be seen.
    ///
    /// # Panics
    /// If it is not seen in a long time.
    pub fn until<T>(&self, what: &str, mut found: impl FnMut(&Seen) -> Option<T>) -> T {
        let mut seen = self.seen();
        loop {
            if let Some(found) = found(&seen) {
                return found;
            }
            let waited = self.seen.1.wait_timeout(seen, PATIENCE);
            let (next, late) = waited.unwrap_or_else(PoisonError::into_inner);
            assert!(!late.timed_out(), "never saw {what}");
            seen = next;
        }
    }

    /// Set-ups that it was asked for.
    pub fn posts(&self) -> usize {
        self.seen().posts.len()
    }

    /// Waits until sessions were made and none of them stands any more.
    pub fn all_ended(&self) {
        self.until("the end of all", |s| {
            (!s.sessions.is_empty() && s.sessions.values().all(|s| !s)).then_some(())
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut buffer, mut piece) = (Vec::new(), [0; 4096]);
        while let Ok(n) = stream.read(&mut piece) {
            if n == 0 {
                return;
            }
            buffer.extend_from_slice(&piece[..n]);
            while let Some(request) = take_request(&mut buffer) {
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
        let body = request.body;
        let mut seen = self.seen();
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
                let does = *self.does.lock().unwrap_or_else(PoisonError::into_inner);
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
                                seen = self.seen.1.wait(seen).unwrap_or_else(PoisonError::into_inner);
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
