//! A front that was told to end: until when it answers, and what it still takes on.

use super::*;

/// A set-up of a class that may be repeated is begun if so many times its usual time are left.
const REPEATABLE_TIMES: f64 = 3.0;
/// One of a class whose set-up must not happen twice fails for good if it is not answered: so many times.
const ONCE_TIMES: f64 = 10.0;
/// But no more than this part of the time that the front had when it was told.
const ONCE_PART: u64 = 2;

impl Brain {
    /// This front ends: all that waits is answered by then.
    pub(super) fn ends(&mut self, at: Micros, out: &mut Vec<Action>) {
        let told = self.book.end.map_or(self.book.now, |end| end.told_at);
        self.book.end = Some(End { told_at: told, answer_by: at });
        let waiting =
            self.book.sessions.iter_mut().filter(|(_, s)| matches!(s.phase, Phase::Held | Phase::Setup));
        for (id, session) in waiting.filter(|(_, s)| s.req.due > at) {
            self.book.deadlines.advance(session.req.due, at, *id);
            session.req.due = at;
        }
        self.answer_due(out);
    }

    /// Whether a new request is taken on. Where the front ends before the request's own time, a request that
    /// may well not be answered by then is refused at once, while it is sure that nothing ran. May hurt when
    /// another process would not be quicker.
    pub(super) fn takes_on(&self, id: SessionId) -> bool {
        let (Some(end), Some(session)) = (self.book.end, self.book.sessions.get(&id)) else { return true };
        let left = end.answer_by - self.book.now;
        let times = match self.set.classes[session.req.class].idempotency {
            Idempotency::Safe => REPEATABLE_TIMES,
            Idempotency::Unsafe | Idempotency::Keyed { .. } => ONCE_TIMES,
        };
        let usual = Micros::from_secs(self.book.setup_s * times) + self.spare();
        let wanted = usual.min(Micros((end.answer_by - end.told_at).0 / ONCE_PART));
        session.req.due < end.answer_by || left >= wanted
    }
}
