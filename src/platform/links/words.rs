//! What is asked of the driver of connections to edge servers, and what comes of them.

use std::net::SocketAddr;

use super::ConnId;
use crate::api::{Load, Note, ServerId, SessionId, Status};
use crate::broker::Description;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection.
    Dial(ConnId, SocketAddr),
    /// Write bytes; a set-up's are marked by its session.
    Write(ConnId, Vec<u8>, Option<SessionId>),
    /// Write the end of a session, which its client has to hear of: see [`crate::node::Node::requeue_session_ends`].
    WriteSessionEnd(ConnId, Vec<u8>),
    /// Take a set-up back if not a byte of it was written; else write this behind it. Unless it is empty,
    /// [`crate::node::Node::withdrawn`] is to be told once either is done.
    Withdraw(ConnId, SessionId, Vec<u8>),
    /// Write out what is queued, then close, leaving a log line with this reason.
    Close(ConnId, &'static str),
    /// Write out what is queued, then close, unless the client has said something that was not heard yet: then the
    /// connection stays, see [`crate::node::Node::keep_open`].
    CloseIfQuiet(ConnId, &'static str),
    /// Write out what is queued, then only read until the server has closed too: what it wrote before is heard.
    LingeringClose(ConnId, &'static str),
    /// Close at once: what is queued is not written any more.
    Abort(ConnId, &'static str),
}

/// What an edge server says.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// The session stands, with this description.
    Answer(SessionId, Description),
    /// The attempt or the session is over.
    Release(SessionId, u8, Load),
    /// A note on a session.
    Note(SessionId, Note),
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The machine turned it down.
    Refused,
    /// It did not come up in time.
    NoAnswer,
    /// This machine could not open it.
    Unopened,
    /// It ended.
    Ended {
        /// Of what was marked by these, not a byte was written.
        unsent: Vec<SessionId>,
        /// Of what was marked by these, not all was written.
        unfinished: Vec<SessionId>,
        /// It was reset, as by a process that dies.
        reset: bool,
    },
}

/// What a connection takes with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostConnection {
    /// Its server.
    pub server: ServerId,
    /// How each set-up that was open on it ended.
    pub ended_set_ups: Vec<(SessionId, Status)>,
    /// Set-ups that had been given up on it and whose end was not written.
    pub withdrawn: Vec<SessionId>,
    /// What it tells of the server and all that stands there.
    pub server_status: ServerStatus,
}

/// What the end of a connection tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// Nothing: another connection is up and well.
    Up,
    /// It may be lost: no other connection is up.
    Unsure,
    /// It turns new connections down and no old one is left: lost, unless it drains.
    RefusesConnections,
    /// It is lost.
    Lost,
}
