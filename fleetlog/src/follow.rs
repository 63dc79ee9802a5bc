//! One session through every broker that touched it.

use std::path::PathBuf;

use amberspindle::trace::Record;
use memchr::memmem;
use rayon::prelude::*;

use crate::read::{self, Unread};

/// Lines of one session that are kept of one file.
const LINES_MOST: usize = 10_000;

/// A line about a session.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The broker's time, in microseconds of the Unix clock; none for a line that is no record.
    pub at_us: Option<u64>,
    /// The broker.
    pub broker: String,
    /// The line, from the event's name on where there is one.
    pub line: String,
}

/// Why an id can't be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoId(pub String);

impl std::fmt::Display for NoId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ID: {:?} is no session id: 16 hex digits, as after id= in the logs", self.0)
    }
}

/// The id as logs have it.
pub fn id(text: &str) -> Result<String, NoId> {
    let good = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    good.then(|| text.to_ascii_lowercase()).ok_or_else(|| NoId(text.to_owned()))
}

/// What a record's line shows behind its time.
fn shown(record: &Record) -> String {
    let value = serde_json::to_value(&record.event).unwrap_or_default();
    let fields =
        value.as_object().into_iter().flatten().filter(|(name, _)| !["event", "id"].contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| match value.as_str() {
            Some(text) if !text.is_empty() && !text.contains([' ', '"']) => format!("{name}={text}"),
            _ => format!("{name}={value}"),
        })
        .collect();
    format!("{:<15} {}", record.event.name(), fields.join(" "))
}

/// All lines about a session, the earliest first.
pub fn follow(files: &[PathBuf], id: &str) -> Result<Vec<Step>, Unread> {
    let finder = memmem::Finder::new(id.as_bytes());
    let found: Result<Vec<Vec<Step>>, Unread> = files
        .par_iter()
        .map(|path| {
            let (mut steps, broker) = (Vec::new(), read::broker(path));
            let each = |line: &str, _: &mut read::Met| {
                if finder.find(line.as_bytes()).is_none() || steps.len() >= LINES_MOST {
                    return;
                }
                steps.push(match Record::read(line) {
                    Some(record) => {
                        Step { at_us: Some(record.at_us), broker: broker.clone(), line: shown(&record) }
                    }
                    None => Step { at_us: None, broker: broker.clone(), line: line.to_owned() },
                });
            };
            read::lines(read::open(path)?, each).map_err(|error| Unread { path: path.clone(), error })?;
            Ok(steps)
        })
        .collect();
    let mut steps: Vec<Step> = found?.into_iter().flatten().collect();
    // Steps of one broker at one time stay in their order.
    steps.sort_by_key(|step| step.at_us);
    Ok(steps)
}
