//! The end of a process that was told to end: carries the plan's steps out, and tells in the log what is waited for.

use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use tracing::info;

use super::handover::Handover;
use super::outbox::Bell;
use super::{Handle, step};
use crate::node::{HeldRequest, Remaining};
use crate::operate::planned_end::{KillPolicy, RemainingWork, ShutdownPlan, Step};

/// Time between two looks at what is left.
const LOOK: Duration = Duration::from_millis(10);

/// Time between two reports.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Requests that one report names at most.
const MOST_NAMED: usize = 8;

/// What is to end.
pub(super) struct Ending {
    /// Clients of the platform are served.
    pub(super) platform: bool,
    /// The processes before and after this one.
    pub(super) handover: Option<Rc<Handover>>,
    /// Tasks that accept connections, and the bells that tell them of the last call.
    pub(super) fronts: Vec<Task<()>>,
    pub(super) last_calls: Vec<Rc<Bell>>,
    /// Takes this process out of the registry.
    pub(super) registry: Option<Task<()>>,
}

impl Ending {
    fn left(&self, shared: &Handle) -> RemainingWork {
        let Remaining { unanswered, playing, unheard_ends, .. } = shared.node.borrow().remaining();
        let registered = self.registry.as_ref().is_some_and(|task| !task.is_finished());
        RemainingWork {
            unanswered,
            playing,
            connections: shared.accepted.get(),
            unheard_ends: unheard_ends + usize::from(registered),
            has_queued_connections: self.fronts.iter().any(|front| !front.is_finished()),
            successor_serves: self.handover.as_ref().is_some_and(|handover| handover.yielded()),
        }
    }
}

/// Ends the process by the plan; returns when it may exit.
pub(super) async fn end(shared: &Handle, ending: Ending) {
    let longest = || shared.timings.get().longest_deadline;
    let killer = if ending.platform {
        KillPolicy::Platform { successor_serves: ending.left(shared).successor_serves }
    } else {
        KillPolicy::ProcessManager
    };
    let mut plan = ShutdownPlan::new(shared.now(), longest(), killer);
    let mut answer_by = plan.answer_by();
    step(shared, |node, now, out| node.set_shutdown_deadline(now, answer_by, out));
    let reports = shared.executor.spawn(report(shared.clone(), plan));
    loop {
        plan.shorten(longest());
        if plan.answer_by() < answer_by {
            answer_by = plan.answer_by();
            step(shared, |node, now, out| node.set_shutdown_deadline(now, answer_by, out));
        }
        while let Some(next) = plan.next_step(shared.now(), ending.left(shared)) {
            let left_ms = (plan.kill_at() - shared.now()).0 / 1000;
            info!(event = "ending.step", step = ?next, left_ms);
            match next {
                Step::LastCall => ending.last_calls.iter().for_each(|bell| bell.ring()),
                // Nothing runs between the count and this: what comes from here on is turned away.
                Step::CloseDoors => step(shared, |node, _, out| node.start_refusing(out)),
                Step::Release => step(shared, |node, now, out| node.end(now, out)),
                Step::Exit => {
                    reports.cancel().await;
                    tell_remaining(shared, plan);
                    return info!(event = "stopped");
                }
            }
        }
        Timer::after(LOOK).await;
    }
}

/// Tells, again and again, what keeps the process up.
async fn report(shared: Handle, plan: ShutdownPlan) {
    loop {
        tell_remaining(&shared, plan);
        Timer::after(REPORT_EVERY).await;
    }
}

/// Tells once what keeps the process up.
fn tell_remaining(shared: &Handle, plan: ShutdownPlan) {
    let Remaining { unanswered, playing, clients, unheard_ends } = shared.node.borrow().remaining();
    let unwritten = shared.boxes.borrow().values().filter(|outbox| !outbox.empty()).count();
    let now = shared.now();
    let left_ms = (plan.kill_at() - now).0 / 1000;
    info!(event = "ending", unanswered, playing, clients, unheard_ends, unwritten, left_ms);
    for HeldRequest { id, class, conn, server, due } in shared.node.borrow().last_due(MOST_NAMED) {
        let (id, due_in_ms) = (format!("{:016x}", id.0), (due - now).0 / 1000);
        let conn = conn.map_or(0, |conn| conn.0);
        let server = server.map_or_else(|| "none".to_owned(), |server| server.to_string());
        info!(event = "ending.waits", id, class, conn, server, due_in_ms);
    }
}
