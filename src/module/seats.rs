//! Counts the sessions of each class and title that are not held; a limit on seats applies to them.

use std::collections::BTreeMap;

use super::api::Text;

/// The number of taken seats, by class and title.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    taken: BTreeMap<(usize, Text), u32>,
}

impl Seats {
    /// Takes a seat.
    pub(crate) fn take(&mut self, class: usize, title: &Text) {
        *self.taken.entry((class, title.clone())).or_default() += 1;
    }

    /// Frees a seat.
    pub(crate) fn free(&mut self, class: usize, title: &Text) {
        let key = (class, title.clone());
        let left = self.taken.get(&key).map_or(0, |taken| taken.saturating_sub(1));
        if left == 0 {
            self.taken.remove(&key);
        } else {
            self.taken.insert(key, left);
        }
    }

    /// Returns the number of taken seats.
    pub(crate) fn taken(&self, class: usize, title: &Text) -> u32 {
        self.taken.get(&(class, title.clone())).copied().unwrap_or(0)
    }

    /// Returns the classes and titles with any taken seat.
    pub(crate) fn all(&self) -> Vec<(usize, Text)> {
        self.taken.keys().cloned().collect()
    }
}
