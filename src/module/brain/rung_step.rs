//! The steps of a plan and their order.

use std::cmp::Ordering;

use super::Brain;
use super::rungs::{CUT_LIMIT_FACTOR, MAX_CUT_LIMIT, TOP_RUNG_LIMIT};
use crate::api::SessionId;
use crate::module::streams::{StreamFigures, StreamRank};

/// Whether a plan cuts or raises rungs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// Rungs are cut.
    Down,
    /// Rungs are raised.
    Up,
}

/// A stream whose viewers change their rung together: one session of a recorded title, or all viewers of a
/// shared one.
#[derive(Clone, Debug)]
pub(super) struct PlannedStream {
    pub(super) server: usize,
    pub(super) class: usize,
    pub(super) viewers: usize,
    pub(super) first_viewer: SessionId,
    pub(super) worth: f64,
    pub(super) rung: usize,
    pub(super) min_rung: usize,
    pub(super) max_rung: usize,
    pub(super) is_playing: bool,
}

impl PlannedStream {
    /// Returns a stream with these figures.
    pub(super) fn new(
        server: usize,
        figures: &StreamFigures,
        rank: StreamRank,
        is_playing: bool,
    ) -> PlannedStream {
        PlannedStream {
            server,
            class: figures.class,
            viewers: figures.viewers,
            first_viewer: rank.1,
            worth: rank.0.0,
            rung: figures.rung,
            min_rung: figures.min_rung,
            max_rung: figures.max_rung,
            is_playing,
        }
    }
}

/// A stream and the rung that it gets.
#[derive(Debug)]
pub(super) struct RungChange {
    pub(super) stream: PlannedStream,
    pub(super) target: usize,
}

/// The group that a step's stream stands for: the next stream of it follows when this one has stepped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group {
    pub(super) figures: StreamFigures,
    pub(super) rank: StreamRank,
}

/// The next step of a stream.
#[derive(Debug)]
pub(super) struct Step {
    /// Steps with the highest preference are made first.
    pub(super) preference: f64,
    pub(super) level: f64,
    pub(super) kb: f64,
    /// The place of its server in the rack.
    pub(super) server_position: usize,
    pub(super) stream: PlannedStream,
    /// The rung that the stream has in the plan before this step.
    pub(super) rung: usize,
    /// Set for a group's foremost stream that has not stepped in this plan.
    pub(super) group: Option<Group>,
}

impl Step {
    /// The place of its stream among all streams of the rack.
    pub(super) fn position(&self) -> (usize, SessionId) {
        (self.server_position, self.stream.first_viewer)
    }

    /// Returns the utilization up to which a step is kept or made.
    pub(super) fn limit(&self, direction: Direction) -> f64 {
        let limit = Brain::utilization_limit(self.level);
        if direction == Direction::Up || !self.stream.is_playing {
            return limit;
        }
        (TOP_RUNG_LIMIT + CUT_LIMIT_FACTOR * (limit - TOP_RUNG_LIMIT)).min(MAX_CUT_LIMIT)
    }
}

impl Ord for Step {
    fn cmp(&self, other: &Step) -> Ordering {
        let by_preference = self.preference.total_cmp(&other.preference);
        by_preference.then_with(|| self.position().cmp(&other.position()))
    }
}

impl PartialOrd for Step {
    fn partial_cmp(&self, other: &Step) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Step {
    fn eq(&self, other: &Step) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Step {}
