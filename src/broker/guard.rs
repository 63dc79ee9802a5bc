//! The hard rules, checked once more before anything leaves the core, so that a slip of the module breaks none.

use std::collections::BTreeMap;

use crate::api::{Idempotency, ListKind, Micros, ServerEntry, ServerId, ServerState, Status};

/// What is known of a session's earlier attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Attempts made, the ones that were never sent included.
    pub attempts: u32,
    /// One of them may have run.
    pub may_have_run: bool,
    /// One is out.
    pub attempt_in_flight: bool,
}

impl History {
    /// Notes how an attempt ended.
    pub fn record_attempt_end(&mut self, status: Status) {
        self.attempt_in_flight = false;
        self.may_have_run |= !status.never_ran();
    }
}

/// Watches over sends and refusals.
#[derive(Debug, Default)]
pub struct Guard {
    servers: BTreeMap<ServerId, ServerEntry>,
}

impl Guard {
    /// Takes news of the list in.
    pub fn update_servers(&mut self, kind: ListKind, servers: &[ServerEntry]) {
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            self.servers.clear();
        }
        // What is gone is not remembered: nothing may be sent to a server that is not there.
        for entry in servers {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.id);
            } else {
                self.servers.insert(entry.id.clone(), entry.clone());
            }
        }
    }

    /// Servers that are remembered.
    pub fn tracked_entries(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server is listed and not gone.
    pub fn is_listed(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// Whether a server is listed as ready.
    pub fn accepts_new(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|entry| entry.state == ServerState::Ready)
    }

    /// The list as it is held.
    pub fn servers(&self) -> Vec<ServerEntry> {
        self.servers.values().cloned().collect()
    }

    /// Whether a set-up may go out: to a listed server that runs, within the cap and the time, alone, and of a
    /// class that must not run twice only while no earlier attempt can have run.
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

    /// Whether the client may be told that coming again does no harm.
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
