//! Checks the rules from what boxes and viewers see. It shares no code with the broker's own guard.

use std::collections::{BTreeMap, VecDeque};

use amberspindle::api::{Micros, SessionId};

use crate::deployment::Deployment;

/// Each time limit is so much longer.
const SLACK: Micros = Micros(50_000);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When.
    pub at: Micros,
    /// Which: `lost`, `two answers`, `paid twice`, `refused though it ran`, `two out`, `too many attempts`,
    /// `drained`, `pushed over` or `under its floor`.
    pub rule: &'static str,
    /// The request, or the box.
    pub what: String,
}

#[derive(Debug)]
struct Owed {
    paid: bool,
    due: Micros,
    answered: bool,
    given_up: bool,
    attempts: u32,
    /// Where an attempt is out.
    out: Option<usize>,
    ran: u32,
}

/// What a box may take when it has just started.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// When it started.
    pub started: Micros,
    /// Its places.
    pub places: usize,
    /// Until it is warm.
    pub warm: Micros,
    /// The share that it starts with.
    pub from: f64,
    /// So many times its pace push it over.
    pub times: f64,
    /// Within this.
    pub window: Micros,
}

/// The checker.
#[derive(Debug)]
pub struct Rules {
    /// Attempts for one request at most.
    attempts_most: u32,
    /// Nothing new goes to a box so long after the broker heard that it drains or is gone.
    drain_grace: Micros,
    owed: BTreeMap<SessionId, Owed>,
    /// When each broker was told last that a box takes nothing new.
    told: BTreeMap<(usize, String), Micros>,
    cold: BTreeMap<usize, (Cold, VecDeque<Micros>)>,
    /// What was broken.
    pub broken: Vec<Broken>,
}

impl Rules {
    /// With the figures of a deployment.
    pub fn new(deployment: &Deployment) -> Rules {
        Rules {
            attempts_most: deployment.attempts_most,
            drain_grace: Micros(deployment.drain_grace_ms * 1000),
            owed: BTreeMap::new(),
            told: BTreeMap::new(),
            cold: BTreeMap::new(),
            broken: Vec::new(),
        }
    }

    /// A session is set up at a rung, or is to play at it, of a class that plays at no lower one than its floor.
    pub fn plays_at(&mut self, now: Micros, id: SessionId, rung: usize, floor: usize) {
        if rung < floor {
            self.break_(now, "under its floor", format!("{:016x} at rung {rung}", id.0));
        }
    }

    fn break_(&mut self, at: Micros, rule: &'static str, what: impl ToString) {
        self.broken.push(Broken { at, rule, what: what.to_string() });
    }

    /// A broker has taken a request.
    pub fn asked(&mut self, id: SessionId, paid: bool, due: Micros) {
        let owed = Owed { paid, due, answered: false, given_up: false, attempts: 0, out: None, ran: 0 };
        self.owed.insert(id, owed);
    }

    /// Its broker died, or its viewer gave it up: no answer is owed.
    pub fn excused(&mut self, id: SessionId) {
        if let Some(owed) = self.owed.get_mut(&id) {
            owed.given_up = true;
        }
    }

    /// An answer came: it plays, was refused, or failed.
    pub fn answered(&mut self, now: Micros, id: SessionId, refused: bool) {
        let Some(owed) = self.owed.get_mut(&id) else {
            return self.break_(now, "two answers", format!("{:016x}", id.0));
        };
        let twice = std::mem::replace(&mut owed.answered, true);
        let late = now > owed.due + SLACK && !owed.given_up;
        let ran = refused && owed.paid && owed.ran > 0;
        for (rule, broken) in [("two answers", twice), ("lost", late), ("refused though it ran", ran)] {
            if broken {
                self.break_(now, rule, format!("{:016x}", id.0));
            }
        }
    }

    /// A broker heard that a box drains or is gone; or, with `None`, that it may be used.
    pub fn told(&mut self, broker: usize, server: &str, at: Option<Micros>) {
        match at {
            Some(at) => {
                self.told.entry((broker, server.to_owned())).or_insert(at);
            }
            None => {
                self.told.remove(&(broker, server.to_owned()));
            }
        }
    }

    /// A broker was started anew: what it heard before is forgotten.
    pub fn restarted(&mut self, broker: usize) {
        self.told.retain(|(of, _), _| *of != broker);
    }

    /// A box has just started.
    pub fn started(&mut self, at: usize, cold: Cold) {
        self.cold.insert(at, (cold, VecDeque::new()));
    }

    /// A set-up has reached a box whole, and ran there or was turned away unseen.
    pub fn reached(
        &mut self,
        now: Micros,
        broker: usize,
        (at, server): (usize, &str),
        id: SessionId,
        ran: bool,
    ) {
        let mut broken = Vec::new();
        if let Some(owed) = self.owed.get_mut(&id) {
            owed.attempts += 1;
            broken.push(("too many attempts", owed.attempts > self.attempts_most));
            broken.push(("two out", owed.out.is_some()));
            broken.push(("paid twice", owed.paid && owed.ran > 0));
            owed.out = ran.then_some(at);
            owed.ran += u32::from(ran);
        }
        let told = self.told.get(&(broker, server.to_owned()));
        broken.push(("drained", told.is_some_and(|told| now > *told + self.drain_grace + SLACK)));
        if let Some((cold, times)) = self.cold.get_mut(&at) {
            let age = (now - cold.started).secs() / cold.warm.secs().max(1e-6);
            times.push_back(now);
            times.retain(|t| *t + cold.window > now);
            let share = cold.from + (1.0 - cold.from) * age.min(1.0);
            let pace = cold.places as f64 / cold.warm.secs().max(1e-6) * share;
            // One more than the figure, as a pace is no count.
            let most = cold.times * pace * cold.window.secs() + 1.0;
            broken.push(("pushed over", age < 1.0 && times.len() as f64 > most));
        }
        for (rule, _) in broken.into_iter().filter(|(_, broken)| *broken) {
            self.break_(now, rule, format!("{:016x} at {server}", id.0));
        }
    }

    /// The attempt at a box has ended there, with an answer or by being given up.
    pub fn ended(&mut self, id: SessionId, at: usize) {
        if let Some(owed) = self.owed.get_mut(&id).filter(|owed| owed.out == Some(at)) {
            owed.out = None;
        }
    }

    /// The day is over: what was taken and not answered is lost.
    pub fn finish(&mut self, now: Micros) {
        let lost = self.owed.iter().filter(|(_, o)| !o.answered && !o.given_up && o.due + SLACK < now);
        let lost: Vec<SessionId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.break_(now, "lost", format!("{:016x}", id.0));
        }
    }
}

#[cfg(test)]
mod tests;
