//! The interface between the broker and its decision module.

use crate::api::{Action, Event, Micros, ServerId, TitleStats};
use crate::brain::Brain;

/// What triggered a decision of the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trigger {
    /// A timer that the module set.
    Timer,
    /// Any other event.
    Event,
}

impl Trigger {
    /// Returns the kind of trigger that an event is.
    pub(super) fn of(event: &Event) -> Trigger {
        if matches!(event, Event::Timer(_)) { Trigger::Timer } else { Trigger::Event }
    }
}

/// A decision module: [`Brain`], or a deliberately faulty one in tests.
pub trait DecisionModule {
    /// Handles one event and appends the resulting actions to `out`, in order.
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);

    /// The number of tracked servers, sessions or titles, whichever is largest.
    fn tracked_entries(&self) -> usize {
        0
    }

    /// What its table of titles holds.
    fn title_stats(&self) -> TitleStats {
        TitleStats::default()
    }

    /// Whether the module currently avoids a server for reasons other than its state in the server list.
    fn distrusts(&self, _now: Micros, _server: &ServerId) -> bool {
        false
    }
}

impl DecisionModule for Brain {
    fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }

    fn tracked_entries(&self) -> usize {
        self.tracked_entries()
    }

    fn title_stats(&self) -> TitleStats {
        self.title_stats()
    }

    fn distrusts(&self, now: Micros, server: &ServerId) -> bool {
        Brain::distrusts(self, now, server)
    }
}

/// Creates a module from a seed, once at the start and again after each panic of a module.
pub type ModuleFactory = Box<dyn FnMut(u64) -> Box<dyn DecisionModule>>;
