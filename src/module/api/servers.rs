//! The server list as the decision module sees it.

use super::{Micros, ServerId};

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server runs.
    #[default]
    Ready,
    /// The server completes its work and takes no new sessions.
    Draining,
    /// The server is removed.
    Gone,
}

impl ServerState {
    /// Returns the state of a server that the rules bar: it takes no new sessions.
    pub fn barred(self) -> ServerState {
        if self == ServerState::Ready { ServerState::Draining } else { self }
    }
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The name of the server.
    pub id: ServerId,
    /// The state of the server.
    pub state: ServerState,
    /// The zone of the server.
    pub zone: u32,
    /// The cell of the server.
    pub cell: u32,
    /// The kind of the server, an index into [`Settings::kind_streams`](super::Settings::kind_streams).
    pub kind: usize,
    /// The size of the server relative to others.
    pub weight: f64,
    /// The latest start of the server; `None` if it started long ago.
    pub up_since: Option<Micros>,
}

impl ServerEntry {
    /// Returns a server of size 1, kind 0 and zone 0 that started long ago.
    pub fn new(id: ServerId, state: ServerState, cell: u32) -> ServerEntry {
        ServerEntry { id, state, zone: 0, cell, kind: 0, weight: 1.0, up_since: None }
    }
}

/// What a list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All entries; a server that is absent is gone.
    Complete,
    /// All entries as last known; they may be outdated.
    Stale,
    /// The request for the list failed; the known list stays.
    Failed,
}
