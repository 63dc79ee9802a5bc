//! Choice of a server for one session.

use super::*;

/// Fullness that a crossing of zones counts for when holders are compared.
const CROSS_ZONE_FULL: f64 = 0.15;
/// Fullness that a new connection counts for when holders are compared, for each point of its price: of many
/// fronts each sees little of any server, and would pay for nearly as many connections as it has sessions.
const HANDSHAKE_FULL: f64 = 2.0;
/// Fullness up to which luck decides between holders, so that fronts that know little do not go as one.
pub(super) const LUCK: f64 = 0.05;

impl Brain {
    /// Servers that a session may be sent to now.
    pub(super) fn candidates(&self, id: SessionId) -> Vec<usize> {
        let s = &self.book.sessions[&id];
        let taking = self.taking(s.req.home, s.req.copies);
        let mut found: Vec<usize> = taking.filter(|i| self.may_repeat(s, *i)).collect();
        // Distrusted servers wait, and further attempts go elsewhere, while there is another.
        for good in
            [&|i: &usize| self.trusted(*i), &|i: &usize| !s.tried.contains(i)] as [&dyn Fn(&_) -> _; 2]
        {
            if found.iter().any(good) {
                found.retain(good);
            }
        }
        found
    }

    /// Servers of so many cells from one on that take set-ups now.
    pub(super) fn taking(&self, home: u32, copies: u32) -> impl Iterator<Item = usize> {
        let cells = self.set.cells.max(1);
        let home = u64::from(home % cells);
        let (end, size) = (home + u64::from(copies.min(cells)), u64::from(cells));
        let held = self.book.by_cell.range(home..end.min(size));
        held.chain(self.book.by_cell.range(0..end.saturating_sub(size)))
            .flat_map(|(_, there)| there.iter().copied())
            .filter(|i| self.book.servers[*i].entry.state == ServerState::Ready)
            .filter(|i| self.cold_allows(*i) && self.book.servers[*i].packed_until <= self.book.now)
    }

    /// The first rule about repeats: where a session whose attempt may have run can still go.
    pub(super) fn may_repeat(&self, s: &Session, i: usize) -> bool {
        let class = s.req.class;
        s.ran.is_none_or(|(ran, sent)| self.in_scope(class, ran, i) && !self.window_over(class, sent))
    }

    /// Whether a server recognises the repeat of a set-up that may have run at another.
    pub(super) fn in_scope(&self, class: usize, ran: usize, i: usize) -> bool {
        let (a, b) = (&self.book.servers[ran].entry, &self.book.servers[i].entry);
        match self.set.classes[class].idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => false,
            Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => a.zone == b.zone,
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => a.cell == b.cell,
        }
    }

    /// Whether no server recognises the repeat of a set-up any more.
    pub(super) fn window_over(&self, class: usize, sent: Micros) -> bool {
        let effect = self.set.classes[class].idempotency;
        matches!(effect, Idempotency::Keyed { window, .. } if self.book.now >= sent + window)
    }

    /// The holder: the server of the front's running stream, if the title is live, else that with most room.
    pub(super) fn holder(&self, id: SessionId) -> Option<usize> {
        let s = &self.book.sessions[&id];
        let (found, live) = (self.candidates(id), self.set.classes[s.req.class].live);
        if live {
            let streams = found.iter().filter(|i| self.trusted(**i)).flat_map(|i| {
                let rungs = s.lo..=s.hi;
                rungs.map(move |r| (self.sharers(*i, id, r), *i, r))
            });
            let most = streams.filter(|(n, _, _)| *n > 0).max_by_key(|(n, i, r)| (*n, *r, usize::MAX - *i));
            if let Some((_, i, r)) = most
                && self.full_after(i, self.adds(i, id, r)) <= 1.0
            {
                return Some(i);
            }
        }
        // Between equals the title decides where viewers share streams, so that those of all fronts gather,
        // and chance elsewhere, so that they spread.
        let luck = |i: usize| {
            let server = &self.book.servers[i].entry.id;
            LUCK * (if live { hash((&s.req.title, server)) } else { hash((id, server)) } as f64
                / u64::MAX as f64)
        };
        let rank = |i: usize| self.rank(i, self.adds(i, id, s.lo), luck(i));
        found.into_iter().map(|i| (rank(i), i)).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    /// What holders are compared by, the lowest first, with so much more asked of one.
    pub(super) fn rank(&self, i: usize, kb: f64, luck: f64) -> f64 {
        let server = &self.book.servers[i];
        let crosses = self.set.cross_zone_price > 0.0 && server.entry.zone != self.set.zone;
        let places = self.set.kind_streams.get(server.entry.kind).map_or(f64::MAX, |n| f64::from(*n));
        // Others hold as many, as far as the own ones tell: one or two say nothing.
        let own = server.own.len();
        let crowd = (own * own.min(self.set.broker_count as usize)) as f64 / places.max(1.0);
        let connected = server.linked(self.book.now, self.set.idle);
        let full = self.full_after(i, kb).max(crowd)
            + luck
            + if crosses { CROSS_ZONE_FULL } else { 0.0 }
            + if connected { 0.0 } else { HANDSHAKE_FULL * self.set.handshake_price };
        // Among distrusted servers the one whose distrust ends first.
        if self.trusted(i) { full } else { 10.0 + (server.distrust_until - self.book.now).secs() }
    }
}
