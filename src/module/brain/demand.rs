//! What sessions ask of links, and the usual fullness of all links. Nothing is decided here.

use super::rungs::CHANGE_EVERY;
use super::*;

impl Brain {
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

    /// The usual fullness, from the figures that are not old.
    pub(super) fn freshen(&mut self) {
        let (now, within) = (self.book.now, self.set.load_note_interval + self.set.note_delay + CHANGE_EVERY);
        let fresh = |s: &&Server| s.entry.state == ServerState::Ready && s.link.fresh(now, within);
        let told = self.book.servers.iter().filter(fresh).filter_map(|s| s.link.told);
        let (n, sum) = told.fold((1.0, UNKNOWN_FULL), |(n, sum), (full, _)| (n + 1.0, sum + full.min(1.0)));
        (self.book.usual, self.book.usual_at) = (sum / n, now);
    }
}
