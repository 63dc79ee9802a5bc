//! The server side of HTTP: decodes requests and encodes responses.

use super::HttpError;
use super::head::{ChunkedDecoder, Framing, Head};

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target, as received.
    pub target: String,
    /// The media type of the body, without parameters, in lower case.
    pub content_type: Option<String>,
    /// The `Origin` header: the origin of the page that sent the request.
    pub origin: Option<String>,
    /// The `If-Match` header: a condition on the entity tag.
    pub if_match: Option<String>,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Decodes consecutive requests from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// A request whose head has been read, with the framing of its body.
    partial: Option<(Request, Body)>,
}

#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(ChunkedDecoder),
}

impl Decoder {
    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of received bytes that belong to no request returned so far, without heads already read.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.partial.as_ref().map_or(0, |(request, _)| request.body.len())
    }

    /// The memory that the bytes received so far hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity() + self.partial.as_ref().map_or(0, |(request, _)| request.body.capacity())
    }

    /// Gives up memory that the received bytes do not need.
    fn shrink(&mut self) {
        if self.buffer.capacity() > 2 * self.buffer.len() {
            self.buffer.shrink_to_fit();
        }
    }

    /// Whether some bytes of a request have arrived that has not been returned yet.
    pub fn has_partial_request(&self) -> bool {
        self.partial.is_some() || !self.buffer.is_empty()
    }

    /// Whether the client waits for `100 Continue` before it sends a body that is not known to exceed `max_body_bytes`.
    /// Returns true at most once for each request.
    pub fn take_expect_continue(&mut self, max_body_bytes: usize) -> bool {
        let Some((request, body)) = &mut self.partial else { return false };
        let fits = match body {
            Body::Length(n) => *n <= max_body_bytes,
            Body::Chunked(_) => true,
        };
        fits && self.buffer.is_empty()
            && request.body.is_empty()
            && std::mem::take(&mut request.expects_continue)
    }

    /// Returns the next complete request, or `None` until more bytes arrive. A body longer than `max_body_bytes` is an
    /// error.
    pub fn next_request(&mut self, max_body_bytes: usize) -> Result<Option<Request>, HttpError> {
        let request = self.decode_request(max_body_bytes);
        self.shrink();
        request
    }

    fn decode_request(&mut self, max_body_bytes: usize) -> Result<Option<Request>, HttpError> {
        if self.partial.is_none() {
            let Some((request, body, length)) = read_head(&self.buffer)? else { return Ok(None) };
            self.buffer.drain(..length);
            self.partial = Some((request, body));
        }
        let Some((request, body)) = &mut self.partial else { return Ok(None) };
        let is_complete = match body {
            Body::Length(n) if *n > max_body_bytes => return Err(HttpError::BodyTooLarge),
            Body::Length(n) => {
                let is_complete = self.buffer.len() >= *n;
                if is_complete {
                    request.body = self.buffer.drain(..*n).collect();
                }
                is_complete
            }
            Body::Chunked(chunks) => {
                let is_complete = chunks.decode(&mut self.buffer, &mut request.body)?;
                if request.body.len() > max_body_bytes {
                    return Err(HttpError::BodyTooLarge);
                }
                is_complete
            }
        };
        Ok(if is_complete { self.partial.take().map(|(request, _)| request) } else { None })
    }
}

fn read_head(bytes: &[u8]) -> Result<Option<(Request, Body, usize)>, HttpError> {
    let Some((head, length)) = Head::parse(bytes)? else { return Ok(None) };
    let [method, target, version] = head.start_line;
    let keep_alive = match version {
        "HTTP/1.1" => !head.has_token("connection", "close"),
        "HTTP/1.0" => head.has_token("connection", "keep-alive"),
        v if v.starts_with("HTTP/") => return Err(HttpError::BadVersion),
        _ => return Err(HttpError::BadHead),
    };
    // RFC 9112, 3.2: exactly one Host (HTTP/1.0 may omit it); otherwise two recipients could disagree on which host the
    // request is for.
    let hosts = head.headers().filter(|(name, _)| name.eq_ignore_ascii_case("host")).count();
    if hosts > 1 || hosts == 0 && version == "HTTP/1.1" {
        return Err(HttpError::BadHead);
    }
    let body = match head.framing()? {
        Framing::None => Body::Length(0),
        Framing::Length(n) => Body::Length(n),
        Framing::Chunked => Body::Chunked(ChunkedDecoder::default()),
    };
    let text = |name: &str| head.header(name).map(str::to_owned);
    let content_type = head.header("content-type").and_then(|t| t.split(';').next());
    let request = Request {
        method: method.to_owned(),
        target: target.to_owned(),
        content_type: content_type.map(|t| t.trim().to_ascii_lowercase()),
        origin: text("origin"),
        if_match: text("if-match"),
        expects_continue: version == "HTTP/1.1" && head.has_token("expect", "100-continue"),
        keep_alive,
        body: Vec::new(),
    };
    Ok(Some((request, body, length)))
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The headers, without `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a plain-text response with one line for human readers, such as an error; an empty line gives no body.
    pub fn text(status: u16, line: &str) -> Response {
        let body = if line.is_empty() { Vec::new() } else { format!("{line}\n").into_bytes() };
        let headers = if body.is_empty() { vec![] } else { vec![("Content-Type", "text/plain".to_owned())] };
        Response { status, headers, body }
    }

    /// Creates a response with problem details (RFC 9457): a stable code and a title for human readers.
    pub fn problem(status: u16, code: &str, line: &str) -> Response {
        let body =
            serde_json::json!({"type": format!("urn:amberspindle:{code}"), "title": line, "status": status});
        let headers = vec![("Content-Type", "application/problem+json".to_owned())];
        Response { status, headers, body: body.to_string().into_bytes() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Response {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Encodes the head and the body, to be written with one vectored write.
    pub fn encode(self, keep_alive: bool) -> [Vec<u8>; 2] {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.status != 204 {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str(if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" });
        [head.into_bytes(), self.body]
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        406 => "Not Acceptable",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}
