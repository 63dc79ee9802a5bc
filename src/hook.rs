//! An operator's script beside the broker. It may refuse a request or lower its top rung, and it hears of outcomes. It
//! never picks servers and never sends again. It runs on a thread of its own, within limits on the time and the memory
//! of each call, so that a script that loops or eats memory costs no request its answer.

mod captures;
mod checked_text;
mod limits;
mod queue;
mod script;

use std::fmt;

pub use limits::CallLimits;
pub use queue::{Admission, HookQueue, HookStats, WaitingRequest};
pub use script::Script;

use crate::api::{Micros, Rung, SessionId, Text};

/// What a script says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may go on, up to this rung.
    Pass(Rung),
    /// The request is refused, with this delay before the client's next try.
    Refuse(Micros),
}

/// The reason why a script can't be used, or is no longer used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HookError(pub String);

impl fmt::Display for HookError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for HookError {}

/// What a script is told of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// The name of the class.
    pub class: String,
    /// The name of the tenant.
    pub tenant: String,
    /// The title that the viewer wants to watch.
    pub title: Text,
    /// The viewer.
    pub viewer: Text,
    /// The highest rung that the viewer can use.
    pub top: Rung,
    /// Whether the viewer has asked before.
    pub is_returning: bool,
}

/// One call of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks about a request.
    Request(RequestFacts),
    /// Tells how a request or a session came out.
    Outcome(SessionId, &'static str),
}

/// Identifies a call, counted from the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallNumber(pub u64);

/// The reply to a call: a decision if the call asked about a request.
pub type Reply = Result<Option<Decision>, HookError>;
