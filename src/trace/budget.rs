//! How many lines may be told.

use crate::api::Micros;

/// Lines that a session takes from its request to its answer, about.
const SESSION_LINES: f64 = 6.0;
/// Seconds of budget that a pause saves up.
const BURST_S: f64 = 2.0;
/// Seconds of budget that sessions which are traced already may overdraw.
const OVERDRAFT_S: f64 = 2.0;

/// Lines a second, as a bucket that may be overdrawn.
#[derive(Debug)]
pub(super) struct Budget {
    per_s: f64,
    lines_left: f64,
    refilled_at: Option<Micros>,
}

impl Budget {
    /// A full bucket.
    pub(super) fn new(per_s: f64) -> Budget {
        Budget { per_s, lines_left: per_s * BURST_S, refilled_at: None }
    }

    /// What has come in since the last call.
    pub(super) fn refill(&mut self, now: Micros) {
        let elapsed = self.refilled_at.replace(now).map_or(Micros(0), |at| now - at);
        self.lines_left = (self.lines_left + elapsed.secs() * self.per_s).min(self.per_s * BURST_S);
    }

    /// Whether a new session may be told.
    pub(super) fn admits_session(&self) -> bool {
        self.lines_left >= SESSION_LINES.min(self.per_s)
    }

    /// Takes a line, if that is allowed.
    pub(super) fn take_line(&mut self) -> bool {
        let is_allowed = self.lines_left > -self.per_s * OVERDRAFT_S;
        self.lines_left -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
