//! The end of a process: what it still does, and the work that keeps it running.

use super::Node;
use crate::api::{Micros, ServerId, SessionId};
use crate::broker::{Input, OpenRequest};
use crate::platform::links::{Command, ConnId};

/// The remaining work that keeps a process running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Requests without a final answer.
    pub unanswered: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Client connections of the platform's front.
    pub clients: usize,
    /// Sessions whose end the media server has not acknowledged.
    pub unheard_ends: usize,
}

/// An unanswered request that keeps a process running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// The id of the request.
    pub id: SessionId,
    /// The name of its class.
    pub class: String,
    /// The client connection; none for HTTP.
    pub conn: Option<ConnId>,
    /// The server of the attempt in flight; none while the request waits for a server.
    pub server: Option<ServerId>,
    /// The time by which the request is answered at the latest.
    pub due: Micros,
}

impl Node {
    /// Sets the time by which each request must have its answer, as the process ends.
    pub fn set_shutdown_deadline(&mut self, now: Micros, at: Micros, out: &mut Vec<Command>) {
        self.release_from_script(now, out);
        self.handle_input(now, Input::ShutdownDeadline(at), out);
    }

    /// Fails health checks and stops keeping HTTP connections from now on, so that clients go elsewhere.
    /// Takes no more warm-up turns: they belong to the next process, which may have the same broker index and
    /// start at once.
    pub fn stop(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.begin_shutdown();
        self.release_from_script(now, out);
        self.handle_input(now, Input::WarmUpTurnsFrom(Micros::MAX), out);
        if let Some(whip) = &mut self.whip {
            whip.keep(false);
        }
    }

    /// Releases all sessions, as the program exits and no process would hold them.
    pub fn shut_down(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.release_from_script(now, out);
        self.handle_input(now, Input::Shutdown, out);
        self.close_clients_when_stopping(out);
    }

    /// Returns the remaining work.
    pub fn remaining(&self) -> Remaining {
        let (unanswered, playing) = self.open_counts();
        Remaining { unanswered, playing, clients: self.viewers.len(), unheard_ends: self.unheard_ends() }
    }

    /// The number of requests that would fail if a connection ended now: requests of its client, or set-ups
    /// sent on it.
    pub fn unanswered_on(&self, conn: ConnId) -> usize {
        let of_client = self.viewers.get(&conn).map(|client| client.unanswered.len());
        of_client.unwrap_or_else(|| self.links.set_ups_on(conn))
    }

    /// Returns at most `limit` unanswered requests, those with the latest deadlines.
    pub fn last_due(&self, limit: usize) -> Vec<UnansweredRequest> {
        let unanswered = |open: OpenRequest| UnansweredRequest {
            class: super::name_at(&self.names.classes, open.class).to_owned(),
            conn: self.session_conns.get(open.id),
            id: open.id,
            server: open.server,
            due: open.due,
        };
        self.broker.last_due(limit).into_iter().map(unanswered).collect()
    }
}
