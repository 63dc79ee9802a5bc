//! A quorum of brokers: voters agree on one log, and duties that one process may hold at a time are leased on it.
//!
//! Nothing here has sockets, files or a clock. [`Machine`] is one process's part: it is fed [`Input`]s with the
//! time of the boot clock and gives [`Out`]puts. Agreement itself is `omnipaxos`'s ([`agree`]); the state that
//! the log makes is a [`book::Book`]; the leader's side of leases is [`ledger`], the holder's [`holder`].
//!
//! What makes two holders at once impossible is argued in `docs/design/quorum.md`; in short: a holder counts from
//! the moment that it *sent* what was confirmed, less its part for drift; the leader that answers it has since
//! then heard from a majority that none of them has followed another; and whoever leads next waits a full
//! length, and its part for drift, from a moment that is later still.

pub mod agree;
pub mod backoff;
pub mod book;
pub mod council;
pub mod founding;
pub mod frame;
pub mod fronts;
pub mod holder;
pub mod journal;
pub mod ledger;
pub mod machine;
pub mod queue;
pub mod record;
pub mod store;
pub mod view;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::mutant;
pub use crate::peers::{BootTime, Incarnation, Name, Process};

pub use machine::{Input, Machine, Out};

/// What one process may hold at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub String);

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The fencing token of a lease. It only ever grows, over all duties; whoever takes effects refuses a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// A time during which one voter leads, as numbered by the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reign(pub u64);

/// A voter's number in the agreement: at first its place in the list of voters, from 1; a new one gets the next.
pub type VoterId = u64;

/// The duty that writes the fleet's record.
pub const RECORD: &str = "record";
/// The duty without effects, for trials.
pub const IDLE: &str = "idle";
/// The duties that there are.
pub const DUTIES: [&str; 2] = [RECORD, IDLE];

/// A voter, as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Its name.
    pub name: Name,
    /// Where the others reach it.
    pub address: SocketAddr,
}

/// What the operator's file says of the quorum.
#[derive(Clone, Debug, PartialEq)]
pub struct QuorumConfig {
    /// The cluster's name: processes of others are turned away.
    pub cluster: String,
    /// This process's name.
    pub name: Name,
    /// Where a voter listens.
    pub listen: Option<SocketAddr>,
    /// Where a voter keeps its vote and log.
    pub folder: Option<PathBuf>,
    /// The voters that found the cluster.
    pub voters: Vec<Voter>,
    /// Processes that may become voters.
    pub spares: Vec<Voter>,
    /// How long a lease lasts.
    pub lease: Micros,
    /// Time between a member's beats.
    pub beat: Micros,
    /// Time between a voter's looks at the leader.
    pub election: Micros,
    /// The part by which clocks may run too fast or too slow, as a share.
    pub drift: f64,
    /// A holder whose duty makes no progress for so long loses it.
    pub stuck: Micros,
    /// A member that was silent for so long is no longer counted.
    pub gone: Micros,
    /// How long a process goes by its rules from the sending of the beat whose answer says that they count.
    pub fresh: Micros,
    /// Fronts that went count for so long still in what the module is told; none: it is told what the file says.
    pub fronts: Option<Micros>,
    /// Duties that this process takes, with how much of them.
    pub duties: Vec<(Duty, u32)>,
    /// Where the fleet's record is written.
    pub record: Option<PathBuf>,
}

impl QuorumConfig {
    /// Whether this process is among the voters that found the cluster.
    pub fn founds(&self) -> bool {
        self.voters.iter().any(|v| v.name == self.name)
    }

    /// Where a process is reached, as this file says.
    pub fn address_of(&self, name: &Name) -> Option<SocketAddr> {
        self.voters.iter().chain(&self.spares).find(|v| v.name == *name).map(|v| v.address)
    }

    /// The names of the voters that found the cluster, in order.
    pub fn voter_names(&self) -> Vec<Name> {
        self.voters.iter().map(|v| v.name.clone()).collect()
    }

    /// The part of a span that is set aside for clocks that run too fast or too slow.
    pub fn drift_of(&self, span: Micros) -> Micros {
        if mutant::is_active(mutant::Mutant::NoDrift) {
            return Micros(0);
        }
        Micros((span.0 as f64 * self.drift).ceil() as u64)
    }
}
