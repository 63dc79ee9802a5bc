//! The module's timers: looks at all that waits, and at requests whose time has come. Nothing is decided here.

use super::retries::LOOK_EVERY;
use super::*;
use crate::mutant::{self, Mutant};

/// Asks for a look at all that waits.
pub(super) const LOOK_TIMER: u64 = 0;
/// Asks for a look at what is due.
pub(super) const DEADLINE_TIMER: u64 = 1;

impl Brain {
    /// Looks at all that waits; what is no longer counted is forgotten.
    pub(super) fn look(&mut self, out: &mut Vec<Action>) {
        self.book.ticking = false;
        self.book.lateness.note(self.book.now, self.book.look_due);
        self.answer_due(out);
        self.serve(out);
        let now = self.book.now;
        let keep = self.set.budget.map_or(Micros(0), |b| b.span);
        self.book.taken.retain(|at| now - *at <= keep);
        self.book.extra.retain(|at| now - *at <= keep);
        self.book.titles.retain(|_, t| decayed(t.weight, now - t.at) > 0.001);
    }

    /// Notes a new request's deadline; asks for a timer if it must be answered before the next look.
    pub(super) fn expect_deadline(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let s = &self.book.sessions[&id];
        let (deadline, last_start) = (s.req.due, self.last_start(s));
        self.book.deadlines.insert(deadline, id);
        if !self.book.ticking || last_start < self.book.look_due {
            out.push(Action::Timer { token: DEADLINE_TIMER, delay: last_start - self.book.now });
        }
    }

    /// When a request that was not answered yet gets its answer.
    fn answered_at(&self, s: &Session) -> Option<Micros> {
        match s.phase {
            Phase::Held if mutant::is_active(Mutant::ForgottenDeadline) => None,
            // No attempt of it can begin any more.
            Phase::Held => Some(self.last_start(s)),
            Phase::Setup if s.withdrawing => Some(self.last_start(s)),
            // Its attempt ends by itself before this.
            Phase::Setup => Some(s.req.due - Micros(self.set.tick.0 * 2)),
            Phase::Playing | Phase::Done => None,
        }
    }

    /// Answers what is due, and asks for a timer for what will be before the next look.
    pub(super) fn answer_due(&mut self, out: &mut Vec<Action>) {
        let now = self.book.now;
        let usual = Micros::from_secs(self.book.setup_s);
        let horizon = now + LOOK_EVERY + self.spare() + usual;
        let waiting = |id| {
            let session = self.book.sessions.get(&id)?;
            Some((self.answered_at(session)?, id))
        };
        let (due, later): (Vec<_>, Vec<_>) =
            self.book.deadlines.until(horizon).filter_map(waiting).partition(|(at, _)| *at <= now);
        for (_, id) in due {
            self.answer(id, out);
        }
        self.book.deadlines.forget_before(now);
        let next = later.into_iter().map(|(at, _)| at).min();
        if let Some(next) = next.filter(|at| *at < now + LOOK_EVERY) {
            out.push(Action::Timer { token: DEADLINE_TIMER, delay: next - now });
        }
    }
}
