//! A part of what waits on a connection.

use crate::api::SessionId;

/// What a part is, as far as its fate matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// Nothing that is looked for again.
    Plain,
    /// The set-up of a session, or the answer that it stands.
    Session(SessionId),
    /// The end of an attempt that was given up.
    Withdrawal(SessionId),
    /// The end of a session, which is told elsewhere if it can't be told here.
    SessionEnd,
}

/// What waits to be written as one.
#[derive(Debug)]
pub(super) struct QueuedMessage {
    pub(super) bytes: Vec<u8>,
    pub(super) kind: MessageKind,
}

impl QueuedMessage {
    /// The session whose set-up or answer it is.
    pub(super) fn session(&self) -> Option<SessionId> {
        match self.kind {
            MessageKind::Session(id) => Some(id),
            MessageKind::Plain | MessageKind::Withdrawal(_) | MessageKind::SessionEnd => None,
        }
    }
}
