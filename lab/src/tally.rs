//! What is counted of a day.

use std::collections::BTreeMap;

/// Counts of a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests, first tries and further ones.
    pub requests: u64,
    /// First tries.
    pub first: u64,
    /// Set-ups that reached boxes.
    pub tries: u64,
    /// Answers that a box is full.
    pub full: u64,
    /// Sessions set up.
    pub plays: u64,
    /// Of these, first tries that played within the time that is wanted.
    pub in_time: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Connections opened to boxes.
    pub connections: u64,
    /// Sessions set up by box.
    pub by_box: BTreeMap<usize, u64>,
    /// Worth that viewers wanted, and that they got, in seconds of worth 1.
    pub worth: (f64, f64),
    /// Worth lost to short delivery, of what would have been got.
    pub short: f64,
    /// Changes of rung of playing sessions.
    pub changes: u64,
    /// Times from the request to the session, microseconds.
    pub took: Vec<u64>,
}

impl Tally {
    /// Set-ups a request.
    pub fn tries_a_request(&self) -> f64 {
        self.tries as f64 / self.requests.max(1) as f64
    }

    /// Connections a session.
    pub fn connections_a_session(&self) -> f64 {
        self.connections as f64 / self.plays.max(1) as f64
    }

    /// Worth that was got over what was wanted.
    pub fn served(&self) -> f64 {
        self.worth.1 / self.worth.0.max(1e-9)
    }

    /// The busiest box's sessions over the mean.
    pub fn max_over_mean(&self, boxes: usize) -> f64 {
        let most = self.by_box.values().max().copied().unwrap_or(0);
        most as f64 * boxes as f64 / self.plays.max(1) as f64
    }

    /// A quantile of the times to a session, milliseconds.
    pub fn took_ms(&self, quantile: f64) -> f64 {
        let mut took = self.took.clone();
        took.sort_unstable();
        let at = ((took.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
        took.get(at).map_or(0.0, |us| *us as f64 / 1000.0)
    }
}
