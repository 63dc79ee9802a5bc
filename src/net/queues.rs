//! Bytes that wait to be written: counted over all connections of one kind, so that one of them may have a long queue
//! while the others' are short, and memory is bounded all the same.

use std::cell::Cell;
use std::rc::Rc;

use super::budget::DescriptorBudget;

/// The part of the memory that what waits for clients may take, twice at the very most: once together, and once by
/// connections that each stay within their share.
const CLIENT_MEMORY_DIVISOR: usize = 16;
/// The same towards edge servers: the part that the core gives to sessions and their descriptions, as each description
/// that is held may wait here once more.
const SERVER_MEMORY_DIVISOR: usize = 4;

/// The bytes that connections of one kind may keep waiting together.
#[derive(Debug, Default)]
pub struct QueueLimit {
    max_bytes: usize,
    /// One connection's share of that.
    share_bytes: usize,
    used_bytes: Cell<usize>,
}

impl QueueLimit {
    /// So many bytes for so many connections.
    pub fn new(max_bytes: usize, connections: usize) -> Rc<QueueLimit> {
        Rc::new(QueueLimit {
            max_bytes,
            share_bytes: max_bytes / connections.max(1),
            used_bytes: Cell::new(0),
        })
    }
}

/// What one connection keeps waiting.
#[derive(Debug, Default)]
pub struct QueuedBytes {
    limit: Rc<QueueLimit>,
    bytes: Cell<usize>,
}

impl QueuedBytes {
    /// Nothing yet.
    pub fn new(limit: &Rc<QueueLimit>) -> QueuedBytes {
        QueuedBytes { limit: limit.clone(), bytes: Cell::new(0) }
    }

    /// So many bytes more wait.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
        self.limit.used_bytes.set(self.limit.used_bytes.get() + bytes);
    }

    /// So many bytes wait no longer.
    pub fn sub(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        self.limit.used_bytes.set(self.limit.used_bytes.get() - bytes);
    }

    /// Whether the allowance is used up, and this connection has more than its share of it.
    pub fn exceeds_limit(&self) -> bool {
        self.limit.used_bytes.get() > self.limit.max_bytes && self.bytes.get() > self.limit.share_bytes
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.sub(self.bytes.get());
    }
}

/// What may wait for clients, and for edge servers.
#[derive(Debug)]
pub(super) struct QueueLimits {
    pub(super) clients: Rc<QueueLimit>,
    pub(super) servers: Rc<QueueLimit>,
}

impl QueueLimits {
    /// For so many bytes of memory in all, and the connections that there are descriptors for.
    pub(super) fn new(memory_bytes: usize, budget: &DescriptorBudget) -> QueueLimits {
        QueueLimits {
            clients: QueueLimit::new(memory_bytes / CLIENT_MEMORY_DIVISOR, budget.clients),
            servers: QueueLimit::new(memory_bytes / SERVER_MEMORY_DIVISOR, budget.servers),
        }
    }
}

#[cfg(test)]
mod tests;
