//! The bounded write queue of one connection, and the ways to close the connection.

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

/// The most messages in one vectored write.
const MAX_MESSAGES_PER_WRITE: usize = 64;

/// The messages that one write has completed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Sessions whose set-up or answer is completely written.
    pub sessions: Vec<SessionId>,
    /// Sessions for which the release of a withdrawn attempt is completely written.
    pub withdrawals: Vec<SessionId>,
}

/// The bounded write queue of one connection.
#[derive(Debug, Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<QueuedMessage>>,
    /// The number of bytes of the first message that are written.
    written_of_first: Cell<usize>,
    queued_bytes: QueuedBytes,
    close_reason: Cell<Option<&'static str>>,
    /// Whether input is still handled after the close, until the peer has closed too.
    lingers: Cell<bool>,
    /// Whether any input from the peer cancels the close.
    closes_if_quiet: Cell<bool>,
    /// Whether the connection ends without writing what is queued.
    is_aborted: Cell<bool>,
    abort_notify: Notify,
    has_written: Cell<bool>,
    changed: Notify,
}

impl Outbox {
    /// Creates an empty queue under the common limit for connections of its kind.
    pub fn new(limit: &Rc<QueueLimit>) -> Outbox {
        Outbox { queued_bytes: QueuedBytes::new(limit), ..Outbox::default() }
    }

    /// Returns the reason for which the connection is to be closed, if it is.
    pub fn close_reason(&self) -> Option<&'static str> {
        self.close_reason.get()
    }

    /// Whether the connection is to be closed and input is discarded.
    pub fn is_closing(&self) -> bool {
        self.close_reason.get().is_some() && !self.is_lingering() && !self.closes_if_quiet.get()
    }

    /// Closes the connection once all is written, unless the peer sends something before.
    pub fn close_if_quiet(&self, reason: &'static str) {
        self.closes_if_quiet.set(self.close_reason.get().is_none());
        self.close(reason);
    }

    /// Cancels a close that [`Outbox::close_if_quiet`] began, as the peer has sent something. Returns whether there
    /// was one.
    pub fn keep_open(&self) -> bool {
        let stays = self.closes_if_quiet.take();
        if stays {
            self.close_reason.set(None);
        }
        stays
    }

    /// Makes a close that [`Outbox::close_if_quiet`] began final, as the peer has sent nothing: from now on input is
    /// discarded.
    pub fn confirm_close(&self) {
        self.closes_if_quiet.set(false);
    }

    /// Whether the connection is to be closed once the peer has closed it too.
    pub fn is_lingering(&self) -> bool {
        self.lingers.get() && !self.is_aborted()
    }

    /// Whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Whether any byte was written on the connection.
    pub fn has_written(&self) -> bool {
        self.has_written.get()
    }

    /// Queues a message. The message is a set-up or an answer if a session is given.
    pub fn push(&self, bytes: Vec<u8>, session: Option<SessionId>) {
        self.enqueue(QueuedMessage { bytes, kind: session.map_or(MessageKind::Plain, MessageKind::Session) });
    }

    /// Queues the message that ends a session.
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

    /// Whether the next write may begin an answer or the end of a session. A write looks at the first
    /// [`MAX_MESSAGES_PER_WRITE`] messages.
    pub fn may_begin_answer_or_end(&self) -> bool {
        self.queue
            .borrow()
            .iter()
            .take(MAX_MESSAGES_PER_WRITE)
            .any(|message| matches!(message.kind, MessageKind::SessionEnd | MessageKind::Session(_)))
    }

    /// Takes the ends of sessions that are not completely written, so that they can be sent on another connection.
    pub fn take_session_ends(&self) -> Vec<Vec<u8>> {
        let mut queue = self.queue.borrow_mut();
        let ends = queue.iter_mut().filter(|message| message.kind == MessageKind::SessionEnd);
        ends.map(|message| std::mem::take(&mut message.bytes)).collect()
    }

    /// Returns the sessions whose set-up or answer the next write may begin.
    pub fn set_ups_in_next_write(&self) -> Vec<SessionId> {
        let begun = usize::from(self.written_of_first.get() > 0);
        let queue = self.queue.borrow();
        queue.iter().take(MAX_MESSAGES_PER_WRITE).skip(begun).filter_map(QueuedMessage::session).collect()
    }

    fn abort_on_overflow(&self) {
        if self.queued_bytes.exceeds_limit() {
            // The memory for queues is used up, and this peer reads more slowly than messages are queued for it.
            self.abort("overflow");
        }
    }

    /// Closes the connection at once, without writing what is queued.
    pub fn abort(&self, reason: &'static str) {
        self.close(reason);
        self.closes_if_quiet.set(false);
        self.is_aborted.set(true);
        self.abort_notify.notify();
    }

    /// Waits until the connection is aborted, also while a write waits for the peer. Returns the reason to close.
    pub async fn aborted(&self) -> &'static str {
        self.abort_notify.notified().await;
        self.close_reason.get().unwrap_or_default()
    }

    /// Closes the connection once all is written. The first reason is kept.
    pub fn close(&self, reason: &'static str) {
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        self.changed.notify();
    }

    /// Closes the connection once all is written and the peer has closed too, and handles input until then.
    pub fn lingering_close(&self, reason: &'static str) {
        self.lingers.set(self.close_reason.get().is_none());
        self.close(reason);
    }

    /// Waits until there is something to write, or until the connection is to be closed now: then returns the reason.
    pub async fn ready(&self) -> Option<&'static str> {
        loop {
            match self.close_reason.get() {
                Some(reason) if self.is_aborted() || self.queue.borrow().is_empty() => {
                    return Some(reason);
                }
                _ if !self.queue.borrow().is_empty() => return None,
                _ => {}
            }
            self.changed.notified().await;
        }
    }

    /// Whether the connection ends without writing what is queued.
    pub fn is_aborted(&self) -> bool {
        self.is_aborted.get()
    }

    /// Passes the queued messages to one vectored write. Nothing is written after [`Outbox::abort`]: what was decided
    /// about the queued messages since then relies on that.
    pub fn write_queued(&self, write: impl FnOnce(&[IoSlice<'_>]) -> io::Result<usize>) -> io::Result<usize> {
        if self.is_aborted() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let queue = self.queue.borrow();
        let from = |i: usize| if i == 0 { self.written_of_first.get() } else { 0 };
        let messages = queue.iter().take(MAX_MESSAGES_PER_WRITE).enumerate();
        let slices: Vec<IoSlice<'_>> =
            messages.map(|(i, message)| IoSlice::new(&message.bytes[from(i)..])).collect();
        write(&slices)
    }

    /// Removes `n` written bytes from the queue. Returns the messages that were completed by them.
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

    /// Returns the sessions whose set-up or answer is queued with no byte written.
    pub fn unsent_sessions(&self) -> Vec<SessionId> {
        let begun = usize::from(self.written_of_first.get() > 0);
        self.queue.borrow().iter().skip(begun).filter_map(QueuedMessage::session).collect()
    }

    /// Returns the sessions whose set-up or answer is not completely written.
    pub fn unfinished_sessions(&self) -> Vec<SessionId> {
        self.queue.borrow().iter().filter_map(QueuedMessage::session).collect()
    }
}

#[cfg(test)]
mod tests;
