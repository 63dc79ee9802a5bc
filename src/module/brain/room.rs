//! Room on links and uplinks, as far as a front can know it.

use super::rungs::CHANGE_EVERY;
use super::*;

/// Fullness taken for a server when nothing is known of any.
pub(super) const UNKNOWN_FULL: f64 = 0.6;

impl Brain {
    /// Fullness of a server's link now. One not heard of is taken to be as full as the others, and an old
    /// figure counts the less the older it is.
    pub(super) fn link_full(&self, i: usize) -> f64 {
        let gauge = &self.book.servers[i].link;
        let base = gauge.told.map_or(self.book.usual, |(full, at)| {
            let old = self.book.now - at - (self.set.tell + self.set.see);
            self.book.usual + (full - self.book.usual) * decayed(1.0, old)
        });
        (base + gauge.drift()).max(0.0)
    }

    /// The usual fullness, from the figures that are not old.
    pub(super) fn freshen(&mut self) {
        let (now, within) = (self.book.now, self.set.tell + self.set.see + CHANGE_EVERY);
        let fresh = |s: &&Server| s.entry.state == ServerState::Ready && s.link.fresh(now, within);
        let told = self.book.servers.iter().filter(fresh).filter_map(|s| s.link.told);
        let (n, sum) = told.fold((1.0, UNKNOWN_FULL), |(n, sum), (full, _)| (n + 1.0, sum + full.min(1.0)));
        (self.book.usual, self.book.usual_at) = (sum / n, now);
    }

    /// Fullness of a rack's uplink: as told, else what its servers' links carry over what it may give.
    pub(super) fn rack_full(&self, rack: usize) -> f64 {
        let gauge = &self.book.racks[rack];
        match gauge.told {
            Some((full, _)) if self.set.uplink_reported => {
                // What this front did since, others did alike: as many of them as it made changes.
                let alike = (1 + gauge.flows.len()).min(self.set.fronts.max(1) as usize);
                (full + gauge.drift() * alike as f64).max(0.0)
            }
            _ => self.rack_asked(rack) / gauge.kb,
        }
    }

    pub(super) fn rack_asked(&self, rack: usize) -> f64 {
        let up = |i: &&usize| self.book.servers[**i].entry.state != ServerState::Gone && self.trusted(**i);
        let asked = |i: &usize| self.link_full(*i).min(1.2) * self.book.servers[*i].link.kb;
        self.book.by_rack[rack].iter().filter(up).map(asked).sum()
    }

    /// Fullness of what binds a server, link or uplink, with so much more asked of it.
    pub(super) fn full_after(&self, i: usize, kb: f64) -> f64 {
        let rack = self.book.servers[i].rack;
        (self.link_full(i) + kb / self.book.servers[i].link.kb)
            .max(self.rack_full(rack) + kb / self.book.racks[rack].kb)
    }

    /// Viewers of this front that share the stream of a live session, itself left out.
    pub(super) fn sharers(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let live = self.set.classes[self.book.sessions[&id].req.class].live;
        if live { self.book.alike(i, id, rung) } else { 0 }
    }

    /// What a session adds to a server at a rung.
    pub(super) fn adds(&self, i: usize, id: SessionId, rung: usize) -> f64 {
        let (n, class) = (self.sharers(i, id, rung), self.book.sessions[&id].req.class);
        self.set.stream_kb(class, n + 1, rung) - self.set.stream_kb(class, n, rung)
    }
}
