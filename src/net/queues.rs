//! Limits on the bytes that wait to be written, and on those that were read and wait to be handled. They are counted over all connections of one kind, so that one
//! connection may have a long queue while the others' queues are short, and memory is bounded nevertheless.

use std::cell::Cell;
use std::rc::Rc;

use super::budget::DescriptorBudget;

/// Queues towards clients may use this fraction of the memory: 1/16. The worst case is twice as much: the common limit
/// is used up, and then each connection fills its own share as well.
const CLIENT_MEMORY_DIVISOR: usize = 16;
/// Queues towards edge servers may use this fraction of the memory: 1/4. It is the fraction that the core gives to
/// sessions and their descriptions, as each description that is held may wait here once more.
const SERVER_MEMORY_DIVISOR: usize = 4;

/// What clients have sent and the broker can't handle yet may hold this fraction of the memory: 1/16, and in the worst case
/// twice as much, as above.
const INPUT_MEMORY_DIVISOR: usize = 16;

/// The limit on the queued bytes of all connections of one kind.
#[derive(Debug, Default)]
pub struct QueueLimit {
    max_bytes: usize,
    /// The share of one connection, which it may use at any time.
    share_bytes: usize,
    used_bytes: Cell<usize>,
}

impl QueueLimit {
    /// Creates a limit of `max_bytes` for a number of connections.
    pub fn new(max_bytes: usize, connections: usize) -> Rc<QueueLimit> {
        Rc::new(QueueLimit {
            max_bytes,
            share_bytes: max_bytes / connections.max(1),
            used_bytes: Cell::new(0),
        })
    }
}

/// The number of queued bytes of one connection.
#[derive(Debug, Default)]
pub struct QueuedBytes {
    limit: Rc<QueueLimit>,
    bytes: Cell<usize>,
}

impl QueuedBytes {
    /// Creates the count of a connection that has nothing queued.
    pub fn new(limit: &Rc<QueueLimit>) -> QueuedBytes {
        QueuedBytes { limit: limit.clone(), bytes: Cell::new(0) }
    }

    /// Replaces the count.
    pub fn set(&self, bytes: usize) {
        self.sub(self.bytes.get());
        self.add(bytes);
    }

    /// Counts bytes that are queued.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.limit.used_bytes.set(self.limit.used_bytes.get() + bytes);
    }

    /// Counts bytes that have left the queue.
    pub fn sub(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        self.limit.used_bytes.set(self.limit.used_bytes.get() - bytes);
    }

    /// Whether the common limit is exceeded and this connection uses more than its share.
    pub fn exceeds_limit(&self) -> bool {
        self.limit.used_bytes.get() > self.limit.max_bytes && self.bytes.get() > self.limit.share_bytes
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.sub(self.bytes.get());
    }
}

/// The limits on queues towards clients and towards edge servers, and on clients' input.
#[derive(Debug)]
pub(super) struct QueueLimits {
    pub(super) clients: Rc<QueueLimit>,
    pub(super) servers: Rc<QueueLimit>,
    /// Bytes that clients have sent and that are not handled yet.
    pub(super) input: Rc<QueueLimit>,
}

impl QueueLimits {
    /// Creates the limits from the memory of the process and the numbers of connections that have descriptors.
    pub(super) fn new(memory_bytes: usize, budget: &DescriptorBudget) -> QueueLimits {
        QueueLimits {
            clients: QueueLimit::new(memory_bytes / CLIENT_MEMORY_DIVISOR, budget.clients),
            servers: QueueLimit::new(memory_bytes / SERVER_MEMORY_DIVISOR, budget.servers),
            input: QueueLimit::new(memory_bytes / INPUT_MEMORY_DIVISOR, budget.clients),
        }
    }
}

#[cfg(test)]
mod tests;
