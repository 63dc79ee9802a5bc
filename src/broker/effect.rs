//! Effects: what the core asks the fronts and the servers' connections to do.

use std::sync::Arc;

use crate::api::{Micros, Rung, ServerId, SessionId, Status, Text};

/// A session description, passed on unchanged.
pub type Description = Arc<[u8]>;

/// A set-up on its way to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The session.
    pub id: SessionId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// Index of the class.
    pub class: usize,
    /// What it wants to watch.
    pub title: Text,
    /// The rung; none: the lowest of the class.
    pub rung: Option<Rung>,
    /// How long the core waits for the answer.
    pub wait: Micros,
    /// The client's description.
    pub offer: Description,
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its time ran out; else a server or a connection failed it.
    pub deadline_passed: bool,
    /// An attempt may have run.
    pub may_have_run: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a set-up.
    SetUp(SetUp),
    /// Tell a server that an attempt is given up; [`Input::Withdrawn`](super::Input::Withdrawn) says when that is written.
    Withdraw(SessionId, ServerId),
    /// End a session at its server.
    Release(SessionId, ServerId),
    /// Tell a server the new rung.
    Rate(SessionId, ServerId, Rung),
    /// Final answer: the session stands.
    Established(SessionId, Description),
    /// Final answer: coming again does no harm, after so long.
    Refused(SessionId, Micros),
    /// Final answer: failed.
    Failed(SessionId, Failure),
    /// A session that stood is over.
    Ended(SessionId, Status),
    /// A session that stood is moved: its client comes again.
    Moved(SessionId),
    /// A line for the log.
    Log(String),
}
