//! Requests in the order of their deadlines. Bookkeeping only.

use std::collections::BTreeSet;

use super::api::{Micros, SessionId};

/// Requests that were taken on; those that were answered stay until their deadline has passed.
#[derive(Debug, Default)]
pub(crate) struct Deadlines {
    by_deadline: BTreeSet<(Micros, SessionId)>,
}

impl Deadlines {
    /// A request was taken on.
    pub(crate) fn insert(&mut self, deadline: Micros, id: SessionId) {
        self.by_deadline.insert((deadline, id));
    }

    /// A request's deadline has become an earlier one.
    pub(crate) fn advance(&mut self, from: Micros, to: Micros, id: SessionId) {
        self.by_deadline.remove(&(from, id));
        self.by_deadline.insert((to, id));
    }

    /// Requests whose deadlines come until then, the next one first.
    pub(crate) fn until(&self, end: Micros) -> impl Iterator<Item = SessionId> {
        self.by_deadline.range(..=(end, SessionId(u64::MAX))).map(|(_, id)| *id)
    }

    /// Deadlines that have passed are forgotten.
    pub(crate) fn forget_before(&mut self, now: Micros) {
        self.by_deadline = self.by_deadline.split_off(&(now, SessionId(0)));
    }

    /// Deadlines that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.by_deadline.len()
    }
}
