//! Connections to edge servers: few for each, many sessions on one. Sessions that stand belong to none of them.

mod ends;
mod link;
mod withdrawal;
mod words;
mod writing;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::timings::Timings;
use crate::api::{Micros, Note, ServerId, ServerState, SessionId, Status};
use crate::message::cause;
use link::Link;
pub use withdrawal::Withdrawal;
pub use words::{Command, ConnectionEnd, LostConnection, ServerMessage, ServerStatus};

/// A connection, counted from the start of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// All connections to edge servers.
#[derive(Debug)]
pub struct Links {
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The same the other way round: no two servers are at one address.
    at: BTreeMap<SocketAddr, ServerId>,
    links: BTreeMap<ConnId, Link>,
    /// When a server was last heard of, or found to accept a connection.
    alive: BTreeMap<ServerId, Micros>,
    /// Servers that reset a connection and have accepted none since.
    reset: BTreeSet<ServerId>,
    /// When a server was last checked.
    checked: BTreeMap<ServerId, Micros>,
    /// Sessions whose last attempt ended just now, and when.
    ended: BTreeMap<SessionId, Micros>,
    /// Attempts that were given up and whose end is not written yet, with their connections.
    withdrawals: BTreeMap<SessionId, ConnId>,
    next: u64,
    timings: Timings,
    /// When the last note on a link's load came, of any server.
    noted: Micros,
}

/// What a set-up's or a session's release tells.
pub fn status(cause: u8, stands: bool) -> Status {
    match (stands, cause) {
        (true, cause::NORMAL) => Status::Completed,
        (true, cause::CANCELLED) => Status::Cancelled,
        (false, cause::FULL) => Status::Saturated,
        (false, cause::ERROR) => Status::Errored,
        (false, cause::MOOT) => Status::Moot,
        _ => Status::Reset,
    }
}

impl Links {
    /// No connections yet.
    pub fn new(timings: Timings) -> Links {
        let (addresses, at) = (BTreeMap::new(), BTreeMap::new());
        let (links, alive) = (BTreeMap::new(), BTreeMap::new());
        let (reset, checked, ended) = (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let withdrawals = BTreeMap::new();
        let (next, noted) = (0, Micros(0));
        Links { addresses, at, links, alive, reset, checked, ended, withdrawals, next, timings, noted }
    }

    /// Notes where a server listens. Gives the server that had the address before, which is lost: a new server
    /// may have the address of one that has gone, and what is meant for the old one must not reach the new. For
    /// the same reason a server that comes at another address is another one: it is given too, and its
    /// connections are cut.
    pub fn listed(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        state: ServerState,
        out: &mut Vec<Command>,
    ) -> Vec<ServerId> {
        if state == ServerState::Gone {
            self.forget(server);
            return Vec::new();
        }
        if self.addresses.get(server) == Some(&address) {
            return Vec::new();
        }
        let mut lost = Vec::new();
        if let Some(old) = self.addresses.insert(server.clone(), address) {
            self.at.remove(&old);
            lost.push(server.clone());
            self.alive.remove(server);
            self.reset.remove(server);
            self.checked.remove(server);
            for (conn, link) in self.links.iter_mut().filter(|(_, l)| l.server == *server && !l.broken) {
                link.broken = true;
                out.push(Command::Abort(*conn, "moved"));
            }
        }
        if let Some(before) = self.at.insert(address, server.clone()) {
            self.addresses.remove(&before);
            lost.push(before);
        }
        lost
    }

    /// A server has left the list.
    pub fn forget(&mut self, server: &ServerId) {
        if let Some(address) = self.addresses.remove(server) {
            self.at.remove(&address);
        }
    }

    /// Whether a server is one of these.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.addresses.contains_key(server)
    }

    /// Whether it is one of these connections.
    pub fn has(&self, conn: ConnId) -> bool {
        self.links.contains_key(&conn)
    }

    /// Set-ups that are out on a connection, or wait for it.
    pub fn set_ups_on(&self, conn: ConnId) -> usize {
        self.links.get(&conn).map_or(0, |link| link.set_ups.len())
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Numbers for connections of other fronts come from here too.
    pub fn number(&mut self) -> ConnId {
        self.next += 1;
        ConnId(self.next)
    }

    fn usable(&self, now: Micros, server: &ServerId) -> Option<ConnId> {
        let Timings { idle, idle_spare, .. } = self.timings;
        let good = |l: &Link| {
            l.server == *server
                && !l.suspect
                && !l.broken
                && !l.left
                && (!l.open || idle == Micros(0) || now - l.used.max(l.heard) + idle_spare < idle)
        };
        self.links.iter().filter(|(_, l)| good(l)).max_by_key(|(id, l)| (l.open, **id)).map(|(id, _)| *id)
    }

    fn dial(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) -> Option<ConnId> {
        let address = *self.addresses.get(server)?;
        let conn = self.number();
        let link = Link { server: server.clone(), heard: now, used: now, ..Link::default() };
        self.links.insert(conn, link);
        out.push(Command::Dial(conn, address));
        Some(conn)
    }

    /// Opens a connection where none is, so that a server's notes and releases have a way.
    pub fn ensure_connected(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) {
        if self.usable(now, server).is_none() {
            self.dial(now, server, out);
        }
    }

    /// The same for a server with sessions that another process held: how long it was not heard of counts from now.
    pub fn ensure_connected_after_handover(
        &mut self,
        now: Micros,
        server: &ServerId,
        out: &mut Vec<Command>,
    ) {
        if self.addresses.contains_key(server) {
            self.alive.entry(server.clone()).or_insert(now);
        }
        self.ensure_connected(now, server, out);
    }

    /// Other times of servers from now on: when they close idle connections, and how often and late they tell.
    pub fn update_timings(&mut self, timings: Timings) {
        self.timings = timings;
    }

    /// A connection has come up.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.open, link.heard) = (true, now);
        // It leads to where the server was before: that it came up says nothing of the server now.
        if link.broken {
            return;
        }
        link.write_due(now, conn, out);
        let server = link.server.clone();
        self.alive.insert(server.clone(), now);
        self.reset.remove(&server);
        // The ones before it said nothing for too long, or are about to be closed. A release may be on its way on
        // them and would not be written again: they are read to their end.
        for (id, old) in self.links.iter_mut().filter(|(id, l)| **id != conn && l.server == server) {
            if old.up() && old.set_ups.is_empty() {
                old.left = true;
                out.push(Command::LingeringClose(*id, "replaced"));
            }
        }
    }

    /// Takes bytes of a connection in; gives what was heard. Behind what can't be read nothing more is, and the
    /// connection ends.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        out: &mut Vec<Command>,
    ) -> (ServerId, Vec<ServerMessage>) {
        let mut heard = Vec::new();
        let Some(link) = self.links.get_mut(&conn).filter(|l| !l.broken) else {
            return (ServerId::default(), heard);
        };
        (link.heard, link.suspect) = (now, false);
        self.alive.insert(link.server.clone(), now);
        link.decoder.feed(bytes);
        if let Err(error) = link.read(&mut heard) {
            link.broken = true;
            out.push(Command::Abort(conn, error.code()));
        }
        if heard.iter().any(|heard| matches!(heard, ServerMessage::Note(_, Note::Link(_)))) {
            self.noted = now;
        }
        link.begun = if link.decoder.has_partial_message() { link.begun.or(Some(now)) } else { None };
        (link.server.clone(), heard)
    }
}

#[cfg(test)]
mod tests;
