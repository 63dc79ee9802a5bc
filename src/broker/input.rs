//! Inputs of the broker: events of clients and servers, configuration changes and the passing of time.

use super::Description;
use crate::api::{ListKind, Load, Micros, Note, Request, ServerEntry, ServerId, SessionId, Settings, Status};

/// An event or change that the broker reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An update of the server list.
    Servers {
        /// Whether this is the complete list or a set of changes.
        kind: ListKind,
        /// The listed servers.
        servers: Vec<ServerEntry>,
    },
    /// The number of brokers in the fleet, and the index of this one, from 0.
    FleetPosition(u32, u32),
    /// A client requests a session and sends its session description.
    Request(Request, Description),
    /// A session that is already established at a server, as another process of this broker says.
    ExistingSession(Request, ServerId),
    /// A session that is already established at a server, as a client says.
    NamedSession(Request, ServerId),
    /// The client withdrew its request or ended its session.
    ClientLeft(SessionId),
    /// A server answered a set-up: the session is established there.
    Established {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// The session description of the server.
        answer: Description,
    },
    /// A server, or its connection, ended the attempt or the session.
    Ended {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load report of the server; the default if it sent none.
        load: Load,
    },
    /// The withdrawal of an attempt has been written to the server, or the connection has ended.
    Withdrawn {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
    },
    /// A note from a server about an established session.
    Note {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// The content of the note.
        note: Note,
    },
    /// New settings. A class keeps its index while a session refers to it.
    Settings(Box<Settings>),
    /// An established session was handed over to another process.
    HandedOver(SessionId),
    /// The time from which this broker may use warm-up turns at cold servers: turns that begin then or later are its
    /// own. [`Micros::MAX`] means none.
    WarmUpTurnsFrom(Micros),
    /// A server was lost, together with all sessions established there.
    ServerLost(ServerId),
    /// The process is shutting down; every request must be answered by this time.
    ShutdownDeadline(Micros),
    /// The broker stops: waiting requests are answered, and established sessions are released towards both server and
    /// client.
    Shutdown,
    /// Time has passed; due alarms are handled.
    Tick,
}
