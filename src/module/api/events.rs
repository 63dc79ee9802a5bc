//! Events: the input of the decision module.

use super::{ListKind, Load, Micros, Note, Request, ServerEntry, ServerId, SessionId, Settings, Status};

/// What a front hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    ServerList {
        /// What it carries.
        kind: ListKind,
        /// The entries.
        servers: Vec<ServerEntry>,
    },
    /// A viewer asks for a session.
    Request(Request),
    /// A session that plays when the front starts.
    ExistingSession {
        /// Its request.
        request: Request,
        /// Its server.
        server: ServerId,
    },
    /// A set-up is done: the viewer watches.
    SetUpDone {
        /// The session.
        id: SessionId,
        /// Its attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        took: Micros,
    },
    /// A note on a session.
    Note {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// What it tells.
        note: Note,
    },
    /// An attempt ended.
    Outcome {
        /// The session.
        id: SessionId,
        /// Its attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        took: Micros,
        /// The session has ended; else an answer is still owed.
        closed: bool,
        /// The server's report, if one came.
        load: Load,
    },
    /// An attempt is given up, and its end is not written yet: no other can be sent before its outcome.
    Withdrawing(SessionId),
    /// The viewer left, or its time is over.
    ViewerLeft(SessionId),
    /// A timer has run down.
    Timer(u64),
    /// How many brokers there are, and which of them this one is:
    /// [`Settings::broker_count`] and [`Settings::broker_index`] anew.
    FleetPosition {
        /// How many; not 0.
        count: u32,
        /// Its number, from 0.
        place: u32,
    },
    /// New settings. Classes and tenants keep their numbers while any session refers to them; cells, racks and the
    /// ladder stay as they are.
    Settings(Box<Settings>),
    /// Cold turns are this front's if they begin then or later; [`Micros::MAX`]: none.
    WarmUpTurnsFrom(Micros),
    /// This front was told to end: by then each request must have its answer.
    ShutdownDeadline(Micros),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        took: Micros,
        /// The server's report, if one came.
        load: Load,
    },
    /// A message from another front.
    Peer {
        /// The sender's number.
        from: u32,
        /// What it wrote.
        data: Vec<u8>,
    },
}
