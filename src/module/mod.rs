//! The decision module: plain events in, plain actions out. All policy is in [`brain`].

pub mod api;
pub mod brain;
mod state;
