//! The last check of a set-up before it is written: who waits for it, where it goes, and whether it is still
//! wanted there.
//!
//! Between the decision and the write, a connection may have to be established, the bytes may wait in a
//! queue, and the process may be suspended. What was true at the decision may be false by then.

use super::Node;
use crate::api::*;
use crate::broker::Input;
use crate::platform::links::{Command, ConnId};

/// How much longer than the connect timeout a set-up may wait before the core decides again. By then its
/// warm-up turn and the known load of the server are out of date.
const SET_UP_WAIT_MARGIN: Micros = Micros(250_000);

impl Node {
    /// Returns the client connections that wait for a request. Their input is read before an attempt is sent.
    pub fn requesting_connections(&self, id: SessionId) -> Vec<ConnId> {
        match self.session_conns.get(id) {
            Some(client_conn) => vec![client_conn],
            None => self.whip.iter().flat_map(|whip| whip.waiters(id)).collect(),
        }
    }

    /// Whether a set-up may be sent on a server connection now. One that may not is withdrawn, and its
    /// attempt ends without having run.
    pub fn may_send_set_up(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        out: &mut Vec<Command>,
    ) -> bool {
        // Timers run first: the attempt may have timed out, or the client may have gone.
        self.handle_input(now, Input::Tick, out);
        // A paid set-up that was sent completes even if its client has gone; one that was not sent is
        // dropped.
        self.with_whip(now, out, |whip, _, actions| {
            whip.deserted(now, id, actions);
        });
        let target = self.links.carries(conn, id).or_else(|| self.pool.carries(conn, id)).cloned();
        let max_wait = self.timings.connect_timeout + SET_UP_WAIT_MARGIN;
        let is_fresh =
            |server: &ServerId| self.broker.sent_at(id, server).is_some_and(|sent| now - sent <= max_wait);
        if target.as_ref().is_some_and(|server| is_fresh(server) && self.broker.accepts_new(server)) {
            return true;
        }
        if self.pool.has(conn) {
            // The exchange is the only one on its connection, and ends unsent together with it.
            out.push(Command::Abort(conn, "withdrawn"));
            return false;
        }
        self.links.withdraw(conn, id, out);
        let Some(server) = target else { return false };
        let (status, load) = (Status::Moot, Load::default());
        self.handle_input(now, Input::Ended { id, server, status, load }, out);
        false
    }
}
