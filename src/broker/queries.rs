//! Read-only queries on the state of the broker.

use super::Broker;
use crate::api::{Micros, Request, Rung, ServerEntry, ServerId, ServerState, SessionId, TitleStats};

/// An unanswered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// The session that was requested.
    pub id: SessionId,
    /// The index of the class.
    pub class: usize,
    /// The server of the attempt in flight; `None` while no attempt is in flight.
    pub server: Option<ServerId>,
    /// The deadline of the answer.
    pub due: Micros,
}

impl Broker {
    /// The time at which the broker next needs an [`Input::Tick`](super::Input::Tick).
    pub fn next_alarm(&self) -> Option<Micros> {
        self.alarms.next()
    }

    /// Whether a session is established at a server.
    pub fn is_established_at(&self, id: SessionId, at: &ServerId) -> bool {
        self.sessions.server_of(id) == Some(at)
    }

    /// The time at which the module decided to send the attempt that is in flight to a server.
    pub fn sent_at(&self, id: SessionId, to: &ServerId) -> Option<Micros> {
        Some(self.sessions.attempt_at(id, to)?.sent_at)
    }

    /// Whether new set-ups may be sent to a server according to the server list.
    pub fn accepts_new(&self, server: &ServerId) -> bool {
        self.guard.accepts_new(server)
    }

    /// Whether the session is known, either unanswered or established.
    pub fn has_session(&self, id: SessionId) -> bool {
        self.sessions.contains(id)
    }

    /// Whether the session is known and none of its attempts is in flight or can have run.
    pub fn has_no_attempt(&self, id: SessionId) -> bool {
        self.sessions.get(id).is_some_and(|s| !s.history.attempt_in_flight && !s.history.may_have_run)
    }

    /// The number of unanswered requests.
    pub fn unanswered(&self) -> usize {
        self.sessions.unanswered_count()
    }

    /// The unanswered requests with the latest deadlines, at most `limit` of them.
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

    /// The number of established sessions.
    pub fn established(&self) -> usize {
        self.sessions.established_count()
    }

    /// The number of entries in the largest table. It must stay bounded however many ids come and go; monitoring it
    /// shows a table that grows.
    pub fn tracked_entries(&self) -> usize {
        let own = [
            self.sessions.len(),
            self.withdrawn_attempts.tracked_entries(),
            self.alarms.len(),
            self.guard.tracked_entries(),
        ];
        own.into_iter().chain([self.module.tracked_entries()]).max().unwrap_or(0)
    }

    /// What the module's table of titles holds.
    pub fn title_stats(&self) -> TitleStats {
        self.module.title_stats()
    }

    /// The number of sessions that were refused because of the memory limit.
    pub fn memory_refusals(&self) -> u64 {
        self.memory_refusals
    }

    /// The listed servers.
    pub fn listed_servers(&self) -> Vec<ServerEntry> {
        self.guard.servers()
    }

    /// The number of listed servers that get no new sessions now, because they drain or the module avoids them.
    pub fn out_of_rotation(&self, now: Micros) -> usize {
        let is_out_of_rotation =
            |e: &ServerEntry| e.state != ServerState::Ready || self.module.distrusts(now, &e.id);
        self.guard.servers().iter().filter(|entry| is_out_of_rotation(entry)).count()
    }

    /// Whether any session belongs to a class.
    pub fn uses_class(&self, class: usize) -> bool {
        self.sessions.iter().any(|s| s.request.class == class)
    }

    /// Whether any session belongs to a tenant.
    pub fn uses_tenant(&self, tenant: usize) -> bool {
        self.sessions.iter().any(|s| s.request.tenant == tenant)
    }

    /// The ids of the established sessions.
    pub fn established_ids(&self) -> Vec<SessionId> {
        self.sessions.established_ids()
    }

    /// The request, server and, if known, rung of an established session.
    pub fn established_session(&self, id: SessionId) -> Option<(Request, ServerId, Option<Rung>)> {
        let session = self.sessions.get(id)?;
        let server = session.placement()?.server.clone();
        Some((session.request.clone(), server, session.rung))
    }

    /// Whether any session is established at a server.
    pub fn has_established_at(&self, at: &ServerId) -> bool {
        self.sessions.has_established_at(at)
    }
}
