//! Operation of a running broker: the operator console, metrics, drains, reloads, the hand-over to another process
//! and shutdown. The state machines here own no socket and read no clock; the driver passes in bytes and times.

pub mod console;
pub mod figures;
pub mod handover;
pub mod missing_key;
pub mod phase;
pub mod planned_end;
pub mod settings;
