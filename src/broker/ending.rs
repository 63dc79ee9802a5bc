//! Shutdown of the process: a common deadline for all answers, and the last answers.

use super::alarms::Alarm;
use super::requests::BACKSTOP_DELAY;
use super::{Broker, Effect};
use crate::api::{Event, Micros};

impl Broker {
    /// Sets the time by which every request must be answered, even if its own deadline is later.
    pub(super) fn set_shutdown_deadline(&mut self, at: Micros) {
        self.replayed_state.shutdown_deadline = Some(at);
        for id in self.sessions.unanswered_ids() {
            let Some(session) = self.sessions.get_mut(id) else { continue };
            session.request.due = session.request.due.min(at);
            let due = session.request.due;
            self.alarms.schedule(due + BACKSTOP_DELAY, Alarm::DeadlineBackstop(id));
            if let Some(number) = self.sessions.shorten_attempt(id, due) {
                self.alarms.schedule(due, Alarm::AttemptDeadline(id, number));
            }
        }
        self.events.push_back(Event::ShutdownDeadline(at));
    }

    /// Answers all unanswered requests: refuses those whose clients may safely retry, and fails the others.
    pub(super) fn answer_unanswered(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for id in self.sessions.unanswered_ids() {
            self.refuse(now, id, Micros(0), out);
            self.events.push_back(Event::ViewerLeft(id));
        }
    }
}
