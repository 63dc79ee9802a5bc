//! Time-outs and further attempts.

use super::*;

/// Seconds that a set-up is taken to need before any was seen.
pub(super) const USUAL_SETUP_S: f64 = 0.1;
/// Weight of a new set-up in the usual time of one.
pub(super) const SETUP_LEARNS: f64 = 0.1;
/// A look that comes so much later than asked tells that this front itself stood still.
pub(super) const STOOD_STILL: Micros = Micros(150_000);
/// Time between looks at held sessions, time limits and raises.
pub(super) const LOOK_EVERY: Micros = Micros(50_000);
/// Part of what is left of the aim that one attempt may take.
const TRY_PART: f64 = 0.5;
/// An attempt gets at least this multiple of the usual set-up time.
const TRY_TIMES: f64 = 3.0;

impl Brain {
    /// The budget of attempts beyond each session's first, counting the one in question.
    pub(super) fn budget_allows(&self, id: SessionId) -> bool {
        self.book.sessions[&id].attempts == 0 || self.budget_left()
    }

    /// Whether the budget has room for one more.
    pub(super) fn budget_left(&self) -> bool {
        let Some(budget) = self.set.budget else { return true };
        let old = |at: &Micros| self.book.now - *at >= budget.span;
        let lately = |times: &VecDeque<Micros>| times.len() - times.partition_point(old);
        (lately(&self.book.extra) + 1) as f64 <= budget.floor + budget.ratio * lately(&self.book.taken) as f64
    }

    /// An attempt of a repeatable class leaves room for another within the aim; others get all the time.
    pub(super) fn timeout(&self, id: SessionId) -> Micros {
        let s = &self.book.sessions[&id];
        let class = &self.set.classes[s.req.class];
        let most = self.answer_by(s) - self.book.now;
        let aim_left = s.arrived + class.slo - self.book.now;
        let last = s.attempts + 1 >= self.set.max_attempts;
        if class.idempotency == Idempotency::Unsafe || last || aim_left == Micros(0) {
            return most;
        }
        Micros::from_secs((aim_left.secs() * TRY_PART).max(self.book.setup_s * TRY_TIMES)).min(most)
    }

    /// The end of an attempt is not written yet. Where second copies are not allowed the session waits for
    /// that, or for its own time: a server that reads nothing may still set up what it was sent. May hurt
    /// while that server's connection is stalled: it ends soon, and then the next attempt begins.
    pub(super) fn withdrawing(&mut self, id: SessionId) {
        if let Some(session) = self.book.sessions.get_mut(&id).filter(|s| s.phase == Phase::Setup) {
            session.withdrawing = true;
        }
    }

    pub(super) fn outcome(
        &mut self,
        id: SessionId,
        server: &ServerId,
        end: (Status, bool, Load),
        out: &mut Vec<Action>,
    ) {
        let (status, closed, load) = end;
        let now = self.book.now;
        if let Some(&i) = self.book.names.get(server) {
            let playing = self.book.sessions.get(&id).is_some_and(|s| s.phase == Phase::Playing);
            match status {
                // This front stood still and hears late of all that came meanwhile: no server is to blame.
                Status::TimedOut if self.book.stood == Some(now) => {}
                Status::TimedOut if self.missed_one(i, id) => {}
                Status::TimedOut => self.distrust(i, "no answer in time", out),
                Status::ConnectFailed => self.distrust(i, "no connection", out),
                Status::Reset => self.distrust(i, "connection broke", out),
                Status::Saturated => self.packed(i),
                Status::Completed if playing => self.answered(i, out),
                Status::Errored => self.erred(i, out),
                Status::Completed | Status::Cancelled | Status::Moot => {}
            }
            self.report(i, load);
        }
        self.release(id);
        let Some(s) = self.book.sessions.get(&id) else { return };
        if closed || s.phase == Phase::Done || s.phase == Phase::Playing {
            return self.forget(id);
        }
        self.stand(id);
        let Some(s) = self.book.sessions.get_mut(&id) else { return };
        if !status.never_ran() {
            s.ran = s.ran.or(Some((s.server, s.started)));
        }
        (s.phase, s.withdrawing) = (Phase::Held, false);
        let title = s.req.title.clone();
        let s = &self.book.sessions[&id];
        let spent = s.attempts >= self.set.max_attempts || !self.has_time(s);
        let stuck = s.ran.is_some() && self.set.classes[s.req.class].idempotency == Idempotency::Unsafe;
        if spent || stuck || !self.budget_allows(id) {
            self.answer(id, out);
        } else {
            self.book.waiting.push_front(id, title, self.constraints(id));
            self.serve_one(id, out);
        }
    }
}
