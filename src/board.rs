//! The client of the notice board, which publishes changes of the server list as numbered server-sent events. A state
//! machine over bytes and times; the driver owns the connection and the clock.

mod patience;

use std::fmt;
use std::net::Ipv4Addr;

use serde_json::Value;

use crate::api::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use crate::http::{HttpError, client, sse};
use crate::roster::{ListUpdate, ListedServer, SettingNames};
use patience::ProgressTimeout;

/// The client reconnects to a board that has sent nothing for this long. A board sends a comment every second.
pub const SILENCE_TIMEOUT: Micros = Micros(2_500_000);
/// The delay before the client connects to a board again.
pub const RETRY_DELAY: Micros = Micros(200_000);
/// The time for a board to accept a connection before the client tries again.
pub const CONNECT_TIMEOUT: Micros = Micros(400_000);

/// After this many failed reads of the same event the client reads leniently: it skips what it can't read, as the
/// board may never send anything better.
const MAX_FAILED_READS: u32 = 4;

/// The reason why the client reconnects and requests events again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoardError {
    /// The response is not valid HTTP.
    Http(HttpError),
    /// An event is malformed.
    Unreadable,
    /// Events before this one are missing.
    Gap,
}

impl BoardError {
    /// Returns the reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            BoardError::Http(error) => error.code(),
            BoardError::Unreadable => "unreadable-event",
            BoardError::Gap => "gap",
        }
    }
}

impl fmt::Display for BoardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for BoardError {}

impl From<HttpError> for BoardError {
    fn from(error: HttpError) -> BoardError {
        BoardError::Http(error)
    }
}

/// The client of one board.
#[derive(Debug)]
pub struct BoardClient {
    names: SettingNames,
    last_event: u64,
    /// The number of reads since the last applied event that found one missing or malformed.
    failed_reads: u32,
    stream: Option<sse::Stream>,
    timeout: ProgressTimeout,
}

impl BoardClient {
    /// Creates a client and applies the events of the configuration, skipping what it can't read.
    pub fn new(names: SettingNames, known: &Value) -> (BoardClient, Vec<ListUpdate>) {
        let mut board = BoardClient {
            names,
            last_event: 0,
            failed_reads: 0,
            stream: None,
            timeout: ProgressTimeout::default(),
        };
        let updates = board.apply_all(known, true);
        board.last_event = known.get("rev").and_then(Value::as_u64).unwrap_or(board.last_event);
        (board, updates)
    }

    /// Applies the events of a new configuration. Events that were applied before are skipped, so that the list never
    /// goes back to an older state. Events after a gap are skipped too and are requested from the board itself.
    pub fn apply_known(&mut self, known: &Value) -> Vec<ListUpdate> {
        self.apply_all(known, false)
    }

    fn apply_all(&mut self, known: &Value, is_lenient: bool) -> Vec<ListUpdate> {
        let notices = known.get("notices").and_then(Value::as_array);
        let read = |notice: &Value| self.apply_event(notice, None, is_lenient).ok().flatten();
        notices.into_iter().flatten().filter_map(read).collect()
    }

    /// Returns the number of the last event that was applied.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Returns the time at which to close the connection unless a complete item arrives before.
    pub fn deadline(&self) -> Micros {
        self.timeout.deadline()
    }

    /// Returns the request to write on a new connection, which asks for the events after the last applied one.
    pub fn request(&mut self, now: Micros, host: &str) -> Vec<u8> {
        self.timeout.begin(now);
        self.stream = Some(sse::Stream::default());
        let last = self.last_event.to_string();
        let headers = [("Accept", "text/event-stream"), ("Last-Event-ID", last.as_str())];
        client::encode_request("GET", host, "/board/poll", &headers, None)
    }

    /// Takes in bytes of the connection and appends the list updates, including those before an error. After an
    /// error the connection must be closed, and the next request asks for the events after the last applied one.
    pub fn receive(
        &mut self,
        now: Micros,
        bytes: &[u8],
        updates: &mut Vec<ListUpdate>,
    ) -> Result<(), BoardError> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        let mut events = Vec::new();
        let read = stream.feed(bytes, &mut events);
        self.timeout.progressed(now, stream.progress());
        for event in events {
            let number = event.id.and_then(|id| id.trim().parse().ok());
            let value = serde_json::from_str::<Value>(&event.data).unwrap_or(Value::Null);
            match self.apply_event(&value, number, self.failed_reads >= MAX_FAILED_READS) {
                Ok(update) => updates.extend(update),
                Err(error) => {
                    self.failed_reads += 1;
                    self.stream = None;
                    return Err(error);
                }
            }
        }
        read.map_err(BoardError::from)
    }

    /// Applies one event unless it was applied before. It counts as applied only if it could be read completely and
    /// directly follows the last one. If `is_lenient`, unreadable parts are skipped and gaps are accepted.
    fn apply_event(
        &mut self,
        value: &Value,
        number: Option<u64>,
        is_lenient: bool,
    ) -> Result<Option<ListUpdate>, BoardError> {
        let number = number.or_else(|| value.get("rev").and_then(Value::as_u64));
        let Some(number) = number else {
            return if is_lenient { Ok(None) } else { Err(BoardError::Unreadable) };
        };
        if number <= self.last_event {
            return Ok(None);
        }
        let pool = value.get("pool").unwrap_or(value);
        let is_complete = pool.get("all").and_then(Value::as_bool).unwrap_or(false);
        let targets = pool.get("targets").and_then(Value::as_array);
        let servers: Option<Vec<ListedServer>> =
            targets.and_then(|targets| targets.iter().map(|t| parse_server(t, &self.names)).collect());
        let servers = match servers {
            Some(servers) => servers,
            None if is_lenient => {
                targets.into_iter().flatten().filter_map(|t| parse_server(t, &self.names)).collect()
            }
            None => return Err(BoardError::Unreadable),
        };
        // A complete list replaces all events that were missed before it.
        if number > self.last_event + 1 && !is_complete && !is_lenient {
            return Err(BoardError::Gap);
        }
        (self.last_event, self.failed_reads) = (number, 0);
        if targets.is_none() {
            return Ok(None);
        }
        let kind = if is_complete { ListKind::Complete } else { ListKind::Changes };
        Ok(Some(ListUpdate { kind, servers }))
    }
}

/// Parses a server of the list; `None` if it is malformed.
pub fn parse_server(target: &Value, names: &SettingNames) -> Option<ListedServer> {
    let text = |key: &str| target.get(key).and_then(Value::as_str);
    let number = |key: &str| target.get(key).and_then(Value::as_f64).filter(|x| x.is_finite());
    let index =
        |list: &[String], key: &str| text(key).and_then(|name| SettingNames::index(list, name)).unwrap_or(0);
    let state = match text("state")? {
        "in_service" => ServerState::Ready,
        "terminating" => ServerState::Draining,
        "terminated" => ServerState::Gone,
        _ => return None,
    };
    let cell = number("pod_group").filter(|c| *c >= 0.0).unwrap_or(0.0) as u32;
    let mut entry = ServerEntry::new(ServerId::new(text("uid")?), state, cell);
    entry.zone = index(&names.zones, "az") as u32;
    entry.kind = index(&names.kinds, "model");
    entry.weight = number("capacity_hint").filter(|w| *w > 0.0).unwrap_or(1.0);
    entry.up_since = number("boot_ms").filter(|b| *b > 0.0).map(Micros::from_ms);
    // A server that is gone needs no valid address, as nothing is sent to it.
    let unused_address = (state == ServerState::Gone).then_some((Ipv4Addr::UNSPECIFIED, 0).into());
    let address = text("endpoint").and_then(|endpoint| endpoint.parse().ok()).or(unused_address)?;
    Some(ListedServer::new(entry, address))
}
