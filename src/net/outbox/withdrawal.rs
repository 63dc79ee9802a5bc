//! Withdrawal of set-ups: a set-up is removed from the queue, or its release is queued behind it.

use super::piece::{MessageKind, QueuedMessage};
use super::{Outbox, SessionId};

impl Outbox {
    /// Removes a set-up of which no byte is written. Returns whether there was one.
    pub fn withdraw(&self, id: SessionId) -> bool {
        let begun = usize::from(self.written_of_first.get() > 0);
        let mut queue = self.queue.borrow_mut();
        let found = (begun..queue.len()).find(|i| queue[*i].session() == Some(id));
        let Some(message) = found.and_then(|i| queue.remove(i)) else { return false };
        self.queued_bytes.sub(message.bytes.len());
        // If the queue is empty now, a close that waited for this message is due.
        self.changed.notify();
        true
    }

    /// Queues the release of a set-up that can't be removed any more. The release goes directly behind its set-up if
    /// that is partly written, else before all set-ups of which no byte is written: until the server reads the
    /// release, it plays for a client that has left, and a further attempt elsewhere would be a second one in
    /// progress.
    pub fn push_release(&self, bytes: Vec<u8>, id: SessionId) {
        if bytes.is_empty() {
            return;
        }
        self.queued_bytes.add(bytes.len());
        let begun = usize::from(self.written_of_first.get() > 0);
        let mut queue = self.queue.borrow_mut();
        let half_written = begun == 1 && queue.front().is_some_and(|message| message.session() == Some(id));
        let next_set_up =
            || (begun..queue.len()).find(|i| queue[*i].session().is_some()).unwrap_or(queue.len());
        let place = if half_written { begun } else { next_set_up() };
        queue.insert(place, QueuedMessage { bytes, kind: MessageKind::Withdrawal(id) });
        drop(queue);
        self.abort_on_overflow();
        self.changed.notify();
    }
}
