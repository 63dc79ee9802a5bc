//! Shutdown: until when the broker answers requests, and which ones it still accepts.

use super::*;

/// A set-up of a class that may be repeated is begun if this multiple of the usual set-up time is left.
const REPEATABLE_SETUP_FACTOR: f64 = 3.0;
/// The same multiple for classes whose set-up must not run twice: without an answer in time, such a request
/// fails for good.
const UNREPEATABLE_SETUP_FACTOR: f64 = 10.0;
/// The time required is at most the whole time for the shutdown divided by this.
const SHUTDOWN_TIME_DIVISOR: u64 = 2;

impl Brain {
    /// Begins the shutdown: all waiting requests must be answered by `answer_by`.
    pub(super) fn begin_shutdown(&mut self, answer_by: Micros, out: &mut Vec<Action>) {
        let announced_at = self.state.shutdown.map_or(self.state.now, |shutdown| shutdown.announced_at);
        self.state.shutdown = Some(Shutdown { announced_at, answer_by });
        let waiting =
            self.state.sessions.iter_mut().filter(|(_, s)| matches!(s.phase, Phase::Held | Phase::Setup));
        for (id, session) in waiting.filter(|(_, s)| s.request.due > answer_by) {
            self.state.deadlines.advance(session.request.due, answer_by, *id);
            session.request.due = answer_by;
        }
        self.answer_due_requests(out);
    }

    /// Whether a new request is accepted. If the broker ends before the request's own deadline, a request
    /// that may well stay unanswered is refused at once, while it is certain that nothing ran. The cost:
    /// another process may not be quicker.
    pub(super) fn accepts_request(&self, id: SessionId) -> bool {
        let (Some(shutdown), Some(session)) = (self.state.shutdown, self.state.sessions.get(&id)) else {
            return true;
        };
        let time_left = shutdown.answer_by - self.state.now;
        let setup_factor = match self.settings.classes[session.request.class].idempotency {
            Idempotency::Safe => REPEATABLE_SETUP_FACTOR,
            Idempotency::Unsafe | Idempotency::Keyed { .. } => UNREPEATABLE_SETUP_FACTOR,
        };
        let usual_time = Micros::from_secs(self.state.mean_setup_s * setup_factor) + self.answer_reserve();
        let time_needed =
            usual_time.min(Micros((shutdown.answer_by - shutdown.announced_at).0 / SHUTDOWN_TIME_DIVISOR));
        session.request.due < shutdown.answer_by || time_left >= time_needed
    }
}
