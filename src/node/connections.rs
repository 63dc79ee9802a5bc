//! Connection events: accepted, opened, bytes received, closed; and which connection is closed when
//! descriptors run short.

use super::viewer_conn::ViewerConn;
use super::{Node, Protocol};
use crate::api::*;
use crate::broker::Input;
use crate::platform::links::{Command, ConnId, ConnectionEnd, LostConnection, ServerStatus};

impl Node {
    /// Returns a new connection id.
    pub fn allocate_conn_id(&mut self) -> ConnId {
        self.links.allocate_conn_id()
    }

    /// Handles a connection accepted from a client.
    pub fn accepted(&mut self, now: Micros, conn: ConnId, protocol: Protocol) {
        if protocol == Protocol::Whip {
            if let Some(whip) = &mut self.whip {
                whip.accepted(now, conn);
            }
            return;
        }
        self.viewers.insert(conn, ViewerConn { last_used: now, ..ViewerConn::default() });
    }

    /// Handles a connection to a server that has been established.
    pub fn opened(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        self.links.opened(now, conn, out);
        self.pool.opened(now, conn, out);
    }

    /// The memory that the bytes received on a client connection and not handled yet hold, in bytes.
    pub fn held_input_bytes(&self, conn: ConnId) -> usize {
        match self.viewers.get(&conn) {
            Some(viewer) => viewer.decoder.held_bytes(),
            None => self.whip.as_ref().map_or(0, |whip| whip.held_bytes(conn)),
        }
    }

    /// Handles bytes received on a connection.
    pub fn bytes(&mut self, now: Micros, conn: ConnId, bytes: &[u8], out: &mut Vec<Command>) {
        if self.links.has(conn) {
            let (server, messages) = self.links.bytes(now, conn, bytes, out);
            for message in messages {
                self.handle_server_message(now, &server, message, out);
            }
            return;
        }
        if self.pool.has(conn) {
            let mut events = Vec::new();
            self.pool.bytes(now, conn, bytes, &mut events, out);
            return self.handle_pool_events(now, events, out);
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            self.with_whip(now, out, |whip, nothing_ran, actions| {
                whip.bytes(now, conn, bytes, nothing_ran, actions)
            });
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
                Ok(Some(message)) => {
                    (c.last_used, c.partial_since, c.has_spoken) = (now, None, true);
                    self.handle_viewer_message(now, conn, message, out);
                }
                Ok(None) => {
                    c.partial_since =
                        if c.decoder.has_partial_message() { c.partial_since.or(Some(now)) } else { None };
                    return self.close_clients_when_stopping(out);
                }
                Err(error) => {
                    c.is_closing = true;
                    return out.push(Command::Close(conn, error.code()));
                }
            }
        }
    }

    /// Closes one client connection when descriptors are short. Among connections without unanswered set-ups,
    /// one that never sent a message goes first, then one without a session, then the one idle the longest.
    pub fn make_room(&mut self, now: Micros, out: &mut Vec<Command>) {
        let idle = self.viewers.iter().filter(|(_, c)| !c.is_closing && c.unanswered.is_empty());
        let viewer = idle
            .map(|(conn, c)| ((c.has_spoken, self.session_conns.has_session_on(*conn), c.last_used), *conn))
            .min();
        let http = self.whip.as_ref().and_then(|whip| whip.longest_idle());
        match (viewer, http) {
            (Some(((has_spoken, _, last_used), conn)), http)
                if http.is_none_or(|(rank, _)| (has_spoken, last_used) <= rank) =>
            {
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.is_closing = true;
                }
                out.push(Command::CloseIfQuiet(conn, "no-room"));
            }
            (_, Some((_, conn))) => {
                self.with_whip(now, out, |whip, _, actions| whip.let_go(conn, actions));
            }
            (_, None) => {}
        }
    }

    /// Handles the end of a withdrawal: the release was written on the connection of the attempt, or the
    /// attempt was never written.
    pub fn withdrawn(&mut self, now: Micros, conn: ConnId, id: SessionId, out: &mut Vec<Command>) {
        if let Some(server) = self.links.withdrawn(now, conn, id) {
            self.handle_input(now, Input::Withdrawn { id, server }, out);
        }
    }

    /// Handles a connection that has ended.
    pub fn closed(&mut self, now: Micros, conn: ConnId, how: &ConnectionEnd, out: &mut Vec<Command>) {
        let unfinished = match how {
            ConnectionEnd::Ended { unfinished, .. } => unfinished.as_slice(),
            ConnectionEnd::Refused | ConnectionEnd::NoAnswer | ConnectionEnd::Unopened => &[],
        };
        if let Some(c) = self.viewers.remove(&conn) {
            self.session_conns.remove_conn(conn);
            // The client no longer waits for its requests, and it has not received an answer that was only
            // partly written.
            for id in c.unanswered.iter().chain(unfinished) {
                self.handle_input(now, Input::ClientLeft(*id), out);
            }
            return;
        }
        if self.whip.as_ref().is_some_and(|whip| whip.has(conn)) {
            self.with_whip(now, out, |whip, _, actions| whip.closed(now, conn, unfinished, actions));
            return;
        }
        if self.pool.has(conn) {
            let mut events = Vec::new();
            self.pool.closed(now, conn, how, &mut events, out);
            return self.handle_pool_events(now, events, out);
        }
        let Some(LostConnection { server, ended_set_ups, withdrawn, server_status }) =
            self.links.closed(now, conn, how)
        else {
            return;
        };
        for id in withdrawn {
            self.handle_input(now, Input::Withdrawn { id, server: server.clone() }, out);
        }
        for (id, status) in ended_set_ups {
            let load = Load::default();
            self.handle_input(now, Input::Ended { id, server: server.clone(), status, load }, out);
        }
        if !self.broker.has_established_at(&server) {
            return;
        }
        let is_draining = self.servers.get(&server).is_some_and(|(state, _)| *state == ServerState::Draining);
        match server_status {
            ServerStatus::Up => {}
            ServerStatus::Unsure => self.check_server(now, &server, out),
            ServerStatus::RefusesConnections if is_draining => {}
            ServerStatus::RefusesConnections | ServerStatus::Lost => {
                self.handle_input(now, Input::ServerLost(server), out)
            }
        }
    }
}
