//! How long a request may be held, and when it must be answered at the latest.

use super::*;

/// The time for a request to reach this broker and for its answer to return, which no setting names. It
/// equals the slack that the socket rules of the protocol page add to every time limit.
const ANSWER_TRANSIT: Micros = Micros(50_000);
/// The reserve for an answer is at most the request's whole time divided by this, however late this broker
/// runs.
const MAX_RESERVE_DIVISOR: u64 = 4;

impl Brain {
    /// Returns the time reserved for an answer: two ticks, the transit time, and twice the expected lateness,
    /// because the request may have waited unread for as long as the answer waits for its timer.
    pub(super) fn answer_reserve(&self) -> Micros {
        let lateness = self.state.lateness.expected(self.state.now);
        Micros(self.settings.tick.0 * 2) + ANSWER_TRANSIT + lateness + lateness
    }

    /// Returns when a request must be answered at the latest, unless its set-up is answered before.
    pub(super) fn answer_by(&self, s: &Session) -> Micros {
        s.request.due
            - self.answer_reserve().min(Micros((s.request.due - s.arrived_at).0 / MAX_RESERVE_DIVISOR))
    }

    /// Returns the last moment at which an attempt may begin, such that a set-up of the usual duration is
    /// answered in time. A later one would be answered late, and a class that must not be repeated could not
    /// even be refused any more.
    pub(super) fn last_attempt_start(&self, s: &Session) -> Micros {
        let usual = Micros::from_secs(self.state.mean_setup_s);
        self.answer_by(s) - usual.min(Micros((s.request.due - s.arrived_at).0 / MAX_RESERVE_DIVISOR))
    }

    /// Whether there is still time to begin an attempt.
    pub(super) fn has_time_for_attempt(&self, s: &Session) -> bool {
        self.state.now < self.last_attempt_start(s)
    }
}
