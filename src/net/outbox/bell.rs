//! The bell that wakes a task.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Wakes one waiter; a ring before the wait is not lost.
#[derive(Debug, Default)]
pub struct Notify {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Rings it.
    pub fn notify(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Whether it rang and nobody has heard it; it is heard with this.
    pub fn take(&self) -> bool {
        self.is_set.take()
    }

    /// Waits for the next ring.
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
