//! Classes of sessions and tenants: deadlines, worth, and what a repeated set-up does.

use super::{Micros, Rung};

/// What a repeated set-up of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing bad: it may be sent again and refused freely.
    Safe,
    /// Harmless within a group of servers and for some time.
    Keyed {
        /// The servers that recognise a repeat.
        scope: KeyScope,
        /// For how long they do.
        window: Micros,
    },
    /// It must not happen twice.
    Unsafe,
}

/// The servers that recognise the repeat of a keyed set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of the first server's zone.
    Zone,
    /// Those of the first server's cell.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A set-up is wanted within this.
    pub slo: Micros,
    /// The viewer gives a try up after this.
    pub deadline: Micros,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Its titles are live, so that viewers share a stream.
    pub live: bool,
    /// Its rates over those of the ladder.
    pub scale: f64,
    /// Lowest rung that may be set.
    pub floor: Rung,
    /// Highest rung.
    pub top: Rung,
    /// Sessions of one title that a front may hold; none: no cap.
    pub seats: Option<u32>,
}

impl Class {
    /// A class of worth 1 with no terms, recorded titles and every rung.
    pub fn new(slo: Micros, deadline: Micros, idempotency: Idempotency) -> Class {
        Class {
            slo,
            deadline,
            idempotency,
            worth: 1.0,
            live: false,
            scale: 1.0,
            floor: Rung(0),
            top: Rung(usize::MAX),
            seats: None,
        }
    }
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all fronts that count as within its share; none: no limit.
    pub quota_per_s: Option<f64>,
}
