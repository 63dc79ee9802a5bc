//! The schedule of a graceful shutdown: by when the process has answered its requests, closed its connections and
//! exited by itself, before the SIGKILL that may follow SIGTERM. All times follow from the settings and from the
//! operators' pages, so that remaining work never delays the exit.

use crate::api::Micros;
use crate::mutant::{self, Mutant};

/// The time after SIGTERM for which connections and requests keep arriving (protocol page, planned restarts).
const ARRIVALS_AFTER_SIGTERM: Micros = Micros(700_000);
/// SIGKILL follows SIGTERM no sooner than after the longest deadline plus this margin (the same page).
const KILL_MARGIN: Micros = Micros(700_000);
/// The longest deadline counts as at most this much (the same page).
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// The same limit where another process serves in place of this one (operators' page on operating days).
const MAX_COUNTED_DEADLINE_WITH_SUCCESSOR: Micros = Micros(5_000_000);
/// A broker that does not listen for the platform is killed by its process manager, usually after this time.
const PROCESS_MANAGER_GRACE: Micros = Micros(30_000_000);
/// The margin before the earliest SIGKILL for a process that runs late: twice the slack on sockets that the pages
/// allow.
const EXIT_MARGIN: Micros = Micros(100_000);
/// The time for peers to receive the final messages and close their side of the connections.
const FINAL_MESSAGES_TIME: Micros = Micros(300_000);
/// The minimum time between queuing the final messages and the exit, as they are written in later turns of the event
/// loop.
const MIN_FLUSH_TIME: Micros = Micros(50_000);

/// Whose rules decide when a process in shutdown is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPolicy {
    /// The platform's rules.
    Platform {
        /// Another process already serves in place of this one.
        successor_serves: bool,
    },
    /// The rules of a process manager: the broker serves no clients of the platform.
    ProcessManager,
}

/// The work that remains at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemainingWork {
    /// The number of requests without an answer.
    pub unanswered: usize,
    /// The number of playing sessions that this process holds.
    pub playing: usize,
    /// The number of client connections.
    pub connections: usize,
    /// The number of session ends that media servers have not received yet.
    pub unheard_ends: usize,
    /// Connections that the system accepted in time still wait in the accept queue.
    pub has_queued_connections: bool,
    /// Another process serves in place of this one.
    pub successor_serves: bool,
}

/// A step of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Accept the connections that wait in the accept queue, then no more.
    LastCall,
    /// Refuse further requests and close each connection on which no answer is due.
    CloseDoors,
    /// Answer the remaining requests, and release the playing sessions towards both client and server.
    Release,
    /// Exit the process.
    Exit,
}

/// The stage that the shutdown has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Accepting,
    Answering,
    Refusing,
    Flushing { since: Micros },
    Done,
}

/// The shutdown schedule of one process.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    signalled_at: Micros,
    kill_policy: KillPolicy,
    kill_at: Micros,
    stage: Stage,
}

impl ShutdownPlan {
    /// Starts the schedule of a process that got SIGTERM now. `longest_deadline` is that of the settings in force.
    pub fn new(now: Micros, longest_deadline: Micros, kill_policy: KillPolicy) -> ShutdownPlan {
        let mut plan =
            ShutdownPlan { signalled_at: now, kill_policy, kill_at: Micros::MAX, stage: Stage::Accepting };
        plan.shorten(longest_deadline);
        plan
    }

    /// Applies the longest deadline of new settings. It can bring the earliest SIGKILL forward but never defer it.
    pub fn shorten(&mut self, longest_deadline: Micros) {
        if mutant::is_active(Mutant::LateDoors) {
            return;
        }
        let kill_after = match self.kill_policy {
            KillPolicy::Platform { successor_serves: false } => {
                longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
            }
            KillPolicy::Platform { successor_serves: true } => {
                longest_deadline.min(MAX_COUNTED_DEADLINE_WITH_SUCCESSOR) + KILL_MARGIN
            }
            KillPolicy::ProcessManager => PROCESS_MANAGER_GRACE,
        };
        self.kill_at = self.kill_at.min(self.signalled_at + kill_after);
    }

    /// Returns the time of the earliest SIGKILL.
    pub fn kill_at(&self) -> Micros {
        self.kill_at
    }

    /// Returns the time by which each request has its answer.
    pub fn answer_by(&self) -> Micros {
        self.exit_by() - FINAL_MESSAGES_TIME
    }

    /// Returns the time by which the process has exited.
    pub fn exit_by(&self) -> Micros {
        self.kill_at - EXIT_MARGIN
    }

    /// Returns the step that is due now, if there is one. To be called until it returns `None`.
    pub fn next_step(&mut self, now: Micros, remaining: RemainingWork) -> Option<Step> {
        let is_late = now >= self.answer_by();
        let has_no_work = remaining.unanswered == 0
            && remaining.playing == 0
            && !remaining.has_queued_connections
            && !remaining.successor_serves;
        let (stage, step) = match self.stage {
            Stage::Accepting if is_late || now >= self.signalled_at + ARRIVALS_AFTER_SIGTERM => {
                (Stage::Answering, Step::LastCall)
            }
            Stage::Answering if is_late || has_no_work => (Stage::Refusing, Step::CloseDoors),
            Stage::Refusing if is_late || remaining.unanswered == 0 => {
                (Stage::Flushing { since: now }, Step::Release)
            }
            Stage::Flushing { since } if self.is_flushed(now, since, remaining) => (Stage::Done, Step::Exit),
            _ => return None,
        };
        self.stage = stage;
        Some(step)
    }

    fn is_flushed(&self, now: Micros, since: Micros, remaining: RemainingWork) -> bool {
        let is_waiting = remaining.connections > 0 || remaining.unheard_ends > 0;
        now >= self.exit_by() || now >= since + MIN_FLUSH_TIME && !is_waiting
    }
}

#[cfg(test)]
mod tests;
