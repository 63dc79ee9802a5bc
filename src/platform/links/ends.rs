//! Ended connections and silent servers: what they say about a server.

use std::collections::BTreeSet;

use super::withdrawal::ATTEMPT_GAP;
use super::{Command, ConnId, ConnectionEnd, Links, LostConnection, ServerStatus};
use crate::api::{Micros, ServerId, SessionId, Status};
use crate::platform::timings::Timings;

/// How long the rest of a message may take. Servers write each message in one piece, so a longer pause means
/// that the rest will not come.
const PARTIAL_MESSAGE_TIMEOUT: Micros = Micros(400_000);

/// Minimum time between checks of one server.
const CHECK_INTERVAL: Micros = Micros(500_000);

/// A server that refuses connections and has been silent for this time is lost, whatever the list says:
/// clients must be told of the end of its sessions within 8 s.
const LOST_AFTER_SILENCE: Micros = Micros(7_000_000);

impl Links {
    /// Handles a connection that has ended.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: &ConnectionEnd) -> Option<LostConnection> {
        let link = self.links.remove(&conn)?;
        let queued = |id: SessionId| link.queue.iter().any(|queued| queued.set_up == Some(id));
        let ended = |id: SessionId| match how {
            ConnectionEnd::Refused | ConnectionEnd::NoAnswer | ConnectionEnd::Unopened => {
                (id, Status::ConnectFailed)
            }
            ConnectionEnd::Ended { unsent, .. } if unsent.contains(&id) || queued(id) => {
                (id, Status::ConnectFailed)
            }
            // Some bytes may have reached the server, so the attempt may have run.
            ConnectionEnd::Ended { .. } => (id, Status::Reset),
        };
        let ended_set_ups: Vec<(SessionId, Status)> = link.set_ups.keys().copied().map(ended).collect();
        let ran = ended_set_ups.iter().filter(|(_, status)| *status == Status::Reset);
        ran.for_each(|(id, _)| self.attempt_ended(now, *id));
        let withdrawn = self.end_withdrawals_on(now, conn);
        let has_open_link = self.links.values().any(|l| l.server == link.server && l.is_up());
        let silence = self.silence(now, &link.server);
        // An idle server may reset a connection that was closed from this side, which says nothing.
        if !link.is_retired && matches!(how, ConnectionEnd::Ended { reset: true, .. }) {
            self.reset_servers.insert(link.server.clone());
        }
        let server_status = match how {
            // A draining server refuses new connections while its sessions play. Only an older connection
            // that was reset, or a long silence, distinguishes it from a dead server.
            ConnectionEnd::Refused
                if self.reset_servers.contains(&link.server) || silence >= LOST_AFTER_SILENCE =>
            {
                ServerStatus::Lost
            }
            ConnectionEnd::Refused if has_open_link => ServerStatus::Up,
            ConnectionEnd::Refused => ServerStatus::RefusesConnections,
            // A machine that is cut off leaves its connections open and silent.
            ConnectionEnd::NoAnswer if silence <= self.timings.note_timeout => ServerStatus::Up,
            ConnectionEnd::NoAnswer => ServerStatus::Lost,
            ConnectionEnd::Unopened => ServerStatus::Up,
            ConnectionEnd::Ended { .. } if has_open_link => ServerStatus::Up,
            ConnectionEnd::Ended { .. } => ServerStatus::Unsure,
        };
        Some(LostConnection { server: link.server, ended_set_ups, withdrawn, server_status })
    }

    /// Returns which of these servers have been silent for too long. All servers send their notes at the same
    /// time. If no notes of other servers arrived lately either, a missing one says nothing about its server,
    /// and many brokers (a hundred, say) that check all servers at once are a burden.
    pub fn silent_servers(&self, now: Micros, of: impl Iterator<Item = ServerId>) -> Vec<ServerId> {
        let Timings { load_note_interval, note_timeout, max_silence, .. } = self.timings;
        let longest = if now - self.last_link_note <= Micros(load_note_interval.0 / 2) {
            note_timeout
        } else {
            max_silence
        };
        let too_long = |s: &ServerId| self.silence(now, s) > longest;
        of.filter(too_long).collect()
    }

    /// How long a server has been silent.
    pub fn silence(&self, now: Micros, server: &ServerId) -> Micros {
        self.last_alive.get(server).map_or(Micros::MAX, |at| now - *at)
    }

    /// Returns the servers with an open connection.
    pub fn connected_servers(&self) -> BTreeSet<ServerId> {
        self.links.values().filter(|l| l.is_up()).map(|l| l.server.clone()).collect()
    }

    /// Aborts connections with a stalled message, as nothing after it can be read. Closes connections to
    /// servers that are gone, and forgets the state of these servers.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Command>) {
        for (conn, link) in &mut self.links {
            if !link.is_broken && link.set_ups.is_empty() && !self.addresses.contains_key(&link.server) {
                link.is_broken = true;
                out.push(Command::Close(*conn, "gone"));
            }
            if !link.is_broken && link.partial_since.is_some_and(|at| now - at >= PARTIAL_MESSAGE_TIMEOUT) {
                link.is_broken = true;
                out.push(Command::Abort(*conn, "unfinished"));
            }
        }
        let (addresses, links) = (&self.addresses, &self.links);
        let known = |s: &ServerId| addresses.contains_key(s) || links.values().any(|l| l.server == *s);
        self.last_alive.retain(|s, _| known(s));
        self.last_checked.retain(|s, _| known(s));
        self.reset_servers.retain(known);
        self.attempt_ended_at.retain(|_, at| now - *at < ATTEMPT_GAP);
    }

    /// The number of servers with any state.
    pub fn tracked_entries(&self) -> usize {
        let listed = self.addresses.keys().chain(self.last_alive.keys()).chain(self.last_checked.keys());
        listed.chain(&self.reset_servers).collect::<BTreeSet<_>>().len()
    }

    /// Opens another connection, whose end shows whether the server is lost. Returns false if the server has
    /// no address.
    pub fn check_server(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) -> bool {
        let dialling = self.links.values().any(|l| l.server == *server && !l.is_open);
        let checked_lately = self.last_checked.get(server).is_some_and(|at| now - *at < CHECK_INTERVAL);
        if dialling || checked_lately {
            return true;
        }
        self.last_checked.insert(server.clone(), now);
        self.dial(now, server, out).is_some()
    }

    /// Whether a connection to a server is open.
    pub fn is_connected_to(&self, server: &ServerId) -> bool {
        self.links.values().any(|l| l.server == *server && l.is_up())
    }
}
