//! The duty `record`: its holder writes what the fleet tells, a line at a time, into `fleet-<epoch>.jsonl` in a
//! folder that all reach.
//!
//! No clock makes this safe. A holder may be stopped between its last look at the clock and the write, and what it
//! writes on being continued lands in the file of its own epoch. The first line of each file says how long the
//! files of all earlier epochs were when its writer began; a reader takes no byte of those beyond that. So what an
//! old holder wrote after its successor began is never taken, whenever it was written.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::holder::Permit;
use super::view::{Fleet, View};
use super::{BootTime, Duty, Epoch, Name};
use crate::api::Micros;

/// Time between lines.
pub const EVERY: Micros = Micros(250_000);

/// The first line of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Begin {
    /// The epoch under which it is written.
    pub begin: Epoch,
    /// Who writes it.
    pub holder: Name,
    /// When it was begun, on the writer's boot clock in microseconds.
    pub at: BootTime,
    /// How long the files of earlier epochs were.
    pub sealed: BTreeMap<u64, u64>,
}

/// A further line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// The writer's look at its boot clock, in microseconds.
    pub at: BootTime,
    /// The epoch under which it is written.
    pub epoch: Epoch,
    /// Who writes it.
    pub holder: Name,
    /// The version of the agreed view.
    pub version: u64,
    /// The members: how long each was silent, in milliseconds, and what it counts.
    pub members: BTreeMap<String, Member>,
    /// The duties: epoch and holder of each.
    pub duties: BTreeMap<String, (Epoch, Name)>,
    /// Sessions that stand, over all members.
    pub sessions: u64,
    /// Requests refused since the members' starts.
    pub refusals: u64,
    /// Attempts sent since the members' starts.
    pub attempts: u64,
}

/// A member in a line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// How long nothing was heard of it.
    pub silent_ms: u64,
    /// Sessions that stand.
    pub sessions: u64,
    /// Requests refused.
    pub refusals: u64,
    /// Attempts sent.
    pub attempts: u64,
}

/// One write that is to be done, under a permit that is looked at once more right before.
#[derive(Debug)]
pub struct Job {
    /// The right to write it.
    pub permit: Permit,
    /// Under which epoch.
    pub epoch: Epoch,
    /// What the first line says, where this is the first of its epoch.
    pub begin: Option<Begin>,
    /// The line.
    pub line: Vec<u8>,
}

/// What has become of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// It is written.
    Written,
    /// The permit had run out, or a file of a later epoch is there.
    TooLate,
    /// It can't be written.
    Failed(String),
}

/// The name of an epoch's file.
pub fn file_name(epoch: Epoch) -> String {
    format!("fleet-{}.jsonl", epoch.0)
}

/// The epoch of a file by its name.
pub fn epoch_of(name: &str) -> Option<Epoch> {
    let digits = name.strip_prefix("fleet-")?.strip_suffix(".jsonl")?;
    let epoch = digits.parse().ok()?;
    (file_name(Epoch(epoch)) == name).then_some(Epoch(epoch))
}

/// The writer's state between lines.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    begun: Option<Epoch>,
    /// A write is out: the next waits for it, so that a slow folder brings no queue of old lines.
    out: bool,
    due: BootTime,
    written: u64,
}

impl Writer {
    /// The next write, if one is due and the permit is good.
    pub fn next(
        &mut self,
        now: BootTime,
        permit: Permit,
        holder: &Name,
        fleet: &Fleet,
        view: &View,
    ) -> Option<Job> {
        if self.out || now < self.due {
            return None;
        }
        let epoch = permit.still(now)?;
        let sum = |of: fn(&super::frame::Counts) -> u64| fleet.iter().map(|m| of(&m.counts)).sum();
        let member = |mate: &super::view::Mate| Member {
            silent_ms: mate.silent.0 / 1000,
            sessions: mate.counts.sessions,
            refusals: mate.counts.refusals,
            attempts: mate.counts.attempts,
        };
        let line = Line {
            at: now,
            epoch,
            holder: holder.clone(),
            version: view.version,
            members: fleet.iter().map(|mate| (mate.name.0.clone(), member(mate))).collect(),
            duties: view.duties.iter().map(|(d, e, n)| (d.0.clone(), (*e, n.clone()))).collect(),
            sessions: sum(|c| c.sessions),
            refusals: sum(|c| c.refusals),
            attempts: sum(|c| c.attempts),
        };
        let mut bytes = serde_json::to_vec(&line).ok()?;
        bytes.push(b'\n');
        let begin = (self.begun != Some(epoch)).then(|| Begin {
            begin: epoch,
            holder: holder.clone(),
            at: now,
            sealed: BTreeMap::new(),
        });
        (self.out, self.due) = (true, now.after(EVERY));
        Some(Job { permit, epoch, begin, line: bytes })
    }

    /// A write has come to its end.
    pub fn done(&mut self, epoch: Epoch, done: &Done) {
        self.out = false;
        if *done == Done::Written {
            self.begun = Some(epoch);
            self.written += 1;
        }
    }

    /// Lines written so far: the duty's progress.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// When the next line is due, unless one is out.
    pub fn due(&self) -> Option<BootTime> {
        (!self.out).then_some(self.due)
    }
}

/// What the files together say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Joined {
    /// The lines that count, in order of their epochs.
    pub lines: Vec<Line>,
    /// Whole lines that an old holder wrote after its successor had begun.
    pub dropped: usize,
    /// Lines that are not whole, as a writer that died in the middle leaves them.
    pub torn: usize,
    /// Files that don't begin as one of their epoch does, by epoch.
    pub bad: Vec<Epoch>,
}

/// Joins the files of all epochs.
pub fn join(files: &BTreeMap<Epoch, Vec<u8>>) -> Joined {
    let mut joined = Joined::default();
    let first = |bytes: &[u8], epoch: Epoch| -> Option<Begin> {
        let line = bytes.split_inclusive(|b| *b == b'\n').next()?.strip_suffix(b"\n")?;
        serde_json::from_slice(line).ok().filter(|begin: &Begin| begin.begin == epoch)
    };
    // Each later file says where the earlier ones ended for it; the least counts.
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    for (epoch, bytes) in files {
        let Some(begin) = first(bytes, *epoch) else { continue };
        for earlier in files.keys().take_while(|earlier| *earlier < epoch) {
            // What is not named there was not there yet: all of it came later.
            let sealed = begin.sealed.get(&earlier.0).copied().unwrap_or(0);
            let end = ends.entry(earlier.0).or_insert(sealed);
            *end = (*end).min(sealed);
        }
    }
    for (epoch, bytes) in files {
        if first(bytes, *epoch).is_none() {
            joined.bad.push(*epoch);
            continue;
        }
        let end = ends.get(&epoch.0).copied().unwrap_or(u64::MAX);
        let mut at = 0;
        for (n, line) in bytes.split_inclusive(|b| *b == b'\n').enumerate() {
            at += line.len() as u64;
            let Some(line) = line.strip_suffix(b"\n") else {
                joined.torn += 1;
                continue;
            };
            if n == 0 {
                continue;
            }
            match serde_json::from_slice::<Line>(line) {
                Ok(line) if line.epoch == *epoch && at <= end => joined.lines.push(line),
                Ok(_) => joined.dropped += 1,
                Err(_) => joined.torn += 1,
            }
        }
    }
    joined
}

/// The lines that count as text, and what did not count.
pub fn summary(joined: &Joined) -> Value {
    let epochs: std::collections::BTreeSet<u64> = joined.lines.iter().map(|l| l.epoch.0).collect();
    serde_json::json!({
        "lines": joined.lines.len(), "epochs": epochs, "dropped": joined.dropped, "torn": joined.torn,
        "bad": joined.bad.iter().map(|e| e.0).collect::<Vec<_>>(),
    })
}

/// The duty's name as a [`Duty`].
pub fn duty() -> Duty {
    Duty(super::RECORD.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn begin(epoch: u64, sealed: &[(u64, u64)]) -> Vec<u8> {
        let begin = Begin {
            begin: Epoch(epoch),
            holder: Name("a".into()),
            at: BootTime(1),
            sealed: sealed.iter().copied().collect(),
        };
        let mut bytes = serde_json::to_vec(&begin).unwrap();
        bytes.push(b'\n');
        bytes
    }

    fn line(epoch: u64, at: u64) -> Vec<u8> {
        let line = Line {
            at: BootTime(at),
            epoch: Epoch(epoch),
            holder: Name("a".into()),
            version: 1,
            members: BTreeMap::new(),
            duties: BTreeMap::new(),
            sessions: 0,
            refusals: 0,
            attempts: 0,
        };
        let mut bytes = serde_json::to_vec(&line).unwrap();
        bytes.push(b'\n');
        bytes
    }

    #[test]
    fn what_an_old_holder_wrote_after_its_successor_began_is_dropped_and_counted() {
        let mut old = [begin(3, &[]), line(3, 10), line(3, 20)].concat();
        let sealed = old.len() as u64;
        // Written on being continued; the clock it looked at before it was stopped does not matter.
        old.extend(line(3, 21));
        let new = [begin(5, &[(3, sealed)]), line(5, 40)].concat();
        let joined = join(&BTreeMap::from([(Epoch(3), old), (Epoch(5), new)]));
        let kept: Vec<u64> = joined.lines.iter().map(|l| l.at.0).collect();
        assert_eq!((kept, joined.dropped, joined.torn), (vec![10, 20, 40], 1, 0));
    }

    #[test]
    fn a_file_that_a_successor_did_not_see_counts_for_nothing() {
        // The holder of 4 was stopped before its first write; 6 began and saw no file of it.
        let late = [begin(4, &[]), line(4, 10)].concat();
        let new = [begin(6, &[]), line(6, 40)].concat();
        let joined = join(&BTreeMap::from([(Epoch(4), late), (Epoch(6), new)]));
        assert_eq!((joined.lines.len(), joined.dropped), (1, 1));
    }

    #[test]
    fn torn_lines_and_strangers_are_counted_and_no_more() {
        let mut torn = [begin(1, &[]), line(1, 10)].concat();
        torn.extend(&line(1, 20)[..30]);
        let files = BTreeMap::from([(Epoch(1), torn), (Epoch(2), b"noise".to_vec()), (Epoch(7), line(7, 3))]);
        let joined = join(&files);
        assert_eq!((joined.lines.len(), joined.torn, joined.bad), (1, 1, vec![Epoch(2), Epoch(7)]));
        assert_eq!(epoch_of("fleet-12.jsonl"), Some(Epoch(12)));
        assert_eq!(epoch_of("fleet-012.jsonl"), None);
        assert_eq!(epoch_of("fleet-.jsonl"), None);
    }
}
