//! One connection of the platform's viewers: what waits there, and when it is overdue.

use std::collections::BTreeSet;

use crate::api::{Micros, SessionId};
use crate::platform::viewer::ViewerDecoder;

/// A viewer's connection that has said nothing whole for so long after it was accepted is closed, and one that
/// leaves a message unfinished for so long: the platform's clients connect when they have something to ask.
const SILENCE_TIMEOUT: Micros = Micros(2_000_000);
/// A connection that no set-up waits on and no session was set up on is closed after so long. Clients let such a
/// one go after 4 s themselves; one that asked for what has no answer is owed a close within 3 s.
const IDLE_TIMEOUT: Micros = Micros(2_250_000);

/// Why a connection ends on which a message was begun and not ended: what may still come of it keeps no connection.
pub(super) const UNFINISHED_REASON: &str = "unfinished";

/// What is known of it.
#[derive(Default)]
pub(super) struct ViewerConn {
    pub(super) decoder: ViewerDecoder,
    /// Set-ups of this connection that are owed an answer.
    pub(super) unanswered: BTreeSet<SessionId>,
    /// When it last said something whole, or was answered.
    pub(super) last_used: Micros,
    /// When the message began that is not whole yet.
    pub(super) partial_since: Option<Micros>,
    /// It has said something whole.
    pub(super) has_spoken: bool,
    /// It has said more than tests: it is a viewer's.
    pub(super) is_viewer: bool,
    /// It has used the id of a session that is held already: it ends once all it waits for is answered, as an
    /// answer of its own to the second set-up could be taken for that of the first.
    pub(super) has_reused_id: bool,
    /// It is being closed: what it still says is not heard.
    pub(super) is_closing: bool,
}

impl ViewerConn {
    /// Why it is to be closed, if it is.
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
