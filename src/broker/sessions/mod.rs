//! The table of sessions. It alone changes their stages, and so keeps the counts and the index by server that spare
//! its callers a walk over all sessions.

mod session;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

pub(super) use session::{Attempt, Placement, Session, Stage};

use crate::api::{Micros, ServerId, SessionId, Status};

/// All sessions that are unanswered or stand.
#[derive(Debug, Default)]
pub(super) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    /// Sessions that stand, by server; a server where none stands has no entry.
    by_server: BTreeMap<ServerId, BTreeSet<SessionId>>,
    /// Sessions that stand.
    established_count: usize,
    /// Bytes of the descriptions that are held.
    offer_bytes: usize,
}

impl SessionTable {
    /// Adds a session whose id is not in the table.
    pub fn insert(&mut self, session: Session) {
        let id = session.request.id;
        debug_assert!(!self.contains(id), "a session is added once");
        self.offer_bytes += session.offer.len();
        if let Some(placement) = session.placement() {
            let server = placement.server.clone();
            self.index(id, server);
        }
        self.sessions.insert(id, session);
    }

    /// Takes a session out.
    pub fn remove(&mut self, id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&id)?;
        self.offer_bytes -= session.offer.len();
        if let Some(placement) = session.placement() {
            self.unindex(id, &placement.server);
        }
        Some(session)
    }

    /// Takes a session out if it stands, and gives where.
    pub fn remove_established(&mut self, id: SessionId) -> Option<Placement> {
        let placement = self.get(id)?.placement()?.clone();
        self.remove(id);
        Some(placement)
    }

    /// An attempt for a waiting session goes out.
    pub fn start_attempt(&mut self, id: SessionId, attempt: Attempt) {
        let Some(session) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::Waiting) else { return };
        session.history.attempts += 1;
        session.history.attempt_in_flight = true;
        session.timed_out = false;
        session.stage = Stage::Attempting(attempt);
    }

    /// An attempt that is out is waited for no longer than until then; gives its number.
    pub fn shorten_attempt(&mut self, id: SessionId, deadline: Micros) -> Option<u32> {
        let Stage::Attempting(attempt) = &mut self.sessions.get_mut(&id)?.stage else { return None };
        attempt.deadline = attempt.deadline.min(deadline);
        Some(attempt.number)
    }

    /// The attempt that is out ended without success; the session waits again. Gives the attempt.
    pub fn end_attempt(&mut self, id: SessionId, status: Status) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        session.stage = Stage::Waiting;
        session.history.record_attempt_end(status);
        Some(attempt)
    }

    /// The attempt that is out is given up: the session waits until the end of it is written. Gives the attempt.
    pub fn begin_withdrawal(&mut self, id: SessionId, status: Status) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        session.stage = Stage::Withdrawing(attempt.clone(), status);
        Some(attempt)
    }

    /// The end of an attempt at a server is written: the session waits again. Gives the attempt and why it was given up.
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

    /// The attempt that is out succeeded; the session stands at its server. Gives the attempt.
    pub fn establish(&mut self, id: SessionId) -> Option<Attempt> {
        let session = self.sessions.get_mut(&id)?;
        let attempt = session.attempt()?.clone();
        let placement = Placement { server: attempt.server.clone(), attempt: attempt.number };
        session.stage = Stage::Established(placement);
        session.history.record_attempt_end(Status::Completed);
        // The description is not sent again.
        self.offer_bytes -= std::mem::replace(&mut session.offer, session::empty_description()).len();
        self.index(id, attempt.server.clone());
        Some(attempt)
    }

    /// A session.
    pub fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    /// A session, to be changed in all but its stage.
    pub fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Whether a session is in the table.
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// All sessions, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    /// The sessions that stand, by id.
    pub fn established_ids(&self) -> Vec<SessionId> {
        self.iter().filter(|session| !session.is_unanswered()).map(|session| session.request.id).collect()
    }

    /// The requests that are owed an answer, by id.
    pub fn unanswered_ids(&self) -> Vec<SessionId> {
        self.iter().filter(|session| session.is_unanswered()).map(|session| session.request.id).collect()
    }

    /// The sessions that stand at a server, by id.
    pub fn established_at(&self, server: &ServerId) -> Vec<SessionId> {
        self.by_server.get(server).map(|ids| ids.iter().copied().collect()).unwrap_or_default()
    }

    /// Whether any session stands at a server.
    pub fn has_established_at(&self, server: &ServerId) -> bool {
        self.by_server.contains_key(server)
    }

    /// Where a session stands, if it does.
    pub fn server_of(&self, id: SessionId) -> Option<&ServerId> {
        Some(&self.get(id)?.placement()?.server)
    }

    /// The attempt of a session that is out at a server.
    pub fn attempt_at(&self, id: SessionId, server: &ServerId) -> Option<&Attempt> {
        self.get(id)?.attempt().filter(|attempt| attempt.server == *server)
    }

    /// Sessions in the table.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Sessions that stand.
    pub fn established_count(&self) -> usize {
        self.established_count
    }

    /// Requests that are owed an answer.
    pub fn unanswered_count(&self) -> usize {
        self.len() - self.established_count
    }

    /// Bytes of the descriptions that are held.
    pub fn offer_bytes(&self) -> usize {
        self.offer_bytes
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
