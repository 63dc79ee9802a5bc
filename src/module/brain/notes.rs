//! What notes and reports tell.

use super::*;

/// Delivered share under which sessions lose worth (the service's own bound).
const SHORT: f64 = 0.98;
/// Fullness by which a shortfall must exceed what the figures say to count as news.
const UNEXPLAINED: f64 = 0.05;
/// Delivered share under which a server counts as standing still rather than short.
const STANDSTILL: f64 = 0.3;

impl Brain {
    pub(super) fn note(&mut self, id: SessionId, server: &ServerId, note: Note, out: &mut Vec<Action>) {
        let Some(&i) = self.book.names.get(server) else { return };
        let (now, rack) = (self.book.now, self.book.servers[i].rack);
        let at_setup = self
            .book
            .sessions
            .get(&id)
            .is_some_and(|s| s.attempts > 0 && now - s.started <= Micros(self.set.tick.0 * 3));
        let measured = if at_setup { now } else { now - self.set.see };
        match note {
            Note::Rung(rung) => {
                self.book.sessions.entry(id).and_modify(|s| s.rung = rung.0.min(s.hi));
                return;
            }
            Note::Delivered(share) if share < STANDSTILL => {
                return self.distrust(i, "delivers almost nothing", out);
            }
            Note::Delivered(share) => {
                let full = 1.0 / share;
                if share < SHORT && self.link_full(i).max(self.rack_full(rack)) < full - UNEXPLAINED {
                    // Short although it seemed to have room, be it for the link or the uplink.
                    self.book.servers[i].link.tell(full, measured);
                }
            }
            Note::Link(full) => {
                self.book.servers[i].link.tell(full, measured);
                self.raise(i, out);
            }
            Note::Uplink(full) => {
                self.book.racks[rack].tell(full, measured);
            }
        }
        self.settle(rack, None, out);
    }

    /// Reports in answers are noisy and of uncertain age: they count only where no note is fresh.
    pub(super) fn report(&mut self, i: usize, load: Load) {
        let (now, rack, within) = (self.book.now, self.book.servers[i].rack, self.set.tell + self.set.see);
        let link = (&mut self.book.servers[i].link, load.link.or(load.util));
        for (gauge, full) in [link, (&mut self.book.racks[rack], load.uplink)] {
            if let Some(full) = full.filter(|_| !gauge.fresh(now, within)) {
                gauge.tell(full, now - self.set.see);
            }
        }
    }
}
