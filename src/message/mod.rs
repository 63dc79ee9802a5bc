//! Codecs of the platform's messages: binary towards edge servers, JSON lines towards viewers. Both are fed
//! bytes and know no socket.

pub mod binary;
pub mod line;

use std::fmt;

/// No message may be larger.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// What a message is, on either wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A set-up, with a description.
    SetUp,
    /// Progress: means nothing.
    Progress,
    /// An answer, with a description.
    Answer,
    /// A refusal, a give-up, or the end of a session.
    Release,
    /// A release was heard.
    Released,
    /// A test.
    Ping,
    /// A test's result.
    Pong,
    /// A note on a session that stands.
    Note,
    /// A move.
    Move,
    /// A new rung.
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
    /// The word on JSON lines.
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|n| n.0 == self).map_or("", |n| n.1)
    }

    /// The type of a binary message.
    pub fn code(self) -> u8 {
        KINDS.iter().find(|n| n.0 == self).map_or(0, |n| n.2)
    }

    /// From the word on JSON lines.
    pub fn from_name(name: &str) -> Option<Kind> {
        KINDS.iter().find(|n| n.1 == name).map(|n| n.0)
    }

    /// From the type of a binary message.
    pub fn from_code(code: u8) -> Option<Kind> {
        KINDS.iter().find(|n| n.2 == code).map(|n| n.0)
    }
}

/// Bytes of a stream that have come and are not read yet. An empty one holds no memory: connections wait for their
/// next message by the hundred.
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

    /// What was skipped last.
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
}

/// Causes of releases.
pub mod cause {
    /// Given up before the answer, or ended in its course after it.
    pub const NORMAL: u8 = 16;
    /// Cancelled: moved, or ended by its viewer.
    pub const CANCELLED: u8 = 31;
    /// Full: it never ran.
    pub const FULL: u8 = 34;
    /// Broken on its way, or cut.
    pub const RESET: u8 = 41;
    /// Refused by the broker: coming again is harmless.
    pub const REFUSED: u8 = 42;
    /// An error.
    pub const ERROR: u8 = 47;
    /// Moot: it never left.
    pub const MOOT: u8 = 102;
}

/// Why bytes are no message; each ends its connection with its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Larger than [`MAX_MESSAGE_BYTES`].
    TooLarge,
    /// A length that does not fit.
    BadLength,
    /// A type that is not known.
    UnknownType,
    /// No JSON object of the form.
    BadJson,
    /// An id that is not 16 hex digits.
    BadId,
    /// A field that is missing or can't be read.
    BadField,
}

impl Malformed {
    /// The reason code of the log line.
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
