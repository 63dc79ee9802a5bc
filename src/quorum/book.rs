//! The state that the agreed log makes: who leads, who is a member, who holds which duty under which epoch.
//! Each process that applies the same entries has the same book.

use std::collections::{BTreeMap, VecDeque};

use omnipaxos::storage::{Entry as Logged, Snapshot};
use serde::{Deserialize, Serialize};

use super::{Duty, Epoch, Name, Process, Reign, VoterId};
use crate::api::Micros;
use crate::mutant::{self, Mutant};
use crate::rules::version::{RulesLog, Version};

/// Ends of leases that are remembered, for operators.
const HISTORY: usize = 64;

/// How a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// Its holder gave it back.
    Released,
    /// Nothing was heard of its holder for its whole length.
    Expired,
    /// Its holder was heard of, but the duty did not get on.
    Stuck,
}

impl Ended {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Ended::Released => "released",
            Ended::Expired => "expired",
            Ended::Stuck => "stuck",
        }
    }
}

/// An entry of the log. All but the first kind are void unless they were proposed under the reign that stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A voter leads from here on.
    Lead {
        /// Which.
        voter: VoterId,
        /// Its ballot, which tells its reigns apart.
        ballot: u32,
    },
    /// A duty is leased.
    Grant {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Which.
        duty: Duty,
        /// To whom.
        to: Process,
        /// For how long from each beat that is confirmed.
        length: Micros,
    },
    /// A lease is over.
    End {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Which duty.
        duty: Duty,
        /// Which lease of it.
        epoch: Epoch,
        /// How.
        how: Ended,
    },
    /// A process is there.
    Join {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Which.
        process: Process,
    },
    /// A process is no longer counted.
    Leave {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Which.
        process: Process,
    },
    /// A version of the rules is announced.
    Announce {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Which.
        version: Box<Version>,
    },
    /// The announced version is in force.
    Enforce {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Its number.
        number: u64,
    },
    /// The announced version comes to nothing.
    Withdraw {
        /// Under which reign this was proposed.
        reign: Reign,
        /// Its number.
        number: u64,
        /// Why.
        why: String,
    },
}

/// A lease as the log knows it. When it ends is nobody's to read here: the holder and the leader each count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: Process,
    /// Its fencing token.
    pub epoch: Epoch,
    /// Its length from each beat that is confirmed.
    pub length: Micros,
}

/// A lease that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Which duty.
    pub duty: Duty,
    /// Who held it.
    pub holder: Process,
    /// Its fencing token.
    pub epoch: Epoch,
    /// How it ended.
    pub how: Ended,
}

/// What an entry changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A voter leads.
    Led(VoterId, u32, Reign),
    /// A duty is held.
    Granted(Duty, Lease),
    /// A lease is over.
    Ended(Past),
    /// A process is there.
    Joined(Process),
    /// A process is no longer counted.
    Left(Process),
    /// A version of the rules is announced.
    Announced(u64),
    /// It is in force.
    Enforced(u64),
    /// It was withdrawn, and why.
    Withdrawn(u64, String),
    /// Nothing: the entry came from a reign that is over, or says what no longer holds.
    Void,
}

/// The state that the log makes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// The reign that stands.
    pub reign: Reign,
    /// The voter that leads under it, and its ballot.
    pub leader: Option<(VoterId, u32)>,
    /// The last epoch that was given out.
    pub epoch: Epoch,
    /// Duties that are held.
    pub duties: BTreeMap<Duty, Lease>,
    /// Processes that are there, with the version of the view that each came with.
    pub members: BTreeMap<Name, (Process, u64)>,
    /// The version of the view: it grows with each change of members or duties.
    pub version: u64,
    /// The last leases that ended, oldest first.
    pub past: VecDeque<Past>,
    /// The rules.
    pub rules: RulesLog,
}

impl Book {
    /// Applies an entry.
    pub fn apply(&mut self, entry: &Entry) -> Change {
        match entry {
            Entry::Lead { voter, ballot } => {
                self.reign.0 += 1;
                self.leader = Some((*voter, *ballot));
                self.version += 1;
                if mutant::is_active(Mutant::EpochsReused) {
                    self.epoch = Epoch(0);
                }
                return Change::Led(*voter, *ballot, self.reign);
            }
            Entry::Grant { reign, duty, to, length }
                if self.stands(*reign) && !self.duties.contains_key(duty) =>
            {
                self.epoch.0 += 1;
                let lease = Lease { holder: to.clone(), epoch: self.epoch, length: *length };
                self.duties.insert(duty.clone(), lease.clone());
                self.version += 1;
                return Change::Granted(duty.clone(), lease);
            }
            Entry::End { reign, duty, epoch, how } if self.stands(*reign) => {
                if self.duties.get(duty).is_some_and(|lease| lease.epoch == *epoch)
                    && let Some(lease) = self.duties.remove(duty)
                {
                    let past = Past { duty: duty.clone(), holder: lease.holder, epoch: *epoch, how: *how };
                    self.past.push_back(past.clone());
                    while self.past.len() > HISTORY {
                        self.past.pop_front();
                    }
                    self.version += 1;
                    return Change::Ended(past);
                }
            }
            Entry::Join { reign, process } if self.stands(*reign) && !self.there(process) => {
                self.version += 1;
                self.members.insert(process.name.clone(), (process.clone(), self.version));
                return Change::Joined(process.clone());
            }
            Entry::Leave { reign, process } if self.stands(*reign) && self.there(process) => {
                self.members.remove(&process.name);
                self.version += 1;
                return Change::Left(process.clone());
            }
            Entry::Announce { reign, version } if self.stands(*reign) && self.rules.announce(version) => {
                return Change::Announced(version.number);
            }
            Entry::Enforce { reign, number } if self.stands(*reign) && self.rules.enforce(*number) => {
                return Change::Enforced(*number);
            }
            Entry::Withdraw { reign, number, why }
                if self.stands(*reign) && self.rules.withdraw(*number, why) =>
            {
                return Change::Withdrawn(*number, why.clone());
            }
            _ => {}
        }
        Change::Void
    }

    /// Whether a process is counted, in this run of it.
    pub fn there(&self, process: &Process) -> bool {
        self.members.get(&process.name).is_some_and(|(known, _)| known == process)
    }

    /// Whether what was proposed under a reign counts.
    fn stands(&self, reign: Reign) -> bool {
        reign == self.reign || mutant::is_active(Mutant::StaleReign)
    }
}

/// A book as a snapshot of the log: what was folded in, and entries that still are to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Folded {
    book: Book,
    rest: Vec<Entry>,
}

impl Folded {
    /// A book that is whole.
    pub fn whole(book: Book) -> Folded {
        Folded { book, rest: Vec::new() }
    }

    /// The book that the whole of it makes.
    pub fn book(mut self) -> Book {
        self.fold();
        self.book
    }

    fn fold(&mut self) {
        for entry in std::mem::take(&mut self.rest) {
            self.book.apply(&entry);
        }
    }
}

impl Snapshot<Entry> for Folded {
    fn create(entries: &[Entry]) -> Folded {
        // Whether these begin the log or go on from an earlier snapshot is known only when they are merged.
        Folded { book: Book::default(), rest: entries.to_vec() }
    }

    fn merge(&mut self, delta: Folded) {
        self.fold();
        self.rest = delta.rest;
        self.fold();
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Logged for Entry {
    type Snapshot = Folded;
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::quorum::Incarnation;

    pub(crate) fn process(name: &str, run: u64) -> Process {
        Process { name: Name(name.into()), incarnation: Incarnation(run) }
    }

    fn grant(reign: u64, duty: &str, to: &str) -> Entry {
        let (duty, to, length) = (Duty(duty.into()), process(to, 1), Micros(2_000_000));
        Entry::Grant { reign: Reign(reign), duty, to, length }
    }

    fn end(reign: u64, duty: &str, epoch: u64) -> Entry {
        let (duty, epoch) = (Duty(duty.into()), Epoch(epoch));
        Entry::End { reign: Reign(reign), duty, epoch, how: Ended::Expired }
    }

    #[test]
    fn what_a_deposed_leader_proposed_is_void() {
        let mut book = Book::default();
        book.apply(&Entry::Lead { voter: 1, ballot: 1 });
        assert!(matches!(book.apply(&grant(1, "idle", "a")), Change::Granted(_, _)));
        book.apply(&Entry::Lead { voter: 2, ballot: 2 });
        // Its end was on its way when the next leader began, which has since renewed the lease.
        assert_eq!(book.apply(&end(1, "idle", 1)), Change::Void);
        assert_eq!(book.apply(&grant(1, "record", "a")), Change::Void);
        assert!(matches!(book.apply(&end(2, "idle", 1)), Change::Ended(_)));
    }

    #[test]
    fn epochs_only_grow_and_an_end_ends_no_later_lease() {
        let mut book = Book::default();
        book.apply(&Entry::Lead { voter: 1, ballot: 1 });
        book.apply(&grant(1, "idle", "a"));
        assert_eq!(book.apply(&grant(1, "idle", "b")), Change::Void, "it is held");
        book.apply(&end(1, "idle", 1));
        book.apply(&grant(1, "idle", "b"));
        assert_eq!(book.duties[&Duty("idle".into())].epoch, Epoch(2));
        assert_eq!(book.apply(&end(1, "idle", 1)), Change::Void);
        book.apply(&Entry::Lead { voter: 3, ballot: 7 });
        book.apply(&end(2, "idle", 2));
        book.apply(&grant(2, "idle", "c"));
        assert_eq!(book.duties[&Duty("idle".into())].epoch, Epoch(3));
    }

    #[test]
    fn a_snapshot_in_parts_makes_the_same_book_as_the_log() {
        let mut log = vec![Entry::Lead { voter: 1, ballot: 1 }];
        for i in 0..40 {
            log.push(grant(1 + i / 10, "idle", ["a", "b"][i as usize % 2]));
            log.push(Entry::Join { reign: Reign(1 + i / 10), process: process("c", i) });
            log.push(end(1 + i / 10, "idle", 1 + i));
            if i % 10 == 9 {
                log.push(Entry::Lead { voter: 1 + i % 3, ballot: i as u32 });
            }
        }
        let mut whole = Book::default();
        log.iter().for_each(|entry| {
            whole.apply(entry);
        });
        for (first, second) in [(0, 1), (1, 60), (30, 90), (120, 120)] {
            let mut folded = Folded::create(&log[..first]);
            folded.merge(Folded::create(&log[first..second]));
            folded.merge(Folded::create(&log[second..]));
            assert_eq!(folded.book(), whole);
        }
    }
}
