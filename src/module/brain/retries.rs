//! Timeouts and further attempts.

use super::*;

/// The assumed set-up time before any was observed, in seconds.
pub(super) const INITIAL_SETUP_S: f64 = 0.1;
/// The weight of a new set-up in the mean set-up time.
pub(super) const SETUP_TIME_WEIGHT: f64 = 0.1;
/// A periodic check that comes this much later than due shows that this process itself was stalled.
pub(super) const PROCESS_STALL: Micros = Micros(150_000);
/// The time between periodic checks of held sessions, time limits and raises.
pub(super) const CHECK_INTERVAL: Micros = Micros(50_000);
/// The share of the remaining objective that one attempt may take.
const ATTEMPT_SLO_SHARE: f64 = 0.5;
/// An attempt gets at least this multiple of the mean set-up time.
const MIN_ATTEMPT_SETUP_FACTOR: f64 = 3.0;

impl Brain {
    /// Whether the retry budget permits an attempt for a session; first attempts are always permitted.
    pub(super) fn allows_attempt(&self, id: SessionId) -> bool {
        self.state.sessions[&id].attempts == 0 || self.has_retry_budget()
    }

    /// Whether the budget has room for one more retry.
    pub(super) fn has_retry_budget(&self) -> bool {
        let Some(budget) = self.settings.budget else { return true };
        let retries = self.state.recent_retries.count_within(self.state.now, budget.span);
        let requests = self.state.recent_requests.count_within(self.state.now, budget.span);
        (retries + 1) as f64 <= budget.floor + budget.ratio * requests as f64
    }

    /// Returns the window of the retry budget; zero without a budget.
    pub(super) fn retry_window(&self) -> Micros {
        self.settings.budget.map_or(Micros(0), |budget| budget.span)
    }

    /// Returns the timeout of the next attempt. For repeatable classes it leaves time for another attempt
    /// within the objective; other classes get all the time.
    pub(super) fn attempt_timeout(&self, id: SessionId) -> Micros {
        let s = &self.state.sessions[&id];
        let class = &self.settings.classes[s.request.class];
        let time_left = self.answer_by(s) - self.state.now;
        let slo_left = s.arrived_at + class.slo - self.state.now;
        let is_last = s.attempts + 1 >= self.settings.max_attempts;
        if class.idempotency == Idempotency::Unsafe || is_last || slo_left == Micros(0) {
            return time_left;
        }
        Micros::from_secs(
            (slo_left.secs() * ATTEMPT_SLO_SHARE).max(self.state.mean_setup_s * MIN_ATTEMPT_SETUP_FACTOR),
        )
        .min(time_left)
    }

    /// Marks an attempt as withdrawn whose withdrawal is not written to the server yet. Where duplicates are
    /// not allowed, the session waits for that or for its own deadline: a server that reads nothing may still
    /// set up what it was sent. The cost: the session waits while that server's connection is stalled, but
    /// the connection ends soon, and then the next attempt begins.
    pub(super) fn handle_withdrawing(&mut self, id: SessionId) {
        if let Some(session) = self.state.sessions.get_mut(&id).filter(|s| s.phase == Phase::Setup) {
            session.withdrawing = true;
        }
    }

    /// Handles the end of an attempt: updates the server's health, then ends the session, sends its final
    /// answer or holds it for another attempt.
    pub(super) fn handle_outcome(
        &mut self,
        id: SessionId,
        server: &ServerId,
        result: (Status, bool, Load),
        out: &mut Vec<Action>,
    ) {
        let (status, closed, load) = result;
        let now = self.state.now;
        if let Some(&i) = self.state.server_indexes.get(server) {
            let is_playing = self.state.sessions.get(&id).is_some_and(|s| s.phase == Phase::Playing);
            match status {
                // This process was stalled and handles late all that came meanwhile: no server is to blame.
                Status::TimedOut if self.state.resumed_at == Some(now) => {}
                Status::TimedOut if self.is_isolated_timeout(i, id) => {}
                Status::TimedOut => self.distrust(i, "no answer in time", out),
                Status::ConnectFailed => self.distrust(i, "no connection", out),
                Status::Reset => self.distrust(i, "connection broke", out),
                Status::Saturated => self.record_saturation(i),
                Status::Completed if is_playing => self.record_answer(i, out),
                Status::Errored => self.record_error(i, out),
                Status::Completed | Status::Cancelled | Status::Moot => {}
            }
            self.apply_load_report(i, load);
        }
        self.remove_from_server(id);
        let Some(s) = self.state.sessions.get(&id) else { return };
        if closed || s.phase == Phase::Answered || s.phase == Phase::Playing {
            return self.remove_session(id);
        }
        self.free_seat(id);
        let Some(s) = self.state.sessions.get_mut(&id) else { return };
        if !status.never_ran() {
            s.possible_run = s.possible_run.or(Some((s.server, s.started_at)));
        }
        (s.phase, s.withdrawing) = (Phase::Held, false);
        let title = s.request.title.clone();
        let s = &self.state.sessions[&id];
        let is_exhausted = s.attempts >= self.settings.max_attempts || !self.has_time_for_attempt(s);
        let must_not_repeat = s.possible_run.is_some()
            && self.settings.classes[s.request.class].idempotency == Idempotency::Unsafe;
        if is_exhausted || must_not_repeat || !self.allows_attempt(id) {
            self.send_final_answer(id, out);
        } else {
            self.state.held.push_front(id, title, self.constraints(id));
            self.try_to_place(id, out);
        }
    }
}
