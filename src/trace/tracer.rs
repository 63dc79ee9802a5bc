//! What of a broker's requests is told, within a budget of lines a second. A session is told whole or not at all
//! as far as the budget allows, so that a request can be followed by its id.

mod servers;

use std::collections::BTreeMap;

use super::Event;
use super::budget::Budget;
use super::known::{Known, Traced, ms, named, word};
use crate::api::{Micros, Request, Rung, ServerId, SessionId, Status};
use crate::broker::{Effect, Input};
use crate::platform::links::ConnId;

/// What was left out is told so often.
const DROPPED_EVERY: Micros = Micros(1_000_000);

/// What is told of one broker's requests. Free of clocks and sockets.
#[derive(Debug)]
pub struct Tracer {
    budget: Budget,
    sessions: BTreeMap<SessionId, Traced>,
    servers: BTreeMap<ServerId, Known>,
    lines: Vec<(Micros, Event)>,
    dropped: (u64, u64),
    dropped_at: Micros,
}

impl Tracer {
    /// Tells so many lines a second at most, over some seconds; none for 0.
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

    /// What is to be written since the last call.
    pub fn take(&mut self) -> Vec<(Micros, Event)> {
        std::mem::take(&mut self.lines)
    }

    /// Sessions or servers that are remembered, whichever are the most.
    pub fn tracked_entries(&self) -> usize {
        self.sessions.len().max(self.servers.len())
    }

    fn push(&mut self, now: Micros, event: Event) {
        self.budget.refill(now);
        if self.budget.line() {
            self.lines.push((now, event));
        } else {
            self.dropped.0 += 1;
        }
        if self.dropped != (0, 0) && now >= self.dropped_at + DROPPED_EVERY {
            let (lines, sessions) = std::mem::take(&mut self.dropped);
            self.dropped_at = now;
            // This one goes beside the budget: once a second at most.
            self.lines.push((now, Event::Dropped { lines, sessions }));
        }
    }

    /// What the core is told by servers and clients.
    pub fn told(&mut self, now: Micros, input: &Input) {
        match input {
            Input::Established { server, .. } => self.heard(now, server),
            Input::Ended { id, server, status, .. } => {
                if matches!(status, Status::Saturated | Status::Errored | Status::Completed) {
                    self.heard(now, server);
                }
                self.turned(now, *id, *status);
            }
            Input::Note { server, note, .. } => {
                self.heard(now, server);
                self.note(now, server, *note);
            }
            Input::Withdrawn { id, server } if self.sessions.contains_key(id) => {
                self.push(now, Event::Withdrawn { id: named(*id), server: server.to_string() });
            }
            Input::ClientLeft(id) => self.over(now, *id, None),
            Input::ExistingSession(request, server) => self.opened(now, request, server),
            _ => {}
        }
    }

    /// What the core decides. Of an attempt that is given up what follows tells why.
    pub fn decided(&mut self, now: Micros, effect: &Effect) {
        match effect {
            Effect::Withdraw(id, _) => self.turned(now, *id, Status::TimedOut),
            Effect::Rate(id, _, rung) => self.rung(now, *id, *rung),
            Effect::Established(id, _) => self.plays(now, *id),
            Effect::Refused(id, wait) => self.refused(now, *id, *wait),
            Effect::Failed(id, _) => self.failed(now, *id),
            Effect::Ended(id, status) => self.over(now, *id, Some(*status)),
            Effect::Moved(id) => self.moved(now, *id),
            Effect::Release(id, server) => {
                self.push(now, Event::Released { id: named(*id), server: server.to_string() });
            }
            Effect::SetUp(_) | Effect::Log(_) => {}
        }
    }

    /// A client asks, of a class that plays up to a rung.
    pub fn asked(&mut self, now: Micros, request: &Request, (class, most): (&str, Rung), tenant: &str) {
        self.budget.refill(now);
        if !self.budget.admits() {
            self.dropped.1 += 1;
            return;
        }
        let top = request.top.min(most).0 as u64;
        self.sessions.insert(request.id, Traced::asked(now, top));
        let (class, tenant, title) = (class.to_owned(), tenant.to_owned(), request.title.to_string());
        let (id, left_ms, again) = (named(request.id), ms(request.due - now), request.is_returning);
        self.push(now, Event::Asked { id, class, tenant, title, left_ms, again });
    }

    /// A client names a session that plays already; nothing is told of one that is known.
    fn opened(&mut self, now: Micros, request: &Request, server: &ServerId) {
        self.budget.refill(now);
        if self.sessions.contains_key(&request.id) || !self.budget.admits() {
            return;
        }
        let traced = Traced { stands: Some(server.clone()), ..Traced::asked(now, request.top.0 as u64) };
        self.sessions.insert(request.id, traced);
        let (id, title) = (named(request.id), request.title.to_string());
        self.push(now, Event::Opened { id, title, server: server.to_string() });
    }

    /// A set-up goes out.
    pub fn sent(&mut self, now: Micros, id: SessionId, server: &ServerId, rung: Option<Rung>) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Known { heard, up, zone } = self.servers.get(server).copied().unwrap_or_default();
        let age = |at: Option<Micros>| at.map_or(-1, |at| ms(now - at) as i64);
        let (attempt, rung) = (s.attempts, rung.map_or(0, |r| r.0 as u64));
        s.attempts += 1;
        (s.rung, s.out) = (rung, Some((server.clone(), now)));
        let (top, held_ms) = (s.top, ms(now - s.asked));
        let (id, server) = (named(id), server.to_string());
        let (heard_ms, up_ms) = (age(heard), age(up));
        let zone = u64::from(zone);
        self.push(now, Event::Sent { id, attempt, server, zone, rung, top, held_ms, heard_ms, up_ms });
    }

    /// An attempt ended without a session, or was given up.
    pub fn turned(&mut self, now: Micros, id: SessionId, status: Status) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| s.stands.is_none()) else { return };
        let Some((server, sent)) = s.out.take() else { return };
        s.last = word(status);
        let (how, took_ms) = (s.last.to_owned(), ms(now - sent));
        self.push(now, Event::Turned { id: named(id), server: server.to_string(), how, took_ms });
    }

    /// Final answer: it plays.
    pub fn plays(&mut self, now: Micros, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let server = s.out.take().map(|(server, _)| server).unwrap_or_default();
        let (attempts, took_ms) = (s.attempts, ms(now - s.asked));
        s.stands = Some(server.clone());
        let server = server.to_string();
        self.push(now, Event::Plays { id: named(id), server, attempts, took_ms });
    }

    /// Final answer: refused, with advice to stay away.
    pub fn refused(&mut self, now: Micros, id: SessionId, wait: Micros) {
        let Some(s) = self.sessions.remove(&id) else { return };
        let (reason, attempts, took_ms) = (s.reason(), s.attempts, ms(now - s.asked));
        self.push(now, Event::Refused { id: named(id), reason, attempts, took_ms, wait_ms: ms(wait) });
    }

    /// Final answer: failed.
    pub fn failed(&mut self, now: Micros, id: SessionId) {
        let Some(s) = self.sessions.remove(&id) else { return };
        let (reason, attempts, took_ms) = (s.reason(), s.attempts, ms(now - s.asked));
        self.push(now, Event::Failed { id: named(id), reason, attempts, took_ms });
    }

    /// A final answer goes to its client's connection, if that is there still.
    pub fn replied(&mut self, now: Micros, id: SessionId, conn: Option<ConnId>) {
        match conn {
            None => self.push(now, Event::ReplyDropped { id: named(id) }),
            Some(conn) if self.sessions.contains_key(&id) => {
                self.push(now, Event::ReplyQueued { id: named(id), conn: conn.0 });
            }
            Some(_) => {}
        }
    }

    /// The answer that a session plays was written whole.
    pub fn reply_written(&mut self, now: Micros, id: SessionId, conn: ConnId) {
        if self.sessions.contains_key(&id) {
            self.push(now, Event::ReplyWritten { id: named(id), conn: conn.0 });
        }
    }

    /// The rung of a session changes.
    pub fn rung(&mut self, now: Micros, id: SessionId, rung: Rung) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(server) = s.stands.as_ref().map(ServerId::to_string) else { return };
        let (from, rung) = (std::mem::replace(&mut s.rung, rung.0 as u64), rung.0 as u64);
        self.push(now, Event::Rung { id: named(id), server, from, rung });
    }

    /// A session that stood is over, or its client left.
    pub fn over(&mut self, now: Micros, id: SessionId, how: Option<Status>) {
        self.ended(now, id, how.map_or("left", word));
    }

    /// A session that stood is moved.
    pub fn moved(&mut self, now: Micros, id: SessionId) {
        self.ended(now, id, "moved");
    }

    fn ended(&mut self, now: Micros, id: SessionId, how: &str) {
        if self.sessions.remove(&id).is_some() {
            self.push(now, Event::Over { id: named(id), how: how.to_owned() });
        }
    }
}
