//! Descriptors shared out beforehand, so that no one's connections can use up what others need: clients that fill
//! their part while discovery is down must not keep the list from coming back.

use rustix::process::{Resource, getrlimit};

/// Standard streams, readiness and timers, signals, listening sockets, the notice board and a dial of it, the registry,
/// files that are read, and the two ends of a hand-over.
const RESERVED_DESCRIPTORS: usize = 16;
/// Callers at the second address, those included that were answered and have not closed yet.
const MAX_CONSOLE_CONNECTIONS: usize = 64;
/// Connections to edge servers for which there is room in any case.
const MIN_SERVER_CONNECTIONS: usize = 4;

/// How many descriptors each kind of connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DescriptorBudget {
    /// Clients of all fronts.
    pub(super) clients: usize,
    /// Callers at the second address.
    pub(super) console: usize,
    /// Edge servers.
    pub(super) servers: usize,
}

impl DescriptorBudget {
    /// What the configured number allows, or the machine's limit on this process if that is lower.
    pub(super) fn new(configured: usize) -> DescriptorBudget {
        let limit = getrlimit(Resource::Nofile).current;
        DescriptorBudget::divide(configured.min(limit.map_or(usize::MAX, |limit| limit as usize)))
    }

    /// Clients that may be held at the very end, while there are so many connections to edge servers: the last to come
    /// take what these leave.
    pub(super) fn max_clients_at_shutdown(&self, server_connections: usize) -> usize {
        self.clients + self.servers.saturating_sub(server_connections + MIN_SERVER_CONNECTIONS)
    }

    fn divide(limit: usize) -> DescriptorBudget {
        let console = (limit / 16).clamp(2, MAX_CONSOLE_CONNECTIONS);
        let rest = limit.saturating_sub(RESERVED_DESCRIPTORS + console);
        // A third of all is the platform's share for viewers; half leaves room for what is closing.
        let clients = (limit / 2).min(rest.saturating_sub(MIN_SERVER_CONNECTIONS)).max(1);
        DescriptorBudget { clients, console, servers: rest.saturating_sub(clients).max(1) }
    }
}

#[cfg(test)]
mod tests;
