//! The module's timers: the periodic check of all waiting sessions, and the deadlines of requests. No
//! decisions are made here.

use super::retries::CHECK_INTERVAL;
use super::*;
use crate::mutant::{self, Mutant};

/// Token of the timer for the periodic check.
pub(super) const CHECK_TIMER: u64 = 0;
/// Token of the timer for the next deadline.
pub(super) const DEADLINE_TIMER: u64 = 1;

impl Brain {
    /// Checks all waiting sessions and forgets what no longer counts.
    pub(super) fn run_periodic_check(&mut self, out: &mut Vec<Action>) {
        self.state.is_check_scheduled = false;
        self.state.lateness.record(self.state.now, self.state.next_check_at);
        self.answer_due_requests(out);
        self.serve_held(out);
        let now = self.state.now;
        let window = self.retry_window();
        self.state.recent_requests.drop_older(now, window);
        self.state.recent_retries.drop_older(now, window);
        self.state.titles.remove_expired(now);
    }

    /// Records a new request's deadline, and requests a timer if it must be answered before the next check.
    pub(super) fn schedule_deadline(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let s = &self.state.sessions[&id];
        let (deadline, last_attempt_start) = (s.request.due, self.last_attempt_start(s));
        self.state.deadlines.insert(deadline, id);
        if !self.state.is_check_scheduled || last_attempt_start < self.state.next_check_at {
            out.push(Action::Timer { token: DEADLINE_TIMER, delay: last_attempt_start - self.state.now });
        }
    }

    /// Returns when a request that has no answer yet gets its final answer.
    fn answer_due_at(&self, s: &Session) -> Option<Micros> {
        match s.phase {
            Phase::Held if mutant::is_active(Mutant::ForgottenDeadline) => None,
            // None of its attempts can begin any more.
            Phase::Held => Some(self.last_attempt_start(s)),
            Phase::Setup if s.withdrawing => Some(self.last_attempt_start(s)),
            // Its attempt ends by its own timeout before this.
            Phase::Setup => Some(s.request.due - Micros(self.settings.tick.0 * 2)),
            Phase::Playing | Phase::Answered => None,
        }
    }

    /// Answers requests that are due, and requests a timer for those that are due before the next check.
    pub(super) fn answer_due_requests(&mut self, out: &mut Vec<Action>) {
        let now = self.state.now;
        let usual = Micros::from_secs(self.state.mean_setup_s);
        let horizon = now + CHECK_INTERVAL + self.answer_reserve() + usual;
        let with_due_time = |id| {
            let session = self.state.sessions.get(&id)?;
            Some((self.answer_due_at(session)?, id))
        };
        let (due, later): (Vec<_>, Vec<_>) =
            self.state.deadlines.until(horizon).filter_map(with_due_time).partition(|(at, _)| *at <= now);
        for (_, id) in due {
            self.send_final_answer(id, out);
        }
        self.state.deadlines.forget_before(now);
        let next = later.into_iter().map(|(at, _)| at).min();
        if let Some(next) = next.filter(|at| *at < now + CHECK_INTERVAL) {
            out.push(Action::Timer { token: DEADLINE_TIMER, delay: next - now });
        }
    }
}
