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
    pub out: bool,
}

impl History {
    /// Notes how an attempt ended.
    pub fn ended(&mut self, status: Status) {
        self.out = false;
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
    pub fn listed(&mut self, kind: ListKind, servers: &[ServerEntry]) {
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
    pub fn runs(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// Whether a server is listed as ready.
    pub fn accepts_new(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|entry| entry.state == ServerState::Ready)
    }

    /// The list as it is held.
    pub fn list(&self) -> Vec<ServerEntry> {
        self.servers.values().cloned().collect()
    }

    /// Whether a set-up may go out: to a listed server that runs, within the cap and the time, alone, and of a
    /// class that must not run twice only while no earlier attempt can have run.
    pub fn may_send(
        &self,
        to: &ServerId,
        cap: u32,
        due: Micros,
        now: Micros,
        class: Idempotency,
        h: History,
    ) -> bool {
        self.accepts_new(to)
            && h.attempts < cap
            && now < due
            && !h.out
            && (class == Idempotency::Safe || !h.may_have_run)
    }

    /// Whether the client may be told that coming again does no harm.
    pub fn may_refuse(class: Idempotency, h: History) -> bool {
        class == Idempotency::Safe || !(h.may_have_run || h.out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_paid_set_up_that_may_have_run_is_neither_sent_again_nor_refused() {
        let mut guard = Guard::default();
        let to = ServerId::new("s-1");
        guard.listed(ListKind::Complete, &[ServerEntry::new(to.clone(), ServerState::Ready, 0)]);
        let mut h = History::default();
        let may = |h| guard.may_send(&to, 4, Micros(10), Micros(1), Idempotency::Unsafe, h);
        assert!(may(h) && Guard::may_refuse(Idempotency::Unsafe, h));
        h.ended(Status::ConnectFailed);
        assert!(may(h) && Guard::may_refuse(Idempotency::Unsafe, h));
        h.ended(Status::Reset);
        assert!(!may(h) && !Guard::may_refuse(Idempotency::Unsafe, h));
        assert!(Guard::may_refuse(Idempotency::Safe, h));
    }

    #[test]
    fn nothing_new_goes_to_a_server_that_left_the_list() {
        let mut guard = Guard::default();
        let (a, b) = (ServerId::new("a"), ServerId::new("b"));
        let entry = |id: &ServerId, state| ServerEntry::new(id.clone(), state, 0);
        let may = |guard: &Guard, to: &ServerId| {
            guard.may_send(to, 4, Micros(10), Micros(1), Idempotency::Safe, History::default())
        };
        guard.listed(ListKind::Complete, &[entry(&a, ServerState::Ready), entry(&b, ServerState::Ready)]);
        guard.listed(ListKind::Changes, &[entry(&b, ServerState::Draining)]);
        assert!(may(&guard, &a) && !may(&guard, &b));
        guard.listed(ListKind::Complete, &[entry(&b, ServerState::Ready)]);
        assert!(!may(&guard, &a) && may(&guard, &b));
    }
}
