//! What waits to be written on one connection.

mod bell;
mod piece;
mod withdrawal;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::rc::Rc;

use super::queues::{Allowance, Waiting};
use crate::api::SessionId;
pub use bell::Bell;
use piece::{Mark, Piece};

/// Pieces of one gathered write.
const MOST_PIECES: usize = 64;

/// What was written whole in one turn.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Written {
    /// Set-ups, or answers.
    pub sessions: Vec<SessionId>,
    /// Ends of attempts that were given up.
    pub withdrawals: Vec<SessionId>,
}

/// The bounded queue of one connection.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<Piece>>,
    /// Bytes of the first piece that are written.
    offset: Cell<usize>,
    waiting: Waiting,
    closing: Cell<Option<&'static str>>,
    /// What the peer writes before it closes too is still wanted.
    leaving: Cell<bool>,
    /// Whatever the peer still says keeps the connection.
    letting_go: Cell<bool>,
    /// Nothing more is written, whatever is queued.
    cut: Cell<bool>,
    cut_bell: Bell,
    wrote: Cell<bool>,
    bell: Bell,
}

impl Outbox {
    /// An empty one, for its part of what may wait on all connections of its kind.
    pub fn new(allowance: &Rc<Allowance>) -> Outbox {
        Outbox { waiting: Waiting::new(allowance), ..Outbox::default() }
    }

    /// Why the connection is to end, if it is.
    pub fn reason(&self) -> Option<&'static str> {
        self.closing.get()
    }

    /// Whether the connection is to end and what comes in is not wanted any more.
    pub fn closing(&self) -> bool {
        self.closing.get().is_some() && !self.leaving() && !self.letting_go.get()
    }

    /// Ends the connection once all is written, unless the peer says something before.
    pub fn let_go(&self, reason: &'static str) {
        self.letting_go.set(self.closing.get().is_none());
        self.close(reason);
    }

    /// The peer has said something: a connection that was to be let go stays. False for others.
    pub fn stay(&self) -> bool {
        let stays = self.letting_go.take();
        if stays {
            self.closing.set(None);
        }
        stays
    }

    /// Nothing came before the end of a connection that was to be let go: from now on nothing is heard there.
    pub fn gone(&self) {
        self.letting_go.set(false);
    }

    /// Whether the connection is to end once the peer has closed it too.
    pub fn leaving(&self) -> bool {
        self.leaving.get() && !self.cut.get()
    }

    /// Whether nothing waits to be written.
    pub fn empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Whether anything was written.
    pub fn wrote(&self) -> bool {
        self.wrote.get()
    }

    /// Queues a piece; a set-up's or an answer's is marked by its session.
    pub fn push(&self, bytes: Vec<u8>, tag: Option<SessionId>) {
        self.push_piece(Piece { bytes, mark: tag.map_or(Mark::Plain, Mark::Session) });
    }

    /// Queues the end of a session.
    pub fn push_end(&self, bytes: Vec<u8>) {
        self.push_piece(Piece { bytes, mark: Mark::SessionEnd });
    }

    fn push_piece(&self, piece: Piece) {
        if piece.bytes.is_empty() {
            return;
        }
        self.waiting.add(piece.bytes.len());
        self.queue.borrow_mut().push_back(piece);
        self.cut_if_too_long();
        self.bell.ring();
    }

    /// Whether the next write may begin an answer or the end of a session.
    pub fn has_words_to_keep(&self) -> bool {
        self.queue
            .borrow()
            .iter()
            .take(MOST_PIECES)
            .any(|piece| matches!(piece.mark, Mark::SessionEnd | Mark::Session(_)))
    }

    /// Takes the ends of sessions that were not written whole.
    pub fn take_ends(&self) -> Vec<Vec<u8>> {
        let mut queue = self.queue.borrow_mut();
        let ends = queue.iter_mut().filter(|piece| piece.mark == Mark::SessionEnd);
        ends.map(|piece| std::mem::take(&mut piece.bytes)).collect()
    }

    /// Set-ups that the next write may begin.
    pub fn about_to_leave(&self) -> Vec<SessionId> {
        let begun = usize::from(self.offset.get() > 0);
        let queue = self.queue.borrow();
        queue.iter().take(MOST_PIECES).skip(begun).filter_map(Piece::session).collect()
    }

    fn cut_if_too_long(&self) {
        if self.waiting.too_many() {
            // Memory is short, and the peer reads too slowly for what it is told.
            self.cut("overflow");
        }
    }

    /// Ends the connection at once.
    pub fn cut(&self, reason: &'static str) {
        self.close(reason);
        self.letting_go.set(false);
        self.cut.set(true);
        self.cut_bell.ring();
    }

    /// Waits until the connection is to end at once, also while a write waits for the peer; gives the reason.
    pub async fn was_cut(&self) -> &'static str {
        self.cut_bell.heard().await;
        self.closing.get().unwrap_or_default()
    }

    /// Ends the connection once all is written.
    pub fn close(&self, reason: &'static str) {
        if self.closing.get().is_none() {
            self.closing.set(Some(reason));
        }
        self.bell.ring();
    }

    /// Ends the connection once all is written and the peer has closed too.
    pub fn leave(&self, reason: &'static str) {
        self.leaving.set(self.closing.get().is_none());
        self.close(reason);
    }

    /// Waits until there is something to write; a reason ends the connection instead.
    pub async fn ready(&self) -> Option<&'static str> {
        loop {
            match self.closing.get() {
                Some(reason) if self.cut.get() || self.queue.borrow().is_empty() => return Some(reason),
                _ if !self.queue.borrow().is_empty() => return None,
                _ => {}
            }
            self.bell.heard().await;
        }
    }

    /// Hands what is queued to one gathered write.
    pub fn gather(&self, write: impl FnOnce(&[IoSlice<'_>]) -> io::Result<usize>) -> io::Result<usize> {
        let queue = self.queue.borrow();
        let from = |i: usize| if i == 0 { self.offset.get() } else { 0 };
        let pieces = queue.iter().take(MOST_PIECES).enumerate();
        let slices: Vec<IoSlice<'_>> =
            pieces.map(|(i, piece)| IoSlice::new(&piece.bytes[from(i)..])).collect();
        write(&slices)
    }

    /// So many bytes were written; gives what was written whole with them.
    pub fn written(&self, mut n: usize) -> Written {
        let mut whole = Written::default();
        let mut queue = self.queue.borrow_mut();
        self.wrote.set(self.wrote.get() || n > 0);
        self.waiting.sub(n);
        n += self.offset.get();
        while let Some(piece) = queue.front()
            && n >= piece.bytes.len()
        {
            n -= piece.bytes.len();
            match queue.pop_front().map(|piece| piece.mark) {
                Some(Mark::Session(id)) => whole.sessions.push(id),
                Some(Mark::Withdrawal(id)) => whole.withdrawals.push(id),
                Some(Mark::Plain | Mark::SessionEnd) | None => {}
            }
        }
        self.offset.set(n);
        whole
    }

    /// Set-ups of which not a byte was written.
    pub fn unsent(&self) -> Vec<SessionId> {
        let begun = usize::from(self.offset.get() > 0);
        self.queue.borrow().iter().skip(begun).filter_map(Piece::session).collect()
    }

    /// Marks of all that was not written whole.
    pub fn unfinished(&self) -> Vec<SessionId> {
        self.queue.borrow().iter().filter_map(Piece::session).collect()
    }
}

#[cfg(test)]
mod tests;
