//! What others may ask the core.

use super::Broker;
use crate::api::{Micros, Request, Rung, ServerEntry, ServerId, ServerState, SessionId};

/// A request that is owed an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// The request.
    pub id: SessionId,
    /// Number of its class.
    pub class: usize,
    /// The server that an attempt is out at; none: it waits for one.
    pub server: Option<ServerId>,
    /// When it is answered at the latest.
    pub due: Micros,
}

impl Broker {
    /// When it next wants [`Input::Tick`](super::Input::Tick).
    pub fn next_alarm(&self) -> Option<Micros> {
        self.alarms.next()
    }

    /// Whether a session stands at a server.
    pub fn is_established_at(&self, id: SessionId, at: &ServerId) -> bool {
        self.sessions.server_of(id) == Some(at)
    }

    /// When the attempt was decided on that is out at a server, or on its way there.
    pub fn sent_at(&self, id: SessionId, to: &ServerId) -> Option<Micros> {
        Some(self.sessions.attempt_at(id, to)?.sent_at)
    }

    /// Whether anything new may go to a server, by the list as it is held.
    pub fn accepts_new(&self, server: &ServerId) -> bool {
        self.guard.accepts_new(server)
    }

    /// Whether the session is known: unanswered, or standing.
    pub fn has_session(&self, id: SessionId) -> bool {
        self.sessions.contains(id)
    }

    /// Whether no attempt of an unanswered session can have run or be out.
    pub fn has_no_attempt(&self, id: SessionId) -> bool {
        self.sessions.get(id).is_some_and(|s| !s.history.attempt_in_flight && !s.history.may_have_run)
    }

    /// Requests that are still owed an answer.
    pub fn unanswered(&self) -> usize {
        self.sessions.unanswered_count()
    }

    /// The requests whose answers may come last, so many at most.
    pub fn last_due(&self, limit: usize) -> Vec<OpenRequest> {
        let unanswered = self.sessions.iter().filter(|session| session.is_unanswered());
        let mut open: Vec<OpenRequest> = unanswered
            .map(|session| OpenRequest {
                id: session.request.id,
                class: session.request.class,
                server: session.server().cloned(),
                due: session.request.due,
            })
            .collect();
        open.sort_by_key(|request| std::cmp::Reverse(request.due));
        open.truncate(limit);
        open
    }

    /// Sessions that stand.
    pub fn established(&self) -> usize {
        self.sessions.established_count()
    }

    /// What is remembered, at its fullest place: to be watched where ids come and go all day.
    pub fn tracked_entries(&self) -> usize {
        let own = [
            self.sessions.len(),
            self.withdrawn_attempts.tracked_entries(),
            self.alarms.len(),
            self.guard.tracked_entries(),
        ];
        own.into_iter().chain([self.module.tracked_entries()]).max().unwrap_or(0)
    }

    /// The servers as last told.
    pub fn listed_servers(&self) -> Vec<ServerEntry> {
        self.guard.servers()
    }

    /// Listed servers that get nothing new now: they drain, or the module distrusts them.
    pub fn out_of_rotation(&self, now: Micros) -> usize {
        let is_out_of_rotation =
            |e: &ServerEntry| e.state != ServerState::Ready || self.module.distrusts(now, &e.id);
        self.guard.servers().iter().filter(|entry| is_out_of_rotation(entry)).count()
    }

    /// Whether any session is of a class.
    pub fn uses_class(&self, class: usize) -> bool {
        self.sessions.iter().any(|s| s.request.class == class)
    }

    /// Whether any session is of a tenant.
    pub fn uses_tenant(&self, tenant: usize) -> bool {
        self.sessions.iter().any(|s| s.request.tenant == tenant)
    }

    /// The sessions that stand.
    pub fn established_ids(&self) -> Vec<SessionId> {
        self.sessions.established_ids()
    }

    /// A session that stands: its request, where, and its rung if that is known.
    pub fn established_session(&self, id: SessionId) -> Option<(Request, ServerId, Option<Rung>)> {
        let session = self.sessions.get(id)?;
        let server = session.placement()?.server.clone();
        Some((session.request.clone(), server, session.rung))
    }

    /// Whether any session stands at a server.
    pub fn has_established_at(&self, at: &ServerId) -> bool {
        self.sessions.has_established_at(at)
    }
}
