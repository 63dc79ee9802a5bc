//! Room on links and uplinks, as far as a front can know it.

use super::*;

/// Fullness taken for a server when nothing is known of any.
pub(super) const UNKNOWN_FULL: f64 = 0.6;

impl Brain {
    /// Fullness of a server's link now. One not heard of is taken to be as full as the others, and an old
    /// figure counts the less the older it is.
    pub(super) fn link_full(&self, i: usize) -> f64 {
        let gauge = &self.book.servers[i].link;
        let base = gauge.told.map_or(self.book.usual, |(full, at)| {
            let old = self.book.now - at - (self.set.load_note_interval + self.set.note_delay);
            self.book.usual + (full - self.book.usual) * decayed(1.0, old)
        });
        (base + gauge.drift()).max(0.0)
    }

    /// Fullness of a rack's uplink: as told, else what its servers' links carry over what it seems to give.
    pub(super) fn rack_full(&self, rack: usize) -> f64 {
        let gauge = &self.book.racks[rack];
        match gauge.told {
            Some((full, _)) if self.set.uplink_reported => {
                // What this front did since, others did alike: as many of them as it made changes.
                let alike = (1 + gauge.flows.len()).min(self.set.broker_count.max(1) as usize);
                (full + gauge.drift() * alike as f64).max(0.0)
            }
            _ => self.rack_asked(rack) / self.book.uplinks[rack].kb(self.book.now),
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
}
