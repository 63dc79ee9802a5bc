//! What sessions ask of links, and the usual fullness of all links. Nothing is decided here.

use super::rungs::MIN_CHANGE_INTERVAL;
use super::*;

impl Brain {
    /// Viewers of this front that share the stream of a live session, itself left out.
    pub(super) fn count_sharers(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let live = self.settings.classes[self.state.sessions[&id].request.class].live;
        if live { self.state.count_alike(i, id, rung) } else { 0 }
    }

    /// What a session adds to a server at a rung.
    pub(super) fn added_kb(&self, i: usize, id: SessionId, rung: usize) -> f64 {
        let (n, class) = (self.count_sharers(i, id, rung), self.state.sessions[&id].request.class);
        self.settings.stream_kb(class, n + 1, rung) - self.settings.stream_kb(class, n, rung)
    }

    /// The usual fullness, from the figures that are not old.
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
