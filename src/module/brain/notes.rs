//! What notes and reports tell.

use super::*;

/// Delivered share under which sessions lose worth (the service's own bound).
const SHORT: f64 = 0.98;
/// Fullness by which a shortfall must exceed what the figures say to count as news.
const UNEXPLAINED: f64 = 0.05;
/// A server that delivers short says so each second: one that has not for so long does not.
const SHORT_TOLD: Micros = Micros(1_500_000);
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
        let measured = if at_setup { now } else { now - self.set.note_delay };
        match note {
            Note::Rung(rung) => {
                self.book.sessions.entry(id).and_modify(|s| s.rung = rung.0.min(s.hi));
                return;
            }
            Note::Delivered(share) if share < STANDSTILL => {
                return self.distrust(i, "delivers almost nothing", out);
            }
            Note::Delivered(share) if share < SHORT => self.fell_short(i, share, measured),
            Note::Delivered(_) => {}
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

    /// A server delivers less than is asked although its link seemed to have room. Where that was told
    /// lately, others of its rack are short too and no report tells of uplinks, the uplink gives less than
    /// was thought: were it taken for the link, its next note would undo it while all of the rack are short.
    fn fell_short(&mut self, i: usize, share: f64, measured: Micros) {
        let (full, rack, now) = (1.0 / share, self.book.servers[i].rack, self.book.now);
        self.book.servers[i].short_at = Some(now);
        let told = self.book.servers[i].link.fresh(now, self.set.load_note_interval + self.set.note_delay);
        let link_explains = self.link_full(i) >= full - UNEXPLAINED;
        if told && !link_explains && !self.set.uplink_reported && self.rack_short(i) {
            let asked = self.rack_asked(rack) - self.book.racks[rack].shifted_since(measured);
            self.book.uplinks[rack].fell_short(asked, share, measured);
        } else if !link_explains && self.rack_full(rack) < full - UNEXPLAINED {
            self.book.servers[i].link.tell(full, measured);
        }
    }

    /// Whether others of a server's rack are short too, or none of them would tell this front.
    fn rack_short(&self, i: usize) -> bool {
        let others = || self.book.by_rack[self.book.servers[i].rack].iter().filter(|other| **other != i);
        let lately = |at: Micros| self.book.now - at <= SHORT_TOLD;
        others().any(|other| self.book.servers[*other].short_at.is_some_and(lately))
            || others().all(|other| self.book.servers[*other].own.is_empty())
    }

    /// Reports in answers are noisy and of uncertain age: they count only where no note is fresh.
    pub(super) fn report(&mut self, i: usize, load: Load) {
        let (now, rack, within) =
            (self.book.now, self.book.servers[i].rack, self.set.load_note_interval + self.set.note_delay);
        let link = (&mut self.book.servers[i].link, load.link.or(load.util));
        for (gauge, full) in [link, (&mut self.book.racks[rack], load.uplink)] {
            if let Some(full) = full.filter(|_| !gauge.fresh(now, within)) {
                gauge.tell(full, now - self.set.note_delay);
            }
        }
    }
}
