//! Viewers: what they ask, what they hear, and whether they come again.

use super::*;

impl World {
    pub(super) fn comes(&mut self, ask: Ask, tries: u32) {
        let (now, broker) = (self.queue.now(), ask.broker);
        let class = &self.plan.settings.classes[ask.class];
        self.tally.requests += 1;
        if tries == 1 {
            self.tally.first += 1;
            let top = ask.top.min(class.top.0);
            let worth = class.worth * self.plan.settings.rung_worth[top];
            let end = (ask.at + ask.life).min(self.plan.length);
            self.tally.worth.0 += worth * (end - ask.at).secs();
        }
        self.rules.asked(ask.id, class.idempotency == Idempotency::Unsafe, now + class.deadline);
        let extras = format!(
            "home:{};copies:{};top:{};viewer:{:016x}{}",
            ask.home,
            self.plan.copies,
            ask.top,
            ask.id.0,
            if ask.again { ";again:1" } else { "" }
        );
        let id = format!("{:016x}", ask.id.0);
        let deployment = &self.plan.deployment;
        let mut fields = json!({"class": deployment.classes[ask.class].name,
            "left": (class.deadline.0 / 1000).to_string(), "key": &*ask.title, "extras": extras});
        if let Some(tenant) = deployment.tenants.first() {
            fields["tenant"] = json!(tenant);
        }
        let line = json!({"type": "setup", "id": id, "sdp": format!("{id}\r\n"), "fields": fields});
        self.queue.at(now + class.deadline, Due::GivesUp(ask.id));
        let start = self.slots[broker].start;
        self.tries.insert(
            ask.id,
            Try { ask, tries, asked: now, answered: false, broker: (broker, start), plays: false },
        );
        let conn = match self.slots[broker].viewers {
            Some(conn) => conn,
            None => {
                let conn = self.slots[broker].node.allocate_conn_id();
                self.slots[broker].viewers = Some(conn);
                self.with(broker, |node, _| node.accepted(now, conn, Protocol::Platform));
                conn
            }
        };
        let bytes = format!("{line}\n").into_bytes();
        self.with(broker, |node, out| node.bytes(now, conn, &bytes, out));
    }

    pub(super) fn gives_up(&mut self, id: SessionId) {
        let now = self.queue.now();
        let Some(of) = self.tries.get(&id).filter(|t| !t.answered) else { return };
        let (broker, start) = of.broker;
        // An answer is owed all the same: the rule's time is over, and its slack is short.
        let line = format!(
            "{}\n",
            json!({"type": "release", "id": format!("{:016x}", id.0), "fields": {}, "cause": 16})
        );
        if self.slots[broker].start == start
            && let Some(conn) = self.slots[broker].viewers
        {
            self.with(broker, |node, out| node.bytes(now, conn, line.as_bytes(), out));
        }
    }

    pub(super) fn viewers_hear(&mut self, line: Line, bytes: &[u8]) {
        let slot = &mut self.slots[line.broker];
        slot.text.extend_from_slice(bytes);
        let mut said = Vec::new();
        while let Some(end) = slot.text.iter().position(|b| *b == b'\n') {
            let whole: Vec<u8> = slot.text.drain(..=end).collect();
            said.extend(serde_json::from_slice::<Value>(&whole));
        }
        for said in said {
            let id = said["id"].as_str().and_then(|id| u64::from_str_radix(id, 16).ok());
            let (Some(id), Some(kind)) = (id.map(SessionId), said["type"].as_str()) else { continue };
            self.said(id, kind, &said);
        }
    }

    pub(super) fn said(&mut self, id: SessionId, kind: &str, said: &Value) {
        let now = self.queue.now();
        let Some(of) = self.tries.get_mut(&id) else { return };
        let first = !of.answered;
        match (kind, first) {
            ("answer", _) => {
                self.rules.answered(now, id, false);
                (of.answered, of.plays) = (true, true);
                self.tally.plays += 1;
                let took = now - of.asked;
                self.tally.took.push(took.0);
                let in_time = took <= self.plan.settings.classes[of.ask.class].slo;
                self.tally.in_time += u64::from(of.tries == 1 && in_time);
            }
            ("release", true) => {
                let refused = matches!(said["cause"].as_u64(), Some(34 | 42 | 102));
                self.rules.answered(now, id, refused);
                of.answered = true;
                if refused {
                    self.tally.refused += 1;
                } else {
                    self.tally.failed += 1;
                }
                let wait = said["fields"]["wait"].as_str().and_then(|w| w.parse().ok()).unwrap_or(0.0);
                self.comes_again(id, wait / 1000.0);
            }
            ("release" | "move", false) => of.plays = false,
            _ => {}
        }
    }

    pub(super) fn comes_again(&mut self, id: SessionId, wait: f64) {
        let Some(of) = self.tries.get(&id) else { return };
        let (ask, tries) = (of.ask.clone(), of.tries + 1);
        if tries > TRIES_MOST || self.viewers.chance() > RETURNS {
            return;
        }
        let pause = wait + REJOIN.0 + (REJOIN.1 - REJOIN.0) * self.viewers.chance();
        let at = self.queue.now() + Micros::from_secs(pause);
        if at < START + self.plan.length {
            let ask = self.viewers.again(&ask, at - START);
            self.queue.at(at, Due::Comes(ask, tries));
        }
    }
}
