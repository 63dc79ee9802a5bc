//! How attempts end, and what servers report of their load and of sessions.

use super::Rung;
use crate::mutant::{self, Mutant};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served to its end.
    Completed,
    /// The server answered with an error.
    Errored,
    /// Turned away unseen.
    Saturated,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled, moved, or left by its viewer.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Status {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Saturated | Status::ConnectFailed | Status::Moot)
            || (self == Status::Reset && mutant::is_active(Mutant::ResetNeverRan))
    }
}

/// A server's load report; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams that it runs or sets up.
    pub inflight: Option<f64>,
    /// Set-ups waiting.
    pub queue: Option<f64>,
    /// Share of its link that is asked, 1 at most.
    pub util: Option<f64>,
    /// Recent time of a set-up, milliseconds.
    pub latency_ms: Option<f64>,
    /// Set-ups a second.
    pub rate: Option<f64>,
    /// Failed set-ups a second.
    pub fail_rate: Option<f64>,
    /// What is asked of its link over what that gives.
    pub link: Option<f64>,
    /// The same for the uplink of its rack.
    pub uplink: Option<f64>,
}

/// What a note on a playing session tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the rates delivered at that server, smoothed and late.
    Delivered(f64),
    /// The rung in force.
    Rung(Rung),
    /// What is asked of the server's link over what that gives.
    Link(f64),
    /// The same for the uplink of its rack.
    Uplink(f64),
}
