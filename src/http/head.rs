//! Parses message heads without copying them, and decodes chunked bodies.

use super::{HttpError, MAX_HEAD_BYTES};

/// A start line and headers, borrowed from the receive buffer.
#[derive(Clone, Debug)]
pub struct Head<'a> {
    /// The three parts of the start line.
    pub start_line: [&'a str; 3],
    headers: Vec<(&'a str, &'a str)>,
}

impl<'a> Head<'a> {
    /// Parses a head at the start of the bytes and returns it with its length, or `None` while it is incomplete.
    pub fn parse(bytes: &'a [u8]) -> Result<Option<(Head<'a>, usize)>, HttpError> {
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if bytes.len() > MAX_HEAD_BYTES { Err(HttpError::HeadTooLarge) } else { Ok(None) };
        };
        if end > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLarge);
        }
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| HttpError::BadHead)?;
        let mut lines = text.split("\r\n");
        let mut parts = lines.next().unwrap_or("").splitn(3, ' ');
        let mut part = || parts.next().unwrap_or("");
        let start_line = [part(), part(), part()];
        if start_line[0].is_empty() || start_line[1].is_empty() {
            return Err(HttpError::BadHead);
        }
        let mut headers = Vec::new();
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(HttpError::BadHead)?;
            let is_token_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            if name.is_empty() || !name.bytes().all(is_token_byte) {
                return Err(HttpError::BadHead);
            }
            headers.push((name, value.trim()));
        }
        Ok(Some((Head { start_line, headers }, end + 4)))
    }

    /// Returns all headers, in order.
    pub fn headers(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.headers.iter().copied()
    }

    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| *v)
    }

    /// Whether a comma-separated header contains a token, ignoring case.
    pub fn has_token(&self, header: &str, token: &str) -> bool {
        self.header(header).is_some_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case(token)))
    }

    /// Determines how the length of the body is given.
    pub fn framing(&self) -> Result<Framing, HttpError> {
        let lengths: Vec<&str> = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case("content-length"))
            .map(|h| h.1)
            .collect();
        match (self.header("transfer-encoding"), lengths.as_slice()) {
            (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            // With both headers, or with another coding, two recipients could disagree on where the body ends.
            (Some(_), _) => Err(HttpError::BadBody),
            (None, []) => Ok(Framing::None),
            (None, [first, rest @ ..]) => {
                let is_number = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
                if !is_number || rest.iter().any(|r| r != first) {
                    return Err(HttpError::BadBody);
                }
                first.parse().map(Framing::Length).map_err(|_| HttpError::BadBody)
            }
        }
    }
}

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Neither a length nor a transfer coding is given.
    None,
    /// The body has this number of bytes.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
}

/// What a chunked body must contain next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Expected {
    /// The size of a chunk.
    #[default]
    ChunkSize,
    /// The line break after the data of a chunk.
    DataEnd,
    /// A trailer, or the blank line that ends the body.
    Trailer,
    /// Nothing, as the body has ended.
    Nothing,
}

/// The maximum length of a line between the data of chunks: a chunk size or a trailer.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Decodes a body in chunked transfer coding.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    chunk_bytes_left: usize,
    expected: Expected,
}

impl ChunkedDecoder {
    /// Moves the decoded data from the input to the body. Returns true once the last chunk and the blank line after it
    /// have been read.
    pub fn decode(&mut self, input: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<bool, HttpError> {
        let mut at = 0;
        while self.expected != Expected::Nothing {
            let rest = &input[at..];
            if self.chunk_bytes_left > 0 {
                let n = self.chunk_bytes_left.min(rest.len());
                body.extend_from_slice(&rest[..n]);
                (self.chunk_bytes_left, at) = (self.chunk_bytes_left - n, at + n);
                if self.chunk_bytes_left > 0 {
                    break;
                }
                self.expected = Expected::DataEnd;
                continue;
            }
            let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                if rest.len() > MAX_CHUNK_LINE_BYTES {
                    return Err(HttpError::BadBody);
                }
                break;
            };
            let line = std::str::from_utf8(&rest[..end]).map_err(|_| HttpError::BadBody)?;
            at += end + 2;
            self.expected = match self.expected {
                Expected::DataEnd if line.is_empty() => Expected::ChunkSize,
                Expected::DataEnd => return Err(HttpError::BadBody),
                // Trailers are skipped up to the blank line; if it were left, the next message would begin too early.
                Expected::Trailer if line.is_empty() => Expected::Nothing,
                Expected::Trailer | Expected::Nothing => self.expected,
                Expected::ChunkSize => {
                    let size = line.split(';').next().unwrap_or("").trim();
                    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
                    let size = if is_hex { usize::from_str_radix(size, 16).ok() } else { None };
                    self.chunk_bytes_left = size.ok_or(HttpError::BadBody)?;
                    if self.chunk_bytes_left == 0 { Expected::Trailer } else { Expected::ChunkSize }
                }
            };
        }
        input.drain(..at);
        Ok(self.expected == Expected::Nothing)
    }
}
