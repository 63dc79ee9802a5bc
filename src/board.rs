//! The notice board: numbered events that change the list of servers, read as server-sent events. A state
//! machine of bytes; the driver opens the connection and keeps the time.

use std::net::SocketAddr;

use serde_json::Value;

use crate::api::{ListKind, Micros, ServerEntry, ServerId, ServerState};
use crate::http::{HttpError, client, sse};
use crate::platform::Names;

/// A comment comes each second: a board that says nothing for so long is asked anew.
pub const SILENCE: Micros = Micros(2_500_000);
/// Time between tries to reach a board.
pub const RETRY: Micros = Micros(200_000);
/// A board that doesn't accept a connection within this is tried again.
pub const CONNECT: Micros = Micros(400_000);

/// A line of the list with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// What the module is told.
    pub entry: ServerEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// All of it, or what has changed.
    pub kind: ListKind,
    /// The lines.
    pub servers: Vec<Listed>,
}

/// Follows one board.
#[derive(Debug)]
pub struct Board {
    names: Names,
    last: u64,
    stream: Option<(client::Reader, sse::Decoder)>,
}

impl Board {
    /// Takes in the events of the start.
    pub fn new(names: Names, known: &Value) -> (Board, Vec<News>) {
        let mut board = Board { names, last: 0, stream: None };
        let news = board.known(known);
        board.last = known.get("rev").and_then(Value::as_u64).unwrap_or(board.last);
        (board, news)
    }

    /// Takes in the events of a configuration, but for those that were heard before: the list is never wound
    /// back.
    pub fn known(&mut self, known: &Value) -> Vec<News> {
        let notices = known.get("notices").and_then(Value::as_array);
        notices.into_iter().flatten().filter_map(|n| self.notice(n, None)).collect()
    }

    /// The number of the last event that was taken in.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What to write on a fresh connection.
    pub fn request(&mut self, host: &str) -> Vec<u8> {
        self.stream = Some((client::Reader::default(), sse::Decoder::default()));
        let last = self.last.to_string();
        let headers = [("Accept", "text/event-stream"), ("Last-Event-ID", last.as_str())];
        client::request("GET", host, "/board/poll", &headers, None)
    }

    /// Takes bytes of the connection in. An error ends it.
    pub fn bytes(&mut self, bytes: &[u8]) -> Result<Vec<News>, HttpError> {
        let Some((reader, events)) = &mut self.stream else { return Ok(Vec::new()) };
        let mut body = Vec::new();
        reader.feed(bytes, &mut body)?;
        if reader.status().is_some_and(|s| s != 200) {
            return Err(HttpError::BadHead);
        }
        let events = events.feed(&body)?;
        let mut news = Vec::new();
        for event in events {
            let Ok(value) = serde_json::from_str::<Value>(&event.data) else { continue };
            let number = event.id.and_then(|id| id.trim().parse().ok());
            news.extend(self.notice(&value, number));
        }
        Ok(news)
    }

    /// Takes one event in, unless it was heard before.
    fn notice(&mut self, value: &Value, number: Option<u64>) -> Option<News> {
        let number = number.or_else(|| value.get("rev").and_then(Value::as_u64))?;
        if number <= self.last {
            return None;
        }
        self.last = number;
        let pool = value.get("pool").unwrap_or(value);
        let all = pool.get("all").and_then(Value::as_bool).unwrap_or(false);
        let targets = pool.get("targets").and_then(Value::as_array)?;
        let servers = targets.iter().filter_map(|t| listed(t, &self.names)).collect();
        Some(News { kind: if all { ListKind::Complete } else { ListKind::Changes }, servers })
    }
}

/// Reads one line; a line that can't be read is skipped, as nothing may be sent there.
pub fn listed(target: &Value, names: &Names) -> Option<Listed> {
    let text = |key: &str| target.get(key).and_then(Value::as_str);
    let number = |key: &str| target.get(key).and_then(Value::as_f64).filter(|x| x.is_finite());
    let index = |list: &[String], key: &str| text(key).and_then(|name| Names::index(list, name)).unwrap_or(0);
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
    Some(Listed { entry, address: text("endpoint")?.parse().ok()? })
}
