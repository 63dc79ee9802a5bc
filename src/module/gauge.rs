//! How full a link or an uplink is. Bookkeeping only.

use std::collections::VecDeque;

use super::api::Micros;

/// Changes that a gauge keeps apart.
const MAX_OWN_CHANGES: usize = 256;

/// Fullness of a link or an uplink: the last figure and the front's own changes since it was measured.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    pub(crate) reported: Option<(f64, Micros)>,
    pub(crate) own_changes: VecDeque<(Micros, f64)>,
    pub(crate) capacity_kb: f64,
}

impl Gauge {
    pub(crate) fn new(capacity_kb: f64) -> Gauge {
        Gauge { reported: None, own_changes: VecDeque::new(), capacity_kb: capacity_kb.max(1.0) }
    }

    pub(crate) fn set_reported(&mut self, utilization: f64, measured_at: Micros) {
        if self.reported.is_none_or(|(_, at)| at <= measured_at) {
            self.reported = Some((utilization.max(0.0), measured_at));
            self.own_changes.retain(|(at, _)| *at > measured_at);
        }
    }

    pub(crate) fn add_own_change(&mut self, now: Micros, kb: f64) {
        self.own_changes.push_back((now, kb));
        // Where no figure ever comes the oldest changes become one, so that memory stays bounded.
        if self.own_changes.len() > MAX_OWN_CHANGES
            && let Some((_, oldest)) = self.own_changes.pop_front()
            && let Some(next) = self.own_changes.front_mut()
        {
            next.1 += oldest;
        }
    }

    /// Own changes since the last figure, in fullness.
    pub(crate) fn own_change(&self) -> f64 {
        self.own_changes.iter().map(|(_, kb)| kb).sum::<f64>() / self.capacity_kb
    }

    /// Own changes since a moment, as a rate.
    pub(crate) fn own_kb_since(&self, start: Micros) -> f64 {
        self.own_changes.iter().filter(|(at, _)| *at > start).map(|(_, kb)| kb).sum()
    }

    pub(crate) fn is_fresh(&self, now: Micros, max_age: Micros) -> bool {
        self.reported.is_some_and(|(_, at)| now - at <= max_age)
    }
}

#[cfg(test)]
mod tests;
