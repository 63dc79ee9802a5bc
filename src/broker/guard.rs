//! The safety rules for set-ups and refusals. They are checked on every action of the decision module, so that a
//! fault in the module cannot break them.

use std::collections::BTreeMap;

use crate::api::{Idempotency, ListKind, Micros, ServerEntry, ServerId, ServerState, Status};

/// The history of the attempts of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The number of attempts, including those that were never sent.
    pub attempts: u32,
    /// Whether an attempt may have run at a server.
    pub may_have_run: bool,
    /// Whether an attempt is in flight.
    pub attempt_in_flight: bool,
}

impl History {
    /// Records the end of an attempt.
    pub fn record_attempt_end(&mut self, status: Status) {
        self.attempt_in_flight = false;
        self.may_have_run |= !status.never_ran();
    }
}

/// Checks set-ups and refusals against the safety rules, with its own copy of the server list.
#[derive(Debug, Default)]
pub struct Guard {
    servers: BTreeMap<ServerId, ServerEntry>,
}

impl Guard {
    /// Applies an update of the server list.
    pub fn update_servers(&mut self, kind: ListKind, servers: &[ServerEntry]) {
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            self.servers.clear();
        }
        // Servers that are gone are removed, as nothing may be sent to an unlisted server.
        for entry in servers {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.id);
            } else {
                self.servers.insert(entry.id.clone(), entry.clone());
            }
        }
    }

    /// The number of tracked servers.
    pub fn tracked_entries(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server is listed, whether ready or draining.
    pub fn is_listed(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// Whether a server is listed as ready.
    pub fn accepts_new(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|entry| entry.state == ServerState::Ready)
    }

    /// The listed servers.
    pub fn servers(&self) -> Vec<ServerEntry> {
        self.servers.values().cloned().collect()
    }

    /// Whether a set-up may be sent: the server must be listed as ready, the maximum number of attempts must not be
    /// reached, the deadline must not have passed and no other attempt may be in flight. In a class whose set-ups
    /// must not run twice, no earlier attempt may have run either.
    pub fn may_send(
        &self,
        server: &ServerId,
        max_attempts: u32,
        deadline: Micros,
        now: Micros,
        idempotency: Idempotency,
        history: History,
    ) -> bool {
        self.accepts_new(server)
            && history.attempts < max_attempts
            && now < deadline
            && !history.attempt_in_flight
            && (idempotency == Idempotency::Safe || !history.may_have_run)
    }

    /// Whether the client may be told that a retry is safe.
    pub fn may_refuse(idempotency: Idempotency, history: History) -> bool {
        idempotency == Idempotency::Safe || !(history.may_have_run || history.attempt_in_flight)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unsafe_set_up_that_may_have_run_is_neither_resent_nor_refused() {
        let mut guard = Guard::default();
        let to = ServerId::new("s-1");
        guard.update_servers(ListKind::Complete, &[ServerEntry::new(to.clone(), ServerState::Ready, 0)]);
        let mut history = History::default();
        let may_send = |history| guard.may_send(&to, 4, Micros(10), Micros(1), Idempotency::Unsafe, history);
        assert!(may_send(history) && Guard::may_refuse(Idempotency::Unsafe, history));
        history.record_attempt_end(Status::ConnectFailed);
        assert!(may_send(history) && Guard::may_refuse(Idempotency::Unsafe, history));
        history.record_attempt_end(Status::Reset);
        assert!(!may_send(history) && !Guard::may_refuse(Idempotency::Unsafe, history));
        assert!(Guard::may_refuse(Idempotency::Safe, history));
    }

    #[test]
    fn sends_nothing_to_draining_or_unlisted_server() {
        let mut guard = Guard::default();
        let (a, b) = (ServerId::new("a"), ServerId::new("b"));
        let entry = |id: &ServerId, state| ServerEntry::new(id.clone(), state, 0);
        let may_send = |guard: &Guard, to: &ServerId| {
            guard.may_send(to, 4, Micros(10), Micros(1), Idempotency::Safe, History::default())
        };
        guard.update_servers(
            ListKind::Complete,
            &[entry(&a, ServerState::Ready), entry(&b, ServerState::Ready)],
        );
        guard.update_servers(ListKind::Changes, &[entry(&b, ServerState::Draining)]);
        assert!(may_send(&guard, &a) && !may_send(&guard, &b));
        guard.update_servers(ListKind::Complete, &[entry(&b, ServerState::Ready)]);
        assert!(!may_send(&guard, &a) && may_send(&guard, &b));
    }
}
