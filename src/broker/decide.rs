//! The decision module as the core sees it.

use crate::api::{Action, Event, Micros, ServerId};
use crate::brain::Brain;

/// What made the module decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trigger {
    /// A timer that it asked for.
    Timer,
    /// Anything that happened.
    Event,
}

impl Trigger {
    /// What an event is.
    pub(super) fn of(event: &Event) -> Trigger {
        if matches!(event, Event::Timer(_)) { Trigger::Timer } else { Trigger::Event }
    }
}

/// What decides: the module, or in tests one that errs.
pub trait DecisionModule {
    /// Takes one event in and appends what is to be done, in order.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);

    /// Servers, sessions or titles that are remembered, whichever are the most.
    fn tracked_entries(&self) -> usize {
        0
    }

    /// Whether a server is given nothing for now, for other reasons than the list's.
    fn distrusts(&self, _now: Micros, _server: &ServerId) -> bool {
        false
    }
}

impl DecisionModule for Brain {
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }

    fn tracked_entries(&self) -> usize {
        self.size()
    }

    fn distrusts(&self, now: Micros, server: &ServerId) -> bool {
        Brain::distrusts(self, now, server)
    }
}

/// Makes a module from a seed: one at the start, and one more after each that panicked.
pub type ModuleFactory = Box<dyn FnMut(u64) -> Box<dyn DecisionModule>>;
