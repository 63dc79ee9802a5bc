//! Final answers to sessions that will not play.

use super::*;

impl Brain {
    /// Sends the final answer to a session that will not play: refused if no attempt can have run or a repeat
    /// does no harm, otherwise failed.
    pub(super) fn send_final_answer(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.state.sessions.get(&id) else { return };
        let is_repeatable = match self.settings.classes[s.request.class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed { scope, .. } => scope == KeyScope::All,
        };
        let is_held = s.phase == Phase::Held;
        if is_repeatable && (is_held || s.withdrawing) || is_held && s.possible_run.is_none() {
            out.push(Action::Refuse { id, retry_after: self.settings.max_retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.abandon(id);
    }
}
