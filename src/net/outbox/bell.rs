//! A notification that wakes a waiting task.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Notifies one waiting task. A notification that comes before the wait is stored and not lost.
#[derive(Debug, Default)]
pub struct Notify {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Stores a notification and wakes the waiting task.
    pub fn notify(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Takes the stored notification. Returns whether there was one.
    pub fn take(&self) -> bool {
        self.is_set.take()
    }

    /// Waits for a notification and takes it.
    pub async fn notified(&self) {
        poll_fn(|context| {
            if self.is_set.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
