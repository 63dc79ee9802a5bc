//! Parsing of log lines into trace events.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::Event;

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The broker's Unix time of the event, in microseconds.
    pub at_us: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

impl Record {
    /// Parses one line of a log, as JSON or as text; `None` if it holds no trace event. Text before the event's
    /// name, such as a timestamp that a collector adds, is ignored. A text line that was cut within its last
    /// number would parse as a smaller number, so only lines that ended with a line feed may be passed.
    pub fn read(line: &str) -> Option<Record> {
        let line = line.trim_end_matches('\r');
        match line.find('{').filter(|at| line[*at..].starts_with("{\"")) {
            Some(at) if line.ends_with('}') => serde_json::from_str(&line[at..]).ok(),
            _ => Record::parse_text(line),
        }
    }

    fn parse_text(line: &str) -> Option<Record> {
        let found = Event::NAMES.iter().filter_map(|name| {
            let at = line.find(name)?;
            let is_whole_word =
                line[at + name.len()..].starts_with(' ') && (at == 0 || line[..at].ends_with(' '));
            is_whole_word.then_some((at, *name))
        });
        let (at, name) = found.min()?;
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

/// Parses a value at the start of the text, bare or quoted, and returns it with the number of bytes that it takes.
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
