//! Room for one more connection, where descriptors are short.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::outbox::Bell;
use super::{Handle, step};
use crate::api::Micros;
use crate::node::Node;
use crate::platform::links::Command;

/// Time between looks for a connection that can be let go, while descriptors are short.
pub(super) const ROOM: Duration = Duration::from_millis(50);

/// Waits while a part of the descriptors is `full`; each time that is found, one connection is asked to make room.
/// `freed` rings when one has ended.
pub(super) async fn until_room(
    shared: &Handle,
    full: impl Fn() -> bool,
    freed: &Bell,
    make_room: impl Fn(&mut Node, Micros, &mut Vec<Command>),
) {
    while full() {
        step(shared, &make_room);
        let look = async {
            Timer::after(ROOM).await;
        };
        future::or(freed.heard(), look).await;
    }
}

/// Counts a connection to an edge server for as long as it has a descriptor.
pub(super) struct Linked(Handle);

impl Linked {
    /// Waits until there is a descriptor for one more; connections that nothing needs make room.
    pub(super) async fn when_free(shared: &Handle) -> Linked {
        let full = || shared.linked.get() >= shared.budget.links;
        until_room(shared, full, &shared.unlinked, |node, _, out| node.close_idle_link(out)).await;
        shared.linked.set(shared.linked.get() + 1);
        Linked(shared.clone())
    }
}

impl Drop for Linked {
    fn drop(&mut self) {
        self.0.linked.set(self.0.linked.get() - 1);
        self.0.unlinked.ring();
    }
}
