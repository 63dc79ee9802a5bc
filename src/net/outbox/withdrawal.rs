//! Set-ups that are taken back, or whose end is written behind them.

use super::piece::{Mark, Piece};
use super::{Outbox, SessionId};

impl Outbox {
    /// Takes a set-up back of which not a byte was written; false if there is none.
    pub fn withdraw(&self, id: SessionId) -> bool {
        let begun = usize::from(self.offset.get() > 0);
        let mut queue = self.queue.borrow_mut();
        let found = (begun..queue.len()).find(|i| queue[*i].session() == Some(id));
        let Some(piece) = found.and_then(|i| queue.remove(i)) else { return false };
        self.waiting.sub(piece.bytes.len());
        // Where nothing else waits, a close that waited for it is due.
        self.bell.ring();
        true
    }

    /// Queues the release of a set-up that can't be taken back. It follows directly behind a set-up that is half
    /// written, and overtakes those of others of which not a byte was written: until it is read the server plays for
    /// nobody, and a further attempt elsewhere would be the second one out.
    pub fn push_release(&self, bytes: Vec<u8>, id: SessionId) {
        if bytes.is_empty() {
            return;
        }
        self.waiting.add(bytes.len());
        let begun = usize::from(self.offset.get() > 0);
        let mut queue = self.queue.borrow_mut();
        let half_written = begun == 1 && queue.front().is_some_and(|piece| piece.session() == Some(id));
        let next_set_up =
            || (begun..queue.len()).find(|i| queue[*i].session().is_some()).unwrap_or(queue.len());
        let place = if half_written { begun } else { next_set_up() };
        queue.insert(place, Piece { bytes, mark: Mark::Withdrawal(id) });
        drop(queue);
        self.cut_if_too_long();
        self.bell.ring();
    }
}
