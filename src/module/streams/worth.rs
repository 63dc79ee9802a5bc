//! The worth of a stream as a key of ordered collections.

use std::cmp::Ordering;

/// A worth, totally ordered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Worth(pub(crate) f64);

impl Ord for Worth {
    fn cmp(&self, other: &Worth) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Worth {
    fn partial_cmp(&self, other: &Worth) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Worth {
    fn eq(&self, other: &Worth) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Worth {}
