//! Runs a scenario: processes, relays and viewers, step by step, then the checkers.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rustix::process::Signal;

use crate::check;
use crate::history::{self, History, Line};
use crate::kept::{About, Told, build};
use crate::process::{Process, Scratch, Start};
use crate::relay::{Relay, Way};
use crate::scenario::{Scenario, Step};
use crate::viewers::{Boxes, Viewer};

/// The wide bound on whatever is awaited.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Viewers ask the first so many brokers.
const VIEWED: usize = 5;

/// How a scenario is run.
pub struct Options {
    /// The program, which starts a broker by the word `broker`.
    pub program: PathBuf,
    /// The seed: of the noise, and of what is drawn.
    pub seed: u64,
    /// A wrong way that all processes go.
    pub mutant: Option<String>,
    /// The wide bound on whatever is awaited.
    pub patience: Duration,
    /// Where the run's folder is kept; none: nothing is.
    pub keep: Option<PathBuf>,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// What is wrong; empty if all is well.
    pub wrong: Vec<String>,
    /// Requests of viewers: asked, answered once, excused by a fault in their own broker.
    pub viewers: (u64, u64, u64),
    /// Acts that were judged.
    pub acts: usize,
    /// The longest time in milliseconds for which two processes acted on different versions of a limit.
    pub overlap_ms: u64,
    /// Who held what, as text.
    pub timeline: Vec<String>,
    /// All lines.
    pub lines: Vec<Line>,
}

/// Processes, relays and viewers of one run.
pub(crate) struct Rig<'a> {
    scenario: &'a Scenario,
    options: &'a Options,
    folder: PathBuf,
    pub(crate) history: History,
    processes: BTreeMap<String, Process>,
    twins: Vec<Process>,
    /// From whom, to which voter.
    relays: BTreeMap<(usize, usize), Relay>,
    names: BTreeMap<String, String>,
    /// Where each that keeps a log listens for the others.
    listens: BTreeMap<usize, SocketAddr>,
    boxes: Boxes,
    /// Boxes that the rules bar.
    barred: BTreeSet<usize>,
    /// Figures of limits that were used up.
    figure: u32,
    viewers: Vec<Viewer>,
    /// How many brokers have a viewer.
    viewed: usize,
    runs: usize,
}

fn broker(n: usize) -> String {
    format!("broker-{n}")
}

fn number(name: &str) -> Result<usize, String> {
    name.strip_prefix("broker-").and_then(|n| n.parse().ok()).ok_or_else(|| format!("{name}: no process"))
}

/// The clock that runs while the machine sleeps too, in microseconds; all processes of a trial share it.
pub(crate) fn boot_now() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Runs a scenario; an error is one of the rig or something that never came.
pub fn run(name: &str, scenario: &Scenario, options: &Options) -> Result<Report, String> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let own = format!("amberspindle-trial-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let folder = options.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(own));
    let scratch = Scratch(folder.clone(), options.keep.is_some());
    // An earlier run's state would go on here.
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let mut rig = Rig::new(scenario, options, folder.clone())?;
    let done = rig.begin().and_then(|()| {
        for (i, step) in scenario.step.iter().enumerate() {
            let at = boot_now();
            let text = format!("rig.step at={at} n={} what={step:?}", i + 1);
            rig.history.push(Line { who: "rig".into(), run: 0, how: String::new(), text });
            rig.step(step).map_err(|e| format!("step {}: {e}", i + 1))?;
        }
        Ok(())
    });
    let mut wrong = Vec::new();
    let mut viewers = (0, 0, 0);
    let mut asked = Vec::new();
    for (i, viewer) in rig.viewers.drain(..).enumerate() {
        let (counts, list) = (viewer.counts.clone(), viewer.asked.clone());
        drop(viewer);
        asked.append(&mut list.lock().unwrap_or_else(|e| e.into_inner()));
        let of = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::SeqCst);
        viewers = (
            viewers.0 + of(&counts.asked),
            viewers.1 + of(&counts.answered),
            viewers.2 + of(&counts.excused),
        );
        if of(&counts.wrong) > 0 {
            wrong.push(format!(
                "{}: {} requests without exactly one answer",
                broker(i + 1),
                of(&counts.wrong)
            ));
        }
    }
    rig.processes.clear();
    rig.twins.clear();
    rig.relays.values().for_each(Relay::end);
    let told = Told { lines: rig.history.lines(), asked, boxes: rig.boxes.seen() };
    wrong.extend(told.judged(&folder, scenario.late_lines, scenario.skew_ms));
    wrong.extend(done.err().map(|e| format!("not brought about: {e}")));
    let lines = told.lines.clone();
    let timeline = history::timeline(&lines);
    let acts = lines.iter().filter(|l| matches!(l.event(), "duty.acts" | "record.wrote")).count();
    if options.keep.is_some() {
        let about = About {
            scenario: name.to_owned(),
            seed: options.seed,
            mutant: options.mutant.clone(),
            build: build(&options.program),
            late_lines: scenario.late_lines,
            skew_ms: scenario.skew_ms,
            overlap_ms: check::overlap(&told.lines) / 1_000,
            viewers,
            acts,
            wrong: wrong.clone(),
        };
        about.keep(&folder, &told).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    drop(scratch);
    let overlap_ms = check::overlap(&lines) / 1_000;
    Ok(Report { wrong, viewers, acts, overlap_ms, timeline, lines })
}

impl<'a> Rig<'a> {
    /// One with nothing started yet.
    pub(crate) fn new(
        scenario: &'a Scenario,
        options: &'a Options,
        folder: PathBuf,
    ) -> Result<Rig<'a>, String> {
        std::fs::create_dir_all(folder.join("faults")).map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Rig {
            scenario,
            options,
            folder,
            history: History::default(),
            processes: BTreeMap::new(),
            twins: Vec::new(),
            relays: BTreeMap::new(),
            names: BTreeMap::new(),
            listens: BTreeMap::new(),
            boxes: Boxes::start(),
            barred: BTreeSet::new(),
            figure: 0,
            viewers: Vec::new(),
            viewed: VIEWED,
            runs: 0,
        })
    }

    pub(crate) fn begin(&mut self) -> Result<(), String> {
        for from in 1..=self.scenario.brokers {
            let others = (1..=self.scenario.brokers).filter(|to| *to != from && self.keeps_log(*to));
            for to in others.collect::<Vec<_>>() {
                self.relays.insert((from, to), Relay::start().map_err(|e| e.to_string())?);
            }
        }
        self.boxes
            .write_list(&self.options.program, &self.folder.join("servers.toml"))
            .map_err(|e| e.to_string())?;
        for n in 1..=self.scenario.brokers.min(self.viewed) {
            self.viewers.push(Viewer::start(n));
        }
        (1..=self.scenario.brokers).try_for_each(|n| self.start(&broker(n), "keep"))
    }

    /// Whether a process may vote, now or later.
    fn keeps_log(&self, n: usize) -> bool {
        (1..=self.scenario.voters).contains(&n) || self.scenario.spares.contains(&n)
    }

    /// Begins without viewers.
    pub(crate) fn begin_quietly(&mut self) -> Result<(), String> {
        self.viewed = 0;
        self.begin()
    }

    /// Waits until the agreed view has so many members.
    pub(crate) fn members(&self, many: usize) -> Result<(), String> {
        let there = |lines: &[Line]| {
            let joined = lines.iter().filter(|l| l.event() == "log.joined").filter_map(|l| l.field("member"));
            (joined.collect::<BTreeSet<_>>().len() >= many).then_some(())
        };
        self.history.wait(self.options.patience, there).ok_or_else(|| format!("{many} members never joined"))
    }

    /// Where a process listens for viewers.
    pub(crate) fn http(&self, name: &str) -> Result<SocketAddr, String> {
        let run = self.processes.get(name).map_or(0, |p| p.run);
        self.await_line(name, run, "an http that listens", |l| {
            let words: Vec<&str> = l.text.split(' ').collect();
            let listens = words.get(1) == Some(&"listens") && l.text.ends_with("http");
            listens.then(|| words.get(3).copied())??.parse().ok()
        })
    }

    /// Starts a process that is part of no quorum; where it listens for viewers.
    pub(crate) fn start_alone(&mut self, name: &str) -> Result<SocketAddr, String> {
        let text = self.config(1);
        let (head, rest) = text.split_once("[quorum]").unwrap_or((&text, ""));
        let settings = rest.find("[settings]").map_or("", |at| &rest[at..]);
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, format!("{head}{settings}")).map_err(|e| e.to_string())?;
        self.runs += 1;
        let (run, faults) = (self.runs, self.folder.join("faults").join(name));
        let program = self.options.program.as_path();
        let start = Start { program, name, config: &path, faults: &faults, mutant: None, run, how: "keep" };
        let process = Process::start(&start, &self.history).map_err(|e| format!("{name}: {e}"))?;
        self.processes.insert(name.to_owned(), process);
        self.await_line(name, run, "a list", |l| (l.event() == "list.taken").then_some(()))?;
        self.http(name)
    }

    fn config(&self, n: usize) -> String {
        let s = self.scenario;
        let mut text = format!(
            "name = \"{}\"\n[whip]\nlisten = \"127.0.0.1:0\"\n\
             [[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n\
             [[title]]\nname = \"show\"\nclass = \"live\"\nhome = 0\ncopies = 3\n\
             [watch]\nservers = \"servers.toml\"\npoll_ms = 200\nmost_dropped = 1.0\n\
             [quorum]\ncluster = \"trial\"\nlease_ms = {}\ndrift = {}\nelection_ms = {}\n",
            broker(n),
            s.lease_ms,
            s.drift,
            s.election_ms,
        );
        text += "fronts = true\nsettle_ms = 1000\n";
        if let Some(stuck) = s.stuck_ms {
            text += &format!("stuck_ms = {stuck}\n");
        }
        let takes = s.takers.is_empty() || s.takers.contains(&n);
        if takes {
            text += "record = \"record\"\n";
        }
        if self.keeps_log(n) {
            text += &format!("folder = \"state-{n}\"\nlisten = \"127.0.0.1:0\"\n");
        }
        for voter in (1..=s.brokers).filter(|n| self.keeps_log(*n)) {
            // Its own address is nobody's to dial.
            let relay = self.relays.get(&(n, voter)).map(|r| r.address);
            let address = relay.or_else(|| self.listens.get(&voter).filter(|_| n == 0).copied());
            let address = address.map_or_else(|| format!("127.0.0.1:{voter}"), |a| a.to_string());
            let spare = voter > s.voters;
            text += &format!(
                "[[quorum.voter]]\nname = \"{}\"\naddress = \"{address}\"\nspare = {spare}\n",
                broker(voter)
            );
        }
        if takes {
            text += "[[quorum.duty]]\nname = \"record\"\n[[quorum.duty]]\nname = \"idle\"\n";
        }
        text + include_str!("../scenarios/settings.toml.part")
    }

    fn start(&mut self, name: &str, how: &str) -> Result<(), String> {
        let n = number(name)?;
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, self.config(n)).map_err(|e| e.to_string())?;
        self.runs += 1;
        let run = self.runs;
        let faults = self.folder.join("faults").join(name);
        std::fs::create_dir_all(&faults).map_err(|e| e.to_string())?;
        let program = self.options.program.as_path();
        let mutant = self.options.mutant.as_deref();
        let start = Start { program, name, config: &path, faults: &faults, mutant, run, how };
        let process = Process::start(&start, &self.history).map_err(|e| format!("{name}: {e}"))?;
        self.processes.insert(name.to_owned(), process);
        let http = self.http(name)?;
        if self.keeps_log(n) {
            let address = self.await_line(name, run, "a quorum that listens", |l| {
                let listens = l.event() == "listens" && l.field("front") == Some("quorum");
                listens.then(|| l.field("address"))??.parse().ok()
            })?;
            self.listens.insert(n, address);
            for from in 1..=self.scenario.brokers {
                if let Some(relay) = self.relays.get(&(from, n)) {
                    relay.lead_to(Some(address));
                }
            }
        }
        // The first list is there before anybody asks.
        self.await_line(name, run, "a list", |l| (l.event() == "list.taken").then_some(()))?;
        if let Some(viewer) = self.viewers.get(n - 1) {
            viewer.disturbed.fetch_add(1, Ordering::SeqCst);
            *viewer.drained.lock().unwrap_or_else(|e| e.into_inner()) = self.boxes.drained.clone();
            *viewer.at.lock().unwrap_or_else(|e| e.into_inner()) = Some(http);
        }
        Ok(())
    }

    fn await_line<T>(
        &self,
        who: &str,
        run: usize,
        what: &str,
        found: impl Fn(&Line) -> Option<T>,
    ) -> Result<T, String> {
        let found = self.history.wait(self.options.patience, |lines| {
            lines.iter().filter(|l| l.who == who && l.run == run).find_map(&found)
        });
        found.ok_or_else(|| format!("{who}: never came: {what}"))
    }

    /// Processes that a word names.
    fn who(&self, word: &str) -> Result<Vec<String>, String> {
        let lines = self.history.lines();
        let one = |name: Option<String>| name.map(|n| vec![n]).ok_or_else(|| format!("{word}: nobody is"));
        match word {
            "all" => Ok((1..=self.scenario.brokers).map(broker).collect()),
            "voters" => Ok(self.voters(&lines)),
            "leader" => one(history::leader(&lines).map(|(_, name)| name)),
            "other-voter" => {
                let leader = history::leader(&lines).map(|(_, name)| name);
                let holder = history::holder(&lines, "record").map(|(name, _, _)| name);
                one(self
                    .voters(&lines)
                    .into_iter()
                    .find(|v| Some(v) != leader.as_ref() && Some(v) != holder.as_ref()))
            }
            _ => match (word.strip_prefix("holder:"), self.names.get(word)) {
                (Some(duty), _) => one(history::holder(&lines, duty).map(|(name, _, _)| name)),
                (None, Some(name)) => Ok(vec![name.clone()]),
                (None, None) => number(word).map(|_| vec![word.to_owned()]),
            },
        }
    }

    /// Those that vote by the last council that anybody told of.
    fn voters(&self, lines: &[Line]) -> Vec<String> {
        let told = lines.iter().filter(|l| l.event() == "quorum.council");
        let last = told.max_by_key(|l| l.number("number")).and_then(|l| l.field("voters"));
        last.map_or_else(
            || (1..=self.scenario.voters).map(broker).collect(),
            |names| names.split(',').map(str::to_owned).collect(),
        )
    }

    /// Runs a command of the program, which reaches all voters past the relays, again until it ends well.
    fn command(&self, words: &[&str]) -> Result<(), String> {
        let path = self.folder.join("command.toml");
        std::fs::write(&path, self.config(0)).map_err(|e| e.to_string())?;
        let mut said = String::new();
        for _ in 0..20 {
            let mut command = Command::new(&self.options.program);
            command.arg("broker").args(words).arg("--config").arg(&path);
            let output = command.output().map_err(|e| e.to_string())?;
            if output.status.success() {
                return Ok(());
            }
            said = String::from_utf8_lossy(&output.stderr).into_owned();
            std::thread::sleep(Duration::from_millis(self.scenario.lease_ms));
        }
        Err(format!("{}: {said}", words.join(" ")))
    }

    fn disturb(&self, name: &str, gone: bool) {
        let viewer = number(name).ok().and_then(|n| self.viewers.get(n - 1));
        if let Some(viewer) = viewer {
            viewer.disturbed.fetch_add(1, Ordering::SeqCst);
            if gone {
                *viewer.at.lock().unwrap_or_else(|e| e.into_inner()) = None;
            }
        }
    }

    fn signal(&mut self, who: &str, signal: Signal) -> Result<(), String> {
        for name in self.who(who)? {
            self.disturb(&name, signal == Signal::TERM);
            if let Some(viewer) = number(&name).ok().and_then(|n| self.viewers.get(n - 1)) {
                viewer.paused.store(signal == Signal::STOP, Ordering::SeqCst);
            }
            if let Some(process) = self.processes.get_mut(&name) {
                process.signal(signal);
            }
            self.disturb(&name, false);
        }
        Ok(())
    }

    fn cut(&self, from: &str, to: &str, way: Way) -> Result<(), String> {
        let numbers = |word: &str| -> Result<BTreeSet<usize>, String> {
            self.who(word)?.iter().map(|n| number(n)).collect()
        };
        let (from, to) = (numbers(from)?, numbers(to)?);
        for ((caller, called), relay) in &self.relays {
            if from.contains(caller) && to.contains(called) {
                relay.forth(way);
            }
            if from.contains(called) && to.contains(caller) {
                relay.back(way);
            }
        }
        Ok(())
    }

    pub(crate) fn step(&mut self, step: &Step) -> Result<(), String> {
        let lease = Duration::from_millis(self.scenario.lease_ms);
        match step {
            Step::Held { duty, acts } => {
                let from = self.history.len();
                let held = |lines: &[Line]| {
                    let (who, run, epoch) = history::holder(lines, duty)?;
                    let own = |l: &&Line| l.who == who && l.run == run && l.number("epoch") == Some(epoch);
                    let count =
                        lines[from..].iter().filter(|l| history::acts_for(l, duty)).filter(own).count();
                    (count >= *acts).then_some(())
                };
                self.history
                    .wait(self.options.patience, held)
                    .ok_or_else(|| format!("{duty} was never held for {acts} acts"))
            }
            Step::Name { who, r#as } => {
                let name = self.who(who)?.remove(0);
                self.names.insert(r#as.clone(), name);
                Ok(())
            }
            Step::Moved { duty, from } => {
                let old = self.who(from)?.remove(0);
                let moved = |lines: &[Line]| {
                    history::holder(lines, duty).filter(|(who, _, _)| *who != old).map(|_| ())
                };
                self.history
                    .wait(self.options.patience, moved)
                    .ok_or_else(|| format!("{duty} never moved from {old}"))
            }
            Step::Led { not } => {
                let old = self.who(not)?.remove(0);
                let led = |lines: &[Line]| history::leader(lines).filter(|(_, who)| *who != old).map(|_| ());
                self.history
                    .wait(self.options.patience, led)
                    .ok_or_else(|| format!("nobody but {old} ever led"))
            }
            Step::Says { who, line } => {
                for name in self.who(who)? {
                    let run = self.processes.get(&name).map_or(0, |p| p.run);
                    self.await_line(&name, run, line, |l| l.text.starts_with(line).then_some(()))?;
                }
                Ok(())
            }
            Step::Stop { who } => self.signal(who, Signal::STOP),
            Step::Continue { who } => self.signal(who, Signal::CONT),
            Step::Term { who } => self.signal(who, Signal::TERM),
            Step::Kill { who } => {
                for name in self.who(who)? {
                    self.disturb(&name, true);
                    self.processes.remove(&name);
                    self.disturb(&name, true);
                }
                Ok(())
            }
            Step::Start { who, folder } => {
                for name in self.who(who)? {
                    self.disturb(&name, true);
                    self.processes.remove(&name);
                    self.disturb(&name, true);
                    let state = self.folder.join(format!("state-{}", number(&name)?));
                    let failed = |e: std::io::Error| format!("{}: {e}", state.display());
                    match folder.as_str() {
                        "lose" => std::fs::remove_dir_all(&state).map_err(failed)?,
                        "old" => {
                            std::fs::copy(state.with_extension("copy"), state.join("journal"))
                                .map_err(failed)?;
                        }
                        "spoil" => {
                            let mut bytes = std::fs::read(state.join("journal")).map_err(failed)?;
                            let at = bytes.len() / 2;
                            bytes[at] ^= 0x10;
                            std::fs::write(state.join("journal"), bytes).map_err(failed)?;
                        }
                        _ => {}
                    }
                    self.start(&name, folder)?;
                }
                Ok(())
            }
            Step::Copy { who } => {
                for name in self.who(who)? {
                    let state = self.folder.join(format!("state-{}", number(&name)?));
                    std::fs::copy(state.join("journal"), state.with_extension("copy"))
                        .map_err(|e| e.to_string())?;
                }
                Ok(())
            }
            Step::Twin { who } => {
                let name = self.who(who)?.remove(0);
                let path = self.folder.join(format!("{name}.toml"));
                self.runs += 1;
                let (run, faults) = (self.runs, self.folder.join("faults/twin"));
                let (program, mutant) = (self.options.program.as_path(), self.options.mutant.as_deref());
                let start =
                    Start { program, name: &name, config: &path, faults: &faults, mutant, run, how: "twin" };
                self.twins.push(Process::start(&start, &self.history).map_err(|e| e.to_string())?);
                Ok(())
            }
            Step::Cut { from, to, both } => {
                self.cut(from, to, Way::Held)?;
                if *both { self.cut(to, from, Way::Held) } else { Ok(()) }
            }
            Step::Lose { from, to } => self.cut(from, to, Way::Lost),
            Step::Halve { from, to } => self.cut(from, to, Way::Half),
            Step::Slow { from, to, ms } => self.cut(from, to, Way::Slow(Duration::from_millis(*ms))),
            Step::Drain { r#box } => self.drain(*r#box),
            Step::Join { who, to } => {
                self.cut(who, to, Way::Open)?;
                self.cut(to, who, Way::Open)
            }
            Step::JoinOthers { not } => {
                let not = self.who(not)?;
                let others: Vec<String> =
                    self.who("voters")?.into_iter().filter(|v| !not.contains(v)).collect();
                for (from, to) in others.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
                    self.cut(from, to, Way::Open)?;
                }
                Ok(())
            }
            Step::Release { from, to } => self.cut(from, to, Way::Open),
            Step::Heal {} => self.cut("all", "all", Way::Open),
            Step::Reset {} => {
                self.relays.values().for_each(Relay::reset);
                Ok(())
            }
            Step::Flap { who, times } => {
                let who = self.who(who)?.remove(0);
                for _ in 0..*times {
                    for way in [Way::Held, Way::Open] {
                        self.cut(&who, "all", way)?;
                        self.cut("all", &who, way)?;
                        std::thread::sleep(Duration::from_millis(30));
                    }
                }
                Ok(())
            }
            Step::Pass { leases } => {
                std::thread::sleep(lease.mul_f64(*leases));
                Ok(())
            }
            Step::Fault { who, fault, text } => {
                for name in self.who(who)? {
                    let folder = self.folder.join("faults").join(&name);
                    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
                    let new = folder.join(".new");
                    std::fs::write(&new, text).map_err(|e| e.to_string())?;
                    std::fs::rename(&new, folder.join(fault)).map_err(|e| e.to_string())?;
                }
                Ok(())
            }
            Step::Stopped { who } => {
                let name = self.who(who)?.remove(0);
                let path = self.folder.join("faults").join(&name).join("stopped-at");
                let found = self.history.wait(self.options.patience, |_| path.exists().then_some(()));
                if let Some(viewer) = number(&name).ok().and_then(|n| self.viewers.get(n - 1)) {
                    viewer.paused.store(true, Ordering::SeqCst);
                }
                self.disturb(&name, false);
                found.ok_or_else(|| format!("{name} never stopped itself"))
            }
            Step::Babble { who } => self.babble(who),
            Step::Propose { per_s, never_two, announce, barred } => {
                let bar = barred.map_or(String::new(), |n| format!("[[server]]\nbarred = \"box-{n}\"\n"));
                // What is no longer barred may be sent to as soon as the version counts.
                let kept: BTreeSet<usize> =
                    barred.iter().copied().filter(|n| self.barred.contains(n)).collect();
                for viewer in &self.viewers {
                    *viewer.drained.lock().unwrap_or_else(|e| e.into_inner()) =
                        self.boxes.drained.union(&kept).copied().collect();
                }
                self.propose(*per_s, &format!("never_two = {never_two}\n{bar}"), *announce)?;
                if barred.is_some() || !self.barred.is_empty() {
                    self.barred = barred.iter().copied().collect();
                    self.tell_barred()?;
                }
                Ok(())
            }
            Step::ProposeMany { times } => (0..*times).try_for_each(|_| {
                // Each version has a figure of its own, and lets all through that viewers ask for.
                self.figure += 1;
                let n = self.figure;
                let per_s = if n.is_multiple_of(2) { 10_000 + n } else { 500_000 - n };
                self.propose(per_s, "", false)
            }),
            Step::Ruled { who, per_s } => {
                let from = self.history.len();
                for name in self.who(who)? {
                    let held = |lines: &[Line]| {
                        let own = lines[from..].iter().filter(|l| l.who == name);
                        own.filter_map(check::held).any(|h| h.sure && h.per_s == *per_s).then_some(())
                    };
                    self.history
                        .wait(self.options.patience, held)
                        .ok_or_else(|| format!("{name} never decided under {per_s} a second"))?;
                }
                Ok(())
            }
            Step::HandOn { duty } => self.command(&["quorum", "hand-on", duty]),
            Step::Replace { voter, by } => {
                let (voter, by) = (self.who(voter)?.remove(0), self.who(by)?.remove(0));
                self.command(&["quorum", "replace", &voter, "--by", &by])
            }
        }
    }

    /// Lets a box drain, and tells each viewer once its broker has heard of that: what it asks for from then on must
    /// not get there.
    fn drain(&mut self, number: usize) -> Result<(), String> {
        let heard = |lines: &[Line], name: &str, run: usize| {
            lines.iter().filter(|l| l.who == name && l.run == run && l.event() == "list.taken").count()
        };
        let running =
            self.processes.iter().filter(|(_, p)| !p.stopped).map(|(name, p)| (name.clone(), p.run));
        let running: Vec<(String, usize)> = running.collect();
        let lines = self.history.lines();
        let before: Vec<usize> = running.iter().map(|(name, run)| heard(&lines, name, *run)).collect();
        self.boxes.drained.insert(number);
        self.boxes
            .write_list(&self.options.program, &self.folder.join("servers.toml"))
            .map_err(|e| e.to_string())?;
        for ((name, run), before) in running.iter().zip(before) {
            let taken = |lines: &[Line]| (heard(lines, name, *run) > before).then_some(());
            self.history
                .wait(self.options.patience, taken)
                .ok_or_else(|| format!("{name} never took the list in which box {number} drains"))?;
            if let Some(viewer) = self::number(name).ok().and_then(|n| self.viewers.get(n - 1)) {
                *viewer.drained.lock().unwrap_or_else(|e| e.into_inner()) = self.boxes.drained.clone();
            }
        }
        Ok(())
    }

    /// Proposes a limit on clips, with more behind it.
    fn propose(&self, per_s: u32, more: &str, announce: bool) -> Result<(), String> {
        let path = self.folder.join("rules.toml");
        let text = format!("[[limit]]\nclass = \"clip\"\nmost_per_s = {per_s}\n{more}");
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        let path = path.display().to_string();
        let mut words = vec!["rules", "propose", path.as_str()];
        words.extend(announce.then_some("--announce"));
        self.command(&words)
    }

    /// Tells each viewer which boxes are barred, once its broker has heard of the last version.
    fn tell_barred(&self) -> Result<(), String> {
        let last = self
            .history
            .lines()
            .iter()
            .filter(|l| l.event() == "log.enforced")
            .filter_map(|l| l.number("number"))
            .max();
        let last = last.ok_or("no version is in force")?;
        for (name, run) in self.processes.iter().filter(|(_, p)| !p.stopped).map(|(n, p)| (n.clone(), p.run))
        {
            let Some(viewer) = number(&name).ok().and_then(|n| self.viewers.get(n - 1)) else { continue };
            self.await_line(&name, run, "the last version", |l| {
                let knows = l.event() == "rules.sure" && l.field("state") == Some("fresh");
                (knows && l.number("version") >= Some(last)).then_some(())
            })?;
            let all = self.boxes.drained.union(&self.barred).copied().collect();
            *viewer.drained.lock().unwrap_or_else(|e| e.into_inner()) = all;
        }
        Ok(())
    }

    /// Noise, half frames, frames of another version, and ten thousand frames in a row.
    fn babble(&self, who: &str) -> Result<(), String> {
        let mut random = fastrand::Rng::with_seed(self.options.seed);
        for name in self.who(who)? {
            let n = number(&name)?;
            let from = self.relays.iter().find(|((_, to), _)| *to == n);
            let Some((_, relay)) = from else { continue };
            let mark = [b'A', b's', b'Q', 0];
            let mut pieces: Vec<Vec<u8>> =
                vec![b"GET / HTTP/1.1\r\n\r\n".to_vec(), [&mark[..], &[9, 0]].concat()];
            pieces.push([&mark[..], &[2, 0], &[200, 0, 0, 0, 1, 2, 3]].concat());
            pieces.push([&mark[..], &[2, 0], &u32::MAX.to_le_bytes()].concat());
            for _ in 0..40 {
                let noise: Vec<u8> = (0..random.usize(1..300)).map(|_| random.u8(..)).collect();
                pieces.push([&mark[..], &[2, 0], &(noise.len() as u32).to_le_bytes(), &noise].concat());
            }
            // A frame that asks how things stand, over and over.
            pieces.push([&mark[..], &[2, 0], &[1, 0, 0, 0, 9].repeat(10_000)].concat());
            for piece in pieces {
                if let Ok(mut stream) = TcpStream::connect(relay.address) {
                    let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
                    let _ = stream.write_all(&piece);
                }
            }
        }
        Ok(())
    }
}

/// The folder of a run, for reports.
pub fn folder_of(keep: &Path, name: &str, seed: u64) -> PathBuf {
    keep.join(format!("{name}-{seed}"))
}
