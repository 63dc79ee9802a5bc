//! What a broker tells of each request, for those who read the logs of a fleet: typed events, written as lines of
//! the log and read back from them, so that writer and reader can't drift apart. Off unless asked for.

mod tracer;

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

pub use tracer::Tracer;

/// A field that a line holds as text.
type Get<'a> = &'a dyn Fn(&str) -> Option<Cow<'a, str>>;

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
            fn from_fields(name: &str, get: Get) -> Option<Event> {
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

/// An event and when it was, in microseconds of the broker's Unix clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at_us: u64,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

impl Record {
    /// Reads one line of a log in either form, as JSON or as text. Words before the event's name, as a time that a
    /// collector puts there, don't matter. None for all other lines. A line of text that was cut within its last
    /// number reads as a smaller one: only lines whose line feed came may be given.
    pub fn read(line: &str) -> Option<Record> {
        let line = line.trim_end_matches('\r');
        match line.find('{').filter(|at| line[*at..].starts_with("{\"")) {
            Some(at) if line.ends_with('}') => serde_json::from_str(&line[at..]).ok(),
            _ => Record::text(line),
        }
    }

    fn text(line: &str) -> Option<Record> {
        let named = Event::NAMES.iter().filter_map(|name| {
            let at = line.find(name)?;
            let whole = line[at + name.len()..].starts_with(' ') && (at == 0 || line[..at].ends_with(' '));
            whole.then_some((at, *name))
        });
        let (at, name) = named.min()?;
        let mut at = at + name.len() + 1;
        let mut fields: Vec<(&str, Cow<str>)> = Vec::new();
        while at < line.len() {
            let (field, rest) = line[at..].split_once('=')?;
            let (value, used) = value(rest)?;
            fields.push((field, value));
            at += field.len() + 1 + used;
            at += usize::from(line[at..].starts_with(' '));
        }
        let get = |wanted: &str| fields.iter().find(|(name, _)| *name == wanted).map(|(_, v)| v.clone());
        let at_us = get("at_us")?.parse().ok()?;
        Some(Record { at_us, event: Event::from_fields(name, &get)? })
    }
}

/// A value of a line of text, bare or quoted, and the bytes that it takes there.
fn value(rest: &str) -> Option<(Cow<'_, str>, usize)> {
    let Some(quoted) = rest.strip_prefix('"') else {
        let end = rest.find(' ').unwrap_or(rest.len());
        return Some((Cow::Borrowed(&rest[..end]), end));
    };
    let (mut text, mut chars) = (String::new(), quoted.char_indices());
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((Cow::Owned(text), at + 2)),
            '\\' => match chars.next()?.1 {
                'n' => text.push('\n'),
                'r' => text.push('\r'),
                't' => text.push('\t'),
                '0' => text.push('\0'),
                'u' => {
                    let code: String =
                        chars.by_ref().skip(1).map(|(_, c)| c).take_while(|c| *c != '}').collect();
                    text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                }
                plain => text.push(plain),
            },
            plain => text.push(plain),
        }
    }
    None
}

#[cfg(test)]
mod tests;
