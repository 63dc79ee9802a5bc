//! The core of a process that was told to end.

use super::alarms::Alarm;
use super::requests::BACKSTOP_DELAY;
use super::{Broker, Effect};
use crate::api::{Event, Micros};

impl Broker {
    /// Each request must have its answer by then, whatever time its client would give it.
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

    /// Answers all that is still owed an answer: refused where coming again does no harm, else failed.
    pub(super) fn answer_unanswered(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for id in self.sessions.unanswered_ids() {
            self.refuse(now, id, Micros(0), out);
            self.events.push_back(Event::ViewerLeft(id));
        }
    }
}
