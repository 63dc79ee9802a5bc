//! Plans steps of rungs, those with the least or the most worth per kB first. Streams of equal figures are
//! visited from one end, so that a plan costs as much as it has groups of streams and steps, however many
//! sessions there are.

use std::collections::BinaryHeap;

use super::rung_step::{Direction, Group, PlannedStream, RungChange, Step};
use super::rungs::{MIN_LEVEL, RAISE_SWITCH_COUNT};
use super::*;
use crate::module::streams::{Order, StreamFigures, StreamRank, Worth};

/// The steps that a plan may begin with.
#[derive(Debug)]
pub(super) struct RungSteps {
    direction: Direction,
    steps: BinaryHeap<Step>,
}

/// How much of a link's and the uplink's rate a broker may give up or take, by server, limit and rate of the
/// step.
pub(super) type Surplus<'a> = &'a dyn Fn(usize, f64, f64) -> [f64; 2];

impl Brain {
    /// Returns the first steps of the streams at these servers, and of the stream that a new session starts
    /// or joins.
    pub(super) fn rung_steps(
        &self,
        servers: &[usize],
        direction: Direction,
        new_session: Option<SessionId>,
    ) -> RungSteps {
        let mut steps = BinaryHeap::new();
        for (server_position, &i) in servers.iter().enumerate() {
            let groups = self.state.servers[i].streams.groups();
            for (figures, _) in groups.filter(|(figures, _)| figures.may_change) {
                steps.extend(self.group_step(i, server_position, figures, None, direction));
            }
        }
        if let Some(stream) = new_session.and_then(|id| self.stream_of_new(id)) {
            let server_position = servers.iter().position(|i| *i == stream.server).unwrap_or(0);
            let rung = stream.rung;
            steps.extend(self.step(stream, rung, server_position, None, direction));
        }
        RungSteps { direction, steps }
    }

    /// Returns the step of the stream that follows `previous` in its group, unless the group is at its bound.
    fn group_step(
        &self,
        i: usize,
        server_position: usize,
        figures: &StreamFigures,
        previous: Option<StreamRank>,
        direction: Direction,
    ) -> Option<Step> {
        let order = if direction == Direction::Up { Order::MostWorth } else { Order::LeastWorth };
        let rank = self.state.servers[i].streams.next_in_group(figures, order, previous)?;
        let stream = PlannedStream::new(i, figures, rank, true);
        let group = Group { figures: *figures, rank };
        self.step(stream, figures.rung, server_position, Some(group), direction)
    }

    /// Returns the stream that a new session starts or joins, unless other viewers of it may not change their
    /// rung.
    fn stream_of_new(&self, id: SessionId) -> Option<PlannedStream> {
        let session = self.state.sessions.get(&id)?;
        let (request, i) = (&session.request, session.server);
        if !session.shares_stream {
            let figures = StreamFigures {
                class: request.class,
                rung: session.rung,
                min_rung: session.min_rung,
                max_rung: session.max_rung,
                viewers: 1,
                may_change: true,
            };
            return Some(PlannedStream::new(i, &figures, (Worth(session.worth), id), false));
        }
        let stream = self.state.servers[i].streams.shared(request.class, session.rung, &request.title)?;
        // The new session itself is not playing yet and counts as one that may not change.
        if stream.unchangeable() > 1 {
            return None;
        }
        let (figures, rank) = stream.group_entry(request.class, session.rung)?;
        Some(PlannedStream::new(i, &figures, rank, figures.viewers > 1))
    }

    /// Returns the next step of a stream, unless it is at its bound.
    fn step(
        &self,
        stream: PlannedStream,
        rung: usize,
        server_position: usize,
        group: Option<Group>,
        direction: Direction,
    ) -> Option<Step> {
        let is_raise = direction == Direction::Up;
        if is_raise && rung >= stream.max_rung || !is_raise && rung <= stream.min_rung {
            return None;
        }
        let upper = rung + usize::from(is_raise);
        // A change pays for one switch, however many steps it has.
        let switch = match direction {
            _ if !stream.is_playing || rung != stream.rung => 0.0,
            Direction::Up => -RAISE_SWITCH_COUNT,
            Direction::Down => 1.0,
        };
        let (level, kb) = (self.level(&stream, upper, switch), self.step_kb(&stream, upper));
        let preference = if is_raise { level } else { -level };
        Some(Step { preference, level, kb, server_position, stream, rung, group })
    }

    /// Plans steps down or up, those with the least or the most worth per kB first; several make one change.
    /// `surplus` returns how much of a link and the uplink this broker may still give up or take at a limit.
    /// A larger step is made with the corresponding probability; else single-session brokers would never act.
    pub(super) fn plan_changes(
        &mut self,
        first_steps: RungSteps,
        mut hysteresis: f64,
        surplus: Surplus,
    ) -> Vec<RungChange> {
        let RungSteps { direction, mut steps } = first_steps;
        let is_raise = direction == Direction::Up;
        let (mut link_taken, mut uplink_taken) = (BTreeMap::<usize, f64>::new(), 0.0);
        let mut changes = BTreeMap::new();
        // Steps that only the hysteresis forbids.
        let mut deferred = Vec::new();
        while let Some(step) = steps.pop() {
            let surplus = |limit: f64| {
                let [link, uplink] = surplus(step.stream.server, limit, step.kb);
                let link = link - link_taken.get(&step.stream.server).unwrap_or(&0.0);
                let uplink = uplink - uplink_taken;
                if is_raise { link.min(uplink) } else { link.max(uplink) }
            };
            let limit = step.limit(direction);
            let is_playing = step.stream.is_playing;
            if is_raise && step.level <= MIN_LEVEL || surplus(limit) <= 0.0 {
                continue;
            }
            if is_playing && surplus(limit + hysteresis) <= 0.0 {
                deferred.push(step);
                continue;
            }
            let surplus = surplus(limit);
            let is_taken = !is_playing || self.rng.f64() * step.kb < surplus;
            let taken_kb = if is_taken { step.kb } else { surplus };
            *link_taken.entry(step.stream.server).or_default() += taken_kb;
            uplink_taken += taken_kb;
            if is_playing {
                hysteresis = 0.0;
                steps.extend(deferred.drain(..));
            }
            if is_taken {
                self.push_following(step, direction, &mut steps, &mut changes);
            } else {
                steps.push(step);
            }
        }
        changes.into_values().collect()
    }

    /// Records a step that is made, and adds those that may follow it: the stream's next step, and the first
    /// step of the next stream of its group.
    fn push_following(
        &self,
        step: Step,
        direction: Direction,
        steps: &mut BinaryHeap<Step>,
        changes: &mut BTreeMap<(usize, SessionId), RungChange>,
    ) {
        let target = if direction == Direction::Up { step.rung + 1 } else { step.rung - 1 };
        let (position, server_position) = (step.position(), step.server_position);
        if let Some(Group { figures, rank }) = step.group {
            let next = self.group_step(step.stream.server, server_position, &figures, Some(rank), direction);
            steps.extend(next);
        }
        steps.extend(self.step(step.stream.clone(), target, server_position, None, direction));
        changes.insert(position, RungChange { stream: step.stream, target });
    }
}
