//! Agreement on one log, by the library. What is ours is the order of things: no message leaves, and no entry
//! counts as agreed on, before every change that it may follow from is on disk. To the others a crash then looks as
//! if the messages of the last moments had been lost, which agreement bears.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use super::VoterId;
use super::book::{Book, Change, Entry};
use super::council::Council;
use super::store::Store;
use crate::mutant::{self, Mutant};

/// A message between voters.
pub type Paxos = Message<Entry>;

/// Entries that are kept one by one before they are folded into a snapshot.
const FOLD_AFTER: u64 = 2_000;

/// Asks each voter whether it follows this ballot still.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Confirm {
    /// The leader.
    pub leader: VoterId,
    /// The council that it leads.
    pub council: u32,
    /// Its ballot.
    pub ballot: u32,
    /// The number of the question.
    pub round: u64,
}

/// What may leave once the journal has reached a number.
#[derive(Clone, Debug)]
enum Waiting {
    Send(VoterId, Box<Paxos>),
    Confirmed(VoterId, Confirm),
    Decided(u64),
}

/// What has become of it.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A message leaves for a voter.
    Send(VoterId, Box<Paxos>),
    /// A voter's question is answered: yes, it is followed.
    Confirmed(VoterId, Confirm),
    /// An entry of the log, by its place from 1, has changed the book.
    Changed(u64, Change),
    /// This council agrees on nothing more: what it said of the next one.
    Over(Vec<u8>),
}

/// Why agreement has stopped here: the library gave up on what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// One voter's part in the agreement.
pub struct Agree {
    paxos: OmniPaxos<Entry, Store>,
    store: Store,
    me: VoterId,
    council: u32,
    /// Entries of the agreed log before this council's.
    before: u64,
    book: Book,
    applied: u64,
    told: u64,
    waiting: VecDeque<(u64, Waiting)>,
    /// The number of the last frame that was handed to the journal, and of the last that is on disk.
    handed: u64,
    synced: u64,
}

impl Agree {
    /// A voter with the state that its journal held, up to this frame.
    pub fn new(
        me: VoterId,
        council: &Council,
        before: u64,
        store: Store,
        number: u64,
    ) -> Result<Agree, Broken> {
        let cluster_config = of_council(council);
        let server_config = ServerConfig {
            pid: me,
            election_tick_timeout: 1,
            resend_message_tick_timeout: 2,
            flush_batch_tick_timeout: 1,
            ..ServerConfig::default()
        };
        let kept = store.clone();
        let config = OmniPaxosConfig { cluster_config, server_config };
        let paxos = catch_unwind(AssertUnwindSafe(|| config.build(kept)));
        let paxos = paxos.map_err(|_| Broken)?.map_err(|_| Broken)?;
        let (book, applied, told, waiting) = (Book::default(), 0, 0, VecDeque::new());
        let council = council.number;
        Ok(Agree {
            paxos,
            store,
            me,
            council,
            before,
            book,
            applied,
            told,
            waiting,
            handed: number,
            synced: number,
        })
    }

    /// The state that the agreed log makes, as far as it may be acted on.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Entries of the agreed log that are in the book.
    pub fn applied(&self) -> u64 {
        self.before + self.applied
    }

    /// The number of the council whose agreement this is.
    pub fn council(&self) -> u32 {
        self.council
    }

    /// Proposes the next council. It may come to nothing. False if one was accepted already.
    pub fn succeed(&mut self, next: &Council, told: Vec<u8>) -> Result<bool, Broken> {
        let config = of_council(next);
        self.guarded(|paxos| paxos.reconfigure(config, Some(told)).is_ok())
    }

    /// The voter that leads as far as this one knows, and its ballot.
    pub fn leader(&self) -> Option<(VoterId, u32)> {
        let ballot = self.paxos.get_promise();
        (ballot.pid != 0).then_some((ballot.pid, ballot.n))
    }

    /// This voter's ballot, if it leads and may propose.
    pub fn leads(&self) -> Option<u32> {
        let (leader, accepts) = self.paxos.get_current_leader()?;
        (leader == self.me && accepts).then(|| self.paxos.get_promise().n)
    }

    fn guarded<T>(&mut self, act: impl FnOnce(&mut OmniPaxos<Entry, Store>) -> T) -> Result<T, Broken> {
        catch_unwind(AssertUnwindSafe(|| act(&mut self.paxos))).map_err(|_| Broken)
    }

    /// Time to look at the leader.
    pub fn tick(&mut self) -> Result<(), Broken> {
        self.guarded(OmniPaxos::tick)
    }

    /// A message of another voter.
    pub fn handle(&mut self, message: Paxos) -> Result<(), Broken> {
        self.guarded(|paxos| paxos.handle_incoming(message))
    }

    /// The link to another voter was down, and messages may be lost.
    pub fn reconnected(&mut self, voter: VoterId) -> Result<(), Broken> {
        self.guarded(|paxos| paxos.reconnected(voter))
    }

    /// Proposes an entry. It may come to nothing.
    pub fn propose(&mut self, entry: Entry) -> Result<(), Broken> {
        self.guarded(|paxos| {
            let _ = paxos.append(entry);
        })
    }

    /// Another voter asks whether it is followed. Nobody is told no: whoever leads now will say so.
    pub fn asked(&mut self, confirm: Confirm) {
        let followed = self.leader() == Some((confirm.leader, confirm.ballot));
        if followed && confirm.council == self.council {
            self.waiting.push_back((self.handed, Waiting::Confirmed(confirm.leader, confirm)));
        }
    }

    /// What is to be on disk before anything else leaves. The caller numbers the frame.
    pub fn owes(&self) -> bool {
        self.store.owes()
    }

    /// The store's changes went to the journal as the frame of this number.
    pub fn handed(&mut self, number: u64) {
        self.handed = number;
    }

    /// Takes what the library has to say; it waits for the frame that was handed over last.
    pub fn settle(&mut self) {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let handed = self.handed;
        for message in messages {
            let to = message.get_receiver();
            self.waiting.push_back((handed, Waiting::Send(to, Box::new(message))));
        }
        let decided = self.paxos.get_decided_idx() as u64;
        if decided > self.told {
            self.told = decided;
            self.waiting.push_back((handed, Waiting::Decided(decided)));
        }
    }

    /// The journal is on disk up to a frame.
    pub fn synced(&mut self, number: u64) {
        self.synced = self.synced.max(number);
    }

    /// What may leave now.
    pub fn release(&mut self, out: &mut Vec<Effect>) {
        while let Some((number, _)) = self.waiting.front()
            && (*number <= self.synced || mutant::is_active(Mutant::NotSynced))
        {
            match self.waiting.pop_front() {
                Some((_, Waiting::Send(to, message))) => out.push(Effect::Send(to, message)),
                Some((_, Waiting::Confirmed(to, confirm))) => out.push(Effect::Confirmed(to, confirm)),
                Some((_, Waiting::Decided(index))) => self.apply(index, out),
                None => {}
            }
        }
    }

    fn apply(&mut self, decided: u64, out: &mut Vec<Effect>) {
        while self.applied < decided {
            let entries = self.paxos.read_decided_suffix(self.applied as usize).unwrap_or_default();
            if entries.is_empty() {
                break;
            }
            for entry in entries {
                match entry {
                    LogEntry::Decided(entry) if self.applied < decided => {
                        self.applied += 1;
                        let change = self.book.apply(&entry);
                        out.push(Effect::Changed(self.before + self.applied, change));
                    }
                    LogEntry::StopSign(stop, true) => {
                        self.applied += 1;
                        out.push(Effect::Over(stop.metadata.unwrap_or_default()));
                    }
                    LogEntry::Snapshotted(folded) => {
                        if folded.trimmed_idx as u64 > self.applied {
                            self.book = folded.snapshot.book();
                            self.applied = folded.trimmed_idx as u64;
                        }
                    }
                    _ => return,
                }
            }
        }
    }

    /// Folds old entries into a snapshot when there are many.
    pub fn fold(&mut self) -> Result<(), Broken> {
        if self.applied.saturating_sub(self.paxos.get_compacted_idx() as u64) < FOLD_AFTER {
            return Ok(());
        }
        let index = self.applied as usize;
        self.guarded(|paxos| {
            let _ = paxos.snapshot(Some(index), true);
        })
    }
}

fn of_council(council: &Council) -> ClusterConfig {
    ClusterConfig { configuration_id: council.number, nodes: council.ids(), flexible_quorum: None }
}
