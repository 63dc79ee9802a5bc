//! The events: their names in the log, their fields, how they are written and how they are read.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A field that a line holds as text.
pub(super) type Get<'a> = &'a dyn Fn(&str) -> Option<Cow<'a, str>>;

/// Declares the events once: their names in the log, their fields, how they are written and how they are read.
macro_rules! events {
    ($($(#[$doc:meta])* $name:literal $Event:ident { $($(#[$about:meta])* $field:ident : $of:ty,)* })*) => {
        /// One thing that happened to a request, a connection or a server.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(tag = "event")]
        pub enum Event {
            $($(#[$doc])* #[serde(rename = $name)] $Event { $($(#[$about])* $field: $of,)* },)*
        }

        impl Event {
            /// Writes it to the log. `at_us` is the broker's time, in microseconds of the Unix clock.
            pub fn write(&self, at_us: u64) {
                match self {
                    $(Event::$Event { $($field,)* } => {
                        tracing::info!(event = $name, at_us, $($field = $field,)*);
                    })*
                }
            }

            /// Its name in the log.
            pub fn name(&self) -> &'static str {
                match self { $(Event::$Event { .. } => $name,)* }
            }

            /// The names of all events.
            pub const NAMES: &'static [&'static str] = &[$($name,)*];

            /// Reads the event of a line of text from its fields; none if one is missing or can't be read.
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
    /// A client asks for a session.
    "session.asked" Asked {
        /// The session, 16 hex digits.
        id: String,
        /// Its class.
        class: String,
        /// Its tenant.
        tenant: String,
        /// What it wants to watch.
        title: String,
        /// How long the client waits, ms.
        left_ms: u64,
        /// It is not the client's first try.
        again: bool,
    }
    /// A client names a session that plays already: it is held here from now on.
    "session.opened" Opened {
        /// The session.
        id: String,
        /// What is watched.
        title: String,
        /// Its server.
        server: String,
    }
    /// A set-up goes out to a server.
    "session.sent" Sent {
        /// The session.
        id: String,
        /// Number of the attempt, from 0.
        attempt: u64,
        /// The server.
        server: String,
        /// The server's zone.
        zone: u64,
        /// The rung, from 0.
        rung: u64,
        /// The highest rung that the client can use and its class allows.
        top: u64,
        /// Time since the request, ms.
        held_ms: u64,
        /// Age of the last word from that server, ms; -1: it was never heard.
        heard_ms: i64,
        /// Time since the server started, ms; -1: long ago.
        up_ms: i64,
    }
    /// An attempt ended without a session.
    "session.turned" Turned {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// `full`, `error`, `late`, `refused`, `reset`, `cancelled` or `moot`.
        how: String,
        /// Time since the set-up went out, ms.
        took_ms: u64,
    }
    /// The end of an attempt that was given up is written, or its connection is over: the next one may begin.
    "session.withdrawn" Withdrawn {
        /// The session.
        id: String,
        /// The server.
        server: String,
    }
    /// Final answer: it plays.
    "session.plays" Plays {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// Attempts made.
        attempts: u64,
        /// Time since the request, ms.
        took_ms: u64,
    }
    /// Final answer: refused.
    "session.refused" Refused {
        /// The session.
        id: String,
        /// How its last attempt ended; `unsent`: there was none.
        reason: String,
        /// Attempts made.
        attempts: u64,
        /// Time since the request, ms.
        took_ms: u64,
        /// Advice to stay away, ms.
        wait_ms: u64,
    }
    /// Final answer: failed.
    "session.failed" Failed {
        /// The session.
        id: String,
        /// How its last attempt ended; `unsent`: there was none.
        reason: String,
        /// Attempts made.
        attempts: u64,
        /// Time since the request, ms.
        took_ms: u64,
    }
    /// The answer that a session plays is queued on its client's connection.
    "reply.queued" ReplyQueued {
        /// The session.
        id: String,
        /// The connection's number, as in the lines on ends of connections.
        conn: u64,
    }
    /// The answer that a session plays was written whole.
    "reply.written" ReplyWritten {
        /// The session.
        id: String,
        /// The connection's number.
        conn: u64,
    }
    /// A final answer that nobody waits for any more: its client's connection is gone.
    "reply.dropped" ReplyDropped {
        /// The session.
        id: String,
    }
    /// The rung of a playing session changes.
    "session.rung" Rung {
        /// The session.
        id: String,
        /// The server.
        server: String,
        /// The rung before.
        from: u64,
        /// The rung now.
        rung: u64,
    }
    /// A release goes to a server: of a session that stood, or of one that began after its attempt was given up.
    "session.released" Released {
        /// The session.
        id: String,
        /// The server.
        server: String,
    }
    /// A session that stood is over.
    "session.over" Over {
        /// The session.
        id: String,
        /// `completed`, `reset`, `cancelled`, `left` or `moved`.
        how: String,
    }
    /// A connection to a server is opened.
    "link.dial" Dial {
        /// The server.
        server: String,
        /// `set-up`, `notes` (for sessions that play there) or `check` (whether it is lost).
        why: String,
    }
    /// A server's word on its load.
    "box.told" Told {
        /// The server.
        server: String,
        /// `link`, `uplink` or `delivered`.
        what: String,
        /// In thousandths.
        mille: u64,
    }
    /// Lines left out for want of budget.
    "trace.dropped" Dropped {
        /// Lines of sessions that were traced.
        lines: u64,
        /// Sessions that were not traced at all.
        sessions: u64,
    }
}
