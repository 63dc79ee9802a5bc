//! Many brokers in one process on a virtual clock, before modelled media boxes: what a fleet does to its servers can
//! be counted in seconds, the same from each seed, and each rule is checked by a checker that knows no broker.
//!
//! [`deployment`] says what operators' settings say, [`plan`] says what is played, [`boxes`] models servers, links and racks, [`queue`] is the clock, [`rules`] checks,
//! [`tally`] counts, [`world`] carries bytes between brokers, boxes and viewers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod boxes;
pub mod deployment;
pub mod plan;
pub mod queue;
pub mod rules;
pub mod tally;
pub mod viewers;
pub mod world;
