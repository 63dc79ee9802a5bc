//! The log in memory, as the agreement's library wants it. Each change is also kept as an [`Op`] for the journal;
//! nothing that depends on one leaves before the journal is on disk (see [`agree`](super::agree)).

use std::cell::RefCell;
use std::rc::Rc;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};

use super::book::{Book, Entry, Folded};

/// One change of a voter's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Op {
    /// Entries follow the last.
    Append(Vec<Entry>),
    /// Entries stand from an index on, in place of whatever stood there.
    AppendFrom(u64, Vec<Entry>),
    /// A vote.
    Promise(Ballot),
    /// The round in which the last entries were accepted.
    Accepted(Ballot),
    /// Entries before this index are agreed on.
    Decided(u64),
    /// Entries before this index are no longer kept one by one.
    Trim(u64),
    /// The index up to which the snapshot reaches.
    Compacted(u64),
    /// What the entries before that index made.
    Snapshot(Option<Box<Folded>>),
    /// The end of a configuration.
    StopSign(Option<StopSign>),
}

/// A voter's state.
#[derive(Clone, Debug, Default)]
pub struct State {
    log: Vec<Entry>,
    /// The index of the first entry in `log`.
    first: u64,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: u64,
    compacted: u64,
    snapshot: Option<Folded>,
    stop_sign: Option<StopSign>,
}

impl State {
    /// The state that all voters of a later council begin with: a log whose one entry, folded already, is the book
    /// that the council before it left.
    pub fn begun_with(base: Book) -> State {
        let snapshot = Some(Folded::whole(base));
        State { first: 1, decided: 1, compacted: 1, snapshot, ..State::default() }
    }

    /// Does one change.
    pub fn apply(&mut self, op: &Op) {
        match op {
            Op::Append(entries) => self.log.extend(entries.iter().cloned()),
            Op::AppendFrom(from, entries) => {
                if *from < self.first || *from > self.first + self.log.len() as u64 {
                    self.log.clear();
                    self.first = *from;
                }
                self.log.truncate((*from - self.first) as usize);
                self.log.extend(entries.iter().cloned());
            }
            Op::Promise(ballot) => self.promise = Some(*ballot),
            Op::Accepted(ballot) => self.accepted = Some(*ballot),
            Op::Decided(index) => self.decided = *index,
            Op::Trim(index) => {
                let drop = index.saturating_sub(self.first).min(self.log.len() as u64);
                self.log.drain(..drop as usize);
                self.first = self.first.max(*index);
            }
            Op::Compacted(index) => self.compacted = *index,
            Op::Snapshot(snapshot) => self.snapshot = snapshot.as_deref().cloned(),
            Op::StopSign(sign) => self.stop_sign = sign.clone(),
        }
    }

    /// Changes that make this state from nothing.
    pub fn as_ops(&self) -> Vec<Op> {
        let mut ops = vec![Op::Snapshot(self.snapshot.clone().map(Box::new)), Op::Compacted(self.compacted)];
        ops.push(Op::AppendFrom(self.first, self.log.clone()));
        ops.extend(self.promise.map(Op::Promise));
        ops.extend(self.accepted.map(Op::Accepted));
        ops.push(Op::Decided(self.decided));
        ops.push(Op::StopSign(self.stop_sign.clone()));
        ops
    }

    fn range(&self, from: usize, to: usize) -> Vec<Entry> {
        let index = |i: usize| (i as u64).checked_sub(self.first).map(|i| i as usize);
        match (index(from), index(to)) {
            (Some(from), Some(to)) => self.log.get(from..to).unwrap_or_default().to_vec(),
            _ => Vec::new(),
        }
    }
}

/// The state and the changes that the journal does not have yet; shared by the library, which changes it, and by
/// what writes the journal.
#[derive(Clone, Debug, Default)]
pub struct Store(Rc<RefCell<Kept>>);

#[derive(Debug, Default)]
struct Kept {
    state: State,
    fresh: Vec<Op>,
}

impl Store {
    /// One that was read from the journal.
    pub fn new(state: State) -> Store {
        Store(Rc::new(RefCell::new(Kept { state, fresh: Vec::new() })))
    }

    fn change(&self, op: Op) {
        let mut kept = self.0.borrow_mut();
        kept.state.apply(&op);
        kept.fresh.push(op);
    }

    /// Whether something changed that must be on disk before anybody hears of what follows from it. How far the
    /// log is agreed on need not be: the others know.
    pub fn owes(&self) -> bool {
        self.0.borrow().fresh.iter().any(|op| !matches!(op, Op::Decided(_)))
    }

    /// The changes since the last call.
    pub fn take(&self) -> Vec<Op> {
        std::mem::take(&mut self.0.borrow_mut().fresh)
    }

    /// Changes that make the whole state from nothing.
    pub fn whole(&self) -> Vec<Op> {
        self.0.borrow().state.as_ops()
    }
}

impl Storage<Entry> for Store {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            self.change(match op {
                StorageOp::AppendEntry(entry) => Op::Append(vec![entry]),
                StorageOp::AppendEntries(entries) => Op::Append(entries),
                StorageOp::AppendOnPrefix(from, entries) => Op::AppendFrom(from as u64, entries),
                StorageOp::SetPromise(ballot) => Op::Promise(ballot),
                StorageOp::SetDecidedIndex(index) => Op::Decided(index as u64),
                StorageOp::SetAcceptedRound(ballot) => Op::Accepted(ballot),
                StorageOp::SetCompactedIdx(index) => Op::Compacted(index as u64),
                StorageOp::Trim(index) => Op::Trim(index as u64),
                StorageOp::SetStopsign(sign) => Op::StopSign(sign),
                StorageOp::SetSnapshot(snapshot) => Op::Snapshot(snapshot.map(Box::new)),
            });
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.change(Op::Append(vec![entry]));
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        if !entries.is_empty() {
            self.change(Op::Append(entries));
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.change(Op::AppendFrom(from as u64, entries));
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        // The library sets the vote that it has just read once more when it starts.
        if self.0.borrow().state.promise.unwrap_or_default() != ballot {
            self.change(Op::Promise(ballot));
        }
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Op::Decided(index as u64));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().state.decided as usize)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.change(Op::Accepted(ballot));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().state.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        let kept = self.0.borrow();
        // A voter that comes back is handed what it missed as a difference to what it knew to be agreed on. The
        // library (0.2.4, `sync_log`) sets the new index before it asks for the entries up to "the" index; what
        // there is of them here are those up to the old one. Nobody asks for entries that are not agreed on by
        // this call: those go by `get_suffix`.
        let to = to.min((kept.state.decided.max(kept.state.compacted)) as usize);
        Ok(kept.state.range(from, to.max(from)))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().state.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let kept = self.0.borrow();
        Ok(kept.state.range(from, kept.state.first as usize + kept.state.log.len()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().state.promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        self.change(Op::StopSign(sign));
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.0.borrow().state.stop_sign.clone())
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        self.change(Op::Trim(index as u64));
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        self.change(Op::Compacted(index as u64));
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().state.compacted as usize)
    }

    fn set_snapshot(&mut self, snapshot: Option<Folded>) -> StorageResult<()> {
        self.change(Op::Snapshot(snapshot.map(Box::new)));
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Folded>> {
        Ok(self.0.borrow().state.snapshot.clone())
    }
}
