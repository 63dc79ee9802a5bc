//! A voter's journal: one file of numbered frames, each with its length and a checksum. What it may not hold after
//! a crash is told apart: a torn tail, which nobody can have heard of, is cut off; a spoilt middle is an error.
//!
//! ```text
//! magic, then frames: length u32 | number u64 | blake3 of number and payload, 16 bytes | payload (postcard)
//! ```

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::council::Tenure;
use super::store::{Op, State};
use super::{Name, VoterId};
use crate::mutant::{self, Mutant};

/// How a journal begins; the digit is the format.
pub const MAGIC: &[u8] = b"amberspindle quorum journal 2\n";
/// Bytes of a frame before its payload.
const HEAD: usize = 4 + 8 + 16;
/// Longest payload: a snapshot of some thousand members is far below.
const LONGEST: usize = 64 * 1024 * 1024;
/// Numbers that a frame behind a bad one may have: what is looked for to tell a spoilt middle from a torn tail.
const AHEAD: u64 = 1 << 20;

/// Who a journal belongs to. It is drawn once; a folder that was lost comes back as another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster.
    pub cluster: String,
    /// The voter.
    pub name: Name,
    /// A number of its own.
    pub number: u64,
}

/// The voters' identities, as they were when the cluster was founded.
pub type Roster = BTreeMap<VoterId, u64>;

/// The payload of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Whose it is; the first of each journal.
    Identity(Identity),
    /// Who the voters are.
    Roster(Roster),
    /// Changes of the voter's state, which count together or not at all, and how far the others' journals were
    /// known to reach.
    Ops(Vec<Op>, BTreeMap<VoterId, u64>),
    /// A council that was agreed on. What was noted of the one before it is over.
    Council(Box<Tenure>),
}

/// Why a journal can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It does not begin as a journal of this format does.
    Format,
    /// What follows is good, but this is not.
    Spoilt {
        /// Where, in bytes from its beginning.
        at: usize,
    },
    /// It belongs to another.
    Other(Identity),
    /// It can't be read or written.
    Disk(String),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::Format => f.write_str("no journal of this format"),
            Unusable::Spoilt { at } => write!(f, "spoilt at byte {at}, with good frames behind it"),
            Unusable::Other(who) => {
                write!(f, "belongs to voter {} of cluster {}", who.name, who.cluster)
            }
            Unusable::Disk(why) => f.write_str(why),
        }
    }
}

/// What a journal held.
#[derive(Clone, Debug)]
pub struct Read {
    /// Whose it is.
    pub identity: Identity,
    /// Who the voters are, if that was settled.
    pub roster: Option<Roster>,
    /// The last council that it heard of, unless that is the first.
    pub tenure: Option<Tenure>,
    /// The voter's state.
    pub state: State,
    /// How far the others' journals were known to reach.
    pub heard: BTreeMap<VoterId, u64>,
    /// The number of the last frame.
    pub number: u64,
    /// Bytes that are good; what is behind them is a torn tail.
    pub good: usize,
}

/// A frame as bytes.
pub fn encode(number: u64, frame: &Frame) -> Vec<u8> {
    // Writing to memory can't fail, and no record here has a form that postcard lacks.
    let payload = postcard::to_stdvec(frame).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(sum(number, &payload));
    bytes.extend(payload);
    bytes
}

fn sum(number: u64, payload: &[u8]) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(payload);
    let mut sum = [0; 16];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    sum
}

/// The number and payload of the frame at the front, if it is whole and good.
fn front(bytes: &[u8], numbers: impl Fn(u64) -> bool) -> Option<(u64, &[u8])> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let number = u64::from_le_bytes(bytes.get(4..12)?.try_into().ok()?);
    if length > LONGEST || !numbers(number) {
        return None;
    }
    let payload = bytes.get(HEAD..HEAD + length)?;
    (bytes[12..HEAD] == sum(number, payload)).then_some((number, payload))
}

/// Reads a journal. `None` if there is not even a first frame: nobody can have heard of anything in it.
pub fn read(bytes: &[u8]) -> Result<Option<Read>, Unusable> {
    if !bytes.starts_with(MAGIC) {
        // A crash while the file was made leaves a part of its beginning.
        return if MAGIC.starts_with(bytes) { Ok(None) } else { Err(Unusable::Format) };
    }
    let (mut at, mut read) = (MAGIC.len(), None::<Read>);
    while at < bytes.len() {
        let next = read.as_ref().map(|r| r.number + 1);
        let frame = front(&bytes[at..], |number| next.is_none_or(|next| number == next));
        let decoded = frame.and_then(|(number, payload)| {
            Some((number, payload.len(), postcard::from_bytes::<Frame>(payload).ok()?))
        });
        let Some((number, length, frame)) = decoded else {
            let next = next.unwrap_or(0);
            let behind = |from: usize| front(&bytes[from..], |n| n > next && n - next < AHEAD).is_some();
            match (at + 1..bytes.len()).find(|from| behind(*from)) {
                Some(from) if mutant::is_active(Mutant::SkipSpoilt) => {
                    if let (Some(read), Some((n, _))) = (&mut read, front(&bytes[from..], |_| true)) {
                        read.number = n - 1;
                    }
                    at = from;
                    continue;
                }
                Some(_) => return Err(Unusable::Spoilt { at }),
                None => break,
            }
        };
        at += HEAD + length;
        match (&mut read, frame) {
            (None, Frame::Identity(identity)) => {
                let (state, heard) = (State::default(), BTreeMap::new());
                read = Some(Read { identity, roster: None, tenure: None, state, heard, number, good: at });
            }
            (None, _) => return Err(Unusable::Format),
            (Some(read), frame) => {
                match frame {
                    Frame::Identity(_) => return Err(Unusable::Format),
                    Frame::Roster(roster) => read.roster = Some(roster),
                    Frame::Council(tenure) => {
                        read.state = State::begun_with(tenure.base.clone());
                        read.roster = Some(tenure.roster.clone());
                        read.tenure = Some(*tenure);
                    }
                    Frame::Ops(ops, heard) => {
                        ops.iter().for_each(|op| read.state.apply(op));
                        read.heard.extend(heard);
                    }
                }
                (read.number, read.good) = (number, at);
            }
        }
    }
    Ok(read)
}

/// A whole journal that begins anew with this content; its numbers go on.
pub fn rewritten(
    number: u64,
    identity: &Identity,
    roster: Option<&Roster>,
    tenure: Option<&Tenure>,
    ops: Vec<Op>,
    heard: &BTreeMap<VoterId, u64>,
) -> (Vec<u8>, u64) {
    let mut bytes = MAGIC.to_vec();
    let mut number = number;
    let mut push = |frame: &Frame| {
        number += 1;
        bytes.extend(encode(number, frame));
    };
    push(&Frame::Identity(identity.clone()));
    if let Some(tenure) = tenure {
        push(&Frame::Council(Box::new(tenure.clone())));
    } else if let Some(roster) = roster {
        push(&Frame::Roster(roster.clone()));
    }
    push(&Frame::Ops(ops, heard.clone()));
    (bytes, number)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::quorum::book::Entry;

    fn journal(frames: u64) -> (Vec<u8>, Vec<usize>) {
        let identity = Identity { cluster: "c".into(), name: Name("a".into()), number: 7 };
        let (mut bytes, number) = rewritten(0, &identity, None, None, Vec::new(), &BTreeMap::new());
        let mut ends = vec![bytes.len()];
        for i in 1..=frames {
            let ops = vec![Op::Append(vec![Entry::Lead { voter: i, ballot: 1 }]), Op::Decided(i)];
            bytes.extend(encode(number + i, &Frame::Ops(ops, BTreeMap::from([(2, i)]))));
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    #[test]
    fn a_journal_cut_at_any_byte_holds_all_frames_before_the_cut() {
        let (bytes, ends) = journal(5);
        for cut in 0..bytes.len() {
            let read = read(&bytes[..cut]).unwrap();
            let whole = ends.iter().filter(|end| **end <= cut).count();
            match read {
                // Frames of the founding are before the first end.
                None => assert!(whole == 0),
                Some(read) if whole > 0 => {
                    assert_eq!(read.good, ends[whole - 1]);
                    assert_eq!(read.heard.get(&2).copied().unwrap_or(0), whole as u64 - 1);
                }
                Some(_) => assert!(cut < ends[0]),
            }
        }
    }

    #[test]
    fn a_spoilt_byte_with_good_frames_behind_it_is_an_error_and_the_last_frame_a_torn_tail() {
        let (bytes, ends) = journal(5);
        for at in MAGIC.len()..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 0x20;
            let read = read(&spoilt);
            if at < ends[4] {
                assert!(matches!(read, Err(Unusable::Spoilt { .. })), "byte {at}");
            } else {
                assert_eq!(read.unwrap().unwrap().good, ends[4]);
            }
        }
        assert_eq!(read(b"something else").unwrap_err(), Unusable::Format);
    }

    #[test]
    fn a_rewritten_journal_goes_on_with_its_numbers() {
        let (bytes, _) = journal(3);
        let before = read(&bytes).unwrap().unwrap();
        let ops = before.state.as_ops();
        let (again, number) = rewritten(before.number, &before.identity, None, None, ops, &before.heard);
        let after = read(&again).unwrap().unwrap();
        assert_eq!((after.number, after.good), (number, again.len()));
        assert!(after.number > before.number);
        assert_eq!(format!("{:?}", after.state), format!("{:?}", before.state));
    }
}
