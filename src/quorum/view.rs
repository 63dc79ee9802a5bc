//! What is told of a quorum: the agreed view, what members count, and how things stand for an operator.

use serde::{Deserialize, Serialize};

use super::book::{Book, Past};
use super::frame::Counts;
use super::{Duty, Epoch, Name, Process, Reign};
use crate::api::Micros;
use crate::rules::version::RulesLog;

/// Who is there and who holds what, as agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its version; it only grows.
    pub version: u64,
    /// The processes that are there.
    pub members: Vec<Process>,
    /// The duties that are held.
    pub duties: Vec<(Duty, Epoch, Name)>,
}

impl View {
    /// The view of a book.
    pub fn of(book: &Book) -> View {
        let duties = book.duties.iter().map(|(d, lease)| (d.clone(), lease.epoch, lease.holder.name.clone()));
        View {
            version: book.version,
            members: book.members.values().map(|(process, _)| process.clone()).collect(),
            duties: duties.collect(),
        }
    }
}

/// A member as the leader hears of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mate {
    /// Which.
    pub name: Name,
    /// How long nothing was heard of it.
    pub silent: Micros,
    /// What it counts.
    pub counts: Counts,
}

/// All members as the leader hears of them.
pub type Fleet = Vec<Mate>;

/// A duty as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Which.
    pub duty: Duty,
    /// Who holds it.
    pub holder: Name,
    /// Its fencing token.
    pub epoch: Epoch,
    /// How long its lease would last if nothing more were heard of the holder; only the leader knows.
    pub left_ms: Option<u64>,
}

/// A voter as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Which.
    pub name: Name,
    /// Whether the process that answers has a link to it.
    pub linked: bool,
}

/// A member as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Which.
    pub name: Name,
    /// Which run of it.
    pub incarnation: u64,
    /// The version of the view that it came with.
    pub since: u64,
    /// How long nothing was heard of it; only the leader knows.
    pub silent_ms: Option<u64>,
}

/// A process and the rules it acts on, as the leader hears of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActingStatus {
    /// Which.
    pub name: Name,
    /// Which run of it.
    pub incarnation: u64,
    /// The version that it was told last to be in force.
    pub told: u64,
    /// The last that it has accepted.
    pub accepted: u64,
    /// How long it may act on what it was told at most.
    pub left_ms: u64,
}

/// The rules as an operator sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesStatus {
    /// The process that answers.
    pub member: Name,
    /// Whether it leads, confirmed by a majority within the last lease.
    pub confirmed: bool,
    /// What the log says.
    pub ruled: RulesLog,
    /// Who acts on what; only the leader knows.
    pub who: Vec<ActingStatus>,
}

/// How things stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The process that answers.
    pub member: Name,
    /// The voter that leads, as far as it knows.
    pub leader: Option<Name>,
    /// Whether that is the process that answers, confirmed by a majority within the last lease.
    pub confirmed: bool,
    /// The reign that stands.
    pub reign: Reign,
    /// The version of the view.
    pub version: u64,
    /// Entries of the agreed log.
    pub entries: u64,
    /// Why the process that answers may not vote, if so.
    pub barred: Option<String>,
    /// The number of the council that votes; it grows with each change of voters.
    pub council: u32,
    /// The voters.
    pub voters: Vec<VoterStatus>,
    /// The members.
    pub members: Vec<MemberStatus>,
    /// The duties.
    pub duties: Vec<DutyStatus>,
    /// The last leases that ended.
    pub past: Vec<Past>,
}
