//! HTTP/1.1 as far as the program speaks it: requests in and responses out, the other way round for the
//! services it calls, and server-sent events. Fed bytes, no sockets.

pub mod client;
pub mod head;
pub mod server;
pub mod sse;
pub mod uri;

use std::fmt;

/// No head may be larger.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why bytes are not HTTP that can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// A head that can't be read.
    BadHead,
    /// A head larger than [`MAX_HEAD_BYTES`].
    HeadTooLarge,
    /// A body larger than allowed.
    BodyTooLarge,
    /// A length or a chunk that can't be read.
    BadBody,
    /// A version other than 1.0 and 1.1.
    BadVersion,
}

impl HttpError {
    /// The reason code of the log line.
    pub fn code(self) -> &'static str {
        match self {
            HttpError::BadHead => "bad-head",
            HttpError::HeadTooLarge => "head-too-large",
            HttpError::BodyTooLarge => "body-too-large",
            HttpError::BadBody => "bad-body",
            HttpError::BadVersion => "bad-version",
        }
    }

    /// The status that a client is told.
    pub fn status(self) -> u16 {
        match self {
            HttpError::BadHead | HttpError::BadBody => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::BadVersion => 505,
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for HttpError {}
