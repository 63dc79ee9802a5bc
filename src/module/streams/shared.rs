//! A stream that several viewers share.

use std::collections::{BTreeMap, BTreeSet};

use super::{StreamFigures, StreamRank, Viewer, Worth};
use crate::api::SessionId;

/// The viewers of one stream and the sums of their figures.
#[derive(Debug, Default)]
pub(crate) struct SharedStream {
    active: BTreeSet<SessionId>,
    /// The number of viewers that no longer count, as their final answer was sent.
    inactive: usize,
    /// The number of active viewers whose rung may not change now.
    unchangeable: usize,
    worth: f64,
    /// The number of active viewers by their lowest and by their highest rung.
    min_rungs: BTreeMap<usize, usize>,
    max_rungs: BTreeMap<usize, usize>,
}

impl SharedStream {
    /// Adds a viewer.
    pub(super) fn add(&mut self, viewer: &Viewer) {
        if !viewer.is_active {
            self.inactive += 1;
            return;
        }
        self.active.insert(viewer.id);
        self.unchangeable += usize::from(!viewer.may_change);
        self.worth += viewer.worth.0;
        *self.min_rungs.entry(viewer.min_rung).or_default() += 1;
        *self.max_rungs.entry(viewer.max_rung).or_default() += 1;
    }

    /// Removes a viewer that was added with the same figures.
    pub(super) fn remove(&mut self, viewer: &Viewer) {
        if !viewer.is_active {
            self.inactive = self.inactive.saturating_sub(1);
            return;
        }
        if !self.active.remove(&viewer.id) {
            return;
        }
        self.unchangeable -= usize::from(!viewer.may_change);
        // Without a viewer nothing is left of rounding errors.
        self.worth = if self.active.is_empty() { 0.0 } else { self.worth - viewer.worth.0 };
        remove_one(&mut self.min_rungs, viewer.min_rung);
        remove_one(&mut self.max_rungs, viewer.max_rung);
    }

    /// Whether it has no viewer.
    pub(super) fn is_empty(&self) -> bool {
        self.viewers() == 0
    }

    /// The number of its viewers, active or not.
    pub(crate) fn viewers(&self) -> usize {
        self.active.len() + self.inactive
    }

    /// Its active viewers, in ascending order.
    pub(crate) fn active(&self) -> &BTreeSet<SessionId> {
        &self.active
    }

    /// The number of its active viewers whose rung may not change now.
    pub(crate) fn unchangeable(&self) -> usize {
        self.unchangeable
    }

    /// Returns its figures and its rank among the streams of the same figures, if it has an active viewer.
    pub(crate) fn group_entry(&self, class: usize, rung: usize) -> Option<(StreamFigures, StreamRank)> {
        let first = *self.active.first()?;
        let figures = StreamFigures {
            class,
            rung,
            min_rung: *self.min_rungs.last_key_value()?.0,
            max_rung: *self.max_rungs.first_key_value()?.0,
            viewers: self.active.len(),
            may_change: self.unchangeable == 0,
        };
        Some((figures, (Worth(self.worth), first)))
    }
}

/// Removes one from a count, and the count when it is zero.
fn remove_one(counts: &mut BTreeMap<usize, usize>, key: usize) {
    let Some(count) = counts.get_mut(&key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(&key);
    }
}
