//! Final answers: a session stands, is refused or has failed; and how one that stood ends.

use super::{Broker, Description, Effect, Failure, Guard, Trigger};
use crate::api::{Event, Load, Micros, ServerId, SessionId, Status};
use crate::mutant::{self, Mutant};

/// How a server, or its connection, ended an attempt or a session.
pub(super) struct ServerOutcome {
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// The server's report, if one came.
    pub load: Load,
}

impl ServerOutcome {
    /// All that stood at the server is lost.
    pub fn reset(server: ServerId) -> ServerOutcome {
        ServerOutcome { server, status: Status::Reset, load: Load::default() }
    }
}

impl Broker {
    /// A server answered that a session stands there.
    pub(super) fn session_established(
        &mut self,
        now: Micros,
        id: SessionId,
        server: ServerId,
        answer: Description,
        out: &mut Vec<Effect>,
    ) {
        if self.sessions.attempt_at(id, &server).is_some() {
            self.answer_established(now, id, answer, out);
        } else if !self.is_established_at(id, &server)
            && self.withdrawn_attempts.take_late_answer(now, id, &server)
        {
            // A late answer to an attempt that was given up: nobody waits for it, and it must not play on. Other
            // answers, as second copies or under ids of others, may concern sessions that stand elsewhere.
            out.push(Effect::Release(id, server));
        }
    }

    fn answer_established(&mut self, now: Micros, id: SessionId, answer: Description, out: &mut Vec<Effect>) {
        let Some(attempt) = self.sessions.establish(id) else { return };
        out.push(Effect::Established(id, answer));
        let took = now - attempt.sent_at;
        self.events.push_back(Event::SetUpDone { id, attempt: attempt.number, server: attempt.server, took });
    }

    /// A server, or its connection, ended the attempt or the session; nothing happens if neither is there.
    pub(super) fn server_ended(
        &mut self,
        now: Micros,
        id: SessionId,
        outcome: ServerOutcome,
        out: &mut Vec<Effect>,
    ) {
        if self.sessions.attempt_at(id, &outcome.server).is_some() {
            self.finish_attempt(now, id, outcome);
        } else if self.is_established_at(id, &outcome.server) {
            self.finish_session(id, outcome, out);
        }
    }

    fn finish_attempt(&mut self, now: Micros, id: SessionId, outcome: ServerOutcome) {
        let ServerOutcome { server, status, load } = outcome;
        let Some(attempt) = self.sessions.end_attempt(id, status) else { return };
        let (attempt, took) = (attempt.number, now - attempt.sent_at);
        self.events.push_back(Event::Outcome { id, attempt, server, status, took, closed: false, load });
    }

    fn finish_session(&mut self, id: SessionId, outcome: ServerOutcome, out: &mut Vec<Effect>) {
        let ServerOutcome { server, status, load } = outcome;
        let Some(placement) = self.sessions.remove_established(id) else { return };
        out.push(Effect::Ended(id, status));
        let (attempt, took) = (placement.attempt, Micros(0));
        self.events.push_back(Event::Outcome { id, attempt, server, status, took, closed: true, load });
    }

    /// A server was lost with all that stood there.
    pub(super) fn server_lost(&mut self, now: Micros, server: ServerId, out: &mut Vec<Effect>) {
        for id in self.sessions.established_at(&server) {
            self.server_ended(now, id, ServerOutcome::reset(server.clone()), out);
        }
    }

    /// Releases all that stands, at its servers and towards its clients.
    pub(super) fn release_established(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for id in self.sessions.established_ids() {
            let Some(server) = self.sessions.server_of(id).cloned() else { continue };
            out.push(Effect::Release(id, server.clone()));
            self.server_ended(now, id, ServerOutcome::reset(server), out);
        }
    }

    /// A session that stands is moved: taken off its server, so that its client comes again.
    pub(super) fn move_session(&mut self, id: SessionId, out: &mut Vec<Effect>) {
        let Some(placement) = self.sessions.remove_established(id) else { return };
        out.push(Effect::Moved(id));
        out.push(Effect::Release(id, placement.server.clone()));
        self.report_cancelled(id, placement);
    }

    /// Refuses an unanswered request, or fails it if coming again could do harm.
    pub(super) fn refuse(&mut self, now: Micros, id: SessionId, retry_after: Micros, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(id).filter(|session| session.is_unanswered()) else { return };
        if !Guard::may_refuse(self.classes[session.request.class], session.history) {
            return self.fail(now, id, false, out);
        }
        out.push(Effect::Refused(id, retry_after));
        self.close_unanswered(now, id, out);
    }

    /// The module fails a request. On a timer it does so only because the request's time is up.
    pub(super) fn fail_by_module(
        &mut self,
        now: Micros,
        id: SessionId,
        trigger: Trigger,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get(id) else { return };
        let deadline_passed = session.timed_out || trigger == Trigger::Timer;
        self.fail(now, id, deadline_passed, out);
    }

    /// The answer is overdue: no request may be left without one, even if the module forgot it.
    pub(super) fn deadline_backstop(&mut self, now: Micros, id: SessionId, out: &mut Vec<Effect>) {
        let is_unanswered = self.sessions.get(id).is_some_and(|session| session.is_unanswered());
        if is_unanswered && !mutant::on(Mutant::ForgottenDeadline) {
            self.events.push_back(Event::ViewerLeft(id));
            self.fail(now, id, true, out);
        }
    }

    /// Fails an unanswered request.
    fn fail(&mut self, now: Micros, id: SessionId, deadline_passed: bool, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(id).filter(|session| session.is_unanswered()) else { return };
        let may_have_run = session.history.may_have_run || session.history.attempt_in_flight;
        out.push(Effect::Failed(id, Failure { deadline_passed, may_have_run }));
        self.close_unanswered(now, id, out);
    }

    /// Forgets a request that has had its final answer.
    fn close_unanswered(&mut self, now: Micros, id: SessionId, out: &mut Vec<Effect>) {
        self.drop_attempt(now, id, Status::Cancelled, out);
        self.sessions.remove(id);
    }
}
