//! Chooses a server for a session.

use super::*;

/// Utilization that a crossing of zones counts for in the ranking of servers.
const CROSS_ZONE_PENALTY: f64 = 0.15;
/// Utilization that a new connection counts for in the ranking of servers, for each point of its price. In a
/// large fleet each broker sends few sessions to any server, and would otherwise pay for nearly as many
/// connections as it has sessions.
const HANDSHAKE_PENALTY: f64 = 2.0;
/// Utilization up to which a pseudo-random term decides between servers, so that brokers with little
/// information do not all choose the same one.
pub(super) const RANDOM_SPREAD: f64 = 0.05;

impl Brain {
    /// Returns the servers that a session may be sent to now.
    pub(super) fn candidates(&self, id: SessionId) -> Vec<usize> {
        let s = &self.state.sessions[&id];
        let accepting = self.accepting_servers(s.request.home, s.request.copies);
        let mut candidates: Vec<usize> = accepting.filter(|i| self.may_repeat(s, *i)).collect();
        // Distrusted servers and those already tried are used only if there is no other.
        for is_preferred in [&|i: &usize| self.is_trusted(*i), &|i: &usize| !s.tried_servers.contains(i)]
            as [&dyn Fn(&_) -> _; 2]
        {
            if candidates.iter().any(is_preferred) {
                candidates.retain(is_preferred);
            }
        }
        candidates
    }

    /// Returns the servers in `copies` consecutive cells, starting at `first_cell`, that accept set-ups now.
    pub(super) fn accepting_servers(&self, first_cell: u32, copies: u32) -> impl Iterator<Item = usize> {
        let cells = self.settings.cells.max(1);
        let first_cell = u64::from(first_cell % cells);
        let (end_cell, size) = (first_cell + u64::from(copies.min(cells)), u64::from(cells));
        let cells_to_end = self.state.by_cell.range(first_cell..end_cell.min(size));
        cells_to_end
            .chain(self.state.by_cell.range(0..end_cell.saturating_sub(size)))
            .flat_map(|(_, there)| there.iter().copied())
            .filter(|i| self.state.servers[*i].entry.state == ServerState::Ready)
            .filter(|i| self.warm_up_allows(*i) && self.state.servers[*i].saturated_until <= self.state.now)
    }

    /// Whether a session may be sent to a server, given that an earlier attempt may have run elsewhere.
    pub(super) fn may_repeat(&self, s: &Session, i: usize) -> bool {
        let class = s.request.class;
        s.possible_run.is_none_or(|(first_server, sent_at)| {
            self.recognises_repeat(class, first_server, i) && !self.is_key_window_over(class, sent_at)
        })
    }

    /// Whether a server recognises the repeat of a set-up that may have run at another server.
    pub(super) fn recognises_repeat(&self, class: usize, first_server: usize, i: usize) -> bool {
        let (a, b) = (&self.state.servers[first_server].entry, &self.state.servers[i].entry);
        match self.settings.classes[class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => a.zone == b.zone,
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => a.cell == b.cell,
        }
    }

    /// Whether the time is over in which servers recognise the repeat of a set-up.
    pub(super) fn is_key_window_over(&self, class: usize, sent_at: Micros) -> bool {
        let idempotency = self.settings.classes[class].idempotency;
        matches!(idempotency, Idempotency::Keyed { window, .. } if self.state.now >= sent_at + window)
    }

    /// Returns the server for a session: the one that runs this broker's stream of a live title, if there is
    /// one, otherwise the one with the best rank.
    pub(super) fn choose_server(&self, id: SessionId) -> Option<usize> {
        let s = &self.state.sessions[&id];
        let (candidates, live) = (self.candidates(id), self.settings.classes[s.request.class].live);
        if live {
            let streams = candidates.iter().filter(|i| self.is_trusted(**i)).flat_map(|i| {
                let rungs = s.min_rung..=s.max_rung;
                rungs.map(move |r| (self.state.count_sharers(*i, id, r), *i, r))
            });
            let largest =
                streams.filter(|(n, _, _)| *n > 0).max_by_key(|(n, i, r)| (*n, *r, usize::MAX - *i));
            if let Some((_, i, r)) = largest
                && self.utilization_after(i, self.added_kb(i, id, r)) <= 1.0
            {
                return Some(i);
            }
        }
        // Ties are broken by title where viewers share streams, so that the viewers of all brokers gather at
        // one server, and at random otherwise, so that they spread.
        let spread = |i: usize| {
            let server = &self.state.servers[i].entry.id;
            RANDOM_SPREAD
                * (if live { hash((&s.request.title, server)) } else { hash((id, server)) } as f64
                    / u64::MAX as f64)
        };
        let rank = |i: usize| self.rank(i, self.added_kb(i, id, s.min_rung), spread(i));
        candidates.into_iter().map(|i| (rank(i), i)).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    /// Returns the rank of a server with `kb` more demand; the lowest rank is chosen.
    pub(super) fn rank(&self, i: usize, kb: f64, spread: f64) -> f64 {
        let server = &self.state.servers[i];
        let crosses_zones = self.settings.cross_zone_price > 0.0 && server.entry.zone != self.settings.zone;
        let places = self.settings.kind_streams.get(server.entry.kind).map_or(f64::MAX, |n| f64::from(*n));
        // Other brokers are assumed to have as many sessions there as this one, in proportion to its own
        // count: one or two own sessions say nothing about the others.
        let own_sessions = server.sessions.len();
        let estimated_places_share =
            (own_sessions * own_sessions.min(self.settings.broker_count as usize)) as f64 / places.max(1.0);
        let is_connected = server.is_likely_connected(self.state.now, self.settings.idle);
        let score = self.utilization_after(i, kb).max(estimated_places_share)
            + spread
            + if crosses_zones { CROSS_ZONE_PENALTY } else { 0.0 }
            + if is_connected { 0.0 } else { HANDSHAKE_PENALTY * self.settings.handshake_price };
        // Among distrusted servers, the one whose distrust ends first.
        if self.is_trusted(i) { score } else { 10.0 + (server.distrust_until - self.state.now).secs() }
    }
}
