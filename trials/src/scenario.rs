//! Scenarios: typed TOML, a list of steps that are done one after another. What is waited for is awaited, never
//! slept for; `pass` lets a multiple of a lease go by, which decides nothing but how hard a trial is.

use serde::Deserialize;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it brings about.
    pub about: String,
    /// Processes.
    #[serde(default = "five")]
    pub brokers: usize,
    /// How many of them vote.
    #[serde(default = "three")]
    pub voters: usize,
    /// Milliseconds for which two processes may act on different versions of a limit; 0: not at all.
    #[serde(default = "skew")]
    pub skew_ms: u64,
    /// Processes beyond the voters that may replace one, by number from 1.
    #[serde(default)]
    pub spares: Vec<usize>,
    /// Length of a lease in milliseconds.
    #[serde(default = "lease")]
    pub lease_ms: u64,
    /// Milliseconds between a voter's looks at the leader.
    #[serde(default = "election")]
    pub election_ms: u64,
    /// The part set aside for drift.
    #[serde(default = "drift")]
    pub drift: f64,
    /// Milliseconds without progress after which a duty is taken; ten leases if left out.
    pub stuck_ms: Option<u64>,
    /// Lines of the record that an old holder may have written after its successor began: only where the trial
    /// stops a process between its last look and the write.
    #[serde(default)]
    pub late_lines: usize,
    /// The processes that take duties, by number from 1; all if left out.
    #[serde(default)]
    pub takers: Vec<usize>,
    /// Whether CI runs it.
    #[serde(default)]
    pub ci: bool,
    /// Wrong ways of the program that it must find.
    #[serde(default)]
    pub finds: Vec<String>,
    /// What is done.
    pub step: Vec<Step>,
}

fn five() -> usize {
    5
}

fn three() -> usize {
    3
}

fn lease() -> u64 {
    1_000
}

fn election() -> u64 {
    60
}

fn drift() -> f64 {
    0.05
}

/// A step. `who` names a process: `broker-3`, `holder:record`, `leader`, `other-voter` (a voter that neither leads
/// nor holds the record), `all`, `voters` (those that vote now), or a name that an earlier step gave by `as`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "do", rename_all = "kebab-case")]
pub enum Step {
    /// Waits until a duty is held and acted for, so many acts long.
    Held {
        /// Which duty.
        duty: String,
        /// Acts of its holder since this step began.
        #[serde(default = "acts")]
        acts: usize,
    },
    /// Gives the process a name that later steps use.
    Name {
        /// Which.
        who: String,
        /// The name.
        r#as: String,
    },
    /// Waits until a duty is acted for by another than this process, under a later epoch.
    Moved {
        /// Which duty.
        duty: String,
        /// Who must not hold it.
        from: String,
    },
    /// Waits until a process that is no longer there leads no more: another does.
    Led {
        /// Who must not lead.
        not: String,
    },
    /// Waits until a process has logged a line that begins so, since it was last started.
    Says {
        /// Who.
        who: String,
        /// How the line begins.
        line: String,
    },
    /// Stops a process (SIGSTOP).
    Stop {
        /// Who.
        who: String,
    },
    /// Continues it (SIGCONT).
    Continue {
        /// Who.
        who: String,
    },
    /// Kills it.
    Kill {
        /// Who.
        who: String,
    },
    /// Asks it to end (SIGTERM).
    Term {
        /// Who.
        who: String,
    },
    /// Starts it again.
    Start {
        /// Who.
        who: String,
        /// What becomes of its folder: `keep`, `lose`, `old` (the copy that `copy` made) or `spoil` (a byte in the
        /// middle of its journal).
        #[serde(default = "keep")]
        folder: String,
    },
    /// Copies its folder, for `start` with `old`.
    Copy {
        /// Who.
        who: String,
    },
    /// Starts a second process under the name of one that runs.
    Twin {
        /// Of whom.
        who: String,
    },
    /// Cuts what one process says to another: bytes are held up, not lost. `all` and `voters` name several.
    Cut {
        /// Who is not heard.
        from: String,
        /// By whom.
        to: String,
        /// The other way too.
        #[serde(default)]
        both: bool,
    },
    /// Loses what one process says to another, and once that is over the connections too.
    Lose {
        /// Who is not heard.
        from: String,
        /// By whom.
        to: String,
    },
    /// Lets half a piece through, then resets, until the next `heal`.
    Halve {
        /// Who is cut short.
        from: String,
        /// On the way to whom.
        to: String,
    },
    /// Slows each piece down.
    Slow {
        /// What who says.
        from: String,
        /// To whom.
        to: String,
        /// By how much.
        ms: u64,
    },
    /// Lets a box drain: the list that all brokers watch says so. Waits until each that runs has taken it.
    Drain {
        /// Which box, from 1.
        r#box: usize,
    },
    /// Ends the cut between two, both ways.
    Join {
        /// One.
        who: String,
        /// The other.
        to: String,
    },
    /// Ends the cuts among all voters but one.
    JoinOthers {
        /// Which stays cut off.
        not: String,
    },
    /// Ends a cut in one direction: what was held up arrives.
    Release {
        /// Who is heard again.
        from: String,
        /// By whom.
        to: String,
    },
    /// Ends all cuts: what was held up arrives.
    Heal {},
    /// Resets all connections through the relays, with what was held up in them.
    Reset {},
    /// Cuts and heals a process from all, so many times, faster than an election.
    Flap {
        /// Who.
        who: String,
        /// How often.
        times: usize,
    },
    /// Lets a multiple of a lease go by.
    Pass {
        /// How many leases.
        leases: f64,
    },
    /// A fault inside a process: `disk-full`, `sync-fails`, `sync-ms`, `lose-unsynced`, `clock-rate`, `stop-at`.
    Fault {
        /// In whom.
        who: String,
        /// Which.
        fault: String,
        /// Its figure or place.
        #[serde(default)]
        text: String,
    },
    /// Waits until a process has stopped itself at the place that a `stop-at` named.
    Stopped {
        /// Who.
        who: String,
    },
    /// Sends noise, half frames and frames of another version to a voter, within a bound.
    Babble {
        /// To whom.
        who: String,
    },
    /// Proposes a limit on clips by the command, and waits until it is in force.
    Propose {
        /// Clips a second at each front.
        per_s: u32,
        /// No two versions of it at once.
        #[serde(default)]
        never_two: bool,
        /// Does not wait.
        #[serde(default)]
        announce: bool,
        /// A box that it bars, from 1. Each process that accepts it must send nothing there from then on.
        #[serde(default)]
        barred: Option<usize>,
    },
    /// Proposes so many changes of the limit, one right after another, and waits for each.
    ProposeMany {
        /// How many.
        times: u32,
    },
    /// Waits until each process of these has decided under a version of the rules that it is sure of.
    Ruled {
        /// Who.
        who: String,
        /// The limit that counts.
        per_s: u32,
    },
    /// Has a voter replaced by the command, and waits until the new voters have a leader.
    Replace {
        /// Which goes.
        voter: String,
        /// Who votes in its place.
        by: String,
    },
    /// Has a duty handed on by the command.
    HandOn {
        /// Which.
        duty: String,
    },
}

fn acts() -> usize {
    2
}

fn skew() -> u64 {
    2_000
}

fn keep() -> String {
    "keep".to_owned()
}

macro_rules! scenarios {
    ($($name:literal),* $(,)?) => {
        /// All scenarios by name.
        pub const ALL: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

scenarios!(
    "all-killed",
    "babble",
    "boxes-drain",
    "clock-fast",
    "clock-slow",
    "disk-full",
    "flapping",
    "folder-lost",
    "folder-lost-replaced",
    "folder-old",
    "folder-spoilt",
    "fronts-counted",
    "half-frames",
    "hand-on",
    "holder-cut-from-all",
    "holder-cut-from-one-voter",
    "holder-cut-one-way",
    "holder-killed",
    "holder-stalls",
    "holder-stalls-short",
    "holder-stopped-at-the-write",
    "holder-stopped-in-the-queue",
    "holder-terminated",
    "late-answers",
    "leader-replaced",
    "leader-cut-with-holder",
    "leader-is-holder",
    "leader-killed-holder-cut",
    "majority-lost",
    "renewals-lost",
    "ring",
    "rolling-restart",
    "rules-barred",
    "rules-clock-fast",
    "rules-half-restarted",
    "rules-late-answers",
    "rules-leader-dies",
    "rules-majority-lost",
    "rules-many",
    "rules-never-two",
    "rules-one-way",
    "rules-stalled",
    "rules-tightened",
    "syncs-lost",
    "thirty-want-one",
    "twin",
    "voter-replaced-dead",
    "voters-replaced",
);

/// A scenario by its name.
pub fn named(name: &str) -> Result<Scenario, String> {
    let found = ALL.iter().find(|(known, _)| *known == name);
    let (_, text) = found.ok_or_else(|| format!("{name}: no such scenario; `list` names them"))?;
    toml::from_str(text).map_err(|e| format!("{name}: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_scenario_can_be_read_and_each_process_that_it_names_can_be_there() {
        for (name, _) in ALL {
            let scenario = named(name).unwrap();
            assert!(matches!(scenario.voters, 3 | 5 | 7) && scenario.voters <= scenario.brokers, "{name}");
            assert!(scenario.brokers >= 5, "{name}: at least five processes");
        }
    }
}
