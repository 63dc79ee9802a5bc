//! The notice board: numbered events that change the list of servers, read as server-sent events. A state
//! machine of bytes; the driver opens the connection and keeps the time.

mod patience;

use std::fmt;
use std::net::Ipv4Addr;

use serde_json::Value;

use crate::api::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use crate::http::{HttpError, client, sse};
use crate::roster::{ListUpdate, ListedServer, SettingNames};
use patience::Patience;

/// A comment comes each second: a board that says nothing for so long is asked anew.
pub const SILENCE: Micros = Micros(2_500_000);
/// Time between tries to reach a board.
pub const RETRY: Micros = Micros(200_000);
/// A board that doesn't accept a connection within this is tried again.
pub const CONNECT: Micros = Micros(400_000);

/// After so many askings for the same event a board is taken at its word: what can't be read is left out.
const ASKINGS: u32 = 4;

/// Why a board is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoardError {
    /// What it says is no HTTP.
    Http(HttpError),
    /// An event can't be read.
    Unreadable,
    /// Events before this one were missed.
    Gap,
}

impl BoardError {
    /// The reason code of the log line.
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

/// Follows one board.
#[derive(Debug)]
pub struct Board {
    names: SettingNames,
    last: u64,
    /// Askings since an event was taken in that found one missing or broken.
    troubled: u32,
    stream: Option<sse::Stream>,
    patience: Patience,
}

impl Board {
    /// Takes in the events of the start.
    pub fn new(names: SettingNames, known: &Value) -> (Board, Vec<ListUpdate>) {
        let mut board = Board { names, last: 0, troubled: 0, stream: None, patience: Patience::default() };
        let news = board.take(known, true);
        board.last = known.get("rev").and_then(Value::as_u64).unwrap_or(board.last);
        (board, news)
    }

    /// Takes in the events of a new configuration, but for those that were heard before: the list is never wound
    /// back. Behind one that is missing the board itself is asked.
    pub fn known(&mut self, known: &Value) -> Vec<ListUpdate> {
        self.take(known, false)
    }

    fn take(&mut self, known: &Value, anyway: bool) -> Vec<ListUpdate> {
        let notices = known.get("notices").and_then(Value::as_array);
        let read = |n: &Value| self.notice(n, None, anyway).ok().flatten();
        notices.into_iter().flatten().filter_map(read).collect()
    }

    /// The number of the last event that was taken in.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The connection is given up if nothing that is whole comes by then.
    pub fn awaited_until(&self) -> Micros {
        self.patience.until()
    }

    /// What to write on a fresh connection.
    pub fn request(&mut self, now: Micros, host: &str) -> Vec<u8> {
        self.patience.begin(now);
        self.stream = Some(sse::Stream::default());
        let last = self.last.to_string();
        let headers = [("Accept", "text/event-stream"), ("Last-Event-ID", last.as_str())];
        client::request("GET", host, "/board/poll", &headers, None)
    }

    /// Takes bytes of the connection in and hands over what is new, also before an error, which ends the
    /// connection: the board is then asked again from the last event that was read.
    pub fn bytes(&mut self, now: Micros, bytes: &[u8], news: &mut Vec<ListUpdate>) -> Result<(), BoardError> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        let mut whole = Vec::new();
        let read = stream.feed(bytes, &mut whole);
        self.patience.heard(now, stream.progress());
        for event in whole {
            let number = event.id.and_then(|id| id.trim().parse().ok());
            let value = serde_json::from_str::<Value>(&event.data).unwrap_or(Value::Null);
            match self.notice(&value, number, self.troubled >= ASKINGS) {
                Ok(told) => news.extend(told),
                Err(error) => {
                    self.troubled += 1;
                    self.stream = None;
                    return Err(error);
                }
            }
        }
        read.map_err(BoardError::from)
    }

    /// Takes one event in, unless it was heard before. It counts as heard only once it could be read, and only
    /// behind the one before it; `anyway`, as far as it can be read.
    fn notice(
        &mut self,
        value: &Value,
        number: Option<u64>,
        anyway: bool,
    ) -> Result<Option<ListUpdate>, BoardError> {
        let number = number.or_else(|| value.get("rev").and_then(Value::as_u64));
        let Some(number) = number else { return if anyway { Ok(None) } else { Err(BoardError::Unreadable) } };
        if number <= self.last {
            return Ok(None);
        }
        let pool = value.get("pool").unwrap_or(value);
        let all = pool.get("all").and_then(Value::as_bool).unwrap_or(false);
        let targets = pool.get("targets").and_then(Value::as_array);
        let servers: Option<Vec<ListedServer>> =
            targets.and_then(|targets| targets.iter().map(|t| listed(t, &self.names)).collect());
        let servers = match servers {
            Some(servers) => servers,
            None if anyway => targets.into_iter().flatten().filter_map(|t| listed(t, &self.names)).collect(),
            None => return Err(BoardError::Unreadable),
        };
        // A whole list makes up for all that was missed before it.
        if number > self.last + 1 && !all && !anyway {
            return Err(BoardError::Gap);
        }
        (self.last, self.troubled) = (number, 0);
        if targets.is_none() {
            return Ok(None);
        }
        let kind = if all { ListKind::Complete } else { ListKind::Changes };
        Ok(Some(ListUpdate { kind, servers }))
    }
}

/// Reads one line, if it can be read.
pub fn listed(target: &Value, names: &SettingNames) -> Option<ListedServer> {
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
    // Nothing is sent to one that is gone, wherever it was.
    let nowhere = (state == ServerState::Gone).then_some((Ipv4Addr::UNSPECIFIED, 0).into());
    let address = text("endpoint").and_then(|endpoint| endpoint.parse().ok()).or(nowhere)?;
    Some(ListedServer::new(entry, address))
}
