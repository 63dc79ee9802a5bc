//! Admission of requests, and the removal of sessions when clients leave or another process takes over.

use super::alarms::Alarm;
use super::sessions::{Placement, Session, Stage, payload_bytes};
use super::{Broker, Description, Effect};
use crate::api::{Event, Load, Micros, Request, SessionId, Status};

/// An estimate of the memory per session in the broker, the decision module and the client connections, without
/// its session description and the texts of its request.
pub(super) const SESSION_BYTES: usize = 1024;

/// How long after the deadline of a request the broker answers it if the module has not.
pub(super) const BACKSTOP_DELAY: Micros = Micros(5_000);

impl Broker {
    /// Handles a client's request for a session.
    pub(super) fn handle_request(
        &mut self,
        now: Micros,
        mut request: Request,
        offer: Description,
        out: &mut Vec<Effect>,
    ) {
        request.due =
            self.replayed_state.shutdown_deadline.map_or(request.due, |deadline| request.due.min(deadline));
        if self.sessions.contains(request.id) {
            return;
        }
        if request.class >= self.classes.len() {
            out.push(Effect::Refused(request.id, Micros(0)));
            return;
        }
        if !self.has_room_for(&request, offer.len()) {
            self.memory_refusals += 1;
            out.push(Effect::Refused(request.id, self.full_retry_after));
            return;
        }
        let backstop = Alarm::DeadlineBackstop(request.id);
        self.alarms.schedule(request.due + BACKSTOP_DELAY, backstop);
        let mut session = Session::new(now, request.clone(), offer);
        // A client that lost its connection may repeat its request under the same id, and the withdrawn attempt of
        // the first one may have run.
        session.history.may_have_run = self.withdrawn_attempts.has_session(now, request.id);
        self.sessions.insert(session);
        self.events.push_back(Event::Request(request));
    }

    /// Handles a client that withdrew its request or ended its session.
    pub(super) fn client_left(&mut self, id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(id) else { return };
        match session.stage().clone() {
            Stage::Waiting => self.events.push_back(Event::ViewerLeft(id)),
            Stage::Attempting(attempt) | Stage::Withdrawing(attempt, _) => {
                self.events.push_back(Event::ViewerLeft(id));
                self.drop_attempt(attempt.sent_at, id, Status::Cancelled, out);
            }
            Stage::Established(placement) => {
                out.push(Effect::Release(id, placement.server.clone()));
                self.report_cancelled(id, placement);
            }
        }
        self.remove_session(id);
    }

    /// Removes a session and its alarms.
    pub(super) fn remove_session(&mut self, id: SessionId) {
        self.sessions.remove(id);
        self.alarms.cancel_session(id);
    }

    /// Removes an established session that another process has taken over.
    pub(super) fn session_handed_over(&mut self, id: SessionId) {
        if let Some(placement) = self.remove_established(id) {
            self.report_cancelled(id, placement);
        }
    }

    /// Removes a session if it is established, and returns its placement.
    pub(super) fn remove_established(&mut self, id: SessionId) -> Option<Placement> {
        let placement = self.sessions.remove_established(id)?;
        self.alarms.cancel_session(id);
        Some(placement)
    }

    /// Reports to the module that an established session was cancelled.
    pub(super) fn report_cancelled(&mut self, id: SessionId, placement: Placement) {
        self.events.push_back(Event::Outcome {
            id,
            attempt: placement.attempt,
            server: placement.server,
            status: Status::Cancelled,
            took: Micros(0),
            closed: true,
            load: Load::default(),
        });
    }

    /// The maximum number of sessions within the memory limit.
    pub fn max_sessions(&self) -> usize {
        self.memory_limit_bytes / SESSION_BYTES
    }

    /// The estimated memory for all sessions, in bytes.
    pub fn session_bytes(&self) -> usize {
        self.sessions.len().saturating_mul(SESSION_BYTES).saturating_add(self.sessions.payload_bytes())
    }

    /// Whether the memory limit allows one more session, for this request with a description of `offer_bytes`.
    pub(super) fn has_room_for(&self, request: &Request, offer_bytes: usize) -> bool {
        let added = SESSION_BYTES + payload_bytes(request, offer_bytes);
        self.session_bytes().saturating_add(added) <= self.memory_limit_bytes
    }
}
