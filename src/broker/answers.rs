//! Final answers to requests (established, refused or failed), and the end of established sessions.

use super::{Broker, Description, Effect, Failure, Guard, Trigger};
use crate::api::{Event, Load, Micros, ServerId, SessionId, Status};
use crate::mutant::{self, Mutant};

/// The end of an attempt or a session, caused by a server or its connection.
pub(super) struct ServerOutcome {
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// The load report of the server; the default if it sent none.
    pub load: Load,
}

impl ServerOutcome {
    /// Returns the outcome of a lost server or connection.
    pub fn reset(server: ServerId) -> ServerOutcome {
        ServerOutcome { server, status: Status::Reset, load: Load::default() }
    }
}

impl Broker {
    /// Handles an answer of a server that established a session.
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
            // A late answer to a withdrawn attempt: no client waits for it, so the session must be released. Other
            // unexpected answers, such as duplicates or answers with foreign ids, are ignored, as releasing them
            // could end sessions that are established elsewhere.
            out.push(Effect::Release(id, server));
        }
    }

    fn answer_established(&mut self, now: Micros, id: SessionId, answer: Description, out: &mut Vec<Effect>) {
        let Some(attempt) = self.sessions.establish(id) else { return };
        out.push(Effect::Established(id, answer));
        let took = now - attempt.sent_at;
        self.events.push_back(Event::SetUpDone { id, attempt: attempt.number, server: attempt.server, took });
    }

    /// Handles the end of an attempt or a session caused by a server or its connection; does nothing if the server
    /// has neither.
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
        let Some(placement) = self.remove_established(id) else { return };
        out.push(Effect::Ended(id, status));
        let (attempt, took) = (placement.attempt, Micros(0));
        self.events.push_back(Event::Outcome { id, attempt, server, status, took, closed: true, load });
    }

    /// Ends all sessions that were established at a lost server.
    pub(super) fn server_lost(&mut self, now: Micros, server: ServerId, out: &mut Vec<Effect>) {
        for id in self.sessions.established_at(&server) {
            self.server_ended(now, id, ServerOutcome::reset(server.clone()), out);
        }
    }

    /// Releases all established sessions, towards both their servers and their clients.
    pub(super) fn release_established(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for id in self.sessions.established_ids() {
            let Some(server) = self.sessions.server_of(id).cloned() else { continue };
            out.push(Effect::Release(id, server.clone()));
            self.server_ended(now, id, ServerOutcome::reset(server), out);
        }
    }

    /// Moves an established session: releases it at its server, so that its client requests it again.
    pub(super) fn move_session(&mut self, id: SessionId, out: &mut Vec<Effect>) {
        let Some(placement) = self.remove_established(id) else { return };
        out.push(Effect::Moved(id));
        out.push(Effect::Release(id, placement.server.clone()));
        self.report_cancelled(id, placement);
    }

    /// Refuses an unanswered request, or fails it if a retry by the client would not be safe.
    pub(super) fn refuse(&mut self, now: Micros, id: SessionId, retry_after: Micros, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(id).filter(|session| session.is_unanswered()) else { return };
        if !Guard::may_refuse(self.classes[session.request.class], session.history) {
            return self.fail(now, id, false, out);
        }
        out.push(Effect::Refused(id, retry_after));
        self.close_unanswered(now, id, out);
    }

    /// Fails a request on behalf of the module. A module that fails a request on a timer does so because the deadline
    /// of the request has passed.
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

    /// Fails a request whose answer is overdue, so that each request is answered even if the module lost track of it.
    pub(super) fn deadline_backstop(&mut self, now: Micros, id: SessionId, out: &mut Vec<Effect>) {
        let is_unanswered = self.sessions.get(id).is_some_and(|session| session.is_unanswered());
        if is_unanswered && !mutant::is_active(Mutant::ForgottenDeadline) {
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

    /// Removes a request that has received its final answer.
    fn close_unanswered(&mut self, now: Micros, id: SessionId, out: &mut Vec<Effect>) {
        self.drop_attempt(now, id, Status::Cancelled, out);
        self.remove_session(id);
    }
}
