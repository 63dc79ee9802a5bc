//! What the agreed log does: entries a second with each on disk, and the time in which a voter that was away catches
//! up, entry by entry or by a snapshot. Three voters in one process, their journals on the machine's disk.

use std::path::Path;
use std::time::Instant;

use amberspindle::api::Micros;
use amberspindle::disk::Journal;
use amberspindle::quorum::agree::{Agree, Broken, Effect};
use amberspindle::quorum::book::{Ended, Entry};
use amberspindle::quorum::council::{Council, Councillor};
use amberspindle::quorum::journal::{self, Frame};
use amberspindle::quorum::store::{State, Store};
use amberspindle::quorum::{BootTime, Duty, Epoch, Incarnation, Name, Process, Reign, VoterId};
use amberspindle::rules::gate::RateLimiter;
use amberspindle::rules::standing::{LocalRules, RulesUpdate};
use amberspindle::rules::version::Version;

struct Voter {
    agree: Agree,
    store: Store,
    file: Journal,
    number: u64,
    syncs: u64,
}

/// Three voters, of which some may be away.
struct Three(Vec<Voter>);

impl Three {
    fn new(folder: &Path) -> Result<Three, String> {
        let councillor = |id: VoterId| Councillor {
            id,
            name: Name(format!("v{id}")),
            address: ([127, 0, 0, 1], id as u16).into(),
        };
        let council = Council { number: 1, voters: (1..=3).map(councillor).collect(), next: 4 };
        let voter = |id: VoterId| {
            let (file, _) = Journal::open(&folder.join(id.to_string())).map_err(|e| e.to_string())?;
            let store = Store::new(State::default());
            let agree = Agree::new(id, &council, 0, store.clone(), 0).map_err(|_| "agreement can't begin")?;
            Ok(Voter { agree, store, file, number: 0, syncs: 0 })
        };
        Ok(Three((1..=3).map(voter).collect::<Result<_, String>>()?))
    }

    /// Lets messages go to and fro among those that are there, each after the sync that it waits for, until nothing
    /// more moves.
    fn settle(&mut self, away: Option<usize>) -> Result<(), String> {
        let broken = |Broken| "agreement gave up".to_owned();
        loop {
            let mut moved = false;
            for i in (0..3).filter(|i| Some(*i) != away) {
                let voter = &mut self.0[i];
                if voter.agree.owes() {
                    voter.number += 1;
                    let frame = Frame::Ops(voter.store.take(), Default::default());
                    let written = voter.file.append(&journal::encode(voter.number, &frame));
                    voter.agree.handed(voter.number);
                    written.and_then(|()| voter.file.sync()).map_err(|e| e.to_string())?;
                    voter.syncs += 1;
                    voter.agree.synced(voter.number);
                }
                voter.agree.settle();
                let mut effects = Vec::new();
                voter.agree.release(&mut effects);
                for effect in effects {
                    if let Effect::Send(to, message) = effect
                        && Some(to as usize - 1) != away
                    {
                        moved = true;
                        self.0[to as usize - 1].agree.handle(*message).map_err(broken)?;
                    }
                }
            }
            if !moved {
                return Ok(());
            }
        }
    }

    fn tick(&mut self, away: Option<usize>) -> Result<(), String> {
        for i in (0..3).filter(|i| Some(*i) != away) {
            self.0[i].agree.tick().map_err(|_| "agreement gave up")?;
        }
        self.settle(away)
    }

    fn leader(&mut self, away: Option<usize>) -> Result<usize, String> {
        for _ in 0..100 {
            self.tick(away)?;
            if let Some(i) = (0..3).filter(|i| Some(*i) != away).find(|i| self.0[*i].agree.leads().is_some())
            {
                return Ok(i);
            }
        }
        Err("nobody leads".into())
    }

    /// Grants and ends of a duty in turn, so many, proposed so many at a time.
    fn entries(&mut self, many: u64, at_once: u64, away: Option<usize>) -> Result<(), String> {
        let leader = self.leader(away)?;
        let duty = Duty("idle".into());
        let (reign, epoch) = (self.0[leader].agree.book().reign, self.0[leader].agree.book().epoch);
        if reign == Reign(0) {
            let ballot = self.0[leader].agree.leads().unwrap_or(0);
            self.propose(leader, Entry::Lead { voter: leader as VoterId + 1, ballot })?;
            self.settle(away)?;
        }
        let reign = self.0[leader].agree.book().reign;
        let to = Process { name: Name("m".into()), incarnation: Incarnation(1) };
        for n in 0..many {
            let (duty, epoch) = (duty.clone(), Epoch(epoch.0 + 1 + n / 2));
            let entry = match n % 2 {
                0 => Entry::Grant { reign, duty, to: to.clone(), length: Micros(1) },
                _ => Entry::End { reign, duty, epoch, how: Ended::Released },
            };
            self.propose(leader, entry)?;
            if n % at_once == at_once - 1 {
                self.settle(away)?;
            }
        }
        self.settle(away)
    }

    fn propose(&mut self, leader: usize, entry: Entry) -> Result<(), String> {
        self.0[leader].agree.propose(entry).map_err(|Broken| "agreement gave up".to_owned())
    }
}

/// Grants a second, one after another and fifty at once; then a voter that missed so many entries.
pub fn log(missed: u64) -> Result<String, String> {
    let mut told = Vec::new();
    for (many, at_once) in [(2_000, 1), (20_000, 50)] {
        let folder = std::env::temp_dir().join(format!("amberspindle-log-{}-{at_once}", std::process::id()));
        let _scratch = crate::process::Scratch(folder.clone(), false);
        let mut three = Three::new(&folder)?;
        three.entries(1, 1, None)?;
        let (begun, syncs) = (Instant::now(), three.0[0].syncs);
        three.entries(many, at_once, None)?;
        let span = begun.elapsed().as_secs_f64();
        let synced = (three.0[0].syncs - syncs) as f64 / many as f64;
        let rate = many as f64 / span;
        told.push(format!("{at_once} at once: {rate:.0} grants and ends a second, {synced:.2} syncs each"));
    }
    for folded in [false, true] {
        let folder = std::env::temp_dir().join(format!("amberspindle-log-{}-{folded}", std::process::id()));
        let _scratch = crate::process::Scratch(folder.clone(), false);
        let mut three = Three::new(&folder)?;
        three.entries(1, 1, None)?;
        let leader = three.leader(None)?;
        let away = (leader + 1) % 3;
        three.entries(missed, 500, Some(away))?;
        if folded {
            for i in (0..3).filter(|i| *i != away) {
                three.0[i].agree.fold().map_err(|Broken| "agreement gave up")?;
            }
            three.settle(Some(away))?;
        }
        let begun = Instant::now();
        let applied = three.0[leader].agree.applied();
        for i in 0..3 {
            let others = (1..=3).filter(|id| *id != i as VoterId + 1);
            for id in others.collect::<Vec<_>>() {
                three.0[i].agree.reconnected(id).map_err(|Broken| "agreement gave up")?;
            }
        }
        for _ in 0..1_000 {
            three.tick(None)?;
            if three.0[away].agree.applied() >= applied {
                break;
            }
        }
        let (span, has) = (begun.elapsed(), three.0[away].agree.applied());
        let how = if folded { "with a snapshot" } else { "without a snapshot" };
        told.push(format!(
            "{missed} entries missed, {how}: caught up to {has} of {applied} in {} ms",
            span.as_millis()
        ));
        if three.0[away].agree.book() != three.0[leader].agree.book() {
            return Err(format!("{how}: the books differ"));
        }
    }
    told.push(looked());
    Ok(told.join("\n"))
}

/// What looking at the rules costs a request, with no rules, ten limits and a hundred, all of one version.
fn looked() -> String {
    let mut told = Vec::new();
    for limits in [0u32, 10, 100] {
        let one = |n: u32| format!("[[limit]]\ntenant = \"tenant-{n}\"\nmost_per_s = {}\n", 1_000 + n);
        let text: String = (0..limits).map(one).collect();
        let version = Version { number: 1, digest: Version::digest_of(&text), text, ..Version::default() };
        let word = RulesUpdate {
            force: 1,
            last: 1,
            versions: vec![version],
            fresh: Micros(1 << 40),
            ..RulesUpdate::default()
        };
        let mut standing = LocalRules::default();
        standing.told(BootTime(1), BootTime(2), &word, Micros(0));
        let (mut gate, times) = (RateLimiter::default(), 1_000_000u64);
        let begun = Instant::now();
        for n in 0..times {
            let ruling = standing.ruling(BootTime(3 + n), "tenant-7", "clip");
            let _ = std::hint::black_box(gate.ask(Micros(n * 1_000), 7, 0, ruling));
        }
        told.push(format!("{limits} limits {} ns", begun.elapsed().as_nanos() as u64 / times));
    }
    format!("a look at the rules: {}", told.join(", "))
}
