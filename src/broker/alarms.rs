//! The timer queue of the broker.

use std::collections::BTreeSet;

use crate::api::{Micros, SessionId};

/// What is to be done when a timer expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Alarm {
    /// A timer of the decision module, with its token.
    ModuleTimer(u64),
    /// The deadline of an attempt, with the number of the attempt.
    AttemptDeadline(SessionId, u32),
    /// An answer is overdue: the broker fails the request if the decision module has not answered it.
    DeadlineBackstop(SessionId),
}

/// The pending alarms, ordered by time. An alarm that is no longer needed stays queued until it is due.
#[derive(Debug, Default)]
pub(super) struct Alarms {
    queue: BTreeSet<(Micros, Alarm)>,
}

impl Alarms {
    /// Adds an alarm that is due at `at`.
    pub fn schedule(&mut self, at: Micros, alarm: Alarm) {
        self.queue.insert((at, alarm));
    }

    /// The time of the next alarm.
    pub fn next(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first alarm that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Alarm> {
        if self.next()? > now {
            return None;
        }
        self.queue.pop_first().map(|(_, alarm)| alarm)
    }

    /// Removes all timers of the decision module.
    pub fn drop_module_timers(&mut self) {
        self.queue.retain(|(_, alarm)| !matches!(alarm, Alarm::ModuleTimer(_)));
    }

    /// The number of pending alarms.
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
