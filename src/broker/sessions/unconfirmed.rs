//! Sessions that a client or another process named as established, of which their server has said nothing yet. Nothing
//! proves that they exist, and if they do not, no server ever ends them.

use std::collections::BTreeSet;

use crate::api::{Micros, SessionId};

/// Unconfirmed sessions by the time at which they were named.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedSessions {
    by_age: BTreeSet<(Micros, SessionId)>,
    /// The size of their stored texts, in bytes.
    payload_bytes: usize,
}

impl UnconfirmedSessions {
    /// Adds a session.
    pub(super) fn insert(&mut self, named_at: Micros, id: SessionId, payload_bytes: usize) {
        if self.by_age.insert((named_at, id)) {
            self.payload_bytes += payload_bytes;
        }
    }

    /// Removes a session that has ended or was confirmed.
    pub(super) fn remove(&mut self, named_at: Micros, id: SessionId, payload_bytes: usize) {
        if self.by_age.remove(&(named_at, id)) {
            self.payload_bytes -= payload_bytes;
        }
    }

    /// Returns the session that was named first, with that time.
    pub(super) fn oldest(&self) -> Option<(Micros, SessionId)> {
        self.by_age.first().copied()
    }

    /// The number of sessions.
    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    /// The size of their stored texts, in bytes.
    pub(super) fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }
}
