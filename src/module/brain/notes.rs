//! What notes and reports tell.

use super::*;

/// Delivered share under which sessions lose worth (the service's own bound).
const FULL_DELIVERY: f64 = 0.98;
/// Fullness by which a shortfall must exceed what the figures say to count as news.
const UNEXPLAINED_MARGIN: f64 = 0.05;
/// A server that delivers short says so each second: one that has not for so long does not.
const SHORTFALL_VALIDITY: Micros = Micros(1_500_000);
/// Delivered share under which a server counts as standing still rather than short.
const STANDSTILL_DELIVERY: f64 = 0.3;

impl Brain {
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
                self.state.sessions.entry(id).and_modify(|s| s.rung = rung.0.min(s.max_rung));
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

    /// A server delivers less than is asked although its link seemed to have room. Where that was told
    /// lately, others of its rack are short too and no report tells of uplinks, the uplink gives less than
    /// was thought: were it taken for the link, its next note would undo it while all of the rack are short.
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

    /// Whether others of a server's rack are short too, or none of them would tell this front.
    fn is_rack_short(&self, i: usize) -> bool {
        let others = || self.state.by_rack[self.state.servers[i].rack].iter().filter(|other| **other != i);
        let is_recent = |at: Micros| self.state.now - at <= SHORTFALL_VALIDITY;
        others().any(|other| self.state.servers[*other].last_shortfall_at.is_some_and(is_recent))
            || others().all(|other| self.state.servers[*other].sessions.is_empty())
    }

    /// Reports in answers are noisy and of uncertain age: they count only where no note is fresh.
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
