//! What waits to be written on one connection.

mod bell;
mod piece;
mod withdrawal;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::rc::Rc;

use super::queues::{QueueLimit, QueuedBytes};
use crate::api::SessionId;
pub use bell::Notify;
use piece::{MessageKind, QueuedMessage};

/// Pieces of one gathered write.
const MAX_MESSAGES_PER_WRITE: usize = 64;

/// What was written whole in one turn.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Set-ups, or answers.
    pub sessions: Vec<SessionId>,
    /// Ends of attempts that were given up.
    pub withdrawals: Vec<SessionId>,
}

/// The bounded queue of one connection.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<QueuedMessage>>,
    /// Bytes of the first piece that are written.
    written_of_first: Cell<usize>,
    queued_bytes: QueuedBytes,
    close_reason: Cell<Option<&'static str>>,
    /// What the peer writes before it closes too is still wanted.
    lingers: Cell<bool>,
    /// Whatever the peer still says keeps the connection.
    closes_if_quiet: Cell<bool>,
    /// Nothing more is written, whatever is queued.
    is_aborted: Cell<bool>,
    abort_notify: Notify,
    has_written: Cell<bool>,
    changed: Notify,
}

impl Outbox {
    /// An empty one, for its part of what may wait on all connections of its kind.
    pub fn new(limit: &Rc<QueueLimit>) -> Outbox {
        Outbox { queued_bytes: QueuedBytes::new(limit), ..Outbox::default() }
    }

    /// Why the connection is to end, if it is.
    pub fn close_reason(&self) -> Option<&'static str> {
        self.close_reason.get()
    }

    /// Whether the connection is to end and what comes in is not wanted any more.
    pub fn is_closing(&self) -> bool {
        self.close_reason.get().is_some() && !self.is_lingering() && !self.closes_if_quiet.get()
    }

    /// Ends the connection once all is written, unless the peer says something before.
    pub fn close_if_quiet(&self, reason: &'static str) {
        self.closes_if_quiet.set(self.close_reason.get().is_none());
        self.close(reason);
    }

    /// The peer has said something: a connection that was to be let go stays. False for others.
    pub fn keep_open(&self) -> bool {
        let stays = self.closes_if_quiet.take();
        if stays {
            self.close_reason.set(None);
        }
        stays
    }

    /// Nothing came before the end of a connection that was to be let go: from now on nothing is heard there.
    pub fn confirm_close(&self) {
        self.closes_if_quiet.set(false);
    }

    /// Whether the connection is to end once the peer has closed it too.
    pub fn is_lingering(&self) -> bool {
        self.lingers.get() && !self.is_aborted.get()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Whether anything was written.
    pub fn has_written(&self) -> bool {
        self.has_written.get()
    }

    /// Queues a piece; a set-up's or an answer's is marked by its session.
    pub fn push(&self, bytes: Vec<u8>, session: Option<SessionId>) {
        self.enqueue(QueuedMessage { bytes, kind: session.map_or(MessageKind::Plain, MessageKind::Session) });
    }

    /// Queues the end of a session.
    pub fn push_session_end(&self, bytes: Vec<u8>) {
        self.enqueue(QueuedMessage { bytes, kind: MessageKind::SessionEnd });
    }

    fn enqueue(&self, message: QueuedMessage) {
        if message.bytes.is_empty() {
            return;
        }
        self.queued_bytes.add(message.bytes.len());
        self.queue.borrow_mut().push_back(message);
        self.abort_on_overflow();
        self.changed.notify();
    }

    /// Whether the next write may begin an answer or the end of a session.
    pub fn may_begin_answer_or_end(&self) -> bool {
        self.queue
            .borrow()
            .iter()
            .take(MAX_MESSAGES_PER_WRITE)
            .any(|message| matches!(message.kind, MessageKind::SessionEnd | MessageKind::Session(_)))
    }

    /// Takes the ends of sessions that were not written whole.
    pub fn take_session_ends(&self) -> Vec<Vec<u8>> {
        let mut queue = self.queue.borrow_mut();
        let ends = queue.iter_mut().filter(|message| message.kind == MessageKind::SessionEnd);
        ends.map(|message| std::mem::take(&mut message.bytes)).collect()
    }

    /// Set-ups that the next write may begin.
    pub fn set_ups_in_next_write(&self) -> Vec<SessionId> {
        let begun = usize::from(self.written_of_first.get() > 0);
        let queue = self.queue.borrow();
        queue.iter().take(MAX_MESSAGES_PER_WRITE).skip(begun).filter_map(QueuedMessage::session).collect()
    }

    fn abort_on_overflow(&self) {
        if self.queued_bytes.exceeds_limit() {
            // Memory is short, and the peer reads too slowly for what it is told.
            self.abort("overflow");
        }
    }

    /// Ends the connection at once.
    pub fn abort(&self, reason: &'static str) {
        self.close(reason);
        self.closes_if_quiet.set(false);
        self.is_aborted.set(true);
        self.abort_notify.notify();
    }

    /// Waits until the connection is to end at once, also while a write waits for the peer; gives the reason.
    pub async fn aborted(&self) -> &'static str {
        self.abort_notify.notified().await;
        self.close_reason.get().unwrap_or_default()
    }

    /// Ends the connection once all is written.
    pub fn close(&self, reason: &'static str) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        self.changed.notify();
    }

    /// Ends the connection once all is written and the peer has closed too.
    pub fn lingering_close(&self, reason: &'static str) {
        self.lingers.set(self.close_reason.get().is_none());
        self.close(reason);
    }

    /// Waits until there is something to write; a reason ends the connection instead.
    pub async fn ready(&self) -> Option<&'static str> {
        loop {
            match self.close_reason.get() {
                Some(reason) if self.is_aborted.get() || self.queue.borrow().is_empty() => {
                    return Some(reason);
                }
                _ if !self.queue.borrow().is_empty() => return None,
                _ => {}
            }
            self.changed.notified().await;
        }
    }

    /// Hands what is queued to one gathered write.
    pub fn write_queued(&self, write: impl FnOnce(&[IoSlice<'_>]) -> io::Result<usize>) -> io::Result<usize> {
        let queue = self.queue.borrow();
        let from = |i: usize| if i == 0 { self.written_of_first.get() } else { 0 };
        let messages = queue.iter().take(MAX_MESSAGES_PER_WRITE).enumerate();
        let slices: Vec<IoSlice<'_>> =
            messages.map(|(i, message)| IoSlice::new(&message.bytes[from(i)..])).collect();
        write(&slices)
    }

    /// So many bytes were written; gives what was written whole with them.
    pub fn advance(&self, mut n: usize) -> Completed {
        let mut completed = Completed::default();
        let mut queue = self.queue.borrow_mut();
        self.has_written.set(self.has_written.get() || n > 0);
        self.queued_bytes.sub(n);
        n += self.written_of_first.get();
        while let Some(message) = queue.front()
            && n >= message.bytes.len()
        {
            n -= message.bytes.len();
            match queue.pop_front().map(|message| message.kind) {
                Some(MessageKind::Session(id)) => completed.sessions.push(id),
                Some(MessageKind::Withdrawal(id)) => completed.withdrawals.push(id),
                Some(MessageKind::Plain | MessageKind::SessionEnd) | None => {}
            }
        }
        self.written_of_first.set(n);
        completed
    }

    /// Set-ups of which not a byte was written.
    pub fn unsent_sessions(&self) -> Vec<SessionId> {
        let begun = usize::from(self.written_of_first.get() > 0);
        self.queue.borrow().iter().skip(begun).filter_map(QueuedMessage::session).collect()
    }

    /// Marks of all that was not written whole.
    pub fn unfinished_sessions(&self) -> Vec<SessionId> {
        self.queue.borrow().iter().filter_map(QueuedMessage::session).collect()
    }
}

#[cfg(test)]
mod tests;
