//! Waits for a free descriptor before one more connection is opened.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::outbox::Notify;
use super::{Handle, step};
use crate::api::Micros;
use crate::node::Node;
use crate::platform::links::Command;

/// The time between searches for a connection that can be closed, while descriptors are short.
pub(super) const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits while all descriptors for a kind of connection are in use, as `is_full` tells. Each time, `make_room` may
/// close one connection. `freed` notifies of a connection that has ended.
pub(super) async fn wait_for_room(
    shared: &Handle,
    is_full: impl Fn() -> bool,
    freed: &Notify,
    make_room: impl Fn(&mut Node, Micros, &mut Vec<Command>),
) {
    while is_full() {
        step(shared, &make_room);
        let poll = async {
            Timer::after(ROOM_POLL_INTERVAL).await;
        };
        future::or(freed.notified(), poll).await;
    }
}

/// Counts a connection to an edge server for as long as it holds a descriptor.
pub(super) struct ServerSlot(Handle);

impl ServerSlot {
    /// Waits until there is a descriptor for one more connection. Idle connections are closed to make room.
    pub(super) async fn acquire(shared: &Handle) -> ServerSlot {
        let is_full = || shared.server_connection_count.get() >= shared.budget.servers;
        wait_for_room(shared, is_full, &shared.server_connection_closed, |node, _, out| {
            node.close_idle_link(out)
        })
        .await;
        shared.server_connection_count.set(shared.server_connection_count.get() + 1);
        ServerSlot(shared.clone())
    }
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.0.server_connection_count.set(self.0.server_connection_count.get() - 1);
        self.0.server_connection_closed.notify();
    }
}
