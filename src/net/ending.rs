//! Shutdown of the process: executes the steps of the shutdown plan, and logs what the process still waits for.

use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use tracing::info;

use super::handover::Handover;
use super::outbox::Notify;
use super::{Handle, step};
use crate::node::{Remaining, UnansweredRequest};
use crate::operate::planned_end::{KillPolicy, RemainingWork, ShutdownPlan, Step};

/// The time between checks of the remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time between log reports of the remaining work.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The most requests that one report lists.
const MAX_REPORTED_REQUESTS: usize = 8;

/// What is to be shut down.
pub(super) struct Shutdown {
    /// Whether this process serves clients of the platform.
    pub(super) serves_platform: bool,
    /// The hand-over with the process before and the one after this one.
    pub(super) handover: Option<Rc<Handover>>,
    /// The tasks that accept connections, and the notifications that tell them to stop.
    pub(super) accept_tasks: Vec<Task<()>>,
    pub(super) stop_accepting: Vec<Rc<Notify>>,
    /// The task that deregisters this process when it is stopped.
    pub(super) registry: Option<Task<()>>,
}

impl Shutdown {
    /// Returns the work that the plan waits for.
    fn remaining_work(&self, shared: &Handle) -> RemainingWork {
        let Remaining { unanswered, playing, unheard_ends, .. } = shared.node.borrow().remaining();
        let registered = self.registry.as_ref().is_some_and(|task| !task.is_finished());
        RemainingWork {
            unanswered,
            playing,
            connections: shared.client_count.get(),
            unheard_ends: unheard_ends + usize::from(registered),
            has_queued_connections: self.accept_tasks.iter().any(|task| !task.is_finished()),
            successor_serves: self.handover.as_ref().is_some_and(|handover| handover.has_yielded()),
        }
    }
}

/// Shuts the process down as planned. Returns when it may exit.
pub(super) async fn shut_down(shared: &Handle, shutdown: Shutdown) {
    let longest_deadline = || shared.timings.get().longest_deadline;
    let kill_policy = if shutdown.serves_platform {
        KillPolicy::Platform { successor_serves: shutdown.remaining_work(shared).successor_serves }
    } else {
        KillPolicy::ProcessManager
    };
    let mut plan = ShutdownPlan::new(shared.now(), longest_deadline(), kill_policy);
    let mut answer_by = plan.answer_by();
    step(shared, |node, now, out| node.set_shutdown_deadline(now, answer_by, out));
    let report_task = shared.executor.spawn(report_periodically(shared.clone(), plan));
    loop {
        plan.shorten(longest_deadline());
        if plan.answer_by() < answer_by {
            answer_by = plan.answer_by();
            step(shared, |node, now, out| node.set_shutdown_deadline(now, answer_by, out));
        }
        while let Some(next_step) = plan.next_step(shared.now(), shutdown.remaining_work(shared)) {
            let left_ms = (plan.kill_at() - shared.now()).0 / 1000;
            info!(event = "ending.step", step = ?next_step, left_ms);
            match next_step {
                Step::LastCall => shutdown.stop_accepting.iter().for_each(|stop| stop.notify()),
                // Nothing else runs between the count of the remaining work and this step: a request that comes from
                // now on is refused.
                Step::CloseDoors => step(shared, |node, _, out| node.start_refusing(out)),
                Step::Release => step(shared, |node, now, out| node.shut_down(now, out)),
                Step::Exit => {
                    report_task.cancel().await;
                    log_remaining(shared, plan);
                    return info!(event = "stopped");
                }
            }
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Logs at regular intervals what the process still waits for.
async fn report_periodically(shared: Handle, plan: ShutdownPlan) {
    loop {
        log_remaining(&shared, plan);
        Timer::after(REPORT_INTERVAL).await;
    }
}

/// Logs once what the process still waits for.
fn log_remaining(shared: &Handle, plan: ShutdownPlan) {
    let Remaining { unanswered, playing, clients, unheard_ends } = shared.node.borrow().remaining();
    let unwritten = shared.outboxes.borrow().values().filter(|outbox| !outbox.is_empty()).count();
    let now = shared.now();
    let left_ms = (plan.kill_at() - now).0 / 1000;
    info!(event = "ending", unanswered, playing, clients, unheard_ends, unwritten, left_ms);
    for UnansweredRequest { id, class, conn, server, due } in
        shared.node.borrow().last_due(MAX_REPORTED_REQUESTS)
    {
        let (id, due_in_ms) = (format!("{:016x}", id.0), (due - now).0 / 1000);
        let conn = conn.map_or(0, |conn| conn.0);
        let server = server.map_or_else(|| "none".to_owned(), |server| server.to_string());
        info!(event = "ending.waits", id, class, conn, server, due_in_ms);
    }
}
