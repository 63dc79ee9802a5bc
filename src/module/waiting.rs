//! The queue of held sessions, indexed by title and by what determines where a session may go. Bookkeeping
//! only, no decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::api::{SessionId, Text};

/// What determines, together with the state of servers, whether a held session can find one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Constraints {
    /// The index of its class.
    pub(crate) class: usize,
    /// The first cell that holds its title.
    pub(crate) home: u32,
    /// The number of consecutive cells that hold it.
    pub(crate) copies: u32,
    /// Its lowest rung.
    pub(crate) min_rung: usize,
    /// Whether it was sent before.
    pub(crate) is_retry: bool,
    /// The server where an attempt may have run; the session must stay in the group that recognises a repeat.
    pub(crate) possible_run_server: Option<usize>,
    /// Whether the time is over in which that group recognises a repeat.
    pub(crate) is_key_window_over: bool,
}

/// The best that held sessions with the same constraints can find.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Availability {
    /// Whether any server accepts sessions that have waited long enough.
    pub(crate) has_server: bool,
    /// Whether any server may have room for sessions that were never sent.
    pub(crate) has_room: bool,
}

/// What was found for each set of constraints; valid until a session is sent.
pub(crate) type AvailabilityByConstraints = BTreeMap<Constraints, Availability>;

/// A position in the queue; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition(i64);

#[derive(Debug)]
struct Entry {
    position: QueuePosition,
    title: Text,
    constraints: Constraints,
}

/// Held sessions: those that were sent before, the latest first, then the others in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct HeldQueue {
    queue: BTreeMap<QueuePosition, SessionId>,
    entries: BTreeMap<SessionId, Entry>,
    titles: BTreeMap<Text, BTreeSet<QueuePosition>>,
    /// The first session of each title, unless the title is blocked.
    first_by_constraints: BTreeMap<Constraints, BTreeSet<QueuePosition>>,
    /// Classes and titles without a free seat.
    blocked: BTreeSet<(usize, Text)>,
}

impl HeldQueue {
    /// Adds a session behind all others.
    pub(crate) fn push_back(&mut self, id: SessionId, title: Text, constraints: Constraints) {
        let position = self.queue.last_key_value().map_or(0, |(last, _)| last.0 + 1);
        self.insert(id, Entry { position: QueuePosition(position), title, constraints });
    }

    /// Adds a session before all others.
    pub(crate) fn push_front(&mut self, id: SessionId, title: Text, constraints: Constraints) {
        let position = self.queue.first_key_value().map_or(0, |(first, _)| first.0 - 1);
        self.insert(id, Entry { position: QueuePosition(position), title, constraints });
    }

    fn insert(&mut self, id: SessionId, entry: Entry) {
        self.remove(id);
        let title = entry.title.clone();
        self.unindex_first(&title);
        self.queue.insert(entry.position, id);
        self.titles.entry(title.clone()).or_default().insert(entry.position);
        self.entries.insert(id, entry);
        self.index_first(&title);
    }

    /// Removes a session, if it is held.
    pub(crate) fn remove(&mut self, id: SessionId) {
        let Some(title) = self.entries.get(&id).map(|entry| entry.title.clone()) else { return };
        self.unindex_first(&title);
        if let Some(entry) = self.entries.remove(&id) {
            self.queue.remove(&entry.position);
            remove_from(&mut self.titles, &title, entry.position);
        }
        self.index_first(&title);
    }

    /// Updates the constraints of a session.
    pub(crate) fn update_constraints(&mut self, id: SessionId, constraints: Constraints) {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.constraints != constraints) else {
            return;
        };
        let title = entry.title.clone();
        self.unindex_first(&title);
        self.entries.entry(id).and_modify(|entry| entry.constraints = constraints);
        self.index_first(&title);
    }

    /// Sets whether sessions of a class and title lack a free seat.
    pub(crate) fn set_blocked(&mut self, class: usize, title: &Text, blocked: bool) {
        if self.blocked.contains(&(class, title.clone())) == blocked {
            return;
        }
        self.unindex_first(title);
        if blocked {
            self.blocked.insert((class, title.clone()));
        } else {
            self.blocked.remove(&(class, title.clone()));
        }
        self.index_first(title);
    }

    /// Returns the first held session of a title.
    fn first_of_title(&self, title: &Text) -> Option<&Entry> {
        let position = self.first_position(title)?;
        self.entries.get(self.queue.get(&position)?)
    }

    /// Adds the first session of a title to the index by constraints, unless the title is blocked.
    fn index_first(&mut self, title: &Text) {
        let Some((position, constraints)) =
            self.first_of_title(title).map(|first| (first.position, first.constraints))
        else {
            return;
        };
        if !self.blocked.contains(&(constraints.class, title.clone())) {
            self.first_by_constraints.entry(constraints).or_default().insert(position);
        }
    }

    /// Removes the first session of a title from the index by constraints.
    fn unindex_first(&mut self, title: &Text) {
        if let Some((position, constraints)) =
            self.first_of_title(title).map(|first| (first.position, first.constraints))
        {
            remove_from(&mut self.first_by_constraints, &constraints, position);
        }
    }

    /// Whether a session is held.
    pub(crate) fn contains(&self, id: SessionId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns the number of held sessions.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the held sessions in order.
    pub(crate) fn ids(&self) -> Vec<SessionId> {
        self.queue.values().copied().collect()
    }

    /// Returns the held sessions of a title in order.
    pub(crate) fn of_title(&self, title: &Text) -> Vec<SessionId> {
        let positions = self.titles.get(title).into_iter().flatten();
        positions.filter_map(|position| self.queue.get(position).copied()).collect()
    }

    /// Returns the position of the first held session of a title.
    pub(crate) fn first_position(&self, title: &Text) -> Option<QueuePosition> {
        self.titles.get(title)?.first().copied()
    }

    /// Returns the constraints of the titles' first sessions, each once.
    pub(crate) fn first_constraints(&self) -> impl Iterator<Item = &Constraints> {
        self.first_by_constraints.keys()
    }

    /// Returns the next first session of a title with these constraints, after a position.
    pub(crate) fn next_first(
        &self,
        constraints: &Constraints,
        after: Option<QueuePosition>,
    ) -> Option<(QueuePosition, SessionId)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let position = *self.first_by_constraints.get(constraints)?.range((from, Bound::Unbounded)).next()?;
        Some((position, *self.queue.get(&position)?))
    }
}

/// Removes a position from a set, and the set itself when it is empty.
fn remove_from<K: Ord>(sets: &mut BTreeMap<K, BTreeSet<QueuePosition>>, key: &K, position: QueuePosition) {
    if let Some(set) = sets.get_mut(key) {
        set.remove(&position);
        if set.is_empty() {
            sets.remove(key);
        }
    }
}
