//! The table of sessions. Stages change only through the table, which keeps counts and an index by server up to date,
//! so that these queries need no scan over all sessions.

mod session;
#[cfg(test)]
mod tests;
mod unconfirmed;

use std::collections::{BTreeMap, BTreeSet};

pub(super) use session::{Attempt, Placement, Session, Stage, payload_bytes};

use crate::api::{Micros, ServerId, SessionId, Status};
use unconfirmed::UnconfirmedSessions;

/// All sessions, unanswered or established.
#[derive(Debug, Default)]
pub(super) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    /// The established sessions by server; a server without any has no entry.
    by_server: BTreeMap<ServerId, BTreeSet<SessionId>>,
    /// The number of established sessions.
    established_count: usize,
    /// The total size of the stored texts and descriptions, in bytes.
    payload_bytes: usize,
    /// The established sessions that no server has confirmed.
    unconfirmed: UnconfirmedSessions,
}

impl SessionTable {
    /// Adds a session whose id is not in the table yet.
    pub fn insert(&mut self, session: Session) {
        let id = session.request.id;
        debug_assert!(!self.contains(id), "the session is already in the table");
        self.payload_bytes += session.payload_bytes();
        if let Some(named_at) = session.unconfirmed_since {
            self.unconfirmed.insert(named_at, id, session.payload_bytes());
        }
        if let Some(placement) = session.placement() {
            let server = placement.server.clone();
            self.index(id, server);
        }
        self.sessions.insert(id, session);
    }

    /// Removes a session.
    pub fn remove(&mut self, id: SessionId) -> Option<Session> {
        self.confirm(id);
        let session = self.sessions.remove(&id)?;
        self.payload_bytes -= session.payload_bytes();
        if let Some(placement) = session.placement() {
            self.unindex(id, &placement.server);
        }
        Some(session)
    }

    /// Removes a session if it is established, and returns its placement.
    pub fn remove_established(&mut self, id: SessionId) -> Option<Placement> {
        let placement = self.get(id)?.placement()?.clone();
        self.remove(id);
        Some(placement)
    }

    /// Marks a session as confirmed by its server.
    pub fn confirm(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if let Some(named_at) = session.unconfirmed_since.take() {
            self.unconfirmed.remove(named_at, id, session.payload_bytes());
        }
    }

    /// Returns the unconfirmed session that was named first, with that time.
    pub fn oldest_unconfirmed(&self) -> Option<(Micros, SessionId)> {
        self.unconfirmed.oldest()
    }

    /// The number of unconfirmed sessions.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// The size of the texts of unconfirmed sessions, in bytes.
    pub fn unconfirmed_payload_bytes(&self) -> usize {
        self.unconfirmed.payload_bytes()
    }

    /// Starts an attempt for a waiting session.
    pub fn start_attempt(&mut self, id: SessionId, attempt: Attempt) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::Waiting) else { return };
        session.history.attempts += 1;
        session.history.attempt_in_flight = true;
        session.timed_out = false;
        session.stage = Stage::Attempting(attempt);
    }

    /// Shortens the deadline of the attempt in flight to at most `deadline`, and returns the number of the attempt.
    pub fn shorten_attempt(&mut self, id: SessionId, deadline: Micros) -> Option<u32> {
        let Stage::Attempting(attempt) = &mut self.sessions.get_mut(&id)?.stage else { return None };
        attempt.deadline = attempt.deadline.min(deadline);
        Some(attempt.number)
    }

    /// Ends the attempt in flight without success, and returns it; the session waits again.
    pub fn end_attempt(&mut self, id: SessionId, status: Status) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        session.stage = Stage::Waiting;
        session.history.record_attempt_end(status);
        Some(attempt)
    }

    /// Starts the withdrawal of the attempt in flight, and returns the attempt. The session waits until the withdrawal
    /// is written to the server.
    pub fn begin_withdrawal(&mut self, id: SessionId, status: Status) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        session.stage = Stage::Withdrawing(attempt.clone(), status);
        Some(attempt)
    }

    /// Completes the withdrawal of an attempt at a server; the session waits again. Returns the attempt and the reason
    /// for its withdrawal.
    pub fn end_withdrawal(&mut self, id: SessionId, server: &ServerId) -> Option<(Attempt, Status)> {
        let session = self.sessions.get_mut(&id)?;
        let Stage::Withdrawing(attempt, status) = &session.stage else { return None };
        let withdrawn = (attempt.clone(), *status);
        if withdrawn.0.server != *server {
            return None;
        }
        session.stage = Stage::Waiting;
        session.history.record_attempt_end(withdrawn.1);
        Some(withdrawn)
    }

    /// Marks the session as established by the attempt in flight, and returns the attempt.
    pub fn establish(&mut self, id: SessionId) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        let placement = Placement { server: attempt.server.clone(), attempt: attempt.number };
        session.stage = Stage::Established(placement);
        session.history.record_attempt_end(Status::Completed);
        // The description is not needed again.
        self.payload_bytes -= std::mem::replace(&mut session.offer, session::empty_description()).len();
        self.index(id, attempt.server.clone());
        Some(attempt)
    }

    /// Returns a session.
    pub fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// Returns a session for changes to anything but its stage and offer.
    pub fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Whether a session is in the table.
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// All sessions, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// The ids of the established sessions, in ascending order.
    pub fn established_ids(&self) -> Vec<SessionId> {
        self.iter().filter(|session| !session.is_unanswered()).map(|session| session.request.id).collect()
    }

    /// The ids of the unanswered requests, in ascending order.
    pub fn unanswered_ids(&self) -> Vec<SessionId> {
        self.iter().filter(|session| session.is_unanswered()).map(|session| session.request.id).collect()
    }

    /// The ids of the sessions established at a server, in ascending order.
    pub fn established_at(&self, server: &ServerId) -> Vec<SessionId> {
        self.by_server.get(server).map(|ids| ids.iter().copied().collect()).unwrap_or_default()
    }

    /// Whether any session is established at a server.
    pub fn has_established_at(&self, server: &ServerId) -> bool {
        self.by_server.contains_key(server)
    }

    /// The server at which a session is established.
    pub fn server_of(&self, id: SessionId) -> Option<&ServerId> {
        Some(&self.get(id)?.placement()?.server)
    }

    /// The attempt of a session that is in flight at a server.
    pub fn attempt_at(&self, id: SessionId, server: &ServerId) -> Option<&Attempt> {
        self.get(id)?.attempt().filter(|attempt| attempt.server == *server)
    }

    /// The number of sessions in the table.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The number of established sessions.
    pub fn established_count(&self) -> usize {
        self.established_count
    }

    /// The number of unanswered requests.
    pub fn unanswered_count(&self) -> usize {
        self.len() - self.established_count
    }

    /// The total size of the stored texts and descriptions, in bytes.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    fn index(&mut self, id: SessionId, server: ServerId) {
        self.by_server.entry(server).or_default().insert(id);
        self.established_count += 1;
    }

    fn unindex(&mut self, id: SessionId, server: &ServerId) {
        self.established_count -= 1;
        let Some(ids) = self.by_server.get_mut(server) else { return };
        ids.remove(&id);
        if ids.is_empty() {
            self.by_server.remove(server);
        }
    }
}
