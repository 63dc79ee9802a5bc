//! The timer queue of the broker.

use std::collections::{BTreeMap, BTreeSet};

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

impl Alarm {
    /// The session that the alarm belongs to, if any.
    fn session(&self) -> Option<SessionId> {
        match self {
            Alarm::ModuleTimer(_) => None,
            Alarm::AttemptDeadline(id, _) | Alarm::DeadlineBackstop(id) => Some(*id),
        }
    }
}

/// The pending alarms, ordered by time. An alarm of a session stays until it is due or the session is removed.
#[derive(Debug, Default)]
pub(super) struct Alarms {
    queue: BTreeSet<(Micros, Alarm)>,
    /// The pending alarms of each session.
    by_session: BTreeMap<SessionId, BTreeSet<(Micros, Alarm)>>,
}

impl Alarms {
    /// Adds an alarm that is due at `at`.
    pub fn schedule(&mut self, at: Micros, alarm: Alarm) {
        if let Some(id) = alarm.session() {
            self.by_session.entry(id).or_default().insert((at, alarm.clone()));
        }
        self.queue.insert((at, alarm));
    }

    /// Removes all alarms of a session.
    pub fn cancel_session(&mut self, id: SessionId) {
        for entry in self.by_session.remove(&id).unwrap_or_default() {
            self.queue.remove(&entry);
        }
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
        let entry = self.queue.pop_first()?;
        if let Some(id) = entry.1.session() {
            self.forget_of_session(id, &entry);
        }
        Some(entry.1)
    }

    fn forget_of_session(&mut self, id: SessionId, entry: &(Micros, Alarm)) {
        let Some(entries) = self.by_session.get_mut(&id) else { return };
        entries.remove(entry);
        if entries.is_empty() {
            self.by_session.remove(&id);
        }
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
