//! Sessions that are named as established: by clients, or by the process that hands them over.

use super::requests::SESSION_BYTES;
use super::sessions::{Session, payload_bytes};
use super::{Broker, Effect};
use crate::api::{Event, Micros, Request, ServerId, SessionId, Status};

/// The share of the memory for sessions that unconfirmed ones may fill by clients' word, as a divisor. The rest is left
/// for requests, so that clients that name sessions which do not exist cannot have all requests refused.
const UNCONFIRMED_MEMORY_DIVISOR: usize = 2;

/// How long a session of which its server has said nothing keeps its place when others need it.
const UNCONFIRMED_LEASE: Micros = Micros(600_000_000);

/// What became of unconfirmed sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnconfirmedStats {
    /// The number of sessions that are unconfirmed now.
    pub sessions: usize,
    /// The number of sessions that were refused as too many are unconfirmed.
    pub refused: u64,
    /// The number of sessions that were ended as their lease was over and others needed their place.
    pub expired: u64,
}

impl Broker {
    /// Adds a session that a client names as established at a server. It is unconfirmed until its server names it too.
    pub(super) fn add_named_session(
        &mut self,
        now: Micros,
        request: Request,
        server: ServerId,
        out: &mut Vec<Effect>,
    ) {
        if self.sessions.contains(request.id) {
            return;
        }
        if !self.can_be_held(&request, &server) {
            return out.push(Effect::Ended(request.id, Status::Reset));
        }
        let added = SESSION_BYTES + payload_bytes(&request, 0);
        while !self.has_room_for_unconfirmed(added) {
            if !self.expire_unconfirmed(now, out) {
                self.unconfirmed_refused += 1;
                return out.push(Effect::Ended(request.id, Status::Reset));
            }
        }
        self.add_existing_session(now, request, server, out);
    }

    /// Adds a session that is already established at a server, as another process says.
    pub(super) fn add_existing_session(
        &mut self,
        now: Micros,
        request: Request,
        server: ServerId,
        out: &mut Vec<Effect>,
    ) {
        // It may be named again while it is in the table.
        if self.sessions.contains(request.id) {
            return;
        }
        if !self.can_be_held(&request, &server) {
            return out.push(Effect::Ended(request.id, Status::Reset));
        }
        if !self.has_room_for(&request, 0) {
            self.memory_refusals += 1;
            return out.push(Effect::Ended(request.id, Status::Reset));
        }
        self.sessions.insert(Session::named(now, request.clone(), server.clone()));
        self.events.push_back(Event::ExistingSession { request, server });
    }

    /// Whether a session has a class and a listed server; without them, nothing would ever end it.
    fn can_be_held(&self, request: &Request, server: &ServerId) -> bool {
        request.class < self.classes.len() && self.guard.is_listed(server)
    }

    /// Returns how many sessions are unconfirmed, and what became of others.
    pub fn unconfirmed_stats(&self) -> UnconfirmedStats {
        UnconfirmedStats {
            sessions: self.sessions.unconfirmed_count(),
            refused: self.unconfirmed_refused,
            expired: self.unconfirmed_expired,
        }
    }

    /// Whether one more unconfirmed session of this size may be added by a client's word.
    fn has_room_for_unconfirmed(&self, added: usize) -> bool {
        let bytes = self.sessions.unconfirmed_count().saturating_mul(SESSION_BYTES);
        let bytes = bytes.saturating_add(self.sessions.unconfirmed_payload_bytes());
        bytes.saturating_add(added) <= self.memory_limit_bytes / UNCONFIRMED_MEMORY_DIVISOR
    }

    /// Ends the oldest unconfirmed session, towards its client and its server, if its lease is over.
    fn expire_unconfirmed(&mut self, now: Micros, out: &mut Vec<Effect>) -> bool {
        let oldest: Option<(Micros, SessionId)> = self.sessions.oldest_unconfirmed();
        let Some((_, id)) = oldest.filter(|(named_at, _)| *named_at + UNCONFIRMED_LEASE <= now) else {
            return false;
        };
        let Some(placement) = self.remove_established(id) else { return false };
        self.unconfirmed_expired += 1;
        out.push(Effect::Release(id, placement.server.clone()));
        out.push(Effect::Ended(id, Status::Reset));
        self.report_cancelled(id, placement);
        true
    }
}
