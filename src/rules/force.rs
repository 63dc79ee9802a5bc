//! The leader's side: when the announced version may come into force. Each answer to a beat lets its process act on
//! the version in force for a while (its freshness), and tells it of the announced one. So the old version may still
//! be acted on alone by whoever was answered before the announcement and has not been heard to accept since.

use std::collections::BTreeMap;

use super::version::RulesLog;
use crate::api::Micros;
use crate::mutant;
use crate::peers::{BootTime, Process};

/// A process that may act on rules.
#[derive(Clone, Debug)]
struct Acting {
    /// The last number that the log had given out when it was answered last.
    last: u64,
    /// Until when its freshness may last at most by answers that said so, and by those before them.
    until: BootTime,
    before: BootTime,
    /// The last version that it has accepted.
    accepted: u64,
    /// The last that it has refused, and why.
    refused: Option<(u64, String)>,
    /// The version that it was told to be in force.
    told: u64,
}

impl Acting {
    /// Until when it may act without having accepted a version. An answer that told of that version makes whoever hears
    /// it accept it, and lets nobody act without: also one that hears nothing, but goes on asking, holds nothing up.
    fn without(&self, number: u64) -> BootTime {
        if self.last >= number { self.before } else { self.until }
    }
}

/// What the leader knows of who acts on what.
#[derive(Clone, Debug)]
pub struct Forcing {
    began: BootTime,
    fresh: Micros,
    drift: Micros,
    acting: BTreeMap<Process, Acting>,
}

impl Forcing {
    /// A leader that has just begun: who was answered by others it can't know.
    pub fn new(began: BootTime, fresh: Micros, drift: Micros) -> Forcing {
        Forcing { began, fresh, drift, acting: BTreeMap::new() }
    }

    /// A process says what it has accepted, and what it could not.
    pub fn heard(&mut self, process: &Process, accepted: u64, refused: Option<&(u64, String)>) {
        if let Some(acting) = self.acting.get_mut(process) {
            acting.accepted = acting.accepted.max(accepted);
            acting.refused = refused.cloned();
        }
    }

    /// A process is answered now: it may act on the version in force for a full length from here, and its part for
    /// drift.
    pub fn answered(&mut self, now: BootTime, process: &Process, accepted: u64, (force, last): (u64, u64)) {
        let until = now.after(Micros(self.fresh.0 + self.drift.0));
        let new = Acting { last, until, before: BootTime(0), accepted, refused: None, told: force };
        let acting = self.acting.entry(process.clone()).or_insert(new);
        if acting.last != last {
            (acting.last, acting.before) = (last, acting.before.max(acting.until));
        }
        acting.until = acting.until.max(until);
        acting.accepted = acting.accepted.max(accepted);
        acting.told = force;
    }

    /// Whether the announced version may come into force.
    pub fn ready(&self, now: BootTime, ruled: &RulesLog) -> bool {
        let number = ruled.announced();
        if number == 0 {
            return false;
        }
        if mutant::is_active(mutant::Mutant::ForceAtOnce) {
            return true;
        }
        // Those that an earlier leader answered are fresh no longer than this.
        let others = self.began.after(Micros(self.fresh.0 + self.drift.0));
        now >= others && self.acting.values().all(|a| a.accepted >= number || a.without(number) <= now)
    }

    /// When that may be at the latest, if nobody is answered before.
    pub fn next(&self, ruled: &RulesLog) -> Option<BootTime> {
        let number = Some(ruled.announced()).filter(|n| *n > 0)?;
        let late = self.acting.values().filter(|a| a.accepted < number).map(|a| a.without(number)).max();
        Some(self.began.after(Micros(self.fresh.0 + self.drift.0)).max(late.unwrap_or_default()))
    }

    /// A process that can't use the announced version, and why.
    pub fn refusal(&self, ruled: &RulesLog) -> Option<(&Process, &str)> {
        let number = ruled.announced();
        self.acting.iter().find_map(|(process, acting)| {
            let (refused, why) = acting.refused.as_ref()?;
            (*refused == number && number > 0).then_some((process, why.as_str()))
        })
    }

    /// Who acts on what: the process, the version that it was told last, the one it accepted, and how long it may
    /// act on it at most.
    pub fn who(&self, now: BootTime) -> impl Iterator<Item = (&Process, u64, u64, Micros)> {
        self.acting.iter().map(move |(process, a)| (process, a.told, a.accepted, a.until.since(now)))
    }

    /// Forgets those that can't act any more.
    pub fn forget(&mut self, now: BootTime) {
        self.acting.retain(|_, acting| acting.until > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::peers::{Incarnation, Name};
    use crate::rules::version::Version;

    fn process(name: &str) -> Process {
        Process { name: Name(name.into()), incarnation: Incarnation(1) }
    }

    fn announced() -> RulesLog {
        let (digest, author, note, text) = (String::new(), String::new(), String::new(), String::new());
        let mut ruled = RulesLog::default();
        ruled.announce(&Version { number: 1, parent: 0, digest, author, at_ms: 0, note, text });
        ruled
    }

    #[test]
    fn it_waits_for_all_to_accept_or_to_be_fresh_no_longer() {
        let (ruled, a, b) = (announced(), process("a"), process("b"));
        let mut forcing = Forcing::new(BootTime(0), Micros(100), Micros(10));
        forcing.answered(BootTime(200), &a, 0, (0, 0));
        forcing.answered(BootTime(210), &b, 0, (0, 0));
        assert!(!forcing.ready(BootTime(250), &ruled));
        forcing.heard(&a, 1, None);
        assert!(!forcing.ready(BootTime(319), &ruled), "b may act on the old one");
        assert_eq!(forcing.next(&ruled), Some(BootTime(320)));
        assert!(forcing.ready(BootTime(320), &ruled), "b is cut off");
    }

    /// Seen with one that is heard and hears nothing: each answer to it put the force off.
    #[test]
    fn one_that_asks_and_hears_nothing_holds_nothing_up() {
        let (ruled, a) = (announced(), process("a"));
        let mut forcing = Forcing::new(BootTime(0), Micros(100), Micros(10));
        forcing.answered(BootTime(200), &a, 0, (0, 0));
        for now in [220, 260, 300] {
            forcing.answered(BootTime(now), &a, 0, (0, 1));
            assert!(!forcing.ready(BootTime(now), &ruled), "it may act by the answer at 200");
        }
        assert_eq!(forcing.next(&ruled), Some(BootTime(310)));
        assert!(forcing.ready(BootTime(310), &ruled));
    }

    #[test]
    fn a_new_leader_waits_for_those_that_others_answered() {
        let ruled = announced();
        let forcing = Forcing::new(BootTime(1000), Micros(100), Micros(10));
        assert!(!forcing.ready(BootTime(1109), &ruled));
        assert!(forcing.ready(BootTime(1110), &ruled));
        assert!(!forcing.ready(BootTime(1110), &RulesLog::default()), "nothing is announced");
    }

    #[test]
    fn a_refusal_is_told_with_its_reason() {
        let (ruled, a) = (announced(), process("a"));
        let mut forcing = Forcing::new(BootTime(0), Micros(100), Micros(10));
        forcing.answered(BootTime(200), &a, 0, (0, 0));
        forcing.heard(&a, 0, Some(&(1, "can't be read".into())));
        assert_eq!(forcing.refusal(&ruled), Some((&a, "can't be read")));
        forcing.heard(&a, 1, None);
        assert_eq!(forcing.refusal(&ruled), None);
    }
}
