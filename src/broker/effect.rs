//! Effects of the broker: what its caller has to do on the connections to clients and servers.

use std::sync::Arc;

use crate::api::{Micros, Rung, ServerId, SessionId, Status, Text};

/// A session description (SDP), forwarded unchanged.
pub type Description = Arc<[u8]>;

/// A set-up to be sent to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The session.
    pub id: SessionId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// The index of the class.
    pub class: usize,
    /// The requested title.
    pub title: Text,
    /// The rung; `None` means the lowest one of the class.
    pub rung: Option<Rung>,
    /// How long the broker waits for the answer.
    pub wait: Micros,
    /// The session description of the client.
    pub offer: Description,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the deadline passed; otherwise a server or a connection failed.
    pub deadline_passed: bool,
    /// Whether an attempt may have run at a server.
    pub may_have_run: bool,
}

/// An action for the caller of the broker.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a set-up to a server.
    SetUp(SetUp),
    /// Withdraw an attempt at a server; report [`Input::Withdrawn`](super::Input::Withdrawn) once this is written.
    Withdraw(SessionId, ServerId),
    /// Release a session at its server.
    Release(SessionId, ServerId),
    /// Tell a server the new rung of a session.
    Rate(SessionId, ServerId, Rung),
    /// Final answer: the session is established; the description comes from the server.
    Established(SessionId, Description),
    /// Final answer: the request is refused, and the client may safely retry after this delay.
    Refused(SessionId, Micros),
    /// Final answer: the request failed.
    Failed(SessionId, Failure),
    /// An established session has ended.
    Ended(SessionId, Status),
    /// An established session is being moved: its client has to request it again.
    Moved(SessionId),
    /// Write a line to the log.
    Log(String),
}
