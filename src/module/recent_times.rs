//! The times of events within a sliding window. Bookkeeping only, no decisions.

use std::collections::VecDeque;

use super::api::Micros;

/// The maximum number of times that are kept; the oldest go first.
const MAX_TIMES: usize = 65_536;

/// The times of recent events, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentTimes {
    times: VecDeque<Micros>,
}

impl RecentTimes {
    /// Records an event, and drops the events that are older than `window`.
    pub(crate) fn record(&mut self, now: Micros, window: Micros) {
        self.times.push_back(now);
        self.drop_older(now, window);
    }

    /// Drops the events that are older than `window`.
    pub(crate) fn drop_older(&mut self, now: Micros, window: Micros) {
        let is_old = |at: &Micros| now - *at > window;
        while self.times.front().is_some_and(is_old) || self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
    }

    /// Returns the number of events that are less than `window` old.
    pub(crate) fn count_within(&self, now: Micros, window: Micros) -> usize {
        self.times.len() - self.times.partition_point(|at| now - *at >= window)
    }

    /// Returns the number of times that are kept.
    pub(crate) fn len(&self) -> usize {
        self.times.len()
    }
}
