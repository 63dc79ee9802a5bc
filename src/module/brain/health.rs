//! Health of servers: which ones are trusted, and what a failure or an answer tells.

use super::rungs::MARK;
use super::*;

/// First span of distrust; it doubles with each further failure.
const DISTRUST: Micros = Micros(3_000_000);
/// Time-outs of one server that lie closer together are no accident.
const MISSES_APART: Micros = Micros(5_000_000);
/// Weight of an answer in a server's part of errors: about the last five count.
const ERRORS_LEARN: f64 = 0.2;
/// Beyond this part a server is distrusted: two errors in a row after none.
const ERRORS_MOST: f64 = 0.35;
/// Longest span of distrust without a fresh sign of trouble.
const DISTRUST_MOST: Micros = Micros(16_000_000);
/// First span for which a server that turned a set-up away is left alone; it doubles up to eight times.
const PACKED: Micros = Micros(300_000);

impl Brain {
    pub(super) fn members(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        let asks = self.set.discovery == Discovery::OnRequest;
        if asks && matches!(kind, ListKind::Failed | ListKind::Stale) {
            out.push(Action::Watch(true));
        }
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id.clone()).collect();
            let left = |s: &&mut Server| s.entry.state != ServerState::Gone && !named.contains(&s.entry.id);
            for server in self.book.servers.iter_mut().filter(left) {
                (server.entry.state, server.gone_at) = (ServerState::Gone, self.book.now);
            }
        }
        entries.into_iter().for_each(|entry| self.listed(entry));
        self.book.index(self.set.cells.max(1));
        self.freshen();
    }

    pub(super) fn listed(&mut self, entry: ServerEntry) {
        let cold_until = entry.up_since.map_or(Micros(0), |at| at + self.set.warm_up);
        if !self.book.names.contains_key(&entry.id) {
            if entry.state == ServerState::Gone {
                return;
            }
            let (link, entry) = (Gauge::default(), entry.clone());
            self.book.place(Server { link, entry, cold_until, ..Server::default() });
        }
        let Some(&i) = self.book.names.get(&entry.id) else { return };
        let server = &mut self.book.servers[i];
        if entry.up_since > server.entry.up_since {
            // A new start: what was known of the old process says nothing about this one.
            (server.cold_until, server.link.told) = (cold_until, entry.up_since.map(|at| (0.0, at)));
            server.warm_from = cold_until;
            if entry.up_since.is_some_and(|at| at > server.failed_at) {
                (server.distrust_until, server.fails) = (Micros(0), 0);
            }
        }
        server.rack = (entry.cell % self.set.racks.max(1)) as usize;
        server.link.kb = (self.set.link_unit_kb * entry.weight).max(1.0);
        (server.entry, server.gone_at) = (entry, self.book.now);
    }

    /// Health: a time-out, a broken or refused connection, or a standstill draws distrust whatever the list
    /// says. Also catches a server the list does not know to be lost. May hurt when one slow answer takes a
    /// good server out for some seconds; the span starts short and a success ends it.
    pub(super) fn distrust(&mut self, i: usize, why: &str, out: &mut Vec<Action>) {
        let now = self.book.now;
        let server = &mut self.book.servers[i];
        if server.distrust_until <= now {
            out.push(Action::Log(format!("distrust {}: {why}", server.entry.id)));
        }
        let span = Micros(DISTRUST.0 << server.fails.min(4)).min(DISTRUST_MOST);
        server.fails += 1;
        (server.distrust_until, server.failed_at) = (server.distrust_until.max(now + span), now);
        // It may restart cold before the list tells.
        if server.cold_until != Micros::MAX {
            (server.warm_from, server.cold_until) = (server.cold_until, Micros::MAX);
        }
    }

    /// A server that answers with errors does so at once and looks idle, so that ever more goes there. It
    /// runs: a restart is no matter of this. May hurt when two set-ups in a row fail for their own reasons.
    pub(super) fn erred(&mut self, i: usize, out: &mut Vec<Action>) {
        let server = &mut self.book.servers[i];
        server.errors += (1.0 - server.errors) * ERRORS_LEARN;
        if server.errors > ERRORS_MOST {
            let cold = (server.warm_from, server.cold_until);
            self.distrust(i, "answers with errors", out);
            (self.book.servers[i].warm_from, self.book.servers[i].cold_until) = cold;
        }
    }

    /// Whether a time-out is an accident: the first in a while, of a server that shows room and has answered
    /// since the set-up was sent. May hurt when a server fails slowly: one more time-out tells.
    pub(super) fn missed_one(&mut self, i: usize, id: SessionId) -> bool {
        let (now, sent) = (self.book.now, self.book.sessions.get(&id).map(|s| s.started));
        if self.link_full(i) > MARK {
            return false;
        }
        let server = &mut self.book.servers[i];
        let first = server.missed_at.is_none_or(|at| now - at > MISSES_APART);
        server.missed_at = Some(now);
        first && sent.is_some_and(|sent| server.answered_at > sent)
    }

    /// It answers what was sent before its last failure: it has not restarted since. Without this, one answer
    /// that goes missing leaves a warm server to the pace of a cold one for a whole warm-up.
    pub(super) fn lives_since(&mut self, i: usize, sent: Micros) {
        let server = &mut self.book.servers[i];
        if server.failed_at > Micros(0) && sent < server.failed_at {
            server.cold_until = server.cold_until.min(server.warm_from);
        }
    }

    /// A server that turns set-ups away is left alone, longer each time until it takes one. Answers a full
    /// link where servers guard it, full places, and a drain the list does not tell yet.
    pub(super) fn packed(&mut self, i: usize) {
        let now = self.book.now;
        let server = &mut self.book.servers[i];
        if self.set.link_limit > 0.0 && server.link.told.is_none_or(|(full, _)| full < self.set.link_limit) {
            server.link.tell(self.set.link_limit, now);
        }
        server.packed_until = now + Micros(PACKED.0 << server.packed.min(3));
        server.packed += 1;
    }

    pub(super) fn trusted(&self, i: usize) -> bool {
        self.book.servers[i].distrust_until <= self.book.now
    }

    /// Whether a server that the list calls ready gets nothing for now.
    pub fn distrusts(&self, now: Micros, server: &ServerId) -> bool {
        self.book.names.get(server).is_some_and(|&i| self.book.servers[i].distrust_until > now)
    }

    pub(super) fn answered(&mut self, i: usize, out: &mut Vec<Action>) {
        let (now, cold) = (self.book.now, self.set.warm_up);
        let server = &mut self.book.servers[i];
        (server.packed, server.answered_at) = (0, now);
        server.errors *= 1.0 - ERRORS_LEARN;
        if server.errors > ERRORS_MOST {
            return;
        }
        server.fails = 0;
        if server.distrust_until > now {
            server.distrust_until = now;
            out.push(Action::Log(format!("trust {} again", server.entry.id)));
        }
        if server.cold_until == Micros::MAX {
            server.cold_until = now + cold;
        }
    }
}
