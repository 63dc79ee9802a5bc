//! Identifiers of servers, sessions and rungs.

use std::fmt;
use std::sync::Arc;

/// Shared immutable text.
pub type Text = Arc<str>;

/// The name of a server; opaque.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Text);

impl ServerId {
    /// Returns the identifier for a server name.
    pub fn new(name: &str) -> ServerId {
        ServerId(Text::from(name))
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One request of a viewer for a session; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A rung of the ladder of rates, counted from the lowest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rung(pub usize);
