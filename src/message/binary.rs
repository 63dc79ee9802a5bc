//! The binary encoding: `length:2 type:1 session:8`, followed by parameters `code:1 length:2 value`; all integers are
//! big-endian, and the message length does not count its own two bytes.

use super::{Kind, MAX_MESSAGE_BYTES, Malformed, ReadBuffer};
use crate::api::SessionId;

/// Parameter codes.
pub mod code {
    /// The class.
    pub const CLASS: u8 = 3;
    /// How long the broker waits for the answer, in milliseconds.
    pub const WAIT: u8 = 4;
    /// The title.
    pub const TITLE: u8 = 7;
    /// The subject of a note.
    pub const NOTE: u8 = 10;
    /// The load report.
    pub const LOAD: u8 = 12;
    /// The rung.
    pub const RUNG: u8 = 14;
    /// The numeric value of a note.
    pub const FIGURE: u8 = 15;
    /// The cause, one byte.
    pub const CAUSE: u8 = 17;
    /// The session description.
    pub const DESCRIPTION: u8 = 18;
}

/// The size of the type and session fields.
const HEADER_BYTES: usize = 9;

/// A decoded message that borrows from the receive buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packet<'a> {
    /// The message type.
    pub kind: Kind,
    /// The session that it belongs to.
    pub id: SessionId,
    parameters: &'a [u8],
}

impl<'a> Packet<'a> {
    /// Returns the value of the first parameter with this code.
    pub fn value(&self, wanted: u8) -> Option<&'a [u8]> {
        let mut rest = self.parameters;
        while let Some((code, value, after)) = split_parameter(rest) {
            if code == wanted {
                return Some(value);
            }
            rest = after;
        }
        None
    }

    /// Returns a parameter as text, if it is valid UTF-8.
    pub fn text(&self, wanted: u8) -> Option<&'a str> {
        self.value(wanted).and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Returns the cause, if it is present and one byte long.
    pub fn cause(&self) -> Option<u8> {
        self.value(code::CAUSE).filter(|v| v.len() == 1).map(|v| v[0])
    }
}

fn split_parameter(bytes: &[u8]) -> Option<(u8, &[u8], &[u8])> {
    let (head, rest) = bytes.split_at_checked(3)?;
    let (value, after) = rest.split_at_checked(usize::from(u16::from_be_bytes([head[1], head[2]])))?;
    Some((head[0], value, after))
}

/// An incremental decoder for a stream of binary messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: ReadBuffer,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Whether an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Decodes the next complete message; returns `None` if more bytes are needed.
    pub fn next_packet(&mut self) -> Result<Option<Packet<'_>>, Malformed> {
        self.buffer.free_if_empty();
        let bytes = self.buffer.unread();
        let Some((length, rest)) = bytes.split_at_checked(2) else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
        if length + 2 > MAX_MESSAGE_BYTES {
            return Err(Malformed::TooLarge);
        }
        if length < HEADER_BYTES {
            return Err(Malformed::BadLength);
        }
        if rest.len() < length {
            return Ok(None);
        }
        self.buffer.consume(2 + length);
        let body = self.buffer.last_consumed(length);
        let kind = Kind::from_code(body[0]).ok_or(Malformed::UnknownType)?;
        let mut id = [0; 8];
        id.copy_from_slice(&body[1..HEADER_BYTES]);
        let mut parameters = &body[HEADER_BYTES..];
        while !parameters.is_empty() {
            parameters = split_parameter(parameters).ok_or(Malformed::BadLength)?.2;
        }
        Ok(Some(Packet { kind, id: SessionId(u64::from_be_bytes(id)), parameters: &body[HEADER_BYTES..] }))
    }
}

/// An encoder for one message.
#[derive(Debug)]
pub struct Builder {
    bytes: Vec<u8>,
    fits: bool,
}

impl Builder {
    /// Creates a message without parameters.
    pub fn new(kind: Kind, id: SessionId) -> Builder {
        let mut bytes = vec![0, 0, kind.code()];
        bytes.extend_from_slice(&id.0.to_be_bytes());
        Builder { bytes, fits: true }
    }

    /// Adds a parameter.
    pub fn with(mut self, code: u8, value: &[u8]) -> Builder {
        self.fits &= self.bytes.len() + 3 + value.len() <= MAX_MESSAGE_BYTES;
        if self.fits {
            self.bytes.push(code);
            self.bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
            self.bytes.extend_from_slice(value);
        }
        self
    }

    /// Adds the cause.
    pub fn cause(self, cause: u8) -> Builder {
        self.with(code::CAUSE, &[cause])
    }

    /// Returns the encoded message, or an error if it would exceed the maximum size.
    pub fn finish(mut self) -> Result<Vec<u8>, Malformed> {
        if !self.fits {
            return Err(Malformed::TooLarge);
        }
        let length = ((self.bytes.len() - 2) as u16).to_be_bytes();
        self.bytes[..2].copy_from_slice(&length);
        Ok(self.bytes)
    }
}
