//! A decoder of server-sent events, for a plain stream of bytes and for the body of an HTTP response.

use super::{HttpError, MAX_HEAD_BYTES, client};

/// The maximum size of an event. A complete list of servers must fit.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event with data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The id, if the event has one.
    pub id: Option<String>,
    /// The data, with a line feed between the lines.
    pub data: String,
}

/// The progress of a stream of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The number of items received completely: the head of the response, events, and comments between events.
    pub completed_items: u64,
    /// The number of events with data among them.
    pub completed_events: u64,
    /// The number of bytes received since the last complete item.
    pub pending_bytes: usize,
}

/// Decodes events from a stream of bytes.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    event: Event,
    has_data: bool,
    /// Whether a field of the current event has been read.
    is_in_event: bool,
    progress: Progress,
}

impl Decoder {
    /// Reads bytes and appends the complete events to `events`, including those before an error. Comments and unknown
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

/// An HTTP response whose body is a stream of events.
#[derive(Debug, Default)]
pub struct Stream {
    reader: client::Reader,
    decoder: Decoder,
    /// The number of bytes received of a head that is still incomplete.
    head_bytes: usize,
}

impl Stream {
    /// Reads bytes of the connection and appends the complete events to `events`, including those before an error. A
    /// response with a status other than 200 is an error.
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

    /// Returns the progress of the stream; the head of the response counts as an item.
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
