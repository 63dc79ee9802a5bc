//! Attempts that are given up: one is out until the end of it is written, or until its connection is over. No other
//! attempt of the same session leaves before.

use super::{Command, ConnId, Links};
use crate::api::{Micros, ServerId, SessionId};
use crate::message::binary::Builder;
use crate::message::{Kind, cause};
use crate::mutant::{self, Mutant};

/// Time between the written end of one attempt and the next of the same session elsewhere. They travel on different
/// connections, whose ways differ by some milliseconds.
pub(super) const APART: Micros = Micros(5_000);

/// How far the end of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It is over: it never left, or its connection is gone.
    Done,
    /// [`Links::withdrawn`] tells when its end is written, [`Links::closed`] when its connection is over.
    Pending,
}

impl Links {
    /// Gives a set-up up. One that waits for its connection is taken back and never leaves.
    pub fn give_up(
        &mut self,
        now: Micros,
        id: SessionId,
        server: &ServerId,
        out: &mut Vec<Command>,
    ) -> Withdrawal {
        let own = |(_, l): &(&ConnId, &mut super::Link)| l.server == *server && l.set_ups.contains_key(&id);
        let Some((conn, link)) = self.links.iter_mut().find(own) else { return Withdrawal::Done };
        let written = link.set_ups.remove(&id);
        let queued = link.queue.len();
        link.queue.retain(|queued| queued.set_up != Some(id));
        if link.queue.len() < queued {
            return Withdrawal::Done;
        }
        // Not a byte since: a fresh connection shall tell whether the server can be reached at all.
        if written.is_some_and(|at| link.heard < at) {
            link.suspect = true;
        }
        // On the set-up's own connection, behind it: anywhere else it could come later than the next attempt
        // elsewhere, and two would be out at once.
        let Ok(bytes) = Builder::new(Kind::Release, id).cause(cause::NORMAL).finish() else {
            return Withdrawal::Done;
        };
        link.used = now;
        self.withdrawals.insert(id, *conn);
        out.push(Command::Withdraw(*conn, id, bytes));
        if mutant::is_active(Mutant::QueuedIsWritten) {
            self.withdrawals.remove(&id);
            self.ended.insert(id, now);
            return Withdrawal::Done;
        }
        Withdrawal::Pending
    }

    /// The end of an attempt is written on its connection, or not a byte of the attempt ever was. Gives its server, if
    /// that was waited for.
    pub fn withdrawn(&mut self, now: Micros, conn: ConnId, id: SessionId) -> Option<ServerId> {
        let server = self.links.get(&conn)?.server.clone();
        if self.withdrawals.get(&id) != Some(&conn) {
            return None;
        }
        self.withdrawals.remove(&id);
        self.attempt_ended(now, id);
        Some(server)
    }

    /// An attempt is over: the next one of its session may leave a little later.
    pub(super) fn attempt_ended(&mut self, now: Micros, id: SessionId) {
        self.ended.insert(id, now);
        let waiting = self.links.values_mut().flat_map(|link| &mut link.queue);
        for queued in waiting.filter(|queued| queued.set_up == Some(id)) {
            queued.after = queued.after.min(now + APART);
        }
    }

    /// From when on a set-up of a session may leave.
    pub(super) fn may_leave_from(&self, id: SessionId) -> Micros {
        if self.withdrawals.contains_key(&id) {
            return Micros::MAX;
        }
        self.ended.get(&id).map_or(Micros(0), |at| *at + APART)
    }

    /// A connection is over, and with it each attempt that was given up on it.
    pub(super) fn withdrawn_with(&mut self, now: Micros, conn: ConnId) -> Vec<SessionId> {
        let of_conn = self.withdrawals.iter().filter(|(_, on)| **on == conn);
        let ids: Vec<SessionId> = of_conn.map(|(id, _)| *id).collect();
        for id in &ids {
            self.withdrawals.remove(id);
            self.attempt_ended(now, *id);
        }
        ids
    }

    /// Attempts whose end is not written yet.
    pub fn withdrawing(&self) -> usize {
        self.withdrawals.len()
    }
}
