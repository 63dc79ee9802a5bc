//! The subset of HTTP/1.1 that the program uses: a server side, a client side for the services that it calls, and
//! server-sent events. The decoders are given bytes and do no input or output themselves.

pub mod client;
pub mod head;
pub mod server;
pub mod sse;
pub mod uri;

use std::fmt;

/// The maximum size of a message head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The reason why received bytes are rejected as HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The head is malformed or not acceptable here.
    BadHead,
    /// The head is larger than [`MAX_HEAD_BYTES`].
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body or its framing, such as the length or a chunk, is malformed or ambiguous.
    BadBody,
    /// The version is neither 1.0 nor 1.1.
    BadVersion,
}

impl HttpError {
    /// Returns the reason code for log lines.
    pub fn code(self) -> &'static str {
        match self {
            HttpError::BadHead => "bad-head",
            HttpError::HeadTooLarge => "head-too-large",
            HttpError::BodyTooLarge => "body-too-large",
            HttpError::BadBody => "bad-body",
            HttpError::BadVersion => "bad-version",
        }
    }

    /// Returns the status code of the error response to the client.
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
