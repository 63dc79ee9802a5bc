//! Watched files: when they are read, whether what was read may be used, and what is said of it. A state machine
//! that is told of touches and readings and the time; it opens nothing.
//!
//! Lists (servers, weights, titles) make one set and are taken together or not at all; the script is a set of its
//! own. A set is read a little after it was touched, so that a burst costs one reading, and never so often that
//! readings take more than a set part of the time. Without a touch the stamps of its files are looked at now and
//! then: the system's word on changes may be missing.

pub mod check;
pub mod judge;
pub mod limiter;
pub mod seal;
pub mod state;

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::api::Micros;
use crate::records::{Bounds, Finding};
use crate::roster::{Digest, ShrinkLimit};
use judge::{Lists, ReadError, Reading, Refusal, Role, WatchedFile};
use limiter::Limiter;

/// A set is read so long after it was touched: most writers have done the next step by then.
const SETTLE: Micros = Micros(15_000);
/// Time from one reading of a set to the next, at least.
const APART: Micros = Micros(100_000);
/// So many times as long as a reading took nothing more is read: readings take a fifth of one core at most.
const REST: u64 = 4;
/// What a writer has not finished is told of once it has stood for so long.
const UNFINISHED: Micros = Micros(1_000_000);
/// Stamps count in ticks of the system's clock: what was written so short a time before it was looked at may have
/// changed once more under the same stamp.
const TICK: Micros = Micros(20_000);

/// What is watched, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchConfig {
    /// The lists.
    pub lists: Vec<WatchedFile>,
    /// The script, and the operations that a call of it may do.
    pub script: Option<(WatchedFile, u64)>,
    /// The folder of the operator's file, that paths start from.
    pub base: PathBuf,
    /// Files without a seal are taken if a rename brought them.
    pub unsealed: bool,
    /// Whether the system is asked to tell of changes.
    pub notify: bool,
    /// Time between looks.
    pub poll: Micros,
    /// Bytes of a file at most.
    pub most: u64,
    /// When a list is held back.
    pub plausible: ShrinkLimit,
    /// The folder that keeps the last good lists.
    pub state: Option<PathBuf>,
}

/// A set of files that are taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SetId {
    /// Servers, weights and titles.
    Lists,
    /// The script.
    Script,
}

/// What tells one state of a file from another without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Device and inode.
    pub file: (u64, u64),
    /// Bytes.
    pub size: u64,
    /// Last change of the content, in nanoseconds of Unix time.
    pub written: i128,
    /// Last change of anything about it.
    pub changed: i128,
}

/// How a file was touched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touch {
    /// A rename put it there.
    Renamed,
    /// Anything else.
    Other,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Look at the stamps of a set.
    Look(SetId),
    /// Read a set.
    Read(SetId),
}

/// What was read of a file, and its stamp.
pub type Read = Result<(Vec<u8>, Stamp), ReadError>;

/// What comes of a reading.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// Lists that were found good, whether or not they are new; whether the operator has asked for this word.
    Lists(Lists, bool),
    /// A script that was found good, and is new.
    Script(Digest, String),
    /// The script is what it was, as the operator has asked.
    SameScript(Digest),
    /// The lists can't be used as they are now: what was held back no longer stands.
    Withdrawn,
    /// To be logged.
    Refused {
        /// Of which set.
        set: SetId,
        /// What was found.
        finding: Finding,
        /// So many lines like it were not logged.
        quiet: u64,
    },
}

#[derive(Debug)]
struct Set {
    id: SetId,
    files: Vec<WatchedFile>,
    /// A reading is due then, and the one after it no sooner than that.
    read_at: Option<Micros>,
    not_before: Micros,
    look_at: Micros,
    /// Stamps of the last reading; none: unknown.
    seen: Vec<Option<Stamp>>,
    /// The stamps may hide a change: the reading was too close to the writing.
    close: bool,
    /// Files that a rename is known to have brought, and nothing has touched since.
    renamed: Vec<bool>,
    /// Touches since the start, to tell whether any came while a reading was on its way.
    touches: u64,
    /// A reading that counts only if nothing is touched until then.
    unproved: Option<(Micros, u64, Vec<Reading>)>,
    /// What was refused last because it was not finished, and since when.
    unfinished: Option<(Micros, Vec<Finding>)>,
    /// What was refused last and has been told.
    refused: Vec<Finding>,
    digest: Option<Digest>,
    /// The operator waits for a word on the next reading, whatever it is.
    asked: bool,
}

/// Watches files.
#[derive(Debug)]
pub struct Watch {
    sets: Vec<Set>,
    setup: WatchConfig,
    bounds: Bounds,
    limiter: Limiter,
    /// Contents that were in use before this start, and count as proved.
    proved: BTreeMap<SetId, Digest>,
}

impl Watch {
    /// Nothing was read yet: all is due.
    pub fn new(setup: WatchConfig, bounds: Bounds, now: Micros) -> Watch {
        let mut sets = Vec::new();
        let script = setup.script.iter().map(|(file, _)| file.clone()).collect::<Vec<_>>();
        for (id, files) in [(SetId::Lists, setup.lists.clone()), (SetId::Script, script)] {
            if files.is_empty() {
                continue;
            }
            sets.push(Set {
                id,
                read_at: Some(now),
                not_before: now,
                look_at: now + setup.poll,
                seen: vec![None; files.len()],
                close: false,
                renamed: vec![false; files.len()],
                touches: 0,
                unproved: None,
                unfinished: None,
                refused: Vec::new(),
                digest: None,
                asked: false,
                files,
            });
        }
        Watch { sets, setup, bounds, limiter: Limiter::default(), proved: BTreeMap::new() }
    }

    /// What is watched.
    pub fn setup(&self) -> &WatchConfig {
        &self.setup
    }

    /// Other bounds from now on: the settings have changed.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// A content that was taken before this start needs no rename to be believed once more.
    pub fn proved(&mut self, set: SetId, digest: Digest) {
        self.proved.insert(set, digest);
    }

    /// The files of a set.
    pub fn files(&self, set: SetId) -> &[WatchedFile] {
        self.sets.iter().find(|s| s.id == set).map_or(&[], |s| &s.files)
    }

    /// A file was touched; none: any of them may have been.
    pub fn touched(&mut self, now: Micros, role: Option<Role>, touch: Touch) {
        for set in &mut self.sets {
            let mut mine = false;
            for (i, file) in set.files.iter().enumerate() {
                if role.is_none_or(|role| role == file.role) {
                    mine = true;
                    // Only a rename proves that a file without a seal is whole, and only until it is written to.
                    set.renamed[i] = touch == Touch::Renamed;
                }
            }
            if mine {
                set.touches += 1;
                set.unproved = None;
                let at = (now + SETTLE).max(set.not_before);
                set.read_at = Some(set.read_at.map_or(at, |before| before.min(at)));
            }
        }
    }

    /// The operator asks for a reading: at once, whatever the stamps say, and for a word on it in any case.
    pub fn asked(&mut self, now: Micros) {
        for set in &mut self.sets {
            (set.read_at, set.asked) = (Some(now), true);
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        let of = |s: &Set| {
            let told = s.unfinished.as_ref().map(|(since, _)| *since + UNFINISHED);
            let proved = s.unproved.as_ref().map(|(at, ..)| *at);
            [s.read_at, told, proved].into_iter().flatten().fold(s.look_at, Micros::min)
        };
        self.sets.iter().map(of).min().unwrap_or(Micros::MAX)
    }

    /// What is due now; what it led to is told by [`Watch::looked`] or [`Watch::read`].
    pub fn due(&mut self, now: Micros, told: &mut Vec<WatchEvent>) -> Option<Act> {
        for i in 0..self.sets.len() {
            let set = &mut self.sets[i];
            if let Some((since, findings)) = set.unfinished.clone()
                && now >= since + UNFINISHED
            {
                set.unfinished = None;
                self.refuse(now, i, findings, told);
            }
            let set = &mut self.sets[i];
            if let Some((at, touches, readings)) = set.unproved.take() {
                if now >= at && touches == set.touches {
                    self.judge(now, i, &readings, told);
                } else if now < at {
                    set.unproved = Some((at, touches, readings));
                }
            }
            let set = &mut self.sets[i];
            if set.read_at.is_some_and(|at| now >= at) {
                set.read_at = None;
                return Some(Act::Read(set.id));
            }
            if now >= set.look_at {
                set.look_at = now + self.setup.poll;
                return Some(Act::Look(set.id));
            }
        }
        None
    }

    fn index(&self, id: SetId) -> Option<usize> {
        self.sets.iter().position(|s| s.id == id)
    }

    /// The stamps of a set's files, in their order: where one differs from that of the last reading, a reading is
    /// due.
    pub fn looked(&mut self, now: Micros, id: SetId, stamps: &[Option<Stamp>]) {
        let Some(i) = self.index(id) else { return };
        let set = &mut self.sets[i];
        if set.seen != stamps || set.close {
            set.close = false;
            for ((renamed, seen), stamp) in set.renamed.iter_mut().zip(&set.seen).zip(stamps) {
                *renamed &= seen == stamp;
            }
            let at = (now + SETTLE).max(set.not_before);
            set.read_at = Some(set.read_at.map_or(at, |before| before.min(at)));
        }
    }

    /// A set was read: what became of each file, in their order, and when the reading began.
    pub fn read(
        &mut self,
        began: Micros,
        now: Micros,
        id: SetId,
        reads: Vec<Read>,
        told: &mut Vec<WatchEvent>,
    ) {
        let Some(i) = self.index(id) else { return };
        let set = &mut self.sets[i];
        set.not_before = now + APART.max(Micros((now - began).0.saturating_mul(REST)));
        set.look_at = now + self.setup.poll;
        set.seen = reads.iter().map(|r| r.as_ref().ok().map(|(_, stamp)| *stamp)).collect();
        let newest = set.seen.iter().flatten().map(|s| s.changed).max().unwrap_or(0);
        set.close = newest + i128::from(TICK.0) * 1000 > i128::from(began.0) * 1000;
        if reads.iter().any(|r| matches!(r, Err(ReadError::Changing))) {
            set.read_at = Some(set.not_before);
        }
        let readings: Vec<Reading> = reads.into_iter().map(|r| r.map(|(bytes, _)| bytes)).collect();
        if self.setup.unsealed && set.renamed.iter().any(|r| *r) {
            // A touch that the system tells of late would show that a writer was at work meanwhile.
            set.unproved = Some((now + SETTLE, set.touches, readings));
            return;
        }
        self.judge(now, i, &readings, told);
    }

    fn judge(&mut self, now: Micros, i: usize, readings: &[Reading], told: &mut Vec<WatchEvent>) {
        let asked = std::mem::take(&mut self.sets[i].asked);
        let (set, unsealed) = (&self.sets[i], self.setup.unsealed);
        let renamed = |role: Role| {
            let at = set.files.iter().position(|f| f.role == role);
            unsealed && at.is_some_and(|at| set.renamed[at])
        };
        let proved = self.proved.get(&set.id).copied();
        let kept = |digest: Digest| unsealed && proved == Some(digest);
        let judged = match (set.id, &self.setup.script) {
            (SetId::Script, Some((file, operations))) => {
                let judge = |renamed| judge::script(file, &readings[0], renamed, *operations);
                let judged = match judge(renamed(Role::Script)) {
                    Err(refusal) => judge(unsealed).ok().filter(|(d, _)| kept(*d)).ok_or(refusal),
                    good => good,
                };
                judged.map(|(digest, text)| (digest, WatchEvent::Script(digest, text)))
            }
            _ => {
                let judge = |renamed: &dyn Fn(Role) -> bool| {
                    judge::lists(&set.files, readings, renamed, &self.bounds)
                };
                let judged = match judge(&renamed) {
                    Err(refusal) => judge(&|_| unsealed).ok().filter(|l| kept(l.digest)).ok_or(refusal),
                    good => good,
                };
                judged.map(|lists| (lists.digest, WatchEvent::Lists(lists, asked)))
            }
        };
        match judged {
            Ok((digest, good)) => {
                let set = &mut self.sets[i];
                (set.unfinished, set.refused) = (None, Vec::new());
                let before = set.digest.replace(digest);
                // Lists are told each time: one that is held back must be seen to stand.
                if matches!(good, WatchEvent::Lists(..)) || before != Some(digest) {
                    told.push(good);
                } else if asked {
                    told.push(WatchEvent::SameScript(digest));
                }
            }
            Err(Refusal { findings, unfinished }) => {
                let set = &mut self.sets[i];
                if set.id == SetId::Lists {
                    told.push(WatchEvent::Withdrawn);
                }
                set.digest = None;
                if asked {
                    set.unfinished = None;
                    let told_now = |finding: &Finding| WatchEvent::Refused {
                        set: set.id,
                        finding: finding.clone(),
                        quiet: 0,
                    };
                    told.extend(findings.iter().map(told_now));
                    set.refused = findings;
                } else if unfinished {
                    let since = set.unfinished.as_ref().map_or(now, |(since, _)| *since);
                    if set.refused != findings {
                        set.unfinished = Some((since, findings));
                    }
                } else {
                    set.unfinished = None;
                    self.refuse(now, i, findings, told);
                }
            }
        }
    }

    /// Tells of what is refused, each cause once while it stays the same and once a second at most.
    fn refuse(&mut self, now: Micros, i: usize, findings: Vec<Finding>, told: &mut Vec<WatchEvent>) {
        for finding in &findings {
            if self.sets[i].refused.contains(finding) {
                continue;
            }
            // Lines and figures may differ each time a file flaps: the cause is the file and the field.
            let cause = (finding.file.clone(), finding.field.clone());
            if let Some(quiet) = self.limiter.pass(now, cause) {
                told.push(WatchEvent::Refused { set: self.sets[i].id, finding: finding.clone(), quiet });
            }
        }
        self.sets[i].refused = findings;
    }
}

#[cfg(test)]
mod tests;
