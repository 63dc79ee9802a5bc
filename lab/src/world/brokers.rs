//! Brokers: their starts, the list that they hear, and what they have the laboratory do.

use super::*;

impl World {
    pub(super) fn start(&self, broker: usize, start: u32) -> Slot {
        let node = Node::new(&self.plan.config(broker, start));
        Slot { node, start, viewers: None, alarm: Micros::MAX, text: Vec::new() }
    }

    pub(super) fn listed(&self, of: usize) -> ListedServer {
        let at = &self.boxes[of];
        let state = match at.health {
            Health::Draining => ServerState::Draining,
            Health::Dead => ServerState::Gone,
            Health::Up | Health::Silent => ServerState::Ready,
        };
        let id = ServerId::new(&self.plan.name(of, at.start));
        let mut entry = ServerEntry::new(id, state, self.plan.cell(of));
        entry.up_since = at.started;
        ListedServer::new(entry, self.plan.address(of))
    }

    pub(super) fn whole_list(&mut self, broker: usize) {
        let servers = (0..self.boxes.len()).filter(|i| self.boxes[*i].health != Health::Dead);
        let servers: Vec<ListedServer> = servers.map(|i| self.listed(i)).collect();
        self.hear(broker, ListUpdate { kind: ListKind::Complete, servers });
    }

    pub(super) fn hear(&mut self, broker: usize, news: ListUpdate) {
        let now = self.queue.now();
        for listed in &news.servers {
            let ready = listed.entry.state == ServerState::Ready;
            self.rules.told(broker, &listed.entry.id.0, (!ready).then_some(now));
        }
        self.with(broker, |node, out| node.update_server_list(now, news, out));
    }

    /// Brokers hear of a box late, each at its own time.
    pub(super) fn tell_list(&mut self, servers: &[ListedServer]) {
        for broker in 0..self.slots.len() {
            let late = Micros((self.plan.notice.0 as f64 * (0.5 + 0.5 * self.viewers.chance())) as u64);
            self.queue.after(late, Due::News(broker, self.slots[broker].start, servers.to_vec()));
        }
    }

    /// Lets a broker do something, then carries its commands out.
    pub(super) fn with(&mut self, broker: usize, act: impl FnOnce(&mut Node, &mut Vec<Command>)) {
        let mut out = Vec::new();
        act(&mut self.slots[broker].node, &mut out);
        self.slots[broker].node.take_log();
        for command in out {
            self.carry_out(broker, command);
        }
        let slot = &mut self.slots[broker];
        let alarm = slot.node.next_alarm().max(self.queue.now());
        // An alarm that moved away finds nothing to do; one that came closer needs a tick of its own.
        if alarm < slot.alarm {
            slot.alarm = alarm;
            self.queue.at(alarm, Due::Tick(broker));
        }
    }

    pub(super) fn carry_out(&mut self, broker: usize, command: Command) {
        let line = |conn| Line { broker, start: self.slots[broker].start, conn };
        match command {
            Command::Dial(conn, address) => {
                self.tally.connections += 1;
                let line = line(conn);
                let Some(of) = (0..self.boxes.len()).find(|i| self.plan.address(*i) == address) else {
                    return;
                };
                self.queue.after(Micros(WAY.0 * 3), Due::Dialled(line, of));
            }
            // Here a set-up is on its way as soon as it was written.
            Command::Withdraw(conn, id, bytes) => {
                let line = line(conn);
                if let Some(way) = self.ways.get(&line) {
                    self.queue.after(WAY, Due::ToBox(line, way.of, bytes));
                }
                let now = self.queue.now();
                self.with(broker, |node, out| node.withdrawn(now, conn, id, out));
            }
            Command::Write(conn, bytes, _) | Command::WriteSessionEnd(conn, bytes) => {
                let line = line(conn);
                match self.ways.get(&line) {
                    Some(way) => self.queue.after(WAY, Due::ToBox(line, way.of, bytes)),
                    None => self.queue.after(WAY, Due::ToViewers(line, bytes)),
                }
            }
            Command::Close(conn, _)
            | Command::CloseIfQuiet(conn, _)
            | Command::LingeringClose(conn, _)
            | Command::Abort(conn, _) => {
                let line = line(conn);
                if let Some(way) = self.ways.get(&line) {
                    self.queue.after(WAY, Due::LeftBox(line, way.of));
                }
                if self.slots[broker].viewers == Some(conn) {
                    self.slots[broker].viewers = None;
                }
                self.queue.after(Micros(WAY.0 * 2), Due::Ended(line, false));
            }
        }
    }

    /// Whether a connection's broker is still the same start.
    pub(super) fn lives(&self, line: &Line) -> bool {
        self.slots[line.broker].start == line.start
    }

    pub(super) fn restart(&mut self, broker: usize) {
        let start = self.slots[broker].start;
        let lines: Vec<(Line, usize)> =
            self.ways.iter().filter(|(l, _)| l.broker == broker).map(|(l, way)| (*l, way.of)).collect();
        for (line, of) in lines {
            self.ways.remove(&line);
            let lost = self.boxes[of].held.iter().filter(|(_, h)| h.broker == broker && !h.plays);
            let lost: Vec<SessionId> = lost.map(|(id, _)| *id).collect();
            for id in lost {
                self.boxes[of].held.remove(&id);
                self.rules.ended(id, of);
            }
        }
        // Sessions end with their broker, and what it had taken needs no answer any more.
        for at in &mut self.boxes {
            at.held.retain(|_, h| h.broker != broker);
        }
        self.untold.retain(|(_, of), _| *of != broker);
        let own = self.tries.iter_mut().filter(|(_, t)| t.broker == (broker, start));
        let mut own: Vec<(&SessionId, &mut Try)> = own.filter(|(_, t)| t.plays || !t.answered).collect();
        for (id, of) in &mut own {
            if !std::mem::replace(&mut of.answered, true) {
                self.rules.excused(**id);
            }
            of.plays = false;
        }
        let own: Vec<SessionId> = own.into_iter().map(|(id, _)| *id).collect();
        for id in own {
            self.comes_again(id, 0.0);
        }
        self.rules.restarted(broker);
        self.slots[broker] = self.start(broker, start + 1);
        self.whole_list(broker);
    }
}
