//! Commands to the driver of connections, and what it and the edge servers report.

use std::net::SocketAddr;

use super::ConnId;
use crate::api::{Load, Note, ServerId, SessionId, Status};
use crate::broker::Description;

/// A command to the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Opens a connection.
    Dial(ConnId, SocketAddr),
    /// Writes bytes. Those of a set-up are marked with its session.
    Write(ConnId, Vec<u8>, Option<SessionId>),
    /// Writes the end of a session, which must not be lost: see [`crate::node::Node::requeue_session_ends`].
    WriteSessionEnd(ConnId, Vec<u8>),
    /// Takes a set-up back if none of it was written; otherwise writes these bytes after it. Unless they are
    /// empty, the driver calls [`crate::node::Node::withdrawn`] once either is done.
    Withdraw(ConnId, SessionId, Vec<u8>),
    /// Flushes the queue, then closes the connection. The reason is logged.
    Close(ConnId, &'static str),
    /// Flushes the queue, then closes the connection, unless the client has sent something that was not read
    /// yet. The connection then stays open: see [`crate::node::Node::keep_open`].
    CloseIfQuiet(ConnId, &'static str),
    /// Flushes the queue, then reads until the server has closed the connection too, so that nothing it wrote
    /// before is lost.
    LingeringClose(ConnId, &'static str),
    /// Closes the connection at once and discards the queue.
    Abort(ConnId, &'static str),
}

/// A message of an edge server.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerMessage {
    /// The session is established, with this description.
    Answer(SessionId, Description),
    /// The attempt or the session has ended, with this cause.
    Release(SessionId, u8, Load),
    /// A note on a session.
    Note(SessionId, Note),
}

/// How a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The machine refused it.
    Refused,
    /// It was not established in time.
    NoAnswer,
    /// This machine could not open it.
    Unopened,
    /// It has ended.
    Ended {
        /// The marked sessions of which not a byte was written.
        unsent: Vec<SessionId>,
        /// The marked sessions that were not fully written.
        unfinished: Vec<SessionId>,
        /// Whether it was reset, as by a process that dies.
        reset: bool,
    },
}

/// What the end of a connection affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostConnection {
    /// The server of the connection.
    pub server: ServerId,
    /// The unanswered set-ups of the connection, with the status of each.
    pub ended_set_ups: Vec<(SessionId, Status)>,
    /// Withdrawn set-ups whose release was not written.
    pub withdrawn: Vec<SessionId>,
    /// What the end says about the server and all its sessions.
    pub server_status: ServerStatus,
}

/// What the end of a connection says about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// Nothing: another connection is open, or the server was heard from lately, or this machine failed to
    /// open the connection.
    Up,
    /// The server may be lost, as no other connection is open.
    Unsure,
    /// The server refuses new connections and no old one is open: it is lost, unless it drains.
    RefusesConnections,
    /// The server is lost.
    Lost,
}
