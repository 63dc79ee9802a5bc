//! A message in the write queue of a connection.

use crate::api::SessionId;

/// The kind of a queued message, as far as it matters whether the message is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A message that nothing looks for later.
    Plain,
    /// The set-up of a session, or the answer that the session is established.
    Session(SessionId),
    /// The release of an attempt that was withdrawn.
    Withdrawal(SessionId),
    /// The end of a session, which is sent on another connection if it can't be sent on this one.
    SessionEnd,
}

/// A message that waits to be written.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub(super) bytes: Vec<u8>,
    pub(super) kind: MessageKind,
}

impl QueuedMessage {
    /// Returns the session whose set-up or answer the message is.
    pub(super) fn session(&self) -> Option<SessionId> {
        match self.kind {
            MessageKind::Session(id) => Some(id),
            MessageKind::Plain | MessageKind::Withdrawal(_) | MessageKind::SessionEnd => None,
        }
    }
}
