//! Final answers to sessions that will not play.

use super::*;

impl Brain {
    /// The final answer to a session that will not play: refused if no attempt can have run or a repeat does
    /// no harm, else failed.
    pub(super) fn answer(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.book.sessions.get(&id) else { return };
        let harmless = match self.set.classes[s.req.class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed { scope, .. } => scope == KeyScope::All,
        };
        let held = s.phase == Phase::Held;
        if harmless && (held || s.withdrawing) || held && s.ran.is_none() {
            out.push(Action::Refuse { id, retry_after: self.set.max_retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.gone(id);
    }
}
