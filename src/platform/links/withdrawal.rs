//! Withdrawn attempts. An attempt counts as running until its release is written or its connection has ended.
//! No other attempt of the same session is sent before that.

use super::{Command, ConnId, Links};
use crate::api::{Micros, ServerId, SessionId};
use crate::message::binary::Builder;
use crate::message::{Kind, cause};
use crate::mutant::{self, Mutant};

/// Time between the written release of an attempt and the next attempt of the same session at another server.
/// The two travel on different connections, whose delays differ by some milliseconds.
pub(super) const ATTEMPT_GAP: Micros = Micros(5_000);

/// The state of a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The attempt has ended: it was never sent, or its connection is gone.
    Done,
    /// The attempt may still run. [`Links::withdrawn`] reports that its release was written,
    /// [`Links::closed`] that its connection has ended.
    Pending,
}

impl Links {
    /// Gives up a set-up. One that is still queued is removed and never sent.
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
        // Nothing was received since the set-up was written: a new connection shows whether the server can be
        // reached at all.
        if written.is_some_and(|at| link.last_received < at) {
            link.is_suspect = true;
        }
        // The release goes out on the connection of the set-up, behind it. On any other connection it could
        // arrive later than the next attempt at another server, and two attempts would run at once.
        let Ok(bytes) = Builder::new(Kind::Release, id).cause(cause::NORMAL).finish() else {
            return Withdrawal::Done;
        };
        link.last_used = now;
        self.withdrawals.insert(id, *conn);
        out.push(Command::Withdraw(*conn, id, bytes));
        if mutant::is_active(Mutant::QueuedIsWritten) {
            self.withdrawals.remove(&id);
            self.attempt_ended_at.insert(id, now);
            return Withdrawal::Done;
        }
        Withdrawal::Pending
    }

    /// Handles a withdrawal: its release was written on the connection, or nothing of the attempt was ever
    /// written. Returns the server if the withdrawal was pending.
    pub fn withdrawn(&mut self, now: Micros, conn: ConnId, id: SessionId) -> Option<ServerId> {
        let server = self.links.get(&conn)?.server.clone();
        if self.withdrawals.get(&id) != Some(&conn) {
            return None;
        }
        self.withdrawals.remove(&id);
        self.attempt_ended(now, id);
        Some(server)
    }

    /// Records the end of an attempt. The next attempt of its session may be sent shortly afterwards.
    pub(super) fn attempt_ended(&mut self, now: Micros, id: SessionId) {
        self.attempt_ended_at.insert(id, now);
        let waiting = self.links.values_mut().flat_map(|link| &mut link.queue);
        for queued in waiting.filter(|queued| queued.set_up == Some(id)) {
            queued.not_before = queued.not_before.min(now + ATTEMPT_GAP);
        }
    }

    /// Returns the earliest time at which a set-up of a session may be sent.
    pub(super) fn earliest_send(&self, id: SessionId) -> Micros {
        if self.withdrawals.contains_key(&id) {
            return Micros::MAX;
        }
        self.attempt_ended_at.get(&id).map_or(Micros(0), |at| *at + ATTEMPT_GAP)
    }

    /// Ends all withdrawals on a connection that has ended, and returns their sessions.
    pub(super) fn end_withdrawals_on(&mut self, now: Micros, conn: ConnId) -> Vec<SessionId> {
        let of_conn = self.withdrawals.iter().filter(|(_, on)| **on == conn);
        let ids: Vec<SessionId> = of_conn.map(|(id, _)| *id).collect();
        for id in &ids {
            self.withdrawals.remove(id);
            self.attempt_ended(now, *id);
        }
        ids
    }

    /// The number of withdrawals whose release has not been written.
    pub fn pending_withdrawals(&self) -> usize {
        self.withdrawals.len()
    }
}
