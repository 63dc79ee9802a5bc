//! One connection of a platform viewer: its unanswered set-ups, and when it is overdue.

use std::collections::BTreeSet;

use crate::api::{Micros, SessionId};
use crate::platform::viewer::ViewerDecoder;

/// A viewer connection is closed if it sent no complete message for this time after it was accepted, or left
/// a message incomplete for this time. The platform's clients connect only when they have something to ask.
const SILENCE_TIMEOUT: Micros = Micros(2_000_000);
/// A connection without unanswered set-ups and without a session is closed after this time. Clients close
/// such a connection themselves after 4 s; one that sent only messages without an answer must be closed
/// within 3 s.
const IDLE_TIMEOUT: Micros = Micros(2_250_000);

/// Reason for closing a connection with an incomplete message. The rest of the message may still arrive, but
/// does not keep the connection open.
pub(super) const UNFINISHED_REASON: &str = "unfinished";

/// The state of a viewer connection.
#[derive(Default)]
pub(super) struct ViewerConn {
    /// Decodes its messages.
    pub(super) decoder: ViewerDecoder,
    /// Set-ups of this connection without a final answer.
    pub(super) unanswered: BTreeSet<SessionId>,
    /// When it last sent a complete message or was answered.
    pub(super) last_used: Micros,
    /// When the incomplete message began, if there is one.
    pub(super) partial_since: Option<Micros>,
    /// Whether it has sent a complete message.
    pub(super) has_spoken: bool,
    /// Whether it has sent anything but pings, so that it belongs to a viewer.
    pub(super) is_viewer: bool,
    /// Whether it has used the id of a session that exists. It is closed once all its set-ups are answered,
    /// as an answer to the second set-up could be taken for the answer to the first.
    pub(super) has_reused_id: bool,
    /// Whether it is being closed; further input is ignored.
    pub(super) is_closing: bool,
}

impl ViewerConn {
    /// Returns the reason to close it, if there is one.
    pub(super) fn overdue(&self, now: Micros) -> Option<&'static str> {
        if self.is_closing || !self.unanswered.is_empty() {
            None
        } else if !self.has_spoken && now - self.last_used >= SILENCE_TIMEOUT {
            Some(if self.partial_since.is_some() { UNFINISHED_REASON } else { "silent" })
        } else if self.partial_since.is_some_and(|at| now - at >= SILENCE_TIMEOUT) {
            Some(UNFINISHED_REASON)
        } else if now - self.last_used >= IDLE_TIMEOUT {
            Some("idle")
        } else {
            None
        }
    }
}
