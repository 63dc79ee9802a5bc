//! The task that runs the node's alarms.

use async_io::Timer;
use futures_lite::future;

use super::{Handle, step, to_duration};

/// Runs the node's alarms when they are due.
pub(super) async fn run_timers(shared: Handle) {
    loop {
        let wait = to_duration(shared.node.borrow().next_alarm() - shared.now());
        if !wait.is_zero() {
            let timer = async {
                Timer::after(wait).await;
            };
            future::or(shared.alarm_changed.notified(), timer).await;
        }
        // Readers that were woken together with this task run first: input that has arrived is handled before an
        // alarm.
        future::yield_now().await;
        if shared.node.borrow().next_alarm() <= shared.now() {
            step(&shared, |node, now, out| node.tick(now, out));
        }
    }
}
