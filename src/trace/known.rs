//! What is remembered of sessions and servers, and the words for it.

use crate::api::{Micros, ServerId, SessionId, Status};

/// What is known of a session that is told.
#[derive(Debug)]
pub(super) struct TracedSession {
    pub(super) received_at: Micros,
    pub(super) top: u64,
    pub(super) rung: u64,
    pub(super) attempts: u64,
    /// Where the attempt that is out went, and when.
    pub(super) attempt: Option<(ServerId, Micros)>,
    /// How the last attempt ended.
    pub(super) last_status: &'static str,
    /// Where it plays.
    pub(super) server: Option<ServerId>,
}

/// What is known of a listed server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownServer {
    pub(super) last_heard: Option<Micros>,
    pub(super) up_since: Option<Micros>,
    pub(super) zone: u32,
}

impl TracedSession {
    /// A request that has just come.
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

    /// How its last attempt ended.
    pub(super) fn reason(&self) -> String {
        if self.attempt.is_some() { "given-up".to_owned() } else { self.last_status.to_owned() }
    }
}

/// Whole milliseconds.
pub(super) fn whole_ms(span: Micros) -> u64 {
    span.0 / 1000
}

/// The word for how an attempt or a session ended.
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

/// A session's id as on the wire.
pub(super) fn id_text(id: SessionId) -> String {
    format!("{:016x}", id.0)
}
