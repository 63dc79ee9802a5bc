//! The interface of the decision module: settings, events and actions. They are plain types without policy
//! and without names from the wire.

mod actions;
mod class;
mod events;
mod ids;
mod outcome;
mod request;
mod servers;
mod settings;
mod time;
mod title_stats;

pub use actions::Action;
pub use class::{Class, Idempotency, KeyScope, Tenant};
pub use events::Event;
pub use ids::{Rung, ServerId, SessionId, Text};
pub use outcome::{Load, Note, Status};
pub use request::Request;
pub use servers::{ListKind, ServerEntry, ServerState};
pub use settings::{Discovery, RetryBudget, Settings};
pub use time::Micros;
pub use title_stats::TitleStats;
