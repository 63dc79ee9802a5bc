//! Divides the file descriptors among the kinds of connections in advance, so that no kind can use up what the others
//! need: clients that fill their part while discovery is down must not keep the server list from coming back.

use rustix::process::{Resource, getrlimit};

/// Descriptors for everything else: the standard streams, readiness and timers, signals, listening sockets, the notice
/// board and a connection attempt to it, the registry, files that are read, and the two ends of a hand-over.
const RESERVED_DESCRIPTORS: usize = 16;
/// The most connections to the console, including those that were answered but have not closed yet.
const MAX_CONSOLE_CONNECTIONS: usize = 64;
/// The number of connections to edge servers for which there is always room.
const MIN_SERVER_CONNECTIONS: usize = 4;

/// The most descriptors that each kind of connection may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    /// Connections of clients, of all protocols together.
    pub(super) clients: usize,
    /// Connections to the console.
    pub(super) console: usize,
    /// Connections to edge servers.
    pub(super) servers: usize,
}

impl DescriptorBudget {
    /// Divides the configured number of descriptors, or the system's limit for this process if that is lower.
    pub(super) fn new(configured: usize) -> DescriptorBudget {
        let limit = getrlimit(Resource::Nofile).current;
        DescriptorBudget::divide(configured.min(limit.map_or(usize::MAX, |limit| limit as usize)))
    }

    /// The most client connections during shutdown, given the number of connections to edge servers: the last clients
    /// may use the descriptors that these leave.
    pub(super) fn max_clients_at_shutdown(&self, server_connections: usize) -> usize {
        self.clients + self.servers.saturating_sub(server_connections + MIN_SERVER_CONNECTIONS)
    }

    fn divide(limit: usize) -> DescriptorBudget {
        let console = (limit / 16).clamp(2, MAX_CONSOLE_CONNECTIONS);
        let rest = limit.saturating_sub(RESERVED_DESCRIPTORS + console);
        // The platform plans a third of the descriptors for viewers; half leaves room for connections that are
        // closing.
        let clients = (limit / 2).min(rest.saturating_sub(MIN_SERVER_CONNECTIONS)).max(1);
        DescriptorBudget { clients, console, servers: rest.saturating_sub(clients).max(1) }
    }
}

#[cfg(test)]
mod tests;
