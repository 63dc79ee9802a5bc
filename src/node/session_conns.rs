//! The client connection of each session, with an index by connection, so that neither the end of a connection nor a
//! search for one without a session has to look at every session.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::SessionId;
use crate::platform::links::ConnId;

/// The client connection on which each session was set up, as long as it is open.
#[derive(Debug, Default)]
pub(super) struct SessionConns {
    by_session: BTreeMap<SessionId, ConnId>,
    /// The reverse; a connection without a session has no entry.
    by_conn: BTreeMap<ConnId, BTreeSet<SessionId>>,
}

impl SessionConns {
    /// Returns the connection of a session.
    pub(super) fn get(&self, id: SessionId) -> Option<ConnId> {
        self.by_session.get(&id).copied()
    }

    /// Sets the connection of a session.
    pub(super) fn insert(&mut self, id: SessionId, conn: ConnId) {
        self.remove(id);
        self.by_session.insert(id, conn);
        self.by_conn.entry(conn).or_default().insert(id);
    }

    /// Removes a session, and returns its connection.
    pub(super) fn remove(&mut self, id: SessionId) -> Option<ConnId> {
        let conn = self.by_session.remove(&id)?;
        if let Some(ids) = self.by_conn.get_mut(&conn) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_conn.remove(&conn);
            }
        }
        Some(conn)
    }

    /// Removes a connection that has ended from all its sessions.
    pub(super) fn remove_conn(&mut self, conn: ConnId) {
        for id in self.by_conn.remove(&conn).into_iter().flatten() {
            self.by_session.remove(&id);
        }
    }

    /// Whether any session was set up on a connection.
    pub(super) fn has_session_on(&self, conn: ConnId) -> bool {
        self.by_conn.contains_key(&conn)
    }

    /// The number of sessions with a connection.
    pub(super) fn len(&self) -> usize {
        self.by_session.len()
    }
}
