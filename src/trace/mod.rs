//! Request tracing: typed events, written as log lines by a broker and parsed back by tools that read the logs of
//! a fleet. Writer and parser share one definition, so that they can't diverge. Off by default.

mod budget;
mod events;
mod known;
mod record;
mod tracer;

pub use events::Event;
pub use record::Record;
pub use tracer::Tracer;

#[cfg(test)]
mod tests;
