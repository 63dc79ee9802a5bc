//! What staff do with a running broker: the calls of the second address, and the phases of its service. No socket,
//! no clock.

pub mod console;
pub mod figures;
pub mod handover;
pub mod phase;
pub mod planned_end;
pub mod settings;
