//! What came of a herd's run, as text and as JSON.

use std::fmt;

use serde::Serialize;

use super::deployment::Deployment;

/// Cases of each kind that a text report names; JSON has them all.
const CASES_SHOWN: usize = 5;

/// Requests, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Taken: their last byte was written to a connection that the machine accepted.
    pub taken: usize,
    /// Answered: the session stands.
    pub plays: usize,
    /// Answered: trying again is harmless.
    pub refused: usize,
    /// Answered: failed.
    pub failed: usize,
    /// Given up by their viewers, and owed nothing.
    pub given_up: usize,
    /// At a process when it was killed.
    pub at_killed: usize,
    /// Written once more as they crossed the close of an idle connection.
    pub crossed: usize,
}

/// One thing that happened to a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Hop {
    /// Milliseconds since the load began.
    pub at_ms: f64,
    /// What.
    pub what: String,
}

/// A request that something is wrong with.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Case {
    /// Its id, 16 hex digits.
    pub id: String,
    /// Its class.
    pub class: String,
    /// It is paid at set-up.
    pub paid: bool,
    /// The process that took it.
    pub process: usize,
    /// Which run of that process, from 0.
    pub run: usize,
    /// What is wrong.
    pub what: String,
    /// What happened to it.
    pub hops: Vec<Hop>,
}

/// What the checker found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Requests, by what became of them.
    pub counts: Counts,
    /// Taken, and not answered.
    pub lost: Vec<Case>,
    /// Answered more than 50 ms after the viewer's time was up, and later than want of a CPU accounts for.
    pub late: Vec<Case>,
    /// Answered more than 50 ms after the viewer's time was up, while the machine kept the broker or the rig from a CPU
    /// for so long that nothing is proved.
    pub late_starved: Vec<Case>,
    /// How late an answer was at most, in milliseconds.
    pub max_lateness_ms: f64,
    /// Paid, and set up once more behind a set-up that may have run.
    pub twice: Vec<Case>,
    /// Answered more than once.
    pub second_answers: Vec<Case>,
    /// Served with what no server made for them.
    pub foreign: Vec<Case>,
    /// Paid, and refused as harmless though a set-up may have run.
    pub refused_after_run: Vec<Case>,
    /// Lines that can't be read.
    pub unreadable: Vec<String>,
    /// Processes that ended though nobody ended them.
    pub crashed: Vec<String>,
    /// How late the rig's own timers were at most, in milliseconds: what it saw may be older by so much.
    pub lag_ms: f64,
}

impl Verdict {
    /// What counts against the broker on any machine, with its names.
    pub fn faults(&self) -> [(&'static str, &[Case]); 6] {
        [
            ("lost", &self.lost),
            ("late", &self.late),
            ("set up twice", &self.twice),
            ("second answer", &self.second_answers),
            ("foreign answer", &self.foreign),
            ("refused after a run", &self.refused_after_run),
        ]
    }

    /// All kinds of wrong cases, with their names.
    pub fn kinds(&self) -> impl Iterator<Item = (&'static str, &[Case])> {
        self.faults().into_iter().chain([("late for want of a CPU", self.late_starved.as_slice())])
    }

    /// Whether nothing at all is wrong, whatever the machine did.
    pub fn good(&self) -> bool {
        self.late_starved.is_empty() && self.faultless()
    }

    /// Whether nothing is wrong that counts against the broker: answers that were late while the machine kept broker
    /// or rig from a CPU don't.
    pub fn faultless(&self) -> bool {
        self.faults().iter().all(|(_, cases)| cases.is_empty())
            && self.unreadable.is_empty()
            && self.crashed.is_empty()
    }
}

/// The run of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The deployment's number in it.
    pub number: u64,
    /// Processes of the herd.
    pub processes: usize,
    /// How many of them were killed.
    pub killed: usize,
    /// Stand-in servers, with what the bad ones do.
    pub servers: String,
    /// The deployment's figures.
    pub deployment: Deployment,
    /// What the checker found.
    pub verdict: Verdict,
    /// Log lines of the processes that name a wrong case.
    pub log: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (counts, verdict) = (&self.verdict.counts, &self.verdict);
        writeln!(f, "deployment {} of seed {}: {}", self.number, self.seed, self.deployment)?;
        writeln!(f, "  {} processes, {} killed; {}", self.processes, self.killed, self.servers)?;
        writeln!(
            f,
            "  taken {}: plays {}, refused {}, failed {}, given up {}, at killed processes {}; written again {}",
            counts.taken,
            counts.plays,
            counts.refused,
            counts.failed,
            counts.given_up,
            counts.at_killed,
            counts.crossed
        )?;
        let kinds: Vec<String> =
            verdict.kinds().map(|(name, cases)| format!("{name} {}", cases.len())).collect();
        write!(
            f,
            "  {}, unreadable {}, crashed {}; latest answer {:.1} ms after its time, rig's lag {:.1} ms: {}",
            kinds.join(", "),
            verdict.unreadable.len(),
            verdict.crashed.len(),
            verdict.max_lateness_ms,
            verdict.lag_ms,
            if verdict.good() { "good" } else { "WRONG" }
        )?;
        for (name, cases) in verdict.kinds() {
            cases.iter().take(CASES_SHOWN).try_for_each(|case| write!(f, "\n  {name}: {case}"))?;
        }
        let told = verdict.unreadable.iter().chain(&verdict.crashed);
        told.take(CASES_SHOWN).try_for_each(|line| write!(f, "\n  {line}"))
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let paid = if self.paid { " (paid)" } else { "" };
        let hops: Vec<String> =
            self.hops.iter().map(|hop| format!("{:.1} ms {}", hop.at_ms, hop.what)).collect();
        let (process, run) = (self.process, self.run);
        write!(f, "{} {}{paid} at p-{process} run {run}, {}: ", self.id, self.class, self.what)?;
        f.write_str(&hops.join(", "))
    }
}
