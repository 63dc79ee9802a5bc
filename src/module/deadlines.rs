//! Requests in the order of their deadlines. Bookkeeping only, no decisions.

use std::collections::BTreeSet;

use super::api::{Micros, SessionId};

/// The deadlines of requests that have a session; they may stay until they have passed.
#[derive(Debug, Default)]
pub(crate) struct Deadlines {
    by_deadline: BTreeSet<(Micros, SessionId)>,
}

impl Deadlines {
    /// Adds the deadline of an accepted request.
    pub(crate) fn insert(&mut self, deadline: Micros, id: SessionId) {
        self.by_deadline.insert((deadline, id));
    }

    /// Moves a request's deadline to an earlier time.
    pub(crate) fn advance(&mut self, from: Micros, to: Micros, id: SessionId) {
        self.by_deadline.remove(&(from, id));
        self.by_deadline.insert((to, id));
    }

    /// Removes the deadline of a request whose session has ended.
    pub(crate) fn remove(&mut self, deadline: Micros, id: SessionId) {
        self.by_deadline.remove(&(deadline, id));
    }

    /// Returns the requests whose deadlines are at `end` or before, the earliest first.
    pub(crate) fn until(&self, end: Micros) -> impl Iterator<Item = SessionId> {
        self.by_deadline.range(..=(end, SessionId(u64::MAX))).map(|(_, id)| *id)
    }

    /// Removes deadlines that have passed.
    pub(crate) fn forget_before(&mut self, now: Micros) {
        self.by_deadline = self.by_deadline.split_off(&(now, SessionId(0)));
    }

    /// Returns the number of deadlines.
    pub(crate) fn len(&self) -> usize {
        self.by_deadline.len()
    }
}
