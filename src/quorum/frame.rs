//! What processes of a quorum say to each other: length-prefixed frames of `postcard`. The first on a connection
//! begins with a mark and the format's number, so that any format can be told from noise.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::agree::{Confirm, Paxos};
use super::council::{Offer, ReplaceError, Tenure};
use super::founding::{Barred, Papers};
use super::view::{Fleet, RulesStatus, Status, View};
use super::{Duty, Epoch, Name, Process, Reign, VoterId};
use crate::api::Micros;
use crate::rules::standing::RulesUpdate;
use crate::rules::version::{Proposal, ProposeError};

/// The format of links, journal and book. What another speaks is refused by its number.
pub const FORMAT: u16 = 2;
/// How a connection begins.
const MARK: &[u8; 4] = b"AsQ\x00";
/// Longest frame. A snapshot of the book with some thousand members is far below.
pub const LONGEST: usize = 8 * 1024 * 1024;

/// What a member tells with each beat, beside asking for its leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Sessions that stand.
    pub sessions: u64,
    /// Requests refused since the start.
    pub refusals: u64,
    /// Attempts sent since the start.
    pub attempts: u64,
}

/// A member's regular word: it is there, what it wants, what it gives back. It renews all leases of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who says it.
    pub process: Process,
    /// Its number; an answer repeats it.
    pub seq: u64,
    /// The version of the view that it knows.
    pub version: u64,
    /// Duties that it would take, with how much of them.
    pub wants: Vec<(Duty, u32)>,
    /// Leases that it has given back.
    pub gives: Vec<(Duty, Epoch)>,
    /// How far its duties have got: any change is progress.
    pub progress: Vec<(Duty, Epoch, u64)>,
    /// It is about to stop: it gets no more duties.
    pub draining: bool,
    /// What it counts.
    pub counts: Counts,
    /// The number of the last council that it knows.
    pub council: u32,
    /// It would vote.
    pub offer: Option<Offer>,
    /// The version of the rules that it knows to be in force, the last it has accepted, and one that it can't use.
    pub rules: (u64, u64, Option<(u64, String)>),
}

/// The answer to a beat, by a leader that a majority has followed since the beat came in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Whose beat.
    pub process: Process,
    /// Which beat.
    pub seq: u64,
    /// The reign that stands.
    pub reign: Reign,
    /// The voter that leads.
    pub leader: Option<VoterId>,
    /// Leases that the process holds, with their lengths from the sending of the beat.
    pub holds: Vec<(Duty, Epoch, Micros)>,
    /// Leases that are asked back.
    pub back: Vec<Duty>,
    /// The agreed view, if the process knows an older one.
    pub view: Option<View>,
    /// What all members tell, for the holder of the record.
    pub fleet: Option<Fleet>,
    /// Another process of this name started later.
    pub twin: bool,
    /// The rules.
    pub rules: RulesUpdate,
}

/// Why a connection is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// It is of another cluster.
    Cluster(String),
    /// It speaks another format.
    Format(u16),
    /// It is not among the voters that this process knows, or others than it says.
    Voters,
    /// Another process of this name, started later, is here.
    Twin,
    /// This process has no vote.
    NoVoter,
    /// The other voter may not vote.
    Barred(Barred),
    /// What it said can't be read, or comes at the wrong time.
    Garbled,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Cluster(own) => write!(f, "wrong cluster: this one is {own}"),
            Refused::Format(own) => write!(f, "unknown format: this process speaks {own}"),
            Refused::Voters => f.write_str("other voters: the files disagree on [[quorum.voter]]"),
            Refused::Twin => f.write_str("twin name: a process of this name that started later is here"),
            Refused::NoVoter => f.write_str("no voter: this process keeps no log"),
            Refused::Barred(why) => write!(f, "no vote: {why}"),
            Refused::Garbled => f.write_str("what was said can't be read"),
        }
    }
}

/// Who calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its cluster.
    pub cluster: String,
    /// Its process; none for a command that only asks.
    pub process: Option<Process>,
    /// The voters that found the cluster, by its file, in order.
    pub voters: Vec<Name>,
    /// The number of the last council that it knows.
    pub council: u32,
    /// What a voter says of its folder.
    pub papers: Option<Papers>,
}

/// A frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// The first of a connection.
    Hello(Hello),
    /// The answer to it, with the papers of who was called.
    Welcome(Process, Option<Papers>),
    /// The answer to it, or to anything that may not be.
    Refused(Refused),
    /// Agreement, among a council.
    Paxos(u32, Box<Paxos>),
    /// A leader asks whether it is followed.
    Confirm(Confirm),
    /// It is.
    Confirmed(Confirm),
    /// A beat, and whether a voter has passed it on.
    Heartbeat(Heartbeat, bool),
    /// Its answer.
    HeartbeatReply(HeartbeatReply),
    /// A process has something to hear: its next beat is wanted at once.
    Nudge(Process),
    /// How far a voter's journals of the others reach, as it knows.
    Written(u64),
    /// A command asks how things stand.
    Show,
    /// How they stand.
    Status(Box<Status>),
    /// A command asks for a duty to be handed on.
    HandOn(Duty),
    /// Whether it will be; no with who leads.
    HandingOn(bool, Option<Name>),
    /// A later council than the other knows.
    Council(Box<Tenure>),
    /// A command asks for a voter to be replaced, by whom.
    Replace(Name, Name),
    /// The number of the council that was proposed, or why none was.
    Replacing(Result<u32, ReplaceError>),
    /// A command proposes a document of rules.
    Propose(Box<Proposal>),
    /// The number under which it is announced, or why it is not.
    Proposed(Result<u64, ProposeError>),
    /// A command asks for the announced version to be withdrawn.
    Abort(u64),
    /// Whether that was proposed.
    Aborting(bool),
    /// A command asks for the rules.
    Rules,
    /// The rules, and who acts on what.
    RulesAre(Box<RulesStatus>),
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The connection does not begin as one of this protocol does.
    Mark,
    /// It begins with another format.
    Format(u16),
    /// Longer than any.
    TooLong,
    /// Not readable.
    Garbled,
}

impl FrameError {
    /// Its reason code.
    pub fn code(self) -> &'static str {
        match self {
            FrameError::Mark => "bad-mark",
            FrameError::Format(_) => "unknown-format",
            FrameError::TooLong => "too-long",
            FrameError::Garbled => "garbled",
        }
    }
}

/// The bytes that a connection begins with.
pub fn preface() -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    bytes.extend(FORMAT.to_le_bytes());
    bytes
}

/// A frame as bytes; none if it is longer than any may be.
pub fn encode(frame: &Frame) -> Option<Vec<u8>> {
    let payload = postcard::to_stdvec(frame).ok().filter(|p| p.len() <= LONGEST)?;
    let mut bytes = (payload.len() as u32).to_le_bytes().to_vec();
    bytes.extend(payload);
    Some(bytes)
}

/// Takes a connection's bytes apart.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
    at: usize,
    begun: bool,
}

impl Reader {
    /// Bytes have come.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.at > 0 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next frame, once it is whole. After an error the connection is of no use.
    pub fn take(&mut self) -> Result<Option<Frame>, FrameError> {
        let rest = &self.bytes[self.at..];
        if !self.begun {
            let mark = MARK.len().min(rest.len());
            if rest[..mark] != MARK[..mark] {
                return Err(FrameError::Mark);
            }
            let Some(format) = rest.get(4..6) else { return Ok(None) };
            let format = u16::from_le_bytes([format[0], format[1]]);
            if format != FORMAT {
                return Err(FrameError::Format(format));
            }
            self.begun = true;
            self.at += 6;
            return self.take();
        }
        let Some(length) = rest.get(..4) else { return Ok(None) };
        let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length > LONGEST {
            return Err(FrameError::TooLong);
        }
        let Some(payload) = rest.get(4..4 + length) else { return Ok(None) };
        // Bytes behind a frame, within its length, are no frame of this format either.
        let frame = match postcard::take_from_bytes::<Frame>(payload) {
            Ok((frame, [])) => frame,
            _ => return Err(FrameError::Garbled),
        };
        self.at += 4 + length;
        Ok(Some(frame))
    }
}

/// How a queue of frames makes room: what is repeated anyway goes first, oldest first.
pub fn repeated(frame: &Frame) -> bool {
    matches!(
        frame,
        Frame::Paxos(..)
            | Frame::Confirm(_)
            | Frame::Confirmed(_)
            | Frame::Heartbeat(..)
            | Frame::HeartbeatReply(_)
            | Frame::Nudge(_)
            | Frame::Written(_)
            | Frame::Council(_)
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn sample() -> Vec<u8> {
        let mut bytes = preface();
        let hello = Hello {
            cluster: "c".into(),
            process: None,
            voters: vec![Name("a".into())],
            council: 1,
            papers: None,
        };
        for frame in [Frame::Hello(hello), Frame::Show, Frame::HandOn(Duty("idle".into()))] {
            bytes.extend(encode(&frame).unwrap());
        }
        bytes
    }

    fn count(reader: &mut Reader) -> Result<usize, FrameError> {
        let mut n = 0;
        while reader.take()?.is_some() {
            n += 1;
        }
        Ok(n)
    }

    #[test]
    fn frames_come_out_whole_wherever_the_bytes_were_cut() {
        let bytes = sample();
        for cut in 0..=bytes.len() {
            let mut reader = Reader::default();
            reader.feed(&bytes[..cut]);
            let first = count(&mut reader).unwrap();
            reader.feed(&bytes[cut..]);
            assert_eq!(first + count(&mut reader).unwrap(), 3);
        }
    }

    #[test]
    fn another_format_and_noise_are_told_apart() {
        let mut bytes = sample();
        bytes[4] = 9;
        let mut reader = Reader::default();
        reader.feed(&bytes);
        assert_eq!(reader.take().unwrap_err(), FrameError::Format(9));
        let mut reader = Reader::default();
        reader.feed(b"GET / HTTP/1.1\r\n");
        assert_eq!(reader.take().unwrap_err(), FrameError::Mark);
    }

    proptest! {
        #[test]
        fn no_bytes_make_the_reader_panic_or_keep_more_than_it_was_fed(noise in proptest::collection::vec(any::<u8>(), 0..400), at in 0usize..60) {
            let mut bytes = sample();
            let at = at.min(bytes.len());
            bytes.truncate(at);
            bytes.extend(&noise);
            let mut reader = Reader::default();
            reader.feed(&bytes);
            let _ = count(&mut reader);
            prop_assert!(reader.bytes.len() <= bytes.len());
        }
    }
}
