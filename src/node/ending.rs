//! The end of a process: what it still does, and what it still waits for.

use super::Node;
use crate::api::{Micros, ServerId, SessionId};
use crate::broker::{Input, OpenRequest};
use crate::platform::links::{Command, ConnId};

/// How much of each kind keeps a process up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Requests that are owed an answer.
    pub unanswered: usize,
    /// Sessions that play.
    pub playing: usize,
    /// Clients' connections of the platform's front.
    pub clients: usize,
    /// Sessions at media servers whose end these have not heard yet.
    pub unheard_ends: usize,
}

/// A request that keeps a process up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request.
    pub id: SessionId,
    /// Name of its class.
    pub class: String,
    /// The connection of its client; none over HTTP.
    pub conn: Option<ConnId>,
    /// The server that an attempt is out at; none: it waits for one.
    pub server: Option<ServerId>,
    /// When it is answered at the latest.
    pub due: Micros,
}

impl Node {
    /// The process ends: by then each request must have its answer.
    pub fn set_shutdown_deadline(&mut self, now: Micros, at: Micros, out: &mut Vec<Command>) {
        self.tell(now, Input::ShutdownDeadline(at), out);
    }

    /// From now on tests fail and no HTTP connection is kept, so that clients go elsewhere. Turns at cold servers are
    /// the next process's, which may have the same number and start at once.
    pub fn stop(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.begin_shutdown();
        self.tell(now, Input::WarmUpTurnsFrom(Micros::MAX), out);
        if let Some(whip) = &mut self.whip {
            whip.keep(false);
        }
    }

    /// The program ends: nothing may be left standing that nobody holds.
    pub fn end(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.tell(now, Input::Shutdown, out);
        self.let_all_go(out);
    }

    /// What is still waited for.
    pub fn remaining(&self) -> Remaining {
        let (unanswered, playing) = self.held();
        Remaining { unanswered, playing, clients: self.viewers.len(), unheard_ends: self.ending() }
    }

    /// Requests that a connection takes with it if it ends now: those of its client, or set-ups that are out on it.
    pub fn unanswered_on(&self, conn: ConnId) -> usize {
        let of_client = self.viewers.get(&conn).map(|client| client.open.len());
        of_client.unwrap_or_else(|| self.links.set_ups_on(conn))
    }

    /// The requests whose answers may come last, so many at most.
    pub fn last_due(&self, most: usize) -> Vec<HeldRequest> {
        let held = |open: OpenRequest| HeldRequest {
            class: super::named(&self.names.classes, open.class).to_owned(),
            conn: self.homes.get(&open.id).copied(),
            id: open.id,
            server: open.server,
            due: open.due,
        };
        self.broker.last_due(most).into_iter().map(held).collect()
    }
}
