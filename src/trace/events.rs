//! The trace events: their names and fields in the log, and how they are written and parsed.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// Looks up the text of a field in a line.
pub(super) type Get<'a> = &'a dyn Fn(&str) -> Option<Cow<'a, str>>;

/// Declares the event type with the writer and the parser of its log lines from one table of names and fields.
macro_rules! events {
    ($($(#[$doc:meta])* $name:literal $Event:ident { $($(#[$about:meta])* $field:ident : $of:ty,)* })*) => {
        /// An event of a request, a connection or a server.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(tag = "event")]
        pub enum Event {
            $($(#[$doc])* #[serde(rename = $name)] $Event { $($(#[$about])* $field: $of,)* },)*
        }

        impl Event {
            /// Writes the event to the log. `at_us` is the broker's Unix time in microseconds.
            pub fn write(&self, at_us: u64) {
                match self {
                    $(Event::$Event { $($field,)* } => {
                        tracing::info!(event = $name, at_us, $($field = $field,)*);
                    })*
                }
            }

            /// Returns the name of the event in the log.
            pub fn name(&self) -> &'static str {
                match self { $(Event::$Event { .. } => $name,)* }
            }

            /// The names of all events.
            pub const NAMES: &'static [&'static str] = &[$($name,)*];

            /// Parses an event from the fields of a text line; `None` if a field is missing or malformed.
            pub(super) fn from_fields(name: &str, get: Get) -> Option<Event> {
                match name {
                    $($name => Some(Event::$Event { $($field: get(stringify!($field))?.parse().ok()?,)* }),)*
                    _ => None,
                }
            }
        }
    };
}

events! {
    /// A client requests a session.
    "session.asked" Asked {
        /// The session's identifier, 16 hex digits.
        id: String,
        /// The class of the request.
        class: String,
        /// The tenant of the request.
        tenant: String,
        /// The requested title.
        title: String,
        /// The time for which the client waits, in ms.
        left_ms: u64,
        /// Whether the client has requested this session before.
        again: bool,
    }
    /// A client names a session that already plays; this broker holds it from now on.
    "session.opened" Opened {
        /// The session.
        id: String,
        /// The title that plays.
        title: String,
        /// The server on which it plays.
        server: String,
    }
    /// A set-up is sent to a server.
    "session.sent" Sent {
        /// The session.
        id: String,
        /// The number of the attempt, from 0.
        attempt: u64,
        /// The server.
        server: String,
        /// The server's zone.
        zone: u64,
        /// The requested rung, from 0.
        rung: u64,
        /// The highest rung that the client can use and its class allows.
        top: u64,
        /// The time since the request, in ms.
        held_ms: u64,
        /// The age of the last message from that server, in ms; -1 if there was none.
        heard_ms: i64,
        /// The time since the server started, in ms; -1 if that is long ago.
        up_ms: i64,
    }
    /// An attempt ended without a session.
    "session.turned" Turned {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// The outcome: `full`, `error`, `late`, `refused`, `reset`, `cancelled` or `moot`.
        how: String,
        /// The time since the set-up was sent, in ms.
        took_ms: u64,
    }
    /// The end of a withdrawn attempt was written, or its connection has ended: the next attempt may begin.
    "session.withdrawn" Withdrawn {
        /// The session.
        id: String,
        /// The server.
        server: String,
    }
    /// Final answer: the session plays.
    "session.plays" Plays {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// The number of attempts.
        attempts: u64,
        /// The time since the request, in ms.
        took_ms: u64,
    }
    /// Final answer: the request was refused.
    "session.refused" Refused {
        /// The session.
        id: String,
        /// The outcome of the last attempt; `unsent` if there was none.
        reason: String,
        /// The number of attempts.
        attempts: u64,
        /// The time since the request, in ms.
        took_ms: u64,
        /// The time after which the client may retry, in ms.
        wait_ms: u64,
    }
    /// Final answer: the request failed.
    "session.failed" Failed {
        /// The session.
        id: String,
        /// The outcome of the last attempt; `unsent` if there was none.
        reason: String,
        /// The number of attempts.
        attempts: u64,
        /// The time since the request, in ms.
        took_ms: u64,
    }
    /// The answer that a session plays was queued on the client's connection.
    "reply.queued" ReplyQueued {
        /// The session.
        id: String,
        /// The connection's number, as in the log lines of connection ends.
        conn: u64,
    }
    /// The answer that a session plays was completely written.
    "reply.written" ReplyWritten {
        /// The session.
        id: String,
        /// The connection's number.
        conn: u64,
    }
    /// A final answer was dropped, as the client's connection is gone.
    "reply.dropped" ReplyDropped {
        /// The session.
        id: String,
    }
    /// The rung of a playing session changed.
    "session.rung" Rung {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// The previous rung.
        from: u64,
        /// The current rung.
        rung: u64,
    }
    /// A release is sent to a server: for an established session, or for one that was set up after its attempt was
    /// withdrawn.
    "session.released" Released {
        /// The session.
        id: String,
        /// The server.
        server: String,
    }
    /// An established session has ended.
    "session.over" Over {
        /// The session.
        id: String,
        /// The outcome: `completed`, `reset`, `cancelled`, `left` or `moved`.
        how: String,
    }
    /// A connection to a server is opened.
    "link.dial" Dial {
        /// The server.
        server: String,
        /// The reason: `set-up`, `notes` (for sessions that play there) or `check` (whether the server is lost).
        why: String,
    }
    /// A server reports its load.
    "box.told" Told {
        /// The server.
        server: String,
        /// The measure: `link`, `uplink` or `delivered`.
        what: String,
        /// The value, in thousandths.
        mille: u64,
    }
    /// Lines were left out because the budget was exhausted.
    "trace.dropped" Dropped {
        /// The number of lines left out of traced sessions.
        lines: u64,
        /// The number of sessions that were not traced.
        sessions: u64,
    }
}
