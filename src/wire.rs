//! The simulator's line protocol: parses batches of events and prints actions. No decisions are made here.

mod actions;
mod conf;
mod fields;
mod settings;

use std::collections::BTreeMap;
use std::fmt;
use std::io::BufRead;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;

use crate::api::*;
pub use actions::{print, print_end, print_failure};
use fields::Fields;
pub use settings::settings;

/// Input that violates the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for WireError {}

/// The number of an instance on the wire.
pub type Instance = u64;

/// A message for one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// The instance starts without any state.
    Attach {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, or the reason why they are invalid.
        settings: Box<Result<Settings, String>>,
    },
    /// The instance has ended.
    Retire,
    /// An event for its decision module.
    Event(Event),
}

/// Events that arrive at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The time.
    pub now: Micros,
    /// The events in order.
    pub events: Vec<(Instance, Incoming)>,
}

/// Reads batches, and keeps the numbered server lists.
pub struct Reader<R> {
    input: R,
    line: u64,
    server_lists: BTreeMap<u64, Vec<ServerEntry>>,
}

type Parsed<T> = Result<T, WireError>;

impl<R: BufRead> Reader<R> {
    /// Creates a reader of `input`.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, server_lists: BTreeMap::new() }
    }

    fn next_line(&mut self) -> Parsed<Option<String>> {
        let mut raw = Vec::new();
        self.line += 1;
        match self.input.read_until(b'\n', &mut raw) {
            Ok(0) => return Ok(None),
            Ok(_) => {}
            Err(e) => {
                return Err(WireError { line: self.line, expected: format!("readable input ({e})") });
            }
        }
        while matches!(raw.last(), Some(b'\n' | b'\r')) {
            raw.pop();
        }
        let line = self.line;
        String::from_utf8(raw).map(Some).map_err(|_| WireError { line, expected: "UTF-8 text".into() })
    }

    fn required_line(&mut self, expected: &str) -> Parsed<String> {
        match self.next_line()? {
            Some(text) => Ok(text),
            None => Err(WireError { line: self.line, expected: format!("{expected}, not the end of input") }),
        }
    }

    /// Reads the next batch; returns `None` at the end of input.
    pub fn batch(&mut self) -> Parsed<Option<Batch>> {
        let text = loop {
            match self.next_line()? {
                None => return Ok(None),
                Some(text) if text.is_empty() => {}
                Some(text) => break text,
            }
        };
        let (keyword, fields) = Fields::split(&text, self.line)?;
        if keyword != "BATCH" {
            return fields.error("BATCH".into());
        }
        let now = fields.time("Now")?;
        let mut events = Vec::new();
        loop {
            let text = self.required_line("an event or EOF_BATCH")?;
            let (keyword, fields) = Fields::split(&text, self.line)?;
            match keyword {
                "EOF_BATCH" => return Ok(Some(Batch { now, events })),
                "POOL" => {
                    let (number, count) =
                        (fields.whole_number("RosterId")?, fields.whole_number("NodesList")?);
                    let servers = self.read_server_list(count)?;
                    self.server_lists.insert(number, servers);
                }
                _ => {
                    let instance = fields.whole_number("Who")?;
                    events.push((instance, self.parse_event(keyword, &fields)?));
                }
            }
        }
    }

    fn read_server_list(&mut self, count: u64) -> Parsed<Vec<ServerEntry>> {
        let mut entries = Vec::new();
        for _ in 0..count {
            let text = self.required_line("SERVER")?;
            let (keyword, fields) = Fields::split(&text, self.line)?;
            if keyword != "SERVER" {
                return fields.error("SERVER".into());
            }
            entries.push(fields.server_entry()?);
        }
        Ok(entries)
    }

    fn parse_event(&self, keyword: &str, fields: &Fields<'_>) -> Parsed<Incoming> {
        let event = match keyword {
            "ATTACH" => {
                let seed = fields.whole_number("Salt")?;
                return match serde_json::from_str::<Value>(fields.text("Conf")?) {
                    Ok(conf) => Ok(Incoming::Attach { seed, settings: Box::new(settings(&conf)) }),
                    Err(_) => fields.error("a JSON object in Conf".into()),
                };
            }
            "RETIRE" => return Ok(Incoming::Retire),
            "ENDPOINTS" => {
                let kind = match fields.text("Mode")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Complete,
                    "C" => ListKind::Stale,
                    "X" => ListKind::Failed,
                    _ => return fields.error("D, F, C or X in Mode".into()),
                };
                let servers = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    match self.server_lists.get(&fields.whole_number("RosterId")?) {
                        Some(list) => list.clone(),
                        None => return fields.error("the number of an earlier POOL in RosterId".into()),
                    }
                };
                Event::ServerList { kind, servers }
            }
            "KNOCK" => Event::Request(fields.request()?),
            "EXISTING" => Event::ExistingSession { request: fields.request()?, server: fields.server_id()? },
            "FIRST_BYTE" => Event::SetUpDone {
                id: fields.session_id()?,
                attempt: fields.small_number("SendNo")?,
                server: fields.server_id()?,
                took: fields.time("TimeTaken")?,
            },
            "CHANGE" => {
                let value = fields.number("X")?;
                let note = match fields.whole_number("Kind")? {
                    1 => Note::Delivered(value),
                    2 => Note::Rung(Rung(value.max(0.0) as usize)),
                    3 => Note::Link(value),
                    4 => Note::Uplink(value),
                    _ => return fields.error("1 to 4 in Kind".into()),
                };
                Event::Note { id: fields.session_id()?, server: fields.server_id()?, note }
            }
            "RESPONSE" => Event::Outcome {
                id: fields.session_id()?,
                attempt: fields.small_number("SendNo")?,
                server: fields.server_id()?,
                status: fields.status()?,
                took: fields.time("TimeTaken")?,
                closed: fields.flag("Ended")?,
                load: fields.load()?,
            },
            "CLIENT_GONE" => Event::ViewerLeft(fields.session_id()?),
            "DEADLINE_HIT" => Event::Timer(fields.whole_number("Mark")?),
            "PING_RESULT" => Event::Probed {
                server: fields.server_id()?,
                status: fields.status()?,
                took: fields.time("TimeTaken")?,
                load: fields.load()?,
            },
            "WHISPER" => Event::Peer { from: fields.small_number("From")?, data: fields.bytes()? },
            _ => return fields.error("the name of an event".into()),
        };
        Ok(Incoming::Event(event))
    }
}
