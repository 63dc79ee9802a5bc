//! Health of servers: which ones are trusted, and what failures and answers reveal.

use super::rungs::TOP_RUNG_LIMIT;
use super::*;

/// The first period of distrust; it doubles with each further failure.
const FIRST_DISTRUST: Micros = Micros(3_000_000);
/// Timeouts of one server at shorter distances than this are not isolated.
const ISOLATED_TIMEOUT_GAP: Micros = Micros(5_000_000);
/// The weight of one answer in a server's error rate: about the last five answers count.
const ERROR_RATE_WEIGHT: f64 = 0.2;
/// A server with a higher error rate is distrusted: two errors in a row reach it from zero.
const MAX_ERROR_RATE: f64 = 0.35;
/// The longest period of distrust without a new failure.
const MAX_DISTRUST: Micros = Micros(16_000_000);
/// The first time for which a server is avoided after it rejected a set-up as saturated; it doubles up to
/// eightfold.
const FIRST_SATURATION_BACKOFF: Micros = Micros(300_000);

impl Brain {
    /// Applies a server list, and resumes asking for changes if they must be requested and the list was not
    /// available.
    pub(super) fn update_servers(
        &mut self,
        kind: ListKind,
        entries: Vec<ServerEntry>,
        out: &mut Vec<Action>,
    ) {
        let polls = self.settings.discovery == Discovery::OnRequest;
        if polls && matches!(kind, ListKind::Failed | ListKind::Stale) {
            out.push(Action::Watch(true));
        }
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.id.clone()).collect();
            let is_absent =
                |s: &&mut Server| s.entry.state != ServerState::Gone && !listed.contains(&s.entry.id);
            for server in self.state.servers.iter_mut().filter(is_absent) {
                (server.entry.state, server.last_listed_at) = (ServerState::Gone, self.state.now);
            }
        }
        entries.into_iter().for_each(|entry| self.update_server(entry));
        self.state.index_servers(self.settings.cells.max(1));
        self.update_mean_utilization();
    }

    /// Applies one entry of the server list.
    pub(super) fn update_server(&mut self, entry: ServerEntry) {
        let warm_up_until = entry.up_since.map_or(Micros(0), |at| at + self.settings.warm_up);
        if !self.state.server_indexes.contains_key(&entry.id) {
            if entry.state == ServerState::Gone {
                return;
            }
            let (link, entry) = (Gauge::default(), entry.clone());
            self.state.insert_server(Server { link, entry, warm_up_until, ..Server::default() });
        }
        let Some(&i) = self.state.server_indexes.get(&entry.id) else { return };
        let server = &mut self.state.servers[i];
        if entry.up_since > server.entry.up_since {
            // After a new start, what was known of the old process no longer applies.
            (server.warm_up_until, server.link.reported) =
                (warm_up_until, entry.up_since.map(|at| (0.0, at)));
            server.warm_up_until_before_failure = warm_up_until;
            if entry.up_since.is_some_and(|at| at > server.last_failed_at) {
                (server.distrust_until, server.consecutive_failures) = (Micros(0), 0);
            }
        }
        server.rack = (entry.cell % self.settings.racks.max(1)) as usize;
        server.link.capacity_kb = (self.settings.link_unit_kb * entry.weight).max(1.0);
        (server.entry, server.last_listed_at) = (entry, self.state.now);
    }

    /// Distrusts a server after a timeout, a lost or refused connection, or a standstill, whatever the list
    /// says. This also detects a server whose loss the list does not know. The cost: one slow answer can take
    /// a good server out for some seconds, so the period starts short and a success ends it.
    pub(super) fn distrust(&mut self, i: usize, reason: &str, out: &mut Vec<Action>) {
        let now = self.state.now;
        let server = &mut self.state.servers[i];
        if server.distrust_until <= now {
            out.push(Action::Log(format!("distrust {}: {reason}", server.entry.id)));
        }
        let span = Micros(FIRST_DISTRUST.0 << server.consecutive_failures.min(4)).min(MAX_DISTRUST);
        server.consecutive_failures += 1;
        (server.distrust_until, server.last_failed_at) = (server.distrust_until.max(now + span), now);
        // The server may have restarted and be cold before the list says so.
        if server.warm_up_until != Micros::MAX {
            (server.warm_up_until_before_failure, server.warm_up_until) = (server.warm_up_until, Micros::MAX);
        }
    }

    /// Records an answer with an error. A server that answers with errors does so at once and looks idle, so
    /// that ever more requests would go there. It runs, so this is no sign of a restart. The cost: two
    /// set-ups in a row may fail for reasons of their own.
    pub(super) fn record_error(&mut self, i: usize, out: &mut Vec<Action>) {
        let server = &mut self.state.servers[i];
        server.error_rate += (1.0 - server.error_rate) * ERROR_RATE_WEIGHT;
        if server.error_rate > MAX_ERROR_RATE {
            let warm_up = (server.warm_up_until_before_failure, server.warm_up_until);
            self.distrust(i, "answers with errors", out);
            (self.state.servers[i].warm_up_until_before_failure, self.state.servers[i].warm_up_until) =
                warm_up;
        }
    }

    /// Records a timeout, and returns whether it is isolated: the first in a while, of a server that has room
    /// and has answered since the set-up was sent. The cost: a server that fails slowly is detected one
    /// timeout later.
    pub(super) fn is_isolated_timeout(&mut self, i: usize, id: SessionId) -> bool {
        let (now, sent_at) = (self.state.now, self.state.sessions.get(&id).map(|s| s.started_at));
        if self.link_utilization(i) > TOP_RUNG_LIMIT {
            return false;
        }
        let server = &mut self.state.servers[i];
        let is_first = server.last_timeout_at.is_none_or(|at| now - at > ISOLATED_TIMEOUT_GAP);
        server.last_timeout_at = Some(now);
        is_first && sent_at.is_some_and(|sent_at| server.last_answered_at > sent_at)
    }

    /// Handles an answer to a set-up that was sent before the server's last failure: it proves that the
    /// server has not restarted since. Otherwise one missing answer would limit a warm server to the pace of
    /// a cold one for a whole warm-up.
    pub(super) fn confirm_not_restarted(&mut self, i: usize, sent_at: Micros) {
        let server = &mut self.state.servers[i];
        if server.last_failed_at > Micros(0) && sent_at < server.last_failed_at {
            server.warm_up_until = server.warm_up_until.min(server.warm_up_until_before_failure);
        }
    }

    /// Avoids a server that rejects set-ups, longer each time until it accepts one. This covers a full link
    /// at servers that limit it, a server without free places, and a drain that the list does not show yet.
    pub(super) fn record_saturation(&mut self, i: usize) {
        let now = self.state.now;
        let server = &mut self.state.servers[i];
        if self.settings.link_limit > 0.0
            && server.link.reported.is_none_or(|(utilization, _)| utilization < self.settings.link_limit)
        {
            server.link.set_reported(self.settings.link_limit, now);
        }
        server.saturated_until =
            now + Micros(FIRST_SATURATION_BACKOFF.0 << server.consecutive_saturations.min(3));
        server.consecutive_saturations += 1;
    }

    /// Whether a server is not distrusted now.
    pub(super) fn is_trusted(&self, i: usize) -> bool {
        self.state.servers[i].distrust_until <= self.state.now
    }

    /// Whether a server that may be listed as ready gets no sessions for now.
    pub fn distrusts(&self, now: Micros, server: &ServerId) -> bool {
        self.state.server_indexes.get(server).is_some_and(|&i| self.state.servers[i].distrust_until > now)
    }

    /// Records an answer: it ends the distrust, unless the server answers too often with errors, and it
    /// starts the warm-up of a server that may have restarted.
    pub(super) fn record_answer(&mut self, i: usize, out: &mut Vec<Action>) {
        let (now, warm_up) = (self.state.now, self.settings.warm_up);
        let server = &mut self.state.servers[i];
        (server.consecutive_saturations, server.last_answered_at) = (0, now);
        server.error_rate *= 1.0 - ERROR_RATE_WEIGHT;
        if server.error_rate > MAX_ERROR_RATE {
            return;
        }
        server.consecutive_failures = 0;
        if server.distrust_until > now {
            server.distrust_until = now;
            out.push(Action::Log(format!("trust {} again", server.entry.id)));
        }
        if server.warm_up_until == Micros::MAX {
            server.warm_up_until = now + warm_up;
        }
    }
}
