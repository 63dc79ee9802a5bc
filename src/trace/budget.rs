//! The rate limit of trace lines.

use crate::api::Micros;

/// The approximate number of lines of a session from its request to its answer.
const SESSION_LINES: f64 = 6.0;
/// The size of the bucket, in seconds of budget.
const BURST_S: f64 = 2.0;
/// The overdraft for sessions that are already traced, in seconds of budget.
const OVERDRAFT_S: f64 = 2.0;

/// A token bucket of lines that may be overdrawn.
#[derive(Debug)]
pub(super) struct Budget {
    per_s: f64,
    lines_left: f64,
    refilled_at: Option<Micros>,
}

impl Budget {
    /// Creates a full bucket with a rate in lines per second.
    pub(super) fn new(per_s: f64) -> Budget {
        Budget { per_s, lines_left: per_s * BURST_S, refilled_at: None }
    }

    /// Adds the budget of the time since the last call.
    pub(super) fn refill(&mut self, now: Micros) {
        let elapsed = self.refilled_at.replace(now).map_or(Micros(0), |at| now - at);
        self.lines_left = (self.lines_left + elapsed.secs() * self.per_s).min(self.per_s * BURST_S);
    }

    /// Whether there is budget to trace a new session.
    pub(super) fn admits_session(&self) -> bool {
        self.lines_left >= SESSION_LINES.min(self.per_s)
    }

    /// Takes a line from the budget. Returns false if the overdraft is exhausted.
    pub(super) fn take_line(&mut self) -> bool {
        let is_allowed = self.lines_left > -self.per_s * OVERDRAFT_S;
        self.lines_left -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
