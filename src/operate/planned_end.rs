//! The plan of a process that was told to end: by when it has answered what it took, let its connections go and ended by
//! itself, so that the SIGKILL that may follow SIGTERM finds nothing. All times follow from the settings and from the
//! operators' pages; nothing here waits for work to be done.

use crate::api::Micros;
use crate::mutant::{self, Mutant};

/// Connections and requests keep coming for so long after SIGTERM (protocol page, planned restarts).
const ARRIVALS_AFTER_SIGTERM: Micros = Micros(700_000);
/// SIGKILL comes no sooner than this and the longest deadline after SIGTERM (the same page).
const KILL_MARGIN: Micros = Micros(700_000);
/// The longest deadline counts as so much at most (the same page).
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// The same where another process serves in this one's place (operators' page on operating days).
const MAX_COUNTED_DEADLINE_WITH_SUCCESSOR: Micros = Micros(5_000_000);
/// A broker without the platform's front is killed by whatever manages processes there, by custom after so long.
const PROCESS_MANAGER_GRACE: Micros = Micros(30_000_000);
/// Kept free before the earliest SIGKILL for a process that runs late: twice the pages' slack on sockets.
const EXIT_MARGIN: Micros = Micros(100_000);
/// Peers have so long to hear the last words and to close their connections too.
const FINAL_MESSAGES_TIME: Micros = Micros(300_000);
/// Last words that were queued in one turn are written in the next ones.
const MIN_FLUSH_TIME: Micros = Micros(50_000);

/// By whose rules a process that was told to end is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPolicy {
    /// The platform's; another process serves in this one's place already, or not.
    Platform {
        /// See there.
        successor_serves: bool,
    },
    /// A process manager's: the broker serves no clients of the platform.
    ProcessManager,
}

/// What is still there, at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RemainingWork {
    /// Requests that are owed an answer.
    pub unanswered: usize,
    /// Sessions that play and are held here.
    pub playing: usize,
    /// Clients' connections.
    pub connections: usize,
    /// Ends of sessions that media servers have not heard yet.
    pub unheard_ends: usize,
    /// Connections that the machine accepted in time still wait to be taken.
    pub has_queued_connections: bool,
    /// Another process serves in this one's place.
    pub successor_serves: bool,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Accept what waits, then nothing more.
    LastCall,
    /// Refuse what still comes, and let each connection go on which no answer is owed.
    CloseDoors,
    /// Answer what is left, and release what plays on both sides.
    Release,
    /// End the process.
    Exit,
}

/// How far the plan has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Accepting,
    Answering,
    Refusing,
    Flushing { since: Micros },
    Done,
}

/// The plan of one process.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    signalled_at: Micros,
    kill_policy: KillPolicy,
    kill_at: Micros,
    stage: Stage,
}

impl ShutdownPlan {
    /// A process was told to end. The longest deadline is that of the settings in force.
    pub fn new(now: Micros, longest_deadline: Micros, kill_policy: KillPolicy) -> ShutdownPlan {
        let mut plan =
            ShutdownPlan { signalled_at: now, kill_policy, kill_at: Micros::MAX, stage: Stage::Accepting };
        plan.shorten(longest_deadline);
        plan
    }

    /// Settings are in force with this longest deadline: the time left never grows by them.
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

    /// The earliest SIGKILL.
    pub fn kill_at(&self) -> Micros {
        self.kill_at
    }

    /// By then each request has its answer.
    pub fn answer_by(&self) -> Micros {
        self.exit_by() - FINAL_MESSAGES_TIME
    }

    /// By then the process has ended.
    pub fn exit_by(&self) -> Micros {
        self.kill_at - EXIT_MARGIN
    }

    /// What is to be done now, if anything; to be asked until it gives none.
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
