//! Evaluates notes and load reports of servers.

use super::*;

/// Sessions lose worth below this delivered share; it is the service's own bound.
const FULL_DELIVERY: f64 = 0.98;
/// A shortfall must exceed the known utilization by this much to count as new information.
const UNEXPLAINED_MARGIN: f64 = 0.05;
/// How long a report of a shortfall stays valid: a server that delivers less than requested says so every
/// second, so without a newer report the shortfall is over.
const SHORTFALL_VALIDITY: Micros = Micros(1_500_000);
/// Below this delivered share a server counts as standing still rather than as short of bandwidth.
const STANDSTILL_DELIVERY: f64 = 0.3;

impl Brain {
    /// Applies a note, then cuts or raises rungs as needed.
    pub(super) fn handle_note(
        &mut self,
        id: SessionId,
        server: &ServerId,
        note: Note,
        out: &mut Vec<Action>,
    ) {
        let Some(&i) = self.state.server_indexes.get(server) else { return };
        let (now, rack) = (self.state.now, self.state.servers[i].rack);
        let is_at_set_up = self
            .state
            .sessions
            .get(&id)
            .is_some_and(|s| s.attempts > 0 && now - s.started_at <= Micros(self.settings.tick.0 * 3));
        let measured_at = if is_at_set_up { now } else { now - self.settings.note_delay };
        match note {
            Note::Rung(rung) => {
                self.state.update_session(id, |s| s.rung = rung.0.min(s.max_rung));
                return;
            }
            Note::Delivered(share) if share < STANDSTILL_DELIVERY => {
                return self.distrust(i, "delivers almost nothing", out);
            }
            Note::Delivered(share) if share < FULL_DELIVERY => self.handle_shortfall(i, share, measured_at),
            Note::Delivered(_) => {}
            Note::Link(utilization) => {
                self.state.servers[i].link.set_reported(utilization, measured_at);
                self.raise_rungs(i, out);
            }
            Note::Uplink(utilization) => {
                self.state.uplinks[rack].set_reported(utilization, measured_at);
            }
        }
        self.cut_rungs(rack, None, out);
    }

    /// Handles a server that delivers less than requested although its link seemed to have room. If the link
    /// was reported recently, other servers of its rack are short too, and uplinks are not reported, then the
    /// uplink delivers less than assumed. Otherwise the shortfall would be attributed to the link, and the
    /// link's next note would undo that while the whole rack is short.
    fn handle_shortfall(&mut self, i: usize, share: f64, measured_at: Micros) {
        let (utilization, rack, now) = (1.0 / share, self.state.servers[i].rack, self.state.now);
        self.state.servers[i].last_shortfall_at = Some(now);
        let is_link_reported = self.state.servers[i]
            .link
            .is_fresh(now, self.settings.load_note_interval + self.settings.note_delay);
        let is_explained_by_link = self.link_utilization(i) >= utilization - UNEXPLAINED_MARGIN;
        if is_link_reported
            && !is_explained_by_link
            && !self.settings.uplink_reported
            && self.is_rack_short(i)
        {
            let demand_kb = self.rack_demand_kb(rack) - self.state.uplinks[rack].own_kb_since(measured_at);
            self.state.uplink_estimates[rack].record_shortfall(demand_kb, share, measured_at);
        } else if !is_explained_by_link && self.uplink_utilization(rack) < utilization - UNEXPLAINED_MARGIN {
            self.state.servers[i].link.set_reported(utilization, measured_at);
        }
    }

    /// Whether other servers of a rack are short too, or none of them has sessions of this broker that would
    /// show it.
    fn is_rack_short(&self, i: usize) -> bool {
        let others = || self.state.by_rack[self.state.servers[i].rack].iter().filter(|other| **other != i);
        let is_recent = |at: Micros| self.state.now - at <= SHORTFALL_VALIDITY;
        others().any(|other| self.state.servers[*other].last_shortfall_at.is_some_and(is_recent))
            || others().all(|other| self.state.servers[*other].sessions.is_empty())
    }

    /// Applies a load report from an answer. These reports are noisy and of uncertain age, so they count only
    /// if no recent note exists.
    pub(super) fn apply_load_report(&mut self, i: usize, load: Load) {
        let (now, rack, max_age) = (
            self.state.now,
            self.state.servers[i].rack,
            self.settings.load_note_interval + self.settings.note_delay,
        );
        let link = (&mut self.state.servers[i].link, load.link.or(load.util));
        for (gauge, utilization) in [link, (&mut self.state.uplinks[rack], load.uplink)] {
            if let Some(utilization) = utilization.filter(|_| !gauge.is_fresh(now, max_age)) {
                gauge.set_reported(utilization, now - self.settings.note_delay);
            }
        }
    }
}
