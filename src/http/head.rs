//! Heads of messages, parsed where they lie.

use super::{HttpError, MAX_HEAD_BYTES};

/// A start line and headers that still lie in the buffer they came in.
#[derive(Clone, Debug)]
pub struct Head<'a> {
    /// The three parts of the start line.
    pub start_line: [&'a str; 3],
    headers: Vec<(&'a str, &'a str)>,
}

impl<'a> Head<'a> {
    /// Finds a whole head at the front of the bytes; gives it with its length.
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

    /// All headers, in order.
    pub fn headers(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.headers.iter().copied()
    }

    /// A header's value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| *v)
    }

    /// Whether a comma-separated header names a token.
    pub fn has_token(&self, header: &str, token: &str) -> bool {
        self.header(header).is_some_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case(token)))
    }

    /// How the body is framed.
    pub fn framing(&self) -> Result<Framing, HttpError> {
        let lengths: Vec<&str> = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case("content-length"))
            .map(|h| h.1)
            .collect();
        match (self.header("transfer-encoding"), lengths.as_slice()) {
            (Some(coding), []) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            // Both, or another coding: two readers could disagree on where the body ends.
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

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Nothing tells.
    None,
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// What the next line of a chunked body is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Expected {
    /// The size of a chunk.
    #[default]
    ChunkSize,
    /// The line feed after a chunk's data.
    DataEnd,
    /// A trailer, or the blank line that ends the body.
    Trailer,
    /// Nothing: the body has ended.
    Nothing,
}

/// Longest line between chunks.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Takes chunks off the front of a stream.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    chunk_bytes_left: usize,
    expected: Expected,
}

impl ChunkedDecoder {
    /// Moves what is whole from the input to the body; true once the last chunk and its blank line have come.
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
                // Trailers are skipped; without the blank line after them the next message would begin early.
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
