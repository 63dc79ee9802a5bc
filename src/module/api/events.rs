//! Events: the input of the decision module.

use super::{ListKind, Load, Micros, Note, Request, ServerEntry, ServerId, SessionId, Settings, Status};

/// An event that the broker reports to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    ServerList {
        /// What the list contains.
        kind: ListKind,
        /// The entries.
        servers: Vec<ServerEntry>,
    },
    /// A viewer requests a session.
    Request(Request),
    /// A session that was already playing when the broker started.
    ExistingSession {
        /// The request of the session.
        request: Request,
        /// The server of the session.
        server: ServerId,
    },
    /// A set-up succeeded and the session plays.
    SetUpDone {
        /// The session.
        id: SessionId,
        /// The attempt, counted within the session.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// The time since the set-up was sent.
        took: Micros,
    },
    /// A server's note about a session.
    Note {
        /// The session.
        id: SessionId,
        /// The server.
        server: ServerId,
        /// The content of the note.
        note: Note,
    },
    /// An attempt ended.
    Outcome {
        /// The session.
        id: SessionId,
        /// The attempt, counted within the session.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The time since the set-up was sent.
        took: Micros,
        /// Whether the session has ended; otherwise the viewer is still owed an answer.
        closed: bool,
        /// The server's load report; empty if none came.
        load: Load,
    },
    /// An attempt is withdrawn, but the withdrawal is not written to the server yet: no other attempt can be
    /// sent before its outcome.
    Withdrawing(SessionId),
    /// The viewer left, or its time is over.
    ViewerLeft(SessionId),
    /// A timer has expired; the value is its token.
    Timer(u64),
    /// The number of brokers and the index of this one among them: new values of [`Settings::broker_count`]
    /// and [`Settings::broker_index`].
    FleetPosition {
        /// The number of brokers; not 0.
        count: u32,
        /// The index of this broker, from 0.
        place: u32,
    },
    /// New settings. Classes and tenants keep their numbers while any session refers to them; cells, racks
    /// and the ladder stay as they are.
    Settings(Box<Settings>),
    /// Warm-up turns belong to this process if they begin at this time or later; [`Micros::MAX`] means none
    /// does.
    WarmUpTurnsFrom(Micros),
    /// This process shuts down: each request must have its answer by this time.
    ShutdownDeadline(Micros),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The time since the probe was sent.
        took: Micros,
        /// The server's load report; empty if none came.
        load: Load,
    },
    /// A message from another broker.
    Peer {
        /// The index of the sender.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
}
