//! Room for one more connection, where descriptors are short.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::outbox::Notify;
use super::{Handle, step};
use crate::api::Micros;
use crate::node::Node;
use crate::platform::links::Command;

/// Time between looks for a connection that can be let go, while descriptors are short.
pub(super) const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits while a part of the descriptors is `full`; each time that is found, one connection is asked to make room.
/// `freed` rings when one has ended.
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

/// Counts a connection to an edge server for as long as it has a descriptor.
pub(super) struct ServerSlot(Handle);

impl ServerSlot {
    /// Waits until there is a descriptor for one more; connections that nothing needs make room.
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
