//! Classes of sessions and tenants: deadlines, worth, and whether a set-up may be repeated.

use super::{Micros, Rung};

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats have no effect: a set-up may be sent again, and it may be refused at any time.
    Safe,
    /// Repeats have no effect within a group of servers and a limited time, by an idempotency key.
    Keyed {
        /// The servers that recognise a repeat.
        scope: KeyScope,
        /// How long they recognise it.
        window: Micros,
    },
    /// A set-up must not run twice.
    Unsafe,
}

/// The servers that recognise the repeat of a keyed set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers in the zone of the first server.
    Zone,
    /// The servers in the cell of the first server.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The objective for the time of a set-up.
    pub slo: Micros,
    /// How long the viewer waits for an answer to a request.
    pub deadline: Micros,
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// The worth of one second at a rung of worth 1.
    pub worth: f64,
    /// Whether its titles are live, so that viewers share a stream.
    pub live: bool,
    /// The factor of its rates to those of the ladder.
    pub scale: f64,
    /// The lowest rung that may be set.
    pub floor: Rung,
    /// The highest rung.
    pub top: Rung,
    /// The number of sessions of one title that a broker may run; `None` sets no limit.
    pub seats: Option<u32>,
}

impl Class {
    /// Returns a class of worth 1 with recorded titles, every rung, and no limit on seats.
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

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all brokers, that count as within its quota; `None` sets no limit.
    pub quota_per_s: Option<f64>,
}
