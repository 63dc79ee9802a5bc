//! The line protocol: parses batches of events and prints actions. It decides nothing.

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

/// Input that does not follow the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// What should have stood there.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for WireError {}

/// An instance's number on the wire.
pub type Instance = u64;

/// What comes for one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// It starts without knowledge.
    Attach {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, or what is wrong with them.
        settings: Box<Result<Settings, String>>,
    },
    /// It has ended.
    Retire,
    /// An event for its module.
    Event(Event),
}

/// Events that come at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The time.
    pub now: Micros,
    /// The events in their order.
    pub events: Vec<(Instance, Incoming)>,
}

/// Reads batches; keeps the numbered lists of servers.
pub struct Reader<R> {
    input: R,
    line: u64,
    rosters: BTreeMap<u64, Vec<ServerEntry>>,
}

type Parsed<T> = Result<T, WireError>;

impl<R: BufRead> Reader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, rosters: BTreeMap::new() }
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

    fn inside(&mut self, what: &str) -> Parsed<String> {
        match self.next_line()? {
            Some(text) => Ok(text),
            None => Err(WireError { line: self.line, expected: format!("{what}, not the end of input") }),
        }
    }

    /// The next batch, or none at the end of input.
    pub fn batch(&mut self) -> Parsed<Option<Batch>> {
        let text = loop {
            match self.next_line()? {
                None => return Ok(None),
                Some(text) if text.is_empty() => {}
                Some(text) => break text,
            }
        };
        let (word, fields) = Fields::split(&text, self.line)?;
        if word != "BATCH" {
            return fields.fail("BATCH".into());
        }
        let now = fields.time("Now")?;
        let mut events = Vec::new();
        loop {
            let text = self.inside("an event or EOF_BATCH")?;
            let (word, fields) = Fields::split(&text, self.line)?;
            match word {
                "EOF_BATCH" => return Ok(Some(Batch { now, events })),
                "POOL" => {
                    let (number, count) = (fields.whole("RosterId")?, fields.whole("NodesList")?);
                    let roster = self.roster(count)?;
                    self.rosters.insert(number, roster);
                }
                _ => {
                    let who = fields.whole("Who")?;
                    events.push((who, self.event(word, &fields)?));
                }
            }
        }
    }

    fn roster(&mut self, count: u64) -> Parsed<Vec<ServerEntry>> {
        let mut entries = Vec::new();
        for _ in 0..count {
            let text = self.inside("SERVER")?;
            let (word, fields) = Fields::split(&text, self.line)?;
            if word != "SERVER" {
                return fields.fail("SERVER".into());
            }
            entries.push(fields.entry()?);
        }
        Ok(entries)
    }

    fn event(&self, word: &str, f: &Fields<'_>) -> Parsed<Incoming> {
        let event = match word {
            "ATTACH" => {
                let seed = f.whole("Salt")?;
                return match serde_json::from_str::<Value>(f.text("Conf")?) {
                    Ok(conf) => Ok(Incoming::Attach { seed, settings: Box::new(settings(&conf)) }),
                    Err(_) => f.fail("a JSON object in Conf".into()),
                };
            }
            "RETIRE" => return Ok(Incoming::Retire),
            "ENDPOINTS" => {
                let kind = match f.text("Mode")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Complete,
                    "C" => ListKind::Stale,
                    "X" => ListKind::Failed,
                    _ => return f.fail("D, F, C or X in Mode".into()),
                };
                let servers = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    match self.rosters.get(&f.whole("RosterId")?) {
                        Some(list) => list.clone(),
                        None => return f.fail("the number of an earlier POOL in RosterId".into()),
                    }
                };
                Event::ServerList { kind, servers }
            }
            "KNOCK" => Event::Request(f.request()?),
            "EXISTING" => Event::ExistingSession { request: f.request()?, server: f.server()? },
            "FIRST_BYTE" => Event::SetUpDone {
                id: f.session()?,
                attempt: f.small("SendNo")?,
                server: f.server()?,
                took: f.time("TimeTaken")?,
            },
            "CHANGE" => {
                let value = f.number("X")?;
                let note = match f.whole("Kind")? {
                    1 => Note::Delivered(value),
                    2 => Note::Rung(Rung(value.max(0.0) as usize)),
                    3 => Note::Link(value),
                    4 => Note::Uplink(value),
                    _ => return f.fail("1 to 4 in Kind".into()),
                };
                Event::Note { id: f.session()?, server: f.server()?, note }
            }
            "RESPONSE" => Event::Outcome {
                id: f.session()?,
                attempt: f.small("SendNo")?,
                server: f.server()?,
                status: f.status()?,
                took: f.time("TimeTaken")?,
                closed: f.flag("Ended")?,
                load: f.load()?,
            },
            "CLIENT_GONE" => Event::ViewerLeft(f.session()?),
            "DEADLINE_HIT" => Event::Timer(f.whole("Mark")?),
            "PING_RESULT" => Event::Probed {
                server: f.server()?,
                status: f.status()?,
                took: f.time("TimeTaken")?,
                load: f.load()?,
            },
            "WHISPER" => Event::Peer { from: f.small("From")?, data: f.bytes()? },
            _ => return f.fail("the name of an event".into()),
        };
        Ok(Incoming::Event(event))
    }
}
