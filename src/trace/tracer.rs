//! The tracer of a broker's requests, within a budget of lines per second. As far as the budget allows, a session is
//! traced completely or not at all, so that a request can be followed by its id.

mod servers;

use std::collections::BTreeMap;

use super::Event;
use super::budget::Budget;
use super::known::{KnownServer, TracedSession, id_text, status_name, whole_ms};
use crate::api::{Micros, Request, Rung, ServerId, SessionId, Status};
use crate::broker::{Effect, Input};
use crate::platform::links::ConnId;

/// The interval at which the number of lines and sessions left out is reported.
const DROPPED_REPORT_INTERVAL: Micros = Micros(1_000_000);

/// The tracer of one broker. It reads no clock and writes to no socket.
#[derive(Debug)]
pub struct Tracer {
    budget: Budget,
    sessions: BTreeMap<SessionId, TracedSession>,
    servers: BTreeMap<ServerId, KnownServer>,
    lines: Vec<(Micros, Event)>,
    dropped: (u64, u64),
    dropped_at: Micros,
}

impl Tracer {
    /// Creates a tracer that emits at most this many lines per second on average over some seconds; none for 0.
    pub fn new(lines_per_s: u32) -> Tracer {
        Tracer {
            budget: Budget::new(f64::from(lines_per_s)),
            sessions: BTreeMap::new(),
            servers: BTreeMap::new(),
            lines: Vec::new(),
            dropped: (0, 0),
            dropped_at: Micros(0),
        }
    }

    /// Returns the events since the last call, which are to be written to the log.
    pub fn take_events(&mut self) -> Vec<(Micros, Event)> {
        std::mem::take(&mut self.lines)
    }

    /// Returns the number of tracked sessions or of tracked servers, whichever is greater.
    pub fn tracked_entries(&self) -> usize {
        self.sessions.len().max(self.servers.len())
    }

    fn push(&mut self, now: Micros, event: Event) {
        self.budget.refill(now);
        if self.budget.take_line() {
            self.lines.push((now, event));
        } else {
            self.dropped.0 += 1;
        }
        if self.dropped != (0, 0) && now >= self.dropped_at + DROPPED_REPORT_INTERVAL {
            let (lines, sessions) = std::mem::take(&mut self.dropped);
            self.dropped_at = now;
            // This event is exempt from the budget, as it is written at most once a second.
            self.lines.push((now, Event::Dropped { lines, sessions }));
        }
    }

    /// Records an input of the core from servers and clients.
    pub fn record_input(&mut self, now: Micros, input: &Input) {
        match input {
            Input::Established { server, .. } => self.server_heard(now, server),
            Input::Ended { id, server, status, .. } => {
                if matches!(status, Status::Saturated | Status::Errored | Status::Completed) {
                    self.server_heard(now, server);
                }
                self.attempt_ended(now, *id, *status);
            }
            Input::Note { server, note, .. } => {
                self.server_heard(now, server);
                self.load_reported(now, server, *note);
            }
            Input::Withdrawn { id, server } if self.sessions.contains_key(id) => {
                self.push(now, Event::Withdrawn { id: id_text(*id), server: server.to_string() });
            }
            Input::ClientLeft(id) => self.session_ended(now, *id, None),
            Input::ExistingSession(request, server) | Input::NamedSession(request, server) => {
                self.session_adopted(now, request, server);
            }
            _ => {}
        }
    }

    /// Records a decision of the core. The reason why an attempt was withdrawn shows in the events that follow.
    pub fn record_effect(&mut self, now: Micros, effect: &Effect) {
        match effect {
            Effect::Withdraw(id, _) => self.attempt_ended(now, *id, Status::TimedOut),
            Effect::Rate(id, _, rung) => self.rung_changed(now, *id, *rung),
            Effect::Established(id, _) => self.session_established(now, *id),
            Effect::Refused(id, wait) => self.request_refused(now, *id, *wait),
            Effect::Failed(id, _) => self.request_failed(now, *id),
            Effect::Ended(id, status) => self.session_ended(now, *id, Some(*status)),
            Effect::Moved(id) => self.session_moved(now, *id),
            Effect::Release(id, server) => {
                self.push(now, Event::Released { id: id_text(*id), server: server.to_string() });
            }
            Effect::SetUp(_) | Effect::Log(_) => {}
        }
    }

    /// Records a request of a client. `max_rung` is the highest rung of its class.
    pub fn request_received(
        &mut self,
        now: Micros,
        request: &Request,
        (class, max_rung): (&str, Rung),
        tenant: &str,
    ) {
        self.budget.refill(now);
        if !self.budget.admits_session() {
            self.dropped.1 += 1;
            return;
        }
        let top = request.top.min(max_rung).0 as u64;
        self.sessions.insert(request.id, TracedSession::new(now, top));
        let (class, tenant, title) = (class.to_owned(), tenant.to_owned(), request.title.to_string());
        let (id, left_ms, again) = (id_text(request.id), whole_ms(request.due - now), request.is_returning);
        self.push(now, Event::Asked { id, class, tenant, title, left_ms, again });
    }

    /// Records a playing session that a client names, unless it is tracked already.
    fn session_adopted(&mut self, now: Micros, request: &Request, server: &ServerId) {
        self.budget.refill(now);
        if self.sessions.contains_key(&request.id) || !self.budget.admits_session() {
            return;
        }
        let traced =
            TracedSession { server: Some(server.clone()), ..TracedSession::new(now, request.top.0 as u64) };
        self.sessions.insert(request.id, traced);
        let (id, title) = (id_text(request.id), request.title.to_string());
        self.push(now, Event::Opened { id, title, server: server.to_string() });
    }

    /// Records that a set-up was sent.
    pub fn set_up_sent(&mut self, now: Micros, id: SessionId, server: &ServerId, rung: Option<Rung>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let KnownServer { last_heard, up_since, zone } =
            self.servers.get(server).copied().unwrap_or_default();
        let age = |at: Option<Micros>| at.map_or(-1, |at| whole_ms(now - at) as i64);
        let (attempt, rung) = (session.attempts, rung.map_or(0, |r| r.0 as u64));
        session.attempts += 1;
        (session.rung, session.attempt) = (rung, Some((server.clone(), now)));
        let (top, held_ms) = (session.top, whole_ms(now - session.received_at));
        let (id, server) = (id_text(id), server.to_string());
        let (heard_ms, up_ms) = (age(last_heard), age(up_since));
        let zone = u64::from(zone);
        self.push(now, Event::Sent { id, attempt, server, zone, rung, top, held_ms, heard_ms, up_ms });
    }

    /// Records that an attempt ended without a session or was withdrawn.
    pub fn attempt_ended(&mut self, now: Micros, id: SessionId, status: Status) {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.server.is_none()) else {
            return;
        };
        let Some((server, sent)) = session.attempt.take() else { return };
        session.last_status = status_name(status);
        let (how, took_ms) = (session.last_status.to_owned(), whole_ms(now - sent));
        self.push(now, Event::Turned { id: id_text(id), server: server.to_string(), how, took_ms });
    }

    /// Records the final answer that the session plays.
    pub fn session_established(&mut self, now: Micros, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let server = session.attempt.take().map(|(server, _)| server).unwrap_or_default();
        let (attempts, took_ms) = (session.attempts, whole_ms(now - session.received_at));
        session.server = Some(server.clone());
        let server = server.to_string();
        self.push(now, Event::Plays { id: id_text(id), server, attempts, took_ms });
    }

    /// Records the final answer that the request was refused, with the time after which the client may retry.
    pub fn request_refused(&mut self, now: Micros, id: SessionId, wait: Micros) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let (reason, attempts, took_ms) =
            (session.reason(), session.attempts, whole_ms(now - session.received_at));
        self.push(
            now,
            Event::Refused { id: id_text(id), reason, attempts, took_ms, wait_ms: whole_ms(wait) },
        );
    }

    /// Records the final answer that the request failed.
    pub fn request_failed(&mut self, now: Micros, id: SessionId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let (reason, attempts, took_ms) =
            (session.reason(), session.attempts, whole_ms(now - session.received_at));
        self.push(now, Event::Failed { id: id_text(id), reason, attempts, took_ms });
    }

    /// Records that a final answer was queued on the client's connection, or dropped if that is gone.
    pub fn reply_sent(&mut self, now: Micros, id: SessionId, conn: Option<ConnId>) {
        match conn {
            None => self.push(now, Event::ReplyDropped { id: id_text(id) }),
            Some(conn) if self.sessions.contains_key(&id) => {
                self.push(now, Event::ReplyQueued { id: id_text(id), conn: conn.0 });
            }
            Some(_) => {}
        }
    }

    /// Records that the answer that a session plays was completely written.
    pub fn reply_written(&mut self, now: Micros, id: SessionId, conn: ConnId) {
        if self.sessions.contains_key(&id) {
            self.push(now, Event::ReplyWritten { id: id_text(id), conn: conn.0 });
        }
    }

    /// Records the rung of a session. For one that does not play yet nothing is traced.
    pub fn rung_changed(&mut self, now: Micros, id: SessionId, rung: Rung) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(server) = session.server.as_ref().map(ServerId::to_string) else { return };
        let (from, rung) = (std::mem::replace(&mut session.rung, rung.0 as u64), rung.0 as u64);
        self.push(now, Event::Rung { id: id_text(id), server, from, rung });
    }

    /// Records that a session has ended; `None` if its client left.
    pub fn session_ended(&mut self, now: Micros, id: SessionId, how: Option<Status>) {
        self.end_session(now, id, how.map_or("left", status_name));
    }

    /// Records that a session was moved to another server.
    pub fn session_moved(&mut self, now: Micros, id: SessionId) {
        self.end_session(now, id, "moved");
    }

    fn end_session(&mut self, now: Micros, id: SessionId, how: &str) {
        if self.sessions.remove(&id).is_some() {
            self.push(now, Event::Over { id: id_text(id), how: how.to_owned() });
        }
    }
}
