//! The plan of a process that was told to end: by when it has answered what it took, let its connections go and ended by
//! itself, so that the SIGKILL that may follow SIGTERM finds nothing. All times follow from the settings and from the
//! operators' pages; nothing here waits for work to be done.

use crate::api::Micros;
use crate::mutant::{self, Mutant};

/// Connections and requests keep coming for so long after SIGTERM (protocol page, planned restarts).
const STILL_COMING: Micros = Micros(700_000);
/// SIGKILL comes no sooner than this and the longest deadline after SIGTERM (the same page).
const KILL_DELAY: Micros = Micros(700_000);
/// The longest deadline counts as so much at most (the same page).
const LONGEST_COUNTED: Micros = Micros(3_000_000);
/// The same where another process serves in this one's place (operators' page on operating days).
const LONGEST_COUNTED_WITH_HEIR: Micros = Micros(5_000_000);
/// A broker without the platform's front is killed by whatever manages processes there, by custom after so long.
const GRACE_ELSEWHERE: Micros = Micros(30_000_000);
/// Kept free before the earliest SIGKILL for a process that runs late: twice the pages' slack on sockets.
const LATE_SPARE: Micros = Micros(100_000);
/// Peers have so long to hear the last words and to close their connections too.
const LAST_WORDS: Micros = Micros(300_000);
/// Last words that were queued in one turn are written in the next ones.
const WRITTEN_WITHIN: Micros = Micros(50_000);

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
    pub accepting: bool,
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
    StillComing,
    Answering,
    Refusing,
    Parting { since: Micros },
    Over,
}

/// The plan of one process.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    told_at: Micros,
    killer: KillPolicy,
    kill_at: Micros,
    stage: Stage,
}

impl ShutdownPlan {
    /// A process was told to end. The longest deadline is that of the settings in force.
    pub fn new(now: Micros, longest_deadline: Micros, killer: KillPolicy) -> ShutdownPlan {
        let mut end = ShutdownPlan { told_at: now, killer, kill_at: Micros::MAX, stage: Stage::StillComing };
        end.shorten(longest_deadline);
        end
    }

    /// Settings are in force with this longest deadline: the time left never grows by them.
    pub fn shorten(&mut self, longest_deadline: Micros) {
        if mutant::is_active(Mutant::LateDoors) {
            return;
        }
        let kill_after = match self.killer {
            KillPolicy::Platform { successor_serves: false } => {
                longest_deadline.min(LONGEST_COUNTED) + KILL_DELAY
            }
            KillPolicy::Platform { successor_serves: true } => {
                longest_deadline.min(LONGEST_COUNTED_WITH_HEIR) + KILL_DELAY
            }
            KillPolicy::ProcessManager => GRACE_ELSEWHERE,
        };
        self.kill_at = self.kill_at.min(self.told_at + kill_after);
    }

    /// The earliest SIGKILL.
    pub fn kill_at(&self) -> Micros {
        self.kill_at
    }

    /// By then each request has its answer.
    pub fn answer_by(&self) -> Micros {
        self.exit_by() - LAST_WORDS
    }

    /// By then the process has ended.
    pub fn exit_by(&self) -> Micros {
        self.kill_at - LATE_SPARE
    }

    /// What is to be done now, if anything; to be asked until it gives none.
    pub fn next(&mut self, now: Micros, left: RemainingWork) -> Option<Step> {
        let late = now >= self.answer_by();
        let nothing_kept =
            left.unanswered == 0 && left.playing == 0 && !left.accepting && !left.successor_serves;
        let (stage, step) = match self.stage {
            Stage::StillComing if late || now >= self.told_at + STILL_COMING => {
                (Stage::Answering, Step::LastCall)
            }
            Stage::Answering if late || nothing_kept => (Stage::Refusing, Step::CloseDoors),
            Stage::Refusing if late || left.unanswered == 0 => (Stage::Parting { since: now }, Step::Release),
            Stage::Parting { since } if self.parted(now, since, left) => (Stage::Over, Step::Exit),
            _ => return None,
        };
        self.stage = stage;
        Some(step)
    }

    fn parted(&self, now: Micros, since: Micros, left: RemainingWork) -> bool {
        let waits = left.connections > 0 || left.unheard_ends > 0;
        now >= self.exit_by() || now >= since + WRITTEN_WITHIN && !waits
    }
}

#[cfg(test)]
mod tests;
