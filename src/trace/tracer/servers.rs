//! Tracing of servers: their connections, load reports and the state kept of each.

use super::super::Event;
use super::Tracer;
use crate::api::{Micros, Note, ServerEntry, ServerId, ServerState};

impl Tracer {
    /// Applies entries of the server list. Servers that are gone are removed.
    pub fn update_servers(&mut self, entries: &[ServerEntry]) {
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.id);
            } else {
                let known = self.servers.entry(entry.id.clone()).or_default();
                (known.up_since, known.zone) = (entry.up_since, entry.zone);
            }
        }
    }

    /// Removes all servers that are not in a complete list.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| is_listed(id));
    }

    /// Records that a server sent a message.
    pub fn server_heard(&mut self, now: Micros, server: &ServerId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.last_heard = Some(now);
        }
    }

    /// Records that a connection to a server is opened.
    pub fn connection_opened(&mut self, now: Micros, server: &ServerId, why: &str) {
        self.push(now, Event::Dial { server: server.to_string(), why: why.to_owned() });
    }

    /// Records a load report of a server.
    pub fn load_reported(&mut self, now: Micros, server: &ServerId, note: Note) {
        let (what, share) = match note {
            Note::Link(full) => ("link", full),
            Note::Uplink(full) => ("uplink", full),
            Note::Delivered(share) => ("delivered", share),
            Note::Rung(_) => return,
        };
        let mille = (share.max(0.0) * 1000.0).round() as u64;
        self.push(now, Event::Told { server: server.to_string(), what: what.to_owned(), mille });
    }
}
