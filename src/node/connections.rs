//! Connections that come up, bring bytes, make room for others, and end.

use std::collections::BTreeSet;

use super::viewer_conn::ViewerConn;
use super::{Node, Protocol};
use crate::api::*;
use crate::broker::Input;
use crate::platform::links::{Command, ConnId, ConnectionEnd, LostConnection, ServerStatus};

impl Node {
    /// A number for a connection.
    pub fn allocate_conn_id(&mut self) -> ConnId {
        self.links.allocate_conn_id()
    }

    /// A client's connection was accepted.
    pub fn accepted(&mut self, now: Micros, conn: ConnId, front: Protocol) {
        if front == Protocol::Whip {
            if let Some(whip) = &mut self.whip {
                whip.accepted(now, conn);
            }
            return;
        }
        self.viewers.insert(conn, ViewerConn { last_used: now, ..ViewerConn::default() });
    }

    /// A connection to a server has come up.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        self.links.opened(now, conn, out);
        self.pool.opened(now, conn, out);
    }

    /// Bytes came on a connection.
    pub fn bytes(&mut self, now: Micros, conn: ConnId, bytes: &[u8], out: &mut Vec<Command>) {
        if self.links.has(conn) {
            let (server, heard) = self.links.bytes(now, conn, bytes, out);
            for heard in heard {
                self.heard(now, &server, heard, out);
            }
            return;
        }
        if self.pool.has(conn) {
            let mut told = Vec::new();
            self.pool.bytes(now, conn, bytes, &mut told, out);
            return self.told(now, told, out);
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            self.whip(now, out, |whip, sure, wishes| whip.bytes(now, conn, bytes, sure, wishes));
            return;
        }
        let Some(c) = self.viewers.get_mut(&conn).filter(|c| !c.is_closing && !c.has_reused_id) else {
            return;
        };
        c.decoder.feed(bytes);
        loop {
            let Some(c) = self.viewers.get_mut(&conn).filter(|c| !c.is_closing && !c.has_reused_id) else {
                return;
            };
            match c.decoder.next_message(now, &self.names, &self.settings) {
                Ok(Some(said)) => {
                    (c.last_used, c.partial_since, c.has_spoken) = (now, None, true);
                    self.said(now, conn, said, out);
                }
                Ok(None) => {
                    c.partial_since =
                        if c.decoder.has_partial_message() { c.partial_since.or(Some(now)) } else { None };
                    return self.let_all_go(out);
                }
                Err(error) => {
                    c.is_closing = true;
                    return out.push(Command::Close(conn, error.code()));
                }
            }
        }
    }

    /// Descriptors are short: of the clients' connections that no set-up waits on the one goes that never said
    /// anything, else one that no session was set up on, else the one that has been idle the longest.
    pub fn make_room(&mut self, now: Micros, out: &mut Vec<Command>) {
        let homes: BTreeSet<ConnId> = self.homes.values().copied().collect();
        let idle = self.viewers.iter().filter(|(_, c)| !c.is_closing && c.unanswered.is_empty());
        let viewer = idle.map(|(conn, c)| ((c.has_spoken, homes.contains(conn), c.last_used), *conn)).min();
        let http = self.whip.as_ref().and_then(|whip| whip.longest_idle());
        match (viewer, http) {
            (Some(((spoke, _, used), conn)), http) if http.is_none_or(|(of, _)| (spoke, used) <= of) => {
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.is_closing = true;
                }
                out.push(Command::CloseIfQuiet(conn, "no-room"));
            }
            (_, Some((_, conn))) => {
                self.whip(now, out, |whip, _, wishes| whip.let_go(conn, wishes));
            }
            (_, None) => {}
        }
    }

    /// The end of an attempt that was given up is written on its connection, or the attempt never left.
    pub fn withdrawn(&mut self, now: Micros, conn: ConnId, id: SessionId, out: &mut Vec<Command>) {
        if let Some(server) = self.links.withdrawn(now, conn, id) {
            self.tell(now, Input::Withdrawn { id, server }, out);
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: &ConnectionEnd, out: &mut Vec<Command>) {
        let unfinished = match how {
            ConnectionEnd::Ended { unfinished, .. } => unfinished.as_slice(),
            ConnectionEnd::Refused | ConnectionEnd::NoAnswer | ConnectionEnd::Unopened => &[],
        };
        if let Some(c) = self.viewers.remove(&conn) {
            self.homes.retain(|_, home| *home != conn);
            // Nobody waits there any more, and an answer that was not written whole was heard by nobody.
            for id in c.unanswered.iter().chain(unfinished) {
                self.tell(now, Input::ClientLeft(*id), out);
            }
            return;
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            self.whip(now, out, |whip, _, wishes| whip.closed(now, conn, unfinished, wishes));
            return;
        }
        if self.pool.has(conn) {
            let mut told = Vec::new();
            self.pool.closed(now, conn, how, &mut told, out);
            return self.told(now, told, out);
        }
        let Some(LostConnection { server, ended_set_ups, withdrawn, server_status }) =
            self.links.closed(now, conn, how)
        else {
            return;
        };
        for id in withdrawn {
            self.tell(now, Input::Withdrawn { id, server: server.clone() }, out);
        }
        for (id, status) in ended_set_ups {
            let load = Load::default();
            self.tell(now, Input::Ended { id, server: server.clone(), status, load }, out);
        }
        if !self.broker.has_established_at(&server) {
            return;
        }
        let drains = self.servers.get(&server).is_some_and(|(state, _)| *state == ServerState::Draining);
        match server_status {
            ServerStatus::Up => {}
            ServerStatus::Unsure => self.check_server(now, &server, out),
            ServerStatus::RefusesConnections if drains => {}
            ServerStatus::RefusesConnections | ServerStatus::Lost => {
                self.tell(now, Input::ServerLost(server), out)
            }
        }
    }
}
