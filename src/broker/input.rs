//! Inputs: what the core is told of clients, servers and time.

use super::Description;
use crate::api::{ListKind, Load, Micros, Note, Request, ServerEntry, ServerId, SessionId, Settings, Status};

/// What the core is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// News of the list of servers.
    Servers {
        /// What it carries.
        kind: ListKind,
        /// The entries.
        servers: Vec<ServerEntry>,
    },
    /// How many fronts there are, and which of them this one is.
    FleetPosition(u32, u32),
    /// A client asks for a session, with its description.
    Request(Request, Description),
    /// A session that plays at a server already.
    ExistingSession(Request, ServerId),
    /// The client gave the set-up up, or ended its session.
    ClientLeft(SessionId),
    /// A server answered: the session stands there.
    Established {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// Its description.
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
        /// The server's report, if one came.
        load: Load,
    },
    /// The end of an attempt that was given up is written to its server, or its connection is over.
    Withdrawn {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
    },
    /// A note on a session that stands.
    Note {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// What it tells.
        note: Note,
    },
    /// New settings: each class keeps its number while a session refers to it.
    Settings(Box<Settings>),
    /// A session that stands is held by another process from now on.
    HandedOver(SessionId),
    /// Turns at cold servers are this front's if they begin then or later; [`Micros::MAX`]: none.
    WarmUpTurnsFrom(Micros),
    /// A server was lost with all that stood there.
    ServerLost(ServerId),
    /// The process was told to end: by then each request must have its answer.
    ShutdownDeadline(Micros),
    /// The broker ends: what waits is answered, and what stands is released on both sides.
    Shutdown,
    /// Time has passed.
    Tick,
}
