//! Room on links and uplinks, as far as a broker can know it.

use super::*;

/// The utilization assumed for a server when nothing is known of any.
pub(super) const DEFAULT_UTILIZATION: f64 = 0.6;

impl Brain {
    /// Returns the current utilization of a server's link. Without a report, it is assumed to be the mean of
    /// the others, and a report counts less the older it is.
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

    /// Returns the utilization of a rack's uplink: as reported, otherwise the demand on its servers' links
    /// divided by the estimated capacity.
    pub(super) fn uplink_utilization(&self, rack: usize) -> f64 {
        let gauge = &self.state.uplinks[rack];
        match gauge.reported {
            Some((utilization, _)) if self.settings.uplink_reported => {
                // Other brokers are assumed to have made similar changes since the report: as many of them as
                // this broker made changes.
                let similar_brokers =
                    (1 + gauge.own_changes.len()).min(self.settings.broker_count.max(1) as usize);
                (utilization + gauge.own_change() * similar_brokers as f64).max(0.0)
            }
            _ => self.rack_demand_kb(rack) / self.state.uplink_estimates[rack].capacity_kb(self.state.now),
        }
    }

    /// Returns the demand on the links of a rack's trusted servers, in kB per second.
    pub(super) fn rack_demand_kb(&self, rack: usize) -> f64 {
        let is_up =
            |i: &&usize| self.state.servers[**i].entry.state != ServerState::Gone && self.is_trusted(**i);
        let demand_kb =
            |i: &usize| self.link_utilization(*i).min(1.2) * self.state.servers[*i].link.capacity_kb;
        self.state.by_rack[rack].iter().filter(is_up).map(demand_kb).sum()
    }

    /// Returns the utilization of a server's bottleneck, link or uplink, with `kb` more demand.
    pub(super) fn utilization_after(&self, i: usize, kb: f64) -> f64 {
        let rack = self.state.servers[i].rack;
        (self.link_utilization(i) + kb / self.state.servers[i].link.capacity_kb)
            .max(self.uplink_utilization(rack) + kb / self.state.uplinks[rack].capacity_kb)
    }
}
