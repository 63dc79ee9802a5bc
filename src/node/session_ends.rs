//! The ends of established sessions on their way to the platform's viewers, also while no viewer is connected.

use super::Node;
use crate::api::Micros;
use crate::message::line::Line;
use crate::platform::links::{Command, ConnId};

/// How long a session end waits for a connection to send it on: as long as a drain may take, during which
/// clients have no connection here. A late end is better than none, as the client takes the session for
/// playing until then.
const PENDING_END_LIFETIME: Micros = Micros(60_000_000);
/// Share of the memory for waiting session ends. There may be as many as sessions, as all sessions may end
/// while their clients have no connection here.
const PENDING_ENDS_MEMORY_DIVISOR: usize = 16;
/// Approximate memory of one waiting session end.
const PENDING_END_BYTES: usize = 256;

/// Returns the number of session ends that may wait for a connection, for this amount of memory.
pub(super) fn max_pending_ends(memory: usize) -> usize {
    memory / PENDING_ENDS_MEMORY_DIVISOR / PENDING_END_BYTES
}

impl Node {
    /// Sends the waiting session ends on a connection that has proved to be a viewer's. A health checker's
    /// connection gets none: during a drain, the front's checks were once the only connections.
    pub(super) fn send_pending_ends(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(c) = self.viewers.get_mut(&conn) {
            c.is_viewer = true;
        }
        for (until, bytes) in std::mem::take(&mut self.pending_ends) {
            if until > now {
                out.push(Command::WriteSessionEnd(conn, bytes));
            }
        }
    }

    /// Sends the end of an established session. It belongs to no connection: its end goes out on its own
    /// connection, any other, or the next one.
    pub(super) fn send_session_end(
        &mut self,
        now: Micros,
        client_conn: Option<ConnId>,
        line: &Line,
        out: &mut Vec<Command>,
    ) {
        if let Ok(bytes) = line.encode() {
            self.route_session_end(now, client_conn, bytes, out);
        }
    }

    /// Writes a session end on a suitable viewer connection, or queues it until there is one.
    fn route_session_end(
        &mut self,
        now: Micros,
        client_conn: Option<ConnId>,
        bytes: Vec<u8>,
        out: &mut Vec<Command>,
    ) {
        // What is written on a closing connection reaches nobody.
        let is_usable = |conn: &ConnId| self.viewers.get(conn).is_some_and(|c| !c.is_closing && c.is_viewer);
        match client_conn.filter(is_usable).or_else(|| self.viewers.keys().rev().copied().find(is_usable)) {
            Some(conn) => out.push(Command::WriteSessionEnd(conn, bytes)),
            None => {
                self.pending_ends.push_back((now + PENDING_END_LIFETIME, bytes));
                self.pending_ends.drain(..self.pending_ends.len().saturating_sub(self.max_pending_ends));
            }
        }
    }

    /// Sends session ends again that were not fully written when their connection ended: on another
    /// connection, or on the next one.
    pub fn requeue_session_ends(&mut self, now: Micros, ends: Vec<Vec<u8>>, out: &mut Vec<Command>) {
        for bytes in ends {
            self.route_session_end(now, None, bytes, out);
        }
    }
}
