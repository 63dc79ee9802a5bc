//! The identity of processes, each by its name and incarnation, and times of the boot clock of their machines.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::api::Micros;

/// A time of the boot clock, in microseconds: the clock starts with the machine and also runs while that sleeps.
/// Times of two machines can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootTime(pub u64);

impl BootTime {
    /// Returns the time that is a span later.
    pub fn after(self, span: Micros) -> BootTime {
        BootTime(self.0.saturating_add(span.0))
    }

    /// Returns the span since an earlier time; zero if that is later.
    pub fn since(self, earlier: BootTime) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// The name of a process, as its configuration file gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(pub String);

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One run of a process: the Unix time of its start in microseconds, so that a later run has a greater number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A process in one of its runs. A lease belongs to this, not to the name alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The name of the process.
    pub name: Name,
    /// The run.
    pub incarnation: Incarnation,
}
