//! The utilization of a link or an uplink. Bookkeeping only, no decisions.

use std::collections::VecDeque;

use super::api::Micros;

/// The maximum number of own changes that are kept separately.
const MAX_OWN_CHANGES: usize = 256;

/// The utilization of a link or an uplink: the last report and the broker's own changes of demand since it
/// was measured.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    /// The last reported utilization and when it was measured.
    pub(crate) reported: Option<(f64, Micros)>,
    /// Own changes of demand since then, in kB per second.
    pub(crate) own_changes: VecDeque<(Micros, f64)>,
    pub(crate) capacity_kb: f64,
}

impl Gauge {
    pub(crate) fn new(capacity_kb: f64) -> Gauge {
        Gauge { reported: None, own_changes: VecDeque::new(), capacity_kb: capacity_kb.max(1.0) }
    }

    /// Takes a report over, unless a newer one is known, and drops the own changes that it includes.
    pub(crate) fn set_reported(&mut self, utilization: f64, measured_at: Micros) {
        if self.reported.is_none_or(|(_, at)| at <= measured_at) {
            self.reported = Some((utilization.max(0.0), measured_at));
            self.own_changes.retain(|(at, _)| *at > measured_at);
        }
    }

    /// Records a change of the own demand, in kB per second.
    pub(crate) fn add_own_change(&mut self, now: Micros, kb: f64) {
        self.own_changes.push_back((now, kb));
        // Without reports the oldest changes are merged, so that memory stays bounded.
        if self.own_changes.len() > MAX_OWN_CHANGES
            && let Some((_, oldest)) = self.own_changes.pop_front()
            && let Some(next) = self.own_changes.front_mut()
        {
            next.1 += oldest;
        }
    }

    /// Returns the own changes since the last report, as utilization.
    pub(crate) fn own_change(&self) -> f64 {
        self.own_changes.iter().map(|(_, kb)| kb).sum::<f64>() / self.capacity_kb
    }

    /// Returns the own changes since a time, in kB per second.
    pub(crate) fn own_kb_since(&self, start: Micros) -> f64 {
        self.own_changes.iter().filter(|(at, _)| *at > start).map(|(_, kb)| kb).sum()
    }

    /// Whether the last report is at most this old.
    pub(crate) fn is_fresh(&self, now: Micros, max_age: Micros) -> bool {
        self.reported.is_some_and(|(_, at)| now - at <= max_age)
    }
}

#[cfg(test)]
mod tests;
