//! Codecs for the messages of the platform protocol: binary messages to and from edge servers, and JSON lines to and
//! from viewers. They work on byte slices and do no I/O.

pub mod binary;
pub mod line;

use std::fmt;

/// The maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// The type of a message, in both encodings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A set-up with a session description.
    SetUp,
    /// A progress report; it has no effect.
    Progress,
    /// An answer with a session description.
    Answer,
    /// The refusal or withdrawal of a set-up, or the end of a session.
    Release,
    /// The acknowledgement of a release.
    Released,
    /// A connection check.
    Ping,
    /// The reply to a connection check.
    Pong,
    /// A note about an established session.
    Note,
    /// A notice to a viewer that its session is being moved and has to be requested again.
    Move,
    /// A change of the rung.
    Rate,
}

const KINDS: [(Kind, &str, u8); 10] = [
    (Kind::SetUp, "setup", 1),
    (Kind::Progress, "progress", 6),
    (Kind::Answer, "answer", 9),
    (Kind::Release, "release", 12),
    (Kind::Released, "released", 16),
    (Kind::Note, "note", 44),
    (Kind::Move, "move", 51),
    (Kind::Ping, "ping", 52),
    (Kind::Pong, "pong", 53),
    (Kind::Rate, "rate", 60),
];

impl Kind {
    /// Returns the type name used in JSON lines.
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|n| n.0 == self).map_or("", |n| n.1)
    }

    /// Returns the type code used in binary messages.
    pub fn code(self) -> u8 {
        KINDS.iter().find(|n| n.0 == self).map_or(0, |n| n.2)
    }

    /// Looks a type up by its name in JSON lines.
    pub fn from_name(name: &str) -> Option<Kind> {
        KINDS.iter().find(|n| n.1 == name).map(|n| n.0)
    }

    /// Looks a type up by its code in binary messages.
    pub fn from_code(code: u8) -> Option<Kind> {
        KINDS.iter().find(|n| n.2 == code).map(|n| n.0)
    }
}

/// The received bytes of a stream that are not decoded yet. An empty buffer holds no memory, as hundreds of
/// connections may be idle at a time.
#[derive(Debug, Default)]
struct ReadBuffer {
    bytes: Vec<u8>,
    start: usize,
}

impl ReadBuffer {
    fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    fn consume(&mut self, n: usize) {
        self.start += n;
    }

    /// Returns the last `n` consumed bytes.
    fn last_consumed(&self, n: usize) -> &[u8] {
        &self.bytes[self.start - n..self.start]
    }

    fn is_empty(&self) -> bool {
        self.bytes.len() == self.start
    }

    fn free_if_empty(&mut self) {
        if self.is_empty() {
            *self = ReadBuffer::default();
        }
    }

    /// Gives up memory that the unread bytes do not need.
    fn shrink(&mut self) {
        if self.bytes.capacity() > 2 * self.unread().len() {
            *self = ReadBuffer { bytes: self.unread().to_vec(), start: 0 };
        }
    }

    /// The memory that it holds, in bytes.
    fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}

/// Cause codes of releases.
pub mod cause {
    /// The set-up was withdrawn before its answer, or the session ended normally after it.
    pub const NORMAL: u8 = 16;
    /// Cancelled: the session was moved, or its viewer ended it.
    pub const CANCELLED: u8 = 31;
    /// The server is full; the set-up never ran.
    pub const FULL: u8 = 34;
    /// The connection broke, or the session was cut off.
    pub const RESET: u8 = 41;
    /// Refused by the broker; a retry is safe.
    pub const REFUSED: u8 = 42;
    /// An error.
    pub const ERROR: u8 = 47;
    /// Moot: the set-up was never sent.
    pub const MOOT: u8 = 102;
}

/// Why bytes are not a valid message. Each of these errors ends the connection, and its code is logged as the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    TooLarge,
    /// A length field does not match the data.
    BadLength,
    /// The message type is unknown.
    UnknownType,
    /// The line is not a JSON object of the expected form.
    BadJson,
    /// The id is not 16 hexadecimal digits.
    BadId,
    /// A field is missing or invalid.
    BadField,
}

impl Malformed {
    /// Returns the reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            Malformed::TooLarge => "too-large",
            Malformed::BadLength => "bad-length",
            Malformed::UnknownType => "unknown-type",
            Malformed::BadJson => "bad-json",
            Malformed::BadId => "bad-id",
            Malformed::BadField => "bad-field",
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for Malformed {}
