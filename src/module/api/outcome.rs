//! How attempts end, and what servers report about their load and about sessions.

use super::Rung;
use crate::mutant::{self, Mutant};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The session was served to its end.
    Completed,
    /// The server answered with an error.
    Errored,
    /// The server rejected the set-up without starting it.
    Saturated,
    /// No answer came in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// The attempt was cancelled, the session moved, or the viewer left.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

impl Status {
    /// Whether this status proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Saturated | Status::ConnectFailed | Status::Moot)
            || (self == Status::Reset && mutant::is_active(Mutant::ResetNeverRan))
    }
}

/// A server's load report; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of streams that it runs or sets up.
    pub inflight: Option<f64>,
    /// The number of waiting set-ups.
    pub queue: Option<f64>,
    /// The utilization of its link, at most 1.
    pub util: Option<f64>,
    /// The recent time of a set-up, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Set-ups per second.
    pub rate: Option<f64>,
    /// Failed set-ups per second.
    pub fail_rate: Option<f64>,
    /// The demand on its link divided by the rate that the link delivers.
    pub link: Option<f64>,
    /// The same for the uplink of its rack.
    pub uplink: Option<f64>,
}

/// The content of a note on a playing session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The share of the requested rates that the server delivers, smoothed and delayed.
    Delivered(f64),
    /// The rung in force.
    Rung(Rung),
    /// The demand on the server's link divided by the rate that the link delivers.
    Link(f64),
    /// The same for the uplink of its rack.
    Uplink(f64),
}
