//! The state that the tracer keeps of sessions and servers, and its representation in events.

use crate::api::{Micros, ServerId, SessionId, Status};

/// The state of a traced session.
#[derive(Debug)]
pub(super) struct TracedSession {
    pub(super) received_at: Micros,
    pub(super) top: u64,
    pub(super) rung: u64,
    pub(super) attempts: u64,
    /// The server of the current attempt and when its set-up was sent.
    pub(super) attempt: Option<(ServerId, Micros)>,
    /// The outcome of the last attempt.
    pub(super) last_status: &'static str,
    /// The server on which the session plays.
    pub(super) server: Option<ServerId>,
}

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownServer {
    pub(super) last_heard: Option<Micros>,
    pub(super) up_since: Option<Micros>,
    pub(super) zone: u32,
}

impl TracedSession {
    /// Creates the state of a request that was received now.
    pub(super) fn new(now: Micros, top: u64) -> TracedSession {
        TracedSession {
            received_at: now,
            top,
            rung: 0,
            attempts: 0,
            attempt: None,
            last_status: "unsent",
            server: None,
        }
    }

    /// Returns the outcome of the last attempt for the final answer.
    pub(super) fn reason(&self) -> String {
        if self.attempt.is_some() { "given-up".to_owned() } else { self.last_status.to_owned() }
    }
}

/// Returns a time span in whole milliseconds.
pub(super) fn whole_ms(span: Micros) -> u64 {
    span.0 / 1000
}

/// Returns the name of the outcome of an attempt or a session.
pub(super) fn status_name(status: Status) -> &'static str {
    match status {
        Status::Completed => "completed",
        Status::Errored => "error",
        Status::Saturated => "full",
        Status::TimedOut => "late",
        Status::ConnectFailed => "refused",
        Status::Reset => "reset",
        Status::Cancelled => "cancelled",
        Status::Moot => "moot",
    }
}

/// Returns a session's identifier as it is written on the wire.
pub(super) fn id_text(id: SessionId) -> String {
    format!("{:016x}", id.0)
}
