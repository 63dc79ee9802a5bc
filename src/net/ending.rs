//! The end of a process that was told to end: carries the plan's steps out, and tells in the log what is waited for.

use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use tracing::info;

use super::handover::Handover;
use super::outbox::Notify;
use super::{Handle, step};
use crate::node::{HeldRequest, Remaining};
use crate::operate::planned_end::{KillPolicy, RemainingWork, ShutdownPlan, Step};

/// Time between two looks at what is left.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Requests that one report names at most.
const MAX_REPORTED_REQUESTS: usize = 8;

/// What is to end.
pub(super) struct Shutdown {
    /// Clients of the platform are served.
    pub(super) serves_platform: bool,
    /// The processes before and after this one.
    pub(super) handover: Option<Rc<Handover>>,
    /// Tasks that accept connections, and the bells that tell them of the last call.
    pub(super) accept_tasks: Vec<Task<()>>,
    pub(super) stop_accepting: Vec<Rc<Notify>>,
    /// Takes this process out of the registry.
    pub(super) registry: Option<Task<()>>,
}

impl Shutdown {
    fn remaining_work(&self, shared: &Handle) -> RemainingWork {
        let Remaining { unanswered, playing, unheard_ends, .. } = shared.node.borrow().remaining();
        let registered = self.registry.as_ref().is_some_and(|task| !task.is_finished());
        RemainingWork {
            unanswered,
            playing,
            connections: shared.client_count.get(),
            unheard_ends: unheard_ends + usize::from(registered),
            accepting: self.accept_tasks.iter().any(|task| !task.is_finished()),
            successor_serves: self.handover.as_ref().is_some_and(|handover| handover.has_yielded()),
        }
    }
}

/// Ends the process by the plan; returns when it may exit.
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
        while let Some(next) = plan.next(shared.now(), shutdown.remaining_work(shared)) {
            let left_ms = (plan.kill_at() - shared.now()).0 / 1000;
            info!(event = "ending.step", step = ?next, left_ms);
            match next {
                Step::LastCall => shutdown.stop_accepting.iter().for_each(|stop| stop.notify()),
                // Nothing runs between the count and this: what comes from here on is turned away.
                Step::CloseDoors => step(shared, |node, _, out| node.start_refusing(out)),
                Step::Release => step(shared, |node, now, out| node.end(now, out)),
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

/// Tells, again and again, what keeps the process up.
async fn report_periodically(shared: Handle, plan: ShutdownPlan) {
    loop {
        log_remaining(&shared, plan);
        Timer::after(REPORT_INTERVAL).await;
    }
}

/// Tells once what keeps the process up.
fn log_remaining(shared: &Handle, plan: ShutdownPlan) {
    let Remaining { unanswered, playing, clients, unheard_ends } = shared.node.borrow().remaining();
    let unwritten = shared.outboxes.borrow().values().filter(|outbox| !outbox.is_empty()).count();
    let now = shared.now();
    let left_ms = (plan.kill_at() - now).0 / 1000;
    info!(event = "ending", unanswered, playing, clients, unheard_ends, unwritten, left_ms);
    for HeldRequest { id, class, conn, server, due } in shared.node.borrow().last_due(MAX_REPORTED_REQUESTS) {
        let (id, due_in_ms) = (format!("{:016x}", id.0), (due - now).0 / 1000);
        let conn = conn.map_or(0, |conn| conn.0);
        let server = server.map_or_else(|| "none".to_owned(), |server| server.to_string());
        info!(event = "ending.waits", id, class, conn, server, due_in_ms);
    }
}
