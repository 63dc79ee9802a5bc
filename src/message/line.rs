//! The JSON encoding: one object per line, with a type, an id, fields and, where applicable, a cause and a session
//! description.

use std::collections::BTreeMap;

use serde_json::{Map, Value};

use super::{Kind, MAX_MESSAGE_BYTES, Malformed, ReadBuffer};
use crate::api::SessionId;

/// A message on a viewer's connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The message type.
    pub kind: Kind,
    /// The session that it belongs to.
    pub id: SessionId,
    /// The fields; numeric values are kept as text.
    pub fields: BTreeMap<String, String>,
    /// The cause of a release, if any.
    pub cause: Option<u8>,
    /// The session description, if any.
    pub sdp: Option<String>,
}

impl Line {
    /// Creates a message without fields, cause or description.
    pub fn new(kind: Kind, id: SessionId) -> Line {
        Line { kind, id, fields: BTreeMap::new(), cause: None, sdp: None }
    }

    /// Sets the cause.
    pub fn cause(mut self, cause: u8) -> Line {
        self.cause = Some(cause);
        self
    }

    /// Adds a field.
    pub fn field(mut self, name: &str, value: impl ToString) -> Line {
        self.fields.insert(name.to_owned(), value.to_string());
        self
    }

    /// Sets the session description.
    pub fn sdp(mut self, sdp: &str) -> Line {
        self.sdp = Some(sdp.to_owned());
        self
    }

    /// Returns the encoded line including its line feed, or an error if it would exceed the maximum size.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        let mut object = Map::new();
        object.insert("type".into(), self.kind.name().into());
        object.insert("id".into(), format!("{:016x}", self.id.0).into());
        let fields = self.fields.iter().map(|(k, v)| (k.clone(), Value::from(v.as_str())));
        object.insert("fields".into(), Value::Object(fields.collect()));
        if let Some(cause) = self.cause {
            object.insert("cause".into(), cause.into());
        }
        if let Some(sdp) = &self.sdp {
            object.insert("sdp".into(), sdp.as_str().into());
        }
        let mut bytes = Value::Object(object).to_string().into_bytes();
        bytes.push(b'\n');
        if bytes.len() > MAX_MESSAGE_BYTES { Err(Malformed::TooLarge) } else { Ok(bytes) }
    }

    fn decode(bytes: &[u8]) -> Result<Line, Malformed> {
        let value: Value = serde_json::from_slice(bytes).map_err(|_| Malformed::BadJson)?;
        let text = |name: &str| value.get(name).and_then(Value::as_str);
        let kind = Kind::from_name(text("type").ok_or(Malformed::BadJson)?).ok_or(Malformed::UnknownType)?;
        let id = parse_id(text("id").ok_or(Malformed::BadId)?).ok_or(Malformed::BadId)?;
        let mut fields = BTreeMap::new();
        match value.get("fields") {
            None | Some(Value::Null) => {}
            Some(Value::Object(map)) => {
                for (name, value) in map {
                    match value {
                        Value::String(s) => fields.insert(name.clone(), s.clone()),
                        Value::Number(n) => fields.insert(name.clone(), n.to_string()),
                        // Values of other types are skipped, like unknown fields.
                        _ => None,
                    };
                }
            }
            Some(_) => return Err(Malformed::BadField),
        }
        let cause = match value.get("cause") {
            None | Some(Value::Null) => None,
            Some(c) => Some(c.as_u64().and_then(|c| u8::try_from(c).ok()).ok_or(Malformed::BadField)?),
        };
        Ok(Line { kind, id, fields, cause, sdp: text("sdp").map(str::to_owned) })
    }
}

/// Parses a session id of 16 hexadecimal digits.
pub fn parse_id(text: &str) -> Option<SessionId> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if hex { u64::from_str_radix(text, 16).ok().map(SessionId) } else { None }
}

/// An incremental decoder for a stream of JSON lines.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: ReadBuffer,
    /// The number of leading bytes already found to contain no line feed.
    searched: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.feed(bytes);
    }

    /// Whether an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The memory that the bytes received so far hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.held_bytes()
    }

    /// Decodes the next complete message; returns `None` if more bytes are needed. Blank lines are skipped.
    pub fn next_line(&mut self) -> Result<Option<Line>, Malformed> {
        loop {
            let bytes = self.buffer.unread();
            let Some(end) = bytes[self.searched..].iter().position(|b| *b == b'\n') else {
                self.searched = bytes.len();
                if bytes.len() >= MAX_MESSAGE_BYTES {
                    return Err(Malformed::TooLarge);
                }
                self.buffer.shrink();
                return Ok(None);
            };
            let end = self.searched + end;
            if end + 1 > MAX_MESSAGE_BYTES {
                return Err(Malformed::TooLarge);
            }
            let line = &bytes[..end];
            let blank = line.iter().all(u8::is_ascii_whitespace);
            let decoded = if blank { None } else { Some(Line::decode(line)) };
            self.buffer.consume(end + 1);
            self.searched = 0;
            if let Some(decoded) = decoded {
                return decoded.map(Some);
            }
        }
    }
}
