//! How long a request may be held, and the moment at which it is answered at the latest.

use super::*;

/// The way of a request to this front and of its answer back, which no setting names: as much as the rules on
/// sockets add to every time limit (the protocol page).
const ANSWER_TRANSIT: Micros = Micros(50_000);
/// No more than this part of a request's time is kept free for its answer, however late this front runs.
const MAX_RESERVE_DIVISOR: u64 = 4;

impl Brain {
    /// Time kept free for an answer: two turns, its way, and twice how late this front runs, as the request
    /// may have waited unread for as long as the answer waits for its timer.
    pub(super) fn answer_reserve(&self) -> Micros {
        let lateness = self.state.lateness.expected(self.state.now);
        Micros(self.settings.tick.0 * 2) + ANSWER_TRANSIT + lateness + lateness
    }

    /// The moment at which a request is answered at the latest, unless its set-up is answered before.
    pub(super) fn answer_by(&self, s: &Session) -> Micros {
        s.request.due
            - self.answer_reserve().min(Micros((s.request.due - s.arrived_at).0 / MAX_RESERVE_DIVISOR))
    }

    /// The last moment at which an attempt may begin: a set-up that takes as long as usual is answered in
    /// time. One that is begun later is answered late, and a paid one can't even be refused any more.
    pub(super) fn last_attempt_start(&self, s: &Session) -> Micros {
        let usual = Micros::from_secs(self.state.mean_setup_s);
        self.answer_by(s) - usual.min(Micros((s.request.due - s.arrived_at).0 / MAX_RESERVE_DIVISOR))
    }

    /// Whether an attempt may still begin.
    pub(super) fn has_time_for_attempt(&self, s: &Session) -> bool {
        self.state.now < self.last_attempt_start(s)
    }
}
