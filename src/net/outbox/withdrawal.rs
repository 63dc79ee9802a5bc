//! Set-ups that are taken back, or whose end is written behind them.

use super::piece::{MessageKind, QueuedMessage};
use super::{Outbox, SessionId};

impl Outbox {
    /// Takes a set-up back of which not a byte was written; false if there is none.
    pub fn withdraw(&self, id: SessionId) -> bool {
        let begun = usize::from(self.written_of_first.get() > 0);
        let mut queue = self.queue.borrow_mut();
        let found = (begun..queue.len()).find(|i| queue[*i].session() == Some(id));
        let Some(message) = found.and_then(|i| queue.remove(i)) else { return false };
        self.queued_bytes.sub(message.bytes.len());
        // Where nothing else waits, a close that waited for it is due.
        self.changed.notify();
        true
    }

    /// Queues the release of a set-up that can't be taken back. It follows directly behind a set-up that is half
    /// written, and overtakes those of others of which not a byte was written: until it is read the server plays for
    /// nobody, and a further attempt elsewhere would be the second one out.
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
