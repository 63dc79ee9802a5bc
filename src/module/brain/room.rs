//! Room on links and uplinks, as far as a front can know it.

use super::*;

/// Fullness taken for a server when nothing is known of any.
pub(super) const DEFAULT_UTILIZATION: f64 = 0.6;

impl Brain {
    /// Fullness of a server's link now. One not heard of is taken to be as full as the others, and an old
    /// figure counts the less the older it is.
    pub(super) fn link_utilization(&self, i: usize) -> f64 {
        let gauge = &self.state.servers[i].link;
        let base = gauge.reported.map_or(self.state.mean_utilization, |(utilization, at)| {
            let age_beyond_interval =
                self.state.now - at - (self.settings.load_note_interval + self.settings.note_delay);
            self.state.mean_utilization
                + (utilization - self.state.mean_utilization) * decayed(1.0, age_beyond_interval)
        });
        (base + gauge.own_change()).max(0.0)
    }

    /// Fullness of a rack's uplink: as told, else what its servers' links carry over what it seems to give.
    pub(super) fn uplink_utilization(&self, rack: usize) -> f64 {
        let gauge = &self.state.uplinks[rack];
        match gauge.reported {
            Some((utilization, _)) if self.settings.uplink_reported => {
                // What this front did since, others did alike: as many of them as it made changes.
                let similar_brokers =
                    (1 + gauge.own_changes.len()).min(self.settings.broker_count.max(1) as usize);
                (utilization + gauge.own_change() * similar_brokers as f64).max(0.0)
            }
            _ => self.rack_demand_kb(rack) / self.state.uplink_estimates[rack].capacity_kb(self.state.now),
        }
    }

    pub(super) fn rack_demand_kb(&self, rack: usize) -> f64 {
        let is_up =
            |i: &&usize| self.state.servers[**i].entry.state != ServerState::Gone && self.is_trusted(**i);
        let demand_kb =
            |i: &usize| self.link_utilization(*i).min(1.2) * self.state.servers[*i].link.capacity_kb;
        self.state.by_rack[rack].iter().filter(is_up).map(demand_kb).sum()
    }

    /// Fullness of what binds a server, link or uplink, with so much more asked of it.
    pub(super) fn utilization_after(&self, i: usize, kb: f64) -> f64 {
        let rack = self.state.servers[i].rack;
        (self.link_utilization(i) + kb / self.state.servers[i].link.capacity_kb)
            .max(self.uplink_utilization(rack) + kb / self.state.uplinks[rack].capacity_kb)
    }
}
