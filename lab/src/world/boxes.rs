//! Boxes: connections, set-ups and sessions, and their deaths and starts.

use super::telling::with_load;
use super::*;

impl World {
    /// A session that is at a box is to play at another rung.
    fn check_floor(&mut self, of: usize, id: SessionId, rung: usize) {
        let now = self.queue.now();
        if let Some(held) = self.boxes[of].held.get(&id) {
            let floor = self.plan.settings.classes[held.class].floor.0;
            self.rules.plays_at(now, id, rung, floor);
        }
    }

    pub(super) fn dialled(&mut self, line: Line, of: usize) {
        let now = self.queue.now();
        match self.boxes[of].health {
            Health::Up | Health::Draining => {
                self.ways.insert(line, Way { decoder: Decoder::default(), of });
                self.with(line.broker, |node, out| node.opened(now, line.conn, out));
                for bytes in self.untold.remove(&(of, line.broker)).unwrap_or_default() {
                    self.queue.after(WAY, Due::ToBroker(line, bytes));
                }
            }
            Health::Silent => self.queue.after(CONNECT_TIMEOUT, Due::Unanswered(line)),
            Health::Dead => {
                self.with(line.broker, |node, out| node.closed(now, line.conn, &ConnectionEnd::Refused, out));
            }
        }
    }

    pub(super) fn left(&mut self, line: Line, of: usize) {
        // The set-ups that are open on it are given up.
        self.ways.remove(&line);
        let open: Vec<SessionId> = self.boxes[of]
            .held
            .iter()
            .filter(|(_, h)| !h.plays && h.broker == line.broker)
            .map(|(id, _)| *id)
            .collect();
        let other = self.ways.iter().any(|(l, way)| l.broker == line.broker && way.of == of);
        for id in open.into_iter().filter(|_| !other) {
            self.boxes[of].held.remove(&id);
            self.rules.ended(id, of);
        }
    }

    pub(super) fn box_hears(&mut self, line: Line, of: usize, bytes: &[u8]) {
        if matches!(self.boxes[of].health, Health::Silent | Health::Dead) {
            return;
        }
        let deployment = &self.plan.deployment;
        let Some(way) = self.ways.get_mut(&line) else { return };
        way.decoder.feed(bytes);
        let mut heard = Vec::new();
        while let Ok(Some(packet)) = way.decoder.next_packet() {
            let rung: Option<usize> = packet.text(code::RUNG).and_then(|r| r.parse().ok());
            let class = packet.text(code::CLASS).and_then(|name| deployment.class_named(name));
            let title = Text::from(packet.text(code::TITLE).unwrap_or(""));
            heard.push((packet.kind, packet.id, rung, class, title));
        }
        for (kind, id, rung, class, title) in heard {
            match kind {
                Kind::SetUp => {
                    let class = class.unwrap_or(0);
                    // Without a rung the lowest of the class is meant.
                    let rung = rung.unwrap_or(self.plan.settings.classes[class].floor.0);
                    self.asked(line, of, id, rung, class, title);
                }
                Kind::Release => {
                    self.boxes[of].held.remove(&id);
                    self.rules.ended(id, of);
                }
                Kind::Rate => {
                    let rung = rung.unwrap_or(0);
                    self.check_floor(of, id, rung);
                    if let Some(held) = self.boxes[of].held.get_mut(&id) {
                        let changes = held.plays && held.rung != rung;
                        held.rung = rung;
                        if changes {
                            self.tally.changes += 1;
                            let class = &self.plan.settings.classes[held.class];
                            self.tally.worth.1 -= self.plan.settings.switch_s * class.worth;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn asked(
        &mut self,
        line: Line,
        of: usize,
        id: SessionId,
        rung: usize,
        class: usize,
        title: Text,
    ) {
        let (now, set) = (self.queue.now(), &self.plan.settings);
        let held = Held { broker: line.broker, class, title, rung, plays: false };
        let takes = self.boxes[of].takes(now, set, line.broker, &held);
        let name = self.plan.name(of, self.boxes[of].start);
        self.tally.tries += 1;
        self.rules.reached(now, line.broker, (of, &name), id, takes);
        self.rules.plays_at(now, id, rung, set.classes[class].floor.0);
        if takes {
            self.boxes[of].held.insert(id, held);
            let start = self.boxes[of].start;
            // A fuller box takes longer.
            let slow = 1.0 + self.boxes[of].full(now, set).min(2.0);
            self.queue.after(Micros((self.plan.setup.0 as f64 * slow) as u64), Due::SetUp(of, start, id));
        } else {
            self.tally.full += 1;
            let [link, uplink] = self.fullness(of);
            let message = with_load(
                Builder::new(Kind::Release, id).cause(cause::FULL),
                &self.plan.deployment.reports,
                link,
                uplink,
            );
            self.queue.after(WAY, Due::ToBroker(line, message.finish().unwrap_or_default()));
        }
    }

    pub(super) fn set_up(&mut self, of: usize, start: u32, id: SessionId) {
        if self.boxes[of].start != start || self.boxes[of].health == Health::Silent {
            return;
        }
        let Some(held) = self.boxes[of].held.get_mut(&id) else { return };
        held.plays = true;
        let broker = held.broker;
        self.rules.ended(id, of);
        *self.tally.by_box.entry(of).or_default() += 1;
        let answer =
            Builder::new(Kind::Answer, id).with(code::DESCRIPTION, format!("{:016x}\r\n", id.0).as_bytes());
        let [link, uplink] = self.fullness(of);
        let mut bytes = answer.finish().unwrap_or_default();
        bytes.extend(self.notes(id, link, uplink));
        self.say(of, broker, Micros(0), bytes);
        let life = self.tries.get(&id).map_or(Micros(0), |of| of.ask.life);
        self.queue.after(life, Due::Over(of, start, id));
    }

    pub(super) fn over(&mut self, of: usize, start: u32, id: SessionId) {
        if self.boxes[of].start != start || matches!(self.boxes[of].health, Health::Silent | Health::Dead) {
            return;
        }
        if let Some(held) = self.boxes[of].held.remove(&id) {
            let bytes = Builder::new(Kind::Release, id).cause(cause::NORMAL).finish().unwrap_or_default();
            self.say(of, held.broker, Micros(0), bytes);
        }
    }

    pub(super) fn dies(&mut self, of: usize) {
        self.boxes[of].health = Health::Dead;
        let held = std::mem::take(&mut self.boxes[of].held);
        for id in held.keys() {
            self.rules.ended(*id, of);
            if self.tries.get(id).is_some_and(|t| t.plays) {
                self.comes_again(*id, 0.0);
            }
        }
        let lines: Vec<Line> = self.ways.iter().filter(|(_, way)| way.of == of).map(|(l, _)| *l).collect();
        for line in lines {
            self.ways.remove(&line);
            self.queue.after(WAY, Due::Ended(line, true));
        }
        self.untold.retain(|(at, _), _| *at != of);
        let gone = self.listed(of);
        self.tell_list(&[gone]);
    }

    pub(super) fn back(&mut self, of: usize) {
        let now = self.queue.now();
        let at = &mut self.boxes[of];
        if at.health == Health::Dead {
            (at.start, at.started, at.full_to_odd) = (at.start + 1, Some(now), false);
            let set = &self.plan.settings;
            let cold = Cold {
                started: now,
                places: at.places,
                warm: set.warm_up,
                from: set.initial_capacity,
                times: set.overload_factor,
                window: set.overload_window,
            };
            self.rules.started(of, cold);
            self.boxes[of].health = Health::Up;
            let listed = self.listed(of);
            self.tell_list(&[listed]);
        } else {
            at.health = Health::Up;
        }
    }
}
