//! The decision module: it takes plain events and returns plain actions, and does no I/O. [`brain`] has a
//! file for each kind of decision; the other files keep its state.

pub mod api;
pub mod brain;
mod deadlines;
mod gauge;
mod lateness;
mod placements;
mod recent_times;
mod seats;
mod state;
mod streams;
mod titles;
mod uplinks;
mod waiting;
