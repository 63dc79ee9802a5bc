//! Attempts to set a session up at a server: sending, withdrawing and timing out.

use super::alarms::Alarm;
use super::sessions::{Attempt, Session, Stage};
use super::{Broker, Effect, SetUp};
use crate::api::{Event, Load, Micros, Rung, ServerId, SessionId, Status};
use crate::mutant::{self, Mutant};

impl Broker {
    /// Sends an attempt, or reports it to the module as moot if a safety rule forbids it. With a timeout of zero the
    /// attempt may run until the deadline of the request.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: SessionId,
        server: ServerId,
        timeout: Micros,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get(id) else { return };
        if !self.may_send(now, session, &server) {
            return self.report_moot(id, server);
        }
        let due = session.request.due;
        let deadline = if timeout == Micros(0) { due } else { (now + timeout).min(due) };
        let attempt = Attempt { server, number: session.history.attempts, sent_at: now, deadline };
        out.push(Effect::SetUp(set_up(session, &attempt)));
        self.alarms.schedule(deadline, Alarm::AttemptDeadline(id, attempt.number));
        self.sessions.start_attempt(id, attempt);
    }

    fn may_send(&self, now: Micros, session: &Session, server: &ServerId) -> bool {
        let request = &session.request;
        let idempotency = self.classes[request.class];
        *session.stage() == Stage::Waiting
            && self.guard.may_send(server, self.max_attempts, request.due, now, idempotency, session.history)
    }

    /// Reports to the module that an attempt was not sent. It still counts as an attempt.
    fn report_moot(&mut self, id: SessionId, server: ServerId) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let attempt = session.history.attempts;
        session.history.attempts += 1;
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            server,
            status: Status::Moot,
            took: Micros(0),
            closed: false,
            load: Load::default(),
        });
    }

    /// Withdraws the attempt in flight, if any. Once the withdrawal is written to the server, the module gets the
    /// outcome and may send the next attempt: see [`Broker::attempt_withdrawn`].
    fn withdraw_attempt(&mut self, now: Micros, id: SessionId, status: Status, out: &mut Vec<Effect>) {
        let Some(attempt) = self.sessions.begin_withdrawal(id, status) else { return };
        self.withdrawn_attempts.insert(now, id, &attempt.server);
        out.push(Effect::Withdraw(id, attempt.server));
        self.events.push_back(Event::Withdrawing(id));
    }

    /// Handles a withdrawal that has been written to its server, or whose connection has ended.
    pub(super) fn attempt_withdrawn(&mut self, now: Micros, id: SessionId, server: &ServerId) {
        if let Some((attempt, status)) = self.sessions.end_withdrawal(id, server) {
            self.report_outcome(now, id, attempt, status, false);
        }
    }

    /// Withdraws the attempt in flight, if any, of a request that no longer needs an answer.
    pub(super) fn drop_attempt(&mut self, now: Micros, id: SessionId, status: Status, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(id) else { return };
        let attempt = match session.stage().clone() {
            Stage::Attempting(attempt) => {
                out.push(Effect::Withdraw(id, attempt.server.clone()));
                self.withdrawn_attempts.insert(now, id, &attempt.server);
                attempt
            }
            Stage::Withdrawing(attempt, _) => attempt,
            Stage::Waiting | Stage::Established(_) => return,
        };
        self.report_outcome(now, id, attempt, status, true);
    }

    /// Reports to the module an attempt that ended without an answer from the server. `closed` says that the request
    /// no longer needs an answer.
    fn report_outcome(&mut self, now: Micros, id: SessionId, attempt: Attempt, status: Status, closed: bool) {
        let (took, load) = (now - attempt.sent_at, Load::default());
        let Attempt { server, number, .. } = attempt;
        self.events.push_back(Event::Outcome { id, attempt: number, server, status, took, closed, load });
    }

    /// Cancels an attempt on behalf of the module; does nothing if it has already ended.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: SessionId, number: u32, out: &mut Vec<Effect>) {
        let attempt = self.sessions.get(id).and_then(Session::attempt);
        if attempt.is_some_and(|attempt| attempt.number == number) {
            self.withdraw_attempt(now, id, Status::Cancelled, out);
        }
    }

    /// Withdraws an attempt whose deadline has passed; does nothing if it has already ended.
    pub(super) fn attempt_deadline(
        &mut self,
        now: Micros,
        id: SessionId,
        number: u32,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let is_due = |attempt: &Attempt| attempt.number == number && attempt.deadline <= now;
        if !session.attempt().is_some_and(is_due) {
            return;
        }
        session.timed_out = true;
        self.withdraw_attempt(now, id, Status::TimedOut, out);
    }
}

/// Builds the set-up message of an attempt.
fn set_up(session: &Session, attempt: &Attempt) -> SetUp {
    let is_retry = attempt.number > 0;
    SetUp {
        id: session.request.id,
        attempt: attempt.number,
        server: attempt.server.clone(),
        class: session.request.class,
        title: session.request.title.clone(),
        rung: if is_retry && mutant::is_active(Mutant::FloorOfFirstAttempt) {
            Some(Rung(0))
        } else {
            session.rung
        },
        wait: attempt.deadline - attempt.sent_at,
        offer: session.offer().clone(),
    }
}
