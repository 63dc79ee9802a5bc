//! The last look at a set-up before its bytes leave: who it is for, where it goes, and whether it is still wanted.
//!
//! Between the decision and the write a connection may have to come up, the bytes may wait behind others, and the
//! process may stand still. What was true at the decision need not be true any more.

use super::Node;
use crate::api::*;
use crate::broker::Input;
use crate::platform::links::{Command, ConnId};

/// How much longer than a connection may take to come up a set-up may wait before it is decided anew: its turn at a
/// cold server, and what was known of the server's load, are over by then.
const SET_UP_WAIT_MARGIN: Micros = Micros(250_000);

impl Node {
    /// The connections of those that a request is asked on. They are heard out before an attempt of it leaves.
    pub fn requesting_connections(&self, id: SessionId) -> Vec<ConnId> {
        match self.session_conns.get(&id) {
            Some(client_conn) => vec![*client_conn],
            None => self.whip.iter().flat_map(|whip| whip.waiters(id)).collect(),
        }
    }

    /// Whether a set-up may leave now on a server's connection. One that may not is taken back, and its attempt has
    /// ended without having run.
    pub fn may_send_set_up(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        out: &mut Vec<Command>,
    ) -> bool {
        // What is due by the clock comes first: an attempt whose time is over, a request whose client is gone.
        self.handle_input(now, Input::Tick, out);
        // A paid set-up that is out runs to its end though its client has gone; one that is not out never begins.
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
            // The exchange is the only one on its connection, and ends with it unsent.
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
