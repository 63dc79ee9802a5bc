//! Messages to edge servers: set-ups, releases and changes of rate.

use super::link::{Link, Queued};
use super::{Command, ConnId, Links};
use crate::api::{Micros, Rung, ServerId, SessionId, Status};
use crate::broker::SetUp;
use crate::message::binary::{Builder, code};
use crate::message::{Kind, cause};

impl Links {
    /// Writes or queues bytes for a server, and opens a connection if there is none. Returns false if the
    /// server has no address.
    pub(super) fn write(
        &mut self,
        now: Micros,
        server: &ServerId,
        bytes: Vec<u8>,
        set_up: Option<SessionId>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(conn) = self.usable_link(now, server).or_else(|| self.dial(now, server, out)) else {
            return false;
        };
        let not_before = set_up.map_or(Micros(0), |id| self.earliest_send(id));
        let Some(link) = self.links.get_mut(&conn) else { return false };
        link.last_used = now;
        if let Some(id) = set_up {
            link.set_ups.insert(id, now);
        }
        if link.is_open && not_before <= now {
            out.push(Command::Write(conn, bytes, set_up));
        } else {
            link.queue.push(Queued { set_up, bytes, not_before });
        }
        true
    }

    /// Sends a set-up. An error is the status of an attempt that ended at once without having run.
    pub fn set_up(
        &mut self,
        now: Micros,
        s: &SetUp,
        class: &str,
        out: &mut Vec<Command>,
    ) -> Result<(), Status> {
        let mut message = Builder::new(Kind::SetUp, s.id)
            .with(code::CLASS, class.as_bytes())
            .with(code::WAIT, (s.wait.0 / 1000).to_string().as_bytes())
            .with(code::TITLE, s.title.as_bytes());
        if let Some(rung) = s.rung {
            message = message.with(code::RUNG, rung.0.to_string().as_bytes());
        }
        let bytes = message.with(code::DESCRIPTION, &s.offer).finish().map_err(|_| Status::Moot)?;
        if self.write(now, &s.server, bytes, Some(s.id), out) { Ok(()) } else { Err(Status::ConnectFailed) }
    }

    /// Returns the server of a set-up on a connection, if the set-up is still wanted there.
    pub fn carries(&self, conn: ConnId, id: SessionId) -> Option<&ServerId> {
        self.links.get(&conn).filter(|l| l.set_ups.contains_key(&id)).map(|l| &l.server)
    }

    /// Withdraws a set-up that has not been written.
    pub fn withdraw(&mut self, conn: ConnId, id: SessionId, out: &mut Vec<Command>) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.set_ups.remove(&id);
        }
        out.push(Command::Withdraw(conn, id, Vec::new()));
    }

    /// Closes the least recently used connection when descriptors are short, out of those without set-ups and
    /// queued writes to servers that are not `busy`.
    pub fn close_idle(&mut self, busy: impl Fn(&ServerId) -> bool, out: &mut Vec<Command>) {
        let idle = |l: &Link| {
            l.is_up() && !l.is_broken && l.set_ups.is_empty() && l.queue.is_empty() && !busy(&l.server)
        };
        let spare = self.links.iter_mut().filter(|(_, l)| idle(l)).min_by_key(|(_, l)| l.last_used);
        if let Some((conn, link)) = spare {
            link.is_retired = true;
            out.push(Command::Close(*conn, "no-room"));
        }
    }

    /// The time at which [`Links::write_due`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        let open = self.links.values().filter(|l| l.is_open && !l.is_broken);
        open.flat_map(|l| &l.queue).map(|queued| queued.not_before).min()
    }

    /// Writes what has waited for its time.
    pub fn write_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        for (conn, link) in self.links.iter_mut().filter(|(_, l)| !l.queue.is_empty()) {
            link.write_due(now, *conn, out);
        }
    }

    /// Whether a set-up is still queued, so that it certainly has not run.
    pub fn waits(&self, id: SessionId) -> bool {
        self.links.values().any(|l| l.queue.iter().any(|queued| queued.set_up == Some(id)))
    }

    /// Whether any write waits for a connection or for its time.
    pub fn has_queued_writes(&self) -> bool {
        self.links.values().any(|l| !l.queue.is_empty())
    }

    /// Ends a session or an attempt that was given up.
    pub fn release(&mut self, now: Micros, id: SessionId, server: &ServerId, out: &mut Vec<Command>) {
        if let Ok(bytes) = Builder::new(Kind::Release, id).cause(cause::NORMAL).finish() {
            self.write(now, server, bytes, None, out);
        }
    }

    /// Tells a server the new rung of a session.
    pub fn rate(
        &mut self,
        now: Micros,
        id: SessionId,
        server: &ServerId,
        rung: Rung,
        out: &mut Vec<Command>,
    ) {
        if let Ok(bytes) =
            Builder::new(Kind::Rate, id).with(code::RUNG, rung.0.to_string().as_bytes()).finish()
        {
            self.write(now, server, bytes, None, out);
        }
    }
}
