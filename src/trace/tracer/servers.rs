//! What is told of servers, and remembered of them.

use super::super::Event;
use super::Tracer;
use crate::api::{Micros, Note, ServerEntry, ServerId, ServerState};

impl Tracer {
    /// The list of servers: what is gone is forgotten.
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

    /// These alone are left of a list that came whole.
    pub fn retain_servers(&mut self, listed: impl Fn(&ServerId) -> bool) {
        self.servers.retain(|id, _| listed(id));
    }

    /// A server was heard.
    pub fn server_heard(&mut self, now: Micros, server: &ServerId) {
        if let Some(known) = self.servers.get_mut(server) {
            known.last_heard = Some(now);
        }
    }

    /// A connection to a server is opened.
    pub fn connection_opened(&mut self, now: Micros, server: &ServerId, why: &str) {
        self.push(now, Event::Dial { server: server.to_string(), why: why.to_owned() });
    }

    /// A server's word on its load.
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
