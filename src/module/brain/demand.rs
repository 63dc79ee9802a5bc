//! The demand of sessions on links, and the mean utilization of all links. No decisions are made here.

use super::rungs::MIN_CHANGE_INTERVAL;
use super::*;

impl Brain {
    /// Returns the demand that a session adds to a server at a rung, in kB per second.
    pub(super) fn added_kb(&self, i: usize, id: SessionId, rung: usize) -> f64 {
        let (n, class) = (self.state.count_sharers(i, id, rung), self.state.sessions[&id].request.class);
        self.settings.stream_kb(class, n + 1, rung) - self.settings.stream_kb(class, n, rung)
    }

    /// Recomputes the mean utilization from reports that are recent enough.
    pub(super) fn update_mean_utilization(&mut self) {
        let (now, max_age) = (
            self.state.now,
            self.settings.load_note_interval + self.settings.note_delay + MIN_CHANGE_INTERVAL,
        );
        let is_fresh = |s: &&Server| s.entry.state == ServerState::Ready && s.link.is_fresh(now, max_age);
        let reported = self.state.servers.iter().filter(is_fresh).filter_map(|s| s.link.reported);
        let (n, sum) = reported.fold((1.0, DEFAULT_UTILIZATION), |(n, sum), (utilization, _)| {
            (n + 1.0, sum + utilization.min(1.0))
        });
        (self.state.mean_utilization, self.state.mean_utilization_at) = (sum / n, now);
    }
}
