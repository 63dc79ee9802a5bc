//! Connections to edge servers: a few for each server, shared by many sessions. An established session is not
//! tied to a connection.

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

/// The id of a connection, counted from the start of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// All connections to edge servers.
#[derive(Debug)]
pub struct Links {
    /// The address of each listed server.
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The reverse of `addresses`: no two servers share an address.
    server_at: BTreeMap<SocketAddr, ServerId>,
    links: BTreeMap<ConnId, Link>,
    /// When each server last sent something or accepted a connection.
    last_alive: BTreeMap<ServerId, Micros>,
    /// Servers that reset a connection and have accepted none since.
    reset_servers: BTreeSet<ServerId>,
    /// When each server was last checked.
    last_checked: BTreeMap<ServerId, Micros>,
    /// Sessions whose last attempt has just ended, with the time of that.
    attempt_ended_at: BTreeMap<SessionId, Micros>,
    /// Withdrawn attempts whose release has not been written yet, with their connections.
    withdrawals: BTreeMap<SessionId, ConnId>,
    /// The connection id that was given out last.
    last_conn_id: u64,
    timings: Timings,
    /// When the last note on a link's load arrived from any server.
    last_link_note: Micros,
}

/// Returns the status that a release reports, for a set-up or an established session.
pub fn release_status(cause: u8, is_established: bool) -> Status {
    match (is_established, cause) {
        (true, cause::NORMAL) => Status::Completed,
        (true, cause::CANCELLED) => Status::Cancelled,
        (false, cause::FULL) => Status::Saturated,
        (false, cause::ERROR) => Status::Errored,
        (false, cause::MOOT) => Status::Moot,
        _ => Status::Reset,
    }
}

impl Links {
    /// Creates an empty set of connections.
    pub fn new(timings: Timings) -> Links {
        let (addresses, server_at) = (BTreeMap::new(), BTreeMap::new());
        let (links, last_alive) = (BTreeMap::new(), BTreeMap::new());
        let (reset_servers, last_checked, attempt_ended_at) =
            (BTreeSet::new(), BTreeMap::new(), BTreeMap::new());
        let withdrawals = BTreeMap::new();
        let (last_conn_id, last_link_note) = (0, Micros(0));
        Links {
            addresses,
            server_at,
            links,
            last_alive,
            reset_servers,
            last_checked,
            attempt_ended_at,
            withdrawals,
            last_conn_id,
            timings,
            last_link_note,
        }
    }

    /// Sets the address of a server and returns the servers that are lost by this. A server that had the
    /// address before is lost: an address may be reused, and what is meant for the old server must not reach
    /// the new one. For the same reason a server at a new address counts as another server: it is returned
    /// too, and its connections are aborted.
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
            self.server_at.remove(&old);
            lost.push(server.clone());
            self.last_alive.remove(server);
            self.reset_servers.remove(server);
            self.last_checked.remove(server);
            for (conn, link) in self.links.iter_mut().filter(|(_, l)| l.server == *server && !l.is_broken) {
                link.is_broken = true;
                out.push(Command::Abort(*conn, "moved"));
            }
        }
        if let Some(before) = self.server_at.insert(address, server.clone()) {
            self.addresses.remove(&before);
            lost.push(before);
        }
        lost
    }

    /// Removes a server that has left the list.
    pub fn forget(&mut self, server: &ServerId) {
        if let Some(address) = self.addresses.remove(server) {
            self.server_at.remove(&address);
        }
    }

    /// Whether a server is one of the platform's edge servers.
    pub fn knows(&self, server: &ServerId) -> bool {
        self.addresses.contains_key(server)
    }

    /// Whether a connection is one to an edge server.
    pub fn has(&self, conn: ConnId) -> bool {
        self.links.contains_key(&conn)
    }

    /// The number of set-ups that were sent on a connection or wait for it.
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

    /// Returns a new connection id. Other fronts number their connections here too.
    pub fn allocate_conn_id(&mut self) -> ConnId {
        self.last_conn_id += 1;
        ConnId(self.last_conn_id)
    }

    /// Returns the connection to a server that new messages go out on. One that is about to reach the idle
    /// timeout of the server carries nothing new.
    fn usable_link(&self, now: Micros, server: &ServerId) -> Option<ConnId> {
        let Timings { server_idle_timeout, idle_margin, .. } = self.timings;
        let is_usable = |l: &Link| {
            l.server == *server
                && !l.is_suspect
                && !l.is_broken
                && !l.is_retired
                && (!l.is_open
                    || server_idle_timeout == Micros(0)
                    || now - l.last_used.max(l.last_received) + idle_margin < server_idle_timeout)
        };
        self.links
            .iter()
            .filter(|(_, l)| is_usable(l))
            .max_by_key(|(id, l)| (l.is_open, **id))
            .map(|(id, _)| *id)
    }

    /// Opens a connection to a server, unless its address is unknown.
    fn dial(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) -> Option<ConnId> {
        let address = *self.addresses.get(server)?;
        let conn = self.allocate_conn_id();
        let link = Link { server: server.clone(), last_received: now, last_used: now, ..Link::default() };
        self.links.insert(conn, link);
        out.push(Command::Dial(conn, address));
        Some(conn)
    }

    /// Opens a connection to a server that has none, to receive its notes and releases.
    pub fn ensure_connected(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Command>) {
        if self.usable_link(now, server).is_none() {
            self.dial(now, server, out);
        }
    }

    /// Does the same for a server with sessions taken over from another process: its silence counts from now.
    pub fn ensure_connected_after_handover(
        &mut self,
        now: Micros,
        server: &ServerId,
        out: &mut Vec<Command>,
    ) {
        if self.addresses.contains_key(server) {
            self.last_alive.entry(server.clone()).or_insert(now);
        }
        self.ensure_connected(now, server, out);
    }

    /// Replaces the time limits: when servers close idle connections, and how often and how late they send
    /// notes.
    pub fn update_timings(&mut self, timings: Timings) {
        self.timings = timings;
    }

    /// Handles a connection that has been established.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        (link.is_open, link.last_received) = (true, now);
        // The connection leads to the previous address of the server, so it says nothing about the server
        // now.
        if link.is_broken {
            return;
        }
        link.write_due(now, conn, out);
        let server = link.server.clone();
        self.last_alive.insert(server.clone(), now);
        self.reset_servers.remove(&server);
        // Older connections were silent for too long or are about to be closed. A release may be in flight on
        // them and is not sent again, so they are read to their end.
        for (id, old) in self.links.iter_mut().filter(|(id, l)| **id != conn && l.server == server) {
            if old.is_up() && old.set_ups.is_empty() {
                old.is_retired = true;
                out.push(Command::LingeringClose(*id, "replaced"));
            }
        }
    }

    /// Decodes bytes received on a connection and returns its server and messages. A malformed message ends
    /// the connection, and nothing after it is read.
    pub fn bytes(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        out: &mut Vec<Command>,
    ) -> (ServerId, Vec<ServerMessage>) {
        let mut messages = Vec::new();
        let Some(link) = self.links.get_mut(&conn).filter(|l| !l.is_broken) else {
            return (ServerId::default(), messages);
        };
        (link.last_received, link.is_suspect) = (now, false);
        self.last_alive.insert(link.server.clone(), now);
        link.decoder.feed(bytes);
        if let Err(error) = link.read_messages(&mut messages) {
            link.is_broken = true;
            out.push(Command::Abort(conn, error.code()));
        }
        if messages.iter().any(|message| matches!(message, ServerMessage::Note(_, Note::Link(_)))) {
            self.last_link_note = now;
        }
        link.partial_since =
            if link.decoder.has_partial_message() { link.partial_since.or(Some(now)) } else { None };
        (link.server.clone(), messages)
    }
}

#[cfg(test)]
mod tests;
