//! What the log tells of a process that was told to end, so that it says what is waited for.

use std::time::Duration;

use async_io::Timer;
use tracing::info;

use super::Handle;
use crate::node::{HeldRequest, Remaining};

/// Time between two reports.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Requests that one report names at most.
const MOST_NAMED: usize = 8;

/// Tells, again and again, what keeps the process up.
pub(super) async fn report(shared: Handle) {
    loop {
        tell_remaining(&shared);
        Timer::after(REPORT_EVERY).await;
    }
}

/// Tells once what keeps the process up.
pub(super) fn tell_remaining(shared: &Handle) {
    let Remaining { unanswered, playing, clients, unheard_ends } = shared.node.borrow().remaining();
    let unwritten = shared.boxes.borrow().values().filter(|outbox| !outbox.empty()).count();
    info!(event = "ending", unanswered, playing, clients, unheard_ends, unwritten);
    let now = shared.now();
    for HeldRequest { id, class, conn, server, due } in shared.node.borrow().last_due(MOST_NAMED) {
        let (id, due_in_ms) = (format!("{:016x}", id.0), (due - now).0 / 1000);
        let conn = conn.map_or(0, |conn| conn.0);
        let server = server.map_or_else(|| "none".to_owned(), |server| server.to_string());
        info!(event = "ending.waits", id, class, conn, server, due_in_ms);
    }
}
