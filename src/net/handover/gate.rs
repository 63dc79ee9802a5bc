//! The gate before the clients' listening socket, which another process may hold open too.

use std::cell::Cell;

use crate::net::outbox::Bell;

/// Whether clients' connections are accepted.
#[derive(Debug, Default)]
pub(in crate::net) struct Gate {
    open: Cell<bool>,
    bell: Bell,
}

impl Gate {
    pub(super) fn set(&self, open: bool) {
        self.open.set(open);
        self.bell.ring();
    }

    /// Waits until it is open.
    pub(in crate::net) async fn opened(&self) {
        while !self.open.get() {
            self.bell.heard().await;
        }
    }

    /// Waits until it is closed.
    pub(in crate::net) async fn closed(&self) {
        while self.open.get() {
            self.bell.heard().await;
        }
    }
}
