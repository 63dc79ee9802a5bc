//! Processes among each other: their names and runs, and moments on the clock of each machine.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// A moment on the clock that runs since the machine started, also while it sleeps; in microseconds. Moments of
/// two machines can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootTime(pub u64);

impl BootTime {
    /// The moment a span later.
    pub fn after(self, span: Micros) -> BootTime {
        BootTime(self.0.saturating_add(span.0))
    }

    /// The span since an earlier moment; zero if that is later.
    pub fn since(self, earlier: BootTime) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// A process by the name in its file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(pub String);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One run of a process: the Unix time of its start in microseconds, so that a later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A process in one of its runs. Leases belong to this, not to a name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its name.
    pub name: Name,
    /// Which run.
    pub incarnation: Incarnation,
}
