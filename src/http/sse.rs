//! Server-sent events.

use super::{HttpError, MAX_HEAD_BYTES, client};

/// No event may be larger: a whole list of servers must fit.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event with data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id, if one was given.
    pub id: Option<String>,
    /// Its data.
    pub data: String,
}

/// How far a stream of events has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Things that came whole: the head, events, and comments between events.
    pub completed_items: u64,
    /// Events among them.
    pub completed_events: u64,
    /// Bytes that came since.
    pub pending_bytes: usize,
}

/// Finds events in a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    event: Event,
    has_data: bool,
    /// A field of the event was read.
    is_in_event: bool,
    progress: Progress,
}

impl Decoder {
    /// Takes bytes in and hands over the events that are whole, also those before an error. Comments and unknown
    /// fields are skipped.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), HttpError> {
        self.buffer.extend_from_slice(bytes);
        self.progress.pending_bytes += bytes.len();
        let mut at = 0;
        while let Some(end) = self.buffer[at..].iter().position(|b| *b == b'\n') {
            let line = &self.buffer[at..at + end];
            let line = std::str::from_utf8(line).map_err(|_| HttpError::BadBody)?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            at += end + 1;
            let is_comment = line.starts_with(':');
            self.is_in_event |= !is_comment && !line.is_empty();
            if line.is_empty() || is_comment && !self.is_in_event {
                self.is_in_event = false;
                self.progress.completed_items += 1;
                self.progress.pending_bytes = self.buffer.len() - at;
            }
            if line.is_empty() {
                let event = std::mem::take(&mut self.event);
                if std::mem::take(&mut self.has_data) {
                    self.progress.completed_events += 1;
                    events.push(event);
                }
                continue;
            }
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "data" => {
                    if std::mem::replace(&mut self.has_data, true) {
                        self.event.data.push('\n');
                    }
                    self.event.data.push_str(value);
                }
                "id" => self.event.id = Some(value.to_owned()),
                _ => {}
            }
            if self.event.data.len() > MAX_EVENT_BYTES {
                return Err(HttpError::BodyTooLarge);
            }
        }
        self.buffer.drain(..at);
        if self.buffer.len() > MAX_EVENT_BYTES + MAX_HEAD_BYTES {
            return Err(HttpError::BodyTooLarge);
        }
        Ok(())
    }
}

/// The answer that a stream of events comes in.
#[derive(Debug, Default)]
pub struct Stream {
    reader: client::Reader,
    decoder: Decoder,
    /// Bytes of a head that is not whole yet.
    head_bytes: usize,
}

impl Stream {
    /// Takes bytes of the connection in and hands over the events that are whole, also those before an error. An
    /// answer with another status than 200 is none.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), HttpError> {
        let mut body = Vec::new();
        let read = self.reader.feed(bytes, &mut body);
        self.head_bytes = if self.reader.status().is_none() { self.head_bytes + bytes.len() } else { 0 };
        if self.reader.status().is_some_and(|status| status != 200) {
            return Err(HttpError::BadHead);
        }
        let decoded = self.decoder.feed(&body, events);
        read.and(decoded)
    }

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        let Progress { completed_items, completed_events, pending_bytes } = self.decoder.progress;
        let head = u64::from(self.reader.status().is_some());
        Progress {
            completed_items: completed_items + head,
            completed_events,
            pending_bytes: pending_bytes + self.head_bytes,
        }
    }
}
