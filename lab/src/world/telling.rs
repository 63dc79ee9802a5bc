//! What boxes tell of their links and uplinks, and what sessions get.

use super::*;
use crate::deployment::Report;

/// A box's report, with the figures that its deployment has.
pub(super) fn with_load(message: Builder, reports: &[Report], link: f64, uplink: f64) -> Builder {
    let figure = |report: Report| match report {
        Report::Util => link.min(1.0),
        Report::X0 => link,
        Report::X1 => uplink,
    };
    let fields = reports.iter().map(|report| format!("{}:{:.3}", report.field(), figure(*report)));
    message.with(code::LOAD, fields.collect::<Vec<_>>().join(";").as_bytes())
}

/// A note on a session.
fn note(id: SessionId, about: &str, figure: f64) -> Vec<u8> {
    let message = Builder::new(Kind::Note, id).with(code::NOTE, about.as_bytes());
    message.with(code::FIGURE, format!("{figure:.4}").as_bytes()).finish().unwrap_or_default()
}

impl World {
    /// Fullness of a rack's uplink.
    pub(super) fn uplink(&self, rack: usize) -> f64 {
        let there = self.boxes.iter().enumerate().filter(|(i, _)| self.plan.rack_of(*i) == rack);
        uplink(there.map(|(_, at)| at), self.racks_kb[rack], &self.plan.settings)
    }

    /// Fullness of a box's link and of its rack's uplink.
    pub(super) fn fullness(&self, of: usize) -> [f64; 2] {
        let link = self.boxes[of].full(self.queue.now(), &self.plan.settings);
        [link, self.uplink(self.plan.rack_of(of))]
    }

    /// The same of all boxes, each rack looked at once.
    pub(super) fn fullness_of_all(&self) -> Vec<[f64; 2]> {
        let uplinks: Vec<f64> = (0..self.racks_kb.len()).map(|rack| self.uplink(rack)).collect();
        let (now, set) = (self.queue.now(), &self.plan.settings);
        let both = |(i, at): (usize, &MediaBox)| [at.full(now, set), uplinks[self.plan.rack_of(i)]];
        self.boxes.iter().enumerate().map(both).collect()
    }

    /// Writes to a broker on one of its connections to a box, or on the next.
    pub(super) fn say(&mut self, of: usize, broker: usize, late: Micros, bytes: Vec<u8>) {
        let start = self.slots[broker].start;
        let line = self.ways.iter().find(|(l, way)| l.broker == broker && l.start == start && way.of == of);
        match line.map(|(line, _)| *line) {
            Some(line) => self.queue.after(WAY + late, Due::ToBroker(line, bytes)),
            None => self.untold.entry((of, broker)).or_default().push(bytes),
        }
    }

    /// One session of each broker at a box, by broker.
    pub(super) fn one_each(&self, of: usize) -> BTreeMap<usize, SessionId> {
        let playing = self.boxes[of].held.iter().filter(|(_, h)| h.plays);
        playing.map(|(id, h)| (h.broker, *id)).collect()
    }

    pub(super) fn heard_from(&self) -> Vec<usize> {
        let up = |i: &usize| matches!(self.boxes[*i].health, Health::Up | Health::Draining);
        (0..self.boxes.len()).filter(up).collect()
    }

    /// Notes on a box's link and, where they are told, on its rack's uplink.
    pub(super) fn notes(&self, id: SessionId, link: f64, uplink: f64) -> Vec<u8> {
        let mut bytes = note(id, "wire", link);
        if self.plan.deployment.reports_uplinks() {
            bytes.extend(note(id, "trunk", uplink));
        }
        bytes
    }

    pub(super) fn tell(&mut self) {
        let full = self.fullness_of_all();
        for of in self.heard_from() {
            let [link, uplink] = full[of];
            for (broker, id) in self.one_each(of) {
                let bytes = self.notes(id, link, uplink);
                self.say(of, broker, self.plan.settings.note_delay, bytes);
            }
        }
        self.queue.after(self.plan.settings.load_note_interval, Due::Tell);
    }

    pub(super) fn tell_short(&mut self) {
        let full = self.fullness_of_all();
        for of in self.heard_from() {
            let share = delivered(full[of]);
            // Once more after it was short, so that brokers hear that it is over.
            let was = if share < SHORT { !self.short.insert(of) } else { self.short.remove(&of) };
            if share < SHORT || was {
                for (broker, id) in self.one_each(of) {
                    self.say(of, broker, self.plan.settings.note_delay, note(id, "kept_up", share));
                }
            }
        }
        self.queue.after(SHORT_EVERY, Due::Short);
    }

    pub(super) fn sample(&mut self) {
        let set = &self.plan.settings;
        let now = self.queue.now();
        if now - START < self.plan.length {
            let full = self.fullness_of_all();
            for (of, at) in self.boxes.iter().enumerate() {
                if matches!(at.health, Health::Silent | Health::Dead) {
                    continue;
                }
                let kept = (1.0 - set.shortfall_penalty * (SHORT - delivered(full[of])).max(0.0)).max(0.0);
                for held in at.held.values().filter(|h| h.plays) {
                    let worth = set.classes[held.class].worth * set.rung_worth[held.rung] * SAMPLE.secs();
                    self.tally.worth.1 += worth * kept;
                    self.tally.short += worth * (1.0 - kept);
                }
            }
        }
        self.queue.after(SAMPLE, Due::Sample);
    }
}
