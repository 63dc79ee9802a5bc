//! A gate that lets clients' connections be accepted only while this process serves: another process may hold the
//! listening socket open too.

use std::cell::Cell;

use crate::net::outbox::Notify;

/// Whether clients' connections are accepted.
#[derive(Debug, Default)]
pub(in crate::net) struct Gate {
    is_open: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Opens or closes the gate.
    pub(super) fn set(&self, open: bool) {
        self.is_open.set(open);
        self.changed.notify();
    }

    /// Waits until the gate is open.
    pub(in crate::net) async fn wait_until_open(&self) {
        while !self.is_open.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the gate is closed.
    pub(in crate::net) async fn wait_until_closed(&self) {
        while self.is_open.get() {
            self.changed.notified().await;
        }
    }
}
