//! A virtual clock: what is due, in the order of time and, at one time, of arrival.

use std::collections::BTreeMap;

use amberspindle::api::Micros;

/// What is still to happen.
#[derive(Debug)]
pub struct Queue<T> {
    due: BTreeMap<(Micros, u64), T>,
    next: u64,
    now: Micros,
}

impl<T> Queue<T> {
    /// Nothing is due; the clock stands at `now`.
    pub fn new(now: Micros) -> Queue<T> {
        Queue { due: BTreeMap::new(), next: 0, now }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Something is to happen, not before now.
    pub fn at(&mut self, at: Micros, what: T) {
        self.due.insert((at.max(self.now), self.next), what);
        self.next += 1;
    }

    /// Something is to happen after so long.
    pub fn after(&mut self, span: Micros, what: T) {
        self.at(self.now + span, what);
    }

    /// Moves the clock on to what is due next, if that is before the end.
    pub fn pop(&mut self, end: Micros) -> Option<T> {
        let ((at, _), _) = self.due.first_key_value()?;
        if *at >= end {
            self.now = end;
            return None;
        }
        let ((at, _), what) = self.due.pop_first()?;
        self.now = at;
        Some(what)
    }
}
