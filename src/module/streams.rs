//! The streams of this broker at one server, in groups of equal figures, so that neither a decision on rungs nor a
//! count of viewers has to look at every session. Bookkeeping only, no decisions.

mod shared;
mod worth;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::api::{SessionId, Text};
use shared::SharedStream;
pub(crate) use worth::Worth;

/// What a session contributes to the stream that it plays.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Viewer {
    pub(crate) id: SessionId,
    pub(crate) class: usize,
    pub(crate) rung: usize,
    pub(crate) min_rung: usize,
    pub(crate) max_rung: usize,
    pub(crate) worth: Worth,
    /// The title, if all viewers of its class, title and rung at the server share one stream.
    pub(crate) shared_title: Option<Text>,
    /// Whether it still counts for its stream: its final answer was not sent while the attempt is outstanding.
    pub(crate) is_active: bool,
    /// Whether its rung may change now.
    pub(crate) may_change: bool,
}

/// The figures that the streams of a group have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StreamFigures {
    pub(crate) class: usize,
    pub(crate) rung: usize,
    pub(crate) min_rung: usize,
    pub(crate) max_rung: usize,
    /// The number of its active viewers.
    pub(crate) viewers: usize,
    /// Whether its rung may change now.
    pub(crate) may_change: bool,
}

/// The worth of a stream and its first viewer, which identifies it.
pub(crate) type StreamRank = (Worth, SessionId);

/// The order in which the streams of a group are visited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// The least worth first, and the latest viewer first among equals.
    LeastWorth,
    /// The most worth first, and the latest viewer first among equals.
    MostWorth,
}

/// All streams at one server.
#[derive(Debug, Default)]
pub(crate) struct ServerStreams {
    groups: BTreeMap<StreamFigures, BTreeSet<StreamRank>>,
    /// Streams that several viewers may share, by class, rung and title.
    shared: BTreeMap<(usize, usize, Text), SharedStream>,
}

impl ServerStreams {
    /// Adds a viewer.
    pub(crate) fn add(&mut self, viewer: &Viewer) {
        match &viewer.shared_title {
            Some(title) => {
                self.update_shared((viewer.class, viewer.rung, title.clone()), |s| s.add(viewer));
            }
            None if viewer.is_active => {
                self.groups.entry(own_figures(viewer)).or_default().insert((viewer.worth, viewer.id));
            }
            None => {}
        }
    }

    /// Removes a viewer that was added with the same figures.
    pub(crate) fn remove(&mut self, viewer: &Viewer) {
        match &viewer.shared_title {
            Some(title) => {
                self.update_shared((viewer.class, viewer.rung, title.clone()), |s| s.remove(viewer));
            }
            None if viewer.is_active => {
                remove_rank(&mut self.groups, own_figures(viewer), (viewer.worth, viewer.id));
            }
            None => {}
        }
    }

    /// Changes a shared stream and moves it to the group that its figures then belong to.
    fn update_shared(&mut self, key: (usize, usize, Text), change: impl FnOnce(&mut SharedStream)) {
        let (class, rung) = (key.0, key.1);
        let stream = self.shared.entry(key.clone()).or_default();
        let before = stream.group_entry(class, rung);
        change(stream);
        let after = stream.group_entry(class, rung);
        if stream.is_empty() {
            self.shared.remove(&key);
        }
        if before == after {
            return;
        }
        if let Some((figures, rank)) = before {
            remove_rank(&mut self.groups, figures, rank);
        }
        if let Some((figures, rank)) = after {
            self.groups.entry(figures).or_default().insert(rank);
        }
    }

    /// Returns a shared stream.
    pub(crate) fn shared(&self, class: usize, rung: usize, title: &Text) -> Option<&SharedStream> {
        self.shared.get(&(class, rung, title.clone()))
    }

    /// Returns the figures of each group of streams, with the number of its streams.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&StreamFigures, usize)> {
        self.groups.iter().map(|(figures, ranks)| (figures, ranks.len()))
    }

    /// Whether there is any stream with an active viewer.
    pub(crate) fn has_active(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Returns the stream of a group that follows `previous` in an order, or the first one.
    pub(crate) fn next_in_group(
        &self,
        figures: &StreamFigures,
        order: Order,
        previous: Option<StreamRank>,
    ) -> Option<StreamRank> {
        let ranks = self.groups.get(figures)?;
        match (order, previous) {
            (Order::MostWorth, None) => ranks.last().copied(),
            (Order::MostWorth, Some(previous)) => ranks.range(..previous).next_back().copied(),
            (Order::LeastWorth, None) => last_of_worth(ranks, ranks.first()?.0),
            (Order::LeastWorth, Some((worth, id))) => {
                let earlier = ranks.range((worth, SessionId(0))..(worth, id)).next_back().copied();
                let above = (Bound::Excluded((worth, SessionId(u64::MAX))), Bound::Unbounded);
                earlier.or_else(|| last_of_worth(ranks, ranks.range(above).next()?.0))
            }
        }
    }
}

/// Returns the figures of a stream with one viewer that shares it with no one.
fn own_figures(viewer: &Viewer) -> StreamFigures {
    StreamFigures {
        class: viewer.class,
        rung: viewer.rung,
        min_rung: viewer.min_rung,
        max_rung: viewer.max_rung,
        viewers: 1,
        may_change: viewer.may_change,
    }
}

/// Returns the latest of the streams with this worth.
fn last_of_worth(ranks: &BTreeSet<StreamRank>, worth: Worth) -> Option<StreamRank> {
    ranks.range(..=(worth, SessionId(u64::MAX))).next_back().copied()
}

fn remove_rank(
    groups: &mut BTreeMap<StreamFigures, BTreeSet<StreamRank>>,
    figures: StreamFigures,
    rank: StreamRank,
) {
    let Some(ranks) = groups.get_mut(&figures) else { return };
    ranks.remove(&rank);
    if ranks.is_empty() {
        groups.remove(&figures);
    }
}

#[cfg(test)]
mod tests;
