//! Actions: the output of the decision module.

use super::{Micros, Rung, ServerId, SessionId};

/// An action that the broker is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a set-up of the session to a server.
    Send {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// The timeout of this attempt.
        timeout: Micros,
    },
    /// Withdraws an attempt: its answer is no longer awaited.
    Cancel {
        /// The session.
        id: SessionId,
        /// The attempt, counted within the session.
        attempt: u32,
    },
    /// Final answer: refused. The viewer may safely ask again.
    Refuse {
        /// The session.
        id: SessionId,
        /// How long the viewer is advised to wait before it asks again; zero gives no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail(SessionId),
    /// Removes the session from its server; its viewer asks again.
    Move(SessionId),
    /// Sets the rung of a session.
    Rate {
        /// The session.
        id: SessionId,
        /// The rung.
        rung: Rung,
    },
    /// Requests an [`Event::Timer`](super::Event::Timer).
    Timer {
        /// Returned in the event.
        token: u64,
        /// The time from now until the event.
        delay: Micros,
    },
    /// Requests a load report from a server.
    Probe(ServerId),
    /// Closes idle connections to a server.
    Close(ServerId),
    /// Sends a message to one other broker or to all others.
    Tell {
        /// The receiving broker; `None` stands for all others.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Starts or stops asking for changes to the server list.
    Watch(bool),
    /// Requests the complete server list once.
    Fetch,
    /// Writes a line to the operators' log.
    Log(String),
}
