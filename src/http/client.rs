//! The client's side: requests out, responses in: one whose body may come in pieces ([`Reader`]), or one after the
//! other on a connection that is kept ([`Responses`]).

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

/// A whole response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Headers as they came, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection may be used again.
    pub keep_alive: bool,
}

impl Response {
    /// A header's value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Type of the body, without parameters, in lower case.
    pub fn content_type(&self) -> Option<String> {
        let kind = self.header("content-type")?.split(';').next()?;
        Some(kind.trim().to_ascii_lowercase())
    }
}

/// Finds responses in a stream of bytes.
#[derive(Debug, Default)]
pub struct Responses {
    buffer: Vec<u8>,
    open: Option<(Response, Body)>,
}

impl Responses {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether anything lies here that no response has taken.
    pub fn begun(&self) -> bool {
        self.open.is_some() || !self.buffer.is_empty()
    }

    /// The head of a response whose body has not come whole.
    pub fn unfinished(&self) -> Option<&Response> {
        self.open.as_ref().map(|(response, _)| response)
    }

    /// The next whole response, or none until more bytes come; interim ones are skipped. A body may be so long.
    pub fn next_response(&mut self, largest: usize) -> Result<Option<Response>, HttpError> {
        while self.open.is_none() {
            let Some((head, length)) = Head::parse(&self.buffer)? else { return Ok(None) };
            let keep_alive = match head.start[0] {
                "HTTP/1.1" => !head.names("connection", "close"),
                "HTTP/1.0" => head.names("connection", "keep-alive"),
                _ => return Err(HttpError::BadVersion),
            };
            let digits = head.start[1].len() == 3 && head.start[1].bytes().all(|b| b.is_ascii_digit());
            let status = head.start[1].parse().ok().filter(|s| digits && *s >= 100);
            let status: u16 = status.ok_or(HttpError::BadHead)?;
            let headers = head.headers().map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
            let framing = head.framing()?;
            self.buffer.drain(..length);
            if status == 101 {
                return Err(HttpError::BadHead);
            }
            if status < 200 {
                continue;
            }
            let body = match framing {
                _ if status == 204 || status == 304 => Body::Length(0),
                // Up to the end of the connection: what is cut would look whole, so it is not believed.
                Framing::None => return Err(HttpError::BadBody),
                Framing::Length(n) if n > largest => return Err(HttpError::BodyTooLarge),
                Framing::Length(n) => Body::Length(n),
                Framing::Chunked => Body::Chunked(Chunks::default()),
            };
            self.open = Some((Response { status, headers, body: Vec::new(), keep_alive }, body));
        }
        let Some((response, body)) = &mut self.open else { return Ok(None) };
        let whole = match body {
            Body::Length(n) => {
                let whole = self.buffer.len() >= *n;
                if whole {
                    response.body = self.buffer.drain(..*n).collect();
                }
                whole
            }
            Body::Chunked(chunks) => {
                let whole = chunks.take(&mut self.buffer, &mut response.body)?;
                if response.body.len() > largest {
                    return Err(HttpError::BodyTooLarge);
                }
                whole
            }
            Body::Rest => false,
        };
        Ok(if whole { self.open.take().map(|(response, _)| response) } else { None })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn responses_come_one_after_the_other_whatever_the_pieces() {
        let text = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 201 Created\r\nLocation: /s/1\r\nContent-Length: 3\r\n\r\nabc\
            HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n0\r\n\r\n";
        for size in 1..text.len() {
            let (mut decoder, mut found) = (Responses::default(), Vec::new());
            for piece in text.chunks(size) {
                decoder.feed(piece);
                while let Some(response) = decoder.next_response(64).unwrap() {
                    found.push(response);
                }
            }
            let told: Vec<_> = found.iter().map(|r| (r.status, r.body.as_slice(), r.keep_alive)).collect();
            assert_eq!(told, [(201, &b"abc"[..], true), (200, &b"de"[..], false)], "pieces of {size}");
            assert_eq!(found[0].header("LOCATION"), Some("/s/1"));
            assert!(!decoder.begun());
        }
    }

    /// A body that ends with its connection can't be told from one that was cut.
    #[test]
    fn what_could_have_been_cut_or_is_too_long_is_no_response() {
        for text in [
            "HTTP/1.1 201 Created\r\n\r\nv=0",
            "HTTP/1.1 201 Created\r\nContent-Length: 65\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            "HTTP/1.1 2x1 Created\r\n\r\n",
            "HTTP/2 201 Created\r\n\r\n",
            "nonsense\r\n\r\n",
        ] {
            let mut decoder = Responses::default();
            decoder.feed(text.as_bytes());
            assert!(decoder.next_response(64).is_err(), "{text}");
        }
    }
}
