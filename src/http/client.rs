//! The client side of HTTP: encodes requests and decodes responses, either a single one whose body is passed on as it
//! arrives ([`Reader`]) or consecutive ones on a persistent connection ([`ResponseDecoder`]).

use super::HttpError;
use super::head::{ChunkedDecoder, Framing, Head};

/// Encodes a request. A body is given with its content type.
pub fn encode_request(
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
    if let Some((content_type, bytes)) = body {
        head.push_str(&format!("Content-Type: {content_type}\r\nContent-Length: {}\r\n", bytes.len()));
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
    Chunked(ChunkedDecoder),
    /// The body extends to the end of the connection.
    UntilClose,
}

/// Reads a single response and passes on its body as it arrives.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    status: Option<u16>,
    body: Option<Body>,
    is_complete: bool,
}

impl Reader {
    /// Reads bytes of the connection and appends those of the body to `body`. Interim responses (1xx) are skipped.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(), HttpError> {
        self.buffer.extend_from_slice(bytes);
        while self.body.is_none() {
            let Some((head, length)) = Head::parse(&self.buffer)? else { return Ok(()) };
            if !head.start_line[0].starts_with("HTTP/1.") {
                return Err(HttpError::BadVersion);
            }
            let status: u16 = head.start_line[1].parse().map_err(|_| HttpError::BadHead)?;
            let framing = head.framing()?;
            self.buffer.drain(..length);
            if (100..200).contains(&status) {
                continue;
            }
            self.status = Some(status);
            self.body = Some(match framing {
                _ if status == 204 || status == 304 => Body::Length(0),
                Framing::None => Body::UntilClose,
                Framing::Length(n) => Body::Length(n),
                Framing::Chunked => Body::Chunked(ChunkedDecoder::default()),
            });
        }
        match &mut self.body {
            Some(Body::Length(n)) => {
                let taken = (*n).min(self.buffer.len());
                body.extend(self.buffer.drain(..taken));
                *n -= taken;
                self.is_complete = *n == 0;
            }
            Some(Body::Chunked(chunks)) => self.is_complete = chunks.decode(&mut self.buffer, body)?,
            Some(Body::UntilClose) => body.append(&mut self.buffer),
            None => {}
        }
        Ok(())
    }

    /// Returns the status code, once the head has been read.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the whole body has been read. `is_closed` says that the connection has ended, which also ends a body
    /// without a length.
    pub fn is_complete(&self, is_closed: bool) -> bool {
        self.is_complete || is_closed && matches!(self.body, Some(Body::UntilClose))
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers as received, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

impl Response {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns the media type of the body, without parameters, in lower case.
    pub fn content_type(&self) -> Option<String> {
        let content_type = self.header("content-type")?.split(';').next()?;
        Some(content_type.trim().to_ascii_lowercase())
    }
}

/// Decodes consecutive responses from a stream of bytes.
#[derive(Debug, Default)]
pub struct ResponseDecoder {
    buffer: Vec<u8>,
    partial: Option<(Response, Body)>,
}

impl ResponseDecoder {
    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether there are received bytes that belong to no response returned so far.
    pub fn has_pending_data(&self) -> bool {
        self.partial.is_some() || !self.buffer.is_empty()
    }

    /// Returns the response whose head has been read but whose body is incomplete.
    pub fn partial_response(&self) -> Option<&Response> {
        self.partial.as_ref().map(|(response, _)| response)
    }

    /// Returns the next complete response, or `None` until more bytes arrive. Interim responses (1xx) are skipped. A
    /// body longer than `max_body_bytes` is an error.
    pub fn next_response(&mut self, max_body_bytes: usize) -> Result<Option<Response>, HttpError> {
        while self.partial.is_none() {
            let Some((head, length)) = Head::parse(&self.buffer)? else { return Ok(None) };
            let keep_alive = match head.start_line[0] {
                "HTTP/1.1" => !head.has_token("connection", "close"),
                "HTTP/1.0" => head.has_token("connection", "keep-alive"),
                _ => return Err(HttpError::BadVersion),
            };
            let digits =
                head.start_line[1].len() == 3 && head.start_line[1].bytes().all(|b| b.is_ascii_digit());
            let status = head.start_line[1].parse().ok().filter(|s| digits && *s >= 100);
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
                // The body would extend to the end of the connection, so a truncated one would look complete.
                Framing::None => return Err(HttpError::BadBody),
                Framing::Length(n) if n > max_body_bytes => return Err(HttpError::BodyTooLarge),
                Framing::Length(n) => Body::Length(n),
                Framing::Chunked => Body::Chunked(ChunkedDecoder::default()),
            };
            self.partial = Some((Response { status, headers, body: Vec::new(), keep_alive }, body));
        }
        let Some((response, body)) = &mut self.partial else { return Ok(None) };
        let is_complete = match body {
            Body::Length(n) => {
                let is_complete = self.buffer.len() >= *n;
                if is_complete {
                    response.body = self.buffer.drain(..*n).collect();
                }
                is_complete
            }
            Body::Chunked(chunks) => {
                let is_complete = chunks.decode(&mut self.buffer, &mut response.body)?;
                if response.body.len() > max_body_bytes {
                    return Err(HttpError::BodyTooLarge);
                }
                is_complete
            }
            Body::UntilClose => false,
        };
        Ok(if is_complete { self.partial.take().map(|(response, _)| response) } else { None })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn decodes_consecutive_responses_in_pieces_of_any_size() {
        let text = b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 201 Created\r\nLocation: /s/1\r\nContent-Length: 3\r\n\r\nabc\
            HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n0\r\n\r\n";
        for size in 1..text.len() {
            let (mut decoder, mut found) = (ResponseDecoder::default(), Vec::new());
            for piece in text.chunks(size) {
                decoder.feed(piece);
                while let Some(response) = decoder.next_response(64).unwrap() {
                    found.push(response);
                }
            }
            let summary: Vec<_> = found.iter().map(|r| (r.status, r.body.as_slice(), r.keep_alive)).collect();
            assert_eq!(summary, [(201, &b"abc"[..], true), (200, &b"de"[..], false)], "pieces of {size}");
            assert_eq!(found[0].header("LOCATION"), Some("/s/1"));
            assert!(!decoder.has_pending_data());
        }
    }

    /// A body that ends with its connection can't be distinguished from a truncated one.
    #[test]
    fn rejects_responses_that_are_unbounded_too_long_or_malformed() {
        for text in [
            "HTTP/1.1 201 Created\r\n\r\nv=0",
            "HTTP/1.1 201 Created\r\nContent-Length: 65\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            "HTTP/1.1 2x1 Created\r\n\r\n",
            "HTTP/2 201 Created\r\n\r\n",
            "nonsense\r\n\r\n",
        ] {
            let mut decoder = ResponseDecoder::default();
            decoder.feed(text.as_bytes());
            assert!(decoder.next_response(64).is_err(), "{text}");
        }
    }
}
