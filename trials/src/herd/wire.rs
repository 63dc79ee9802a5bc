//! The platform's messages as the checker reads and writes them: codecs of its own, so that an error in the program's
//! codecs can't hide itself.

use serde_json::{Value, json};

/// A request's name.
pub type Id = u64;

/// Types of binary messages.
pub mod kind {
    /// A set-up.
    pub const SET_UP: u8 = 1;
    /// An answer: the session stands.
    pub const ANSWER: u8 = 9;
    /// A refusal, a give-up or an end.
    pub const RELEASE: u8 = 12;
    /// A test.
    pub const PING: u8 = 52;
    /// A test's result.
    pub const PONG: u8 = 53;
}

/// Parameters of binary messages.
pub mod parameter {
    /// How long the broker waits, in milliseconds, as text.
    pub const WAIT: u8 = 4;
    /// The cause: one byte.
    pub const CAUSE: u8 = 17;
    /// The description.
    pub const DESCRIPTION: u8 = 18;
}

/// Causes of releases.
pub mod cause {
    /// Given up before the answer, or ended in its course.
    pub const NORMAL: u8 = 16;
    /// Full: it never ran.
    pub const FULL: u8 = 34;
    /// Refused by the broker.
    pub const REFUSED: u8 = 42;
    /// An error.
    pub const ERROR: u8 = 47;
    /// It never left.
    pub const MOOT: u8 = 102;
}

/// Bytes before the parameters: type and session.
const HEAD: usize = 9;

/// Bytes that are no binary message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoFrame;

/// One binary message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its type.
    pub kind: u8,
    /// Its session.
    pub id: Id,
    /// Its parameters.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Frame {
    /// A message with one parameter.
    pub fn with(kind: u8, id: Id, code: u8, value: &[u8]) -> Frame {
        Frame { kind, id, parameters: vec![(code, value.to_vec())] }
    }

    /// The value of a parameter as text; empty if it is not there.
    pub fn text(&self, code: u8) -> String {
        let value = self.parameters.iter().find(|(known, _)| *known == code);
        value.map_or_else(String::new, |(_, bytes)| String::from_utf8_lossy(bytes).into_owned())
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = vec![self.kind];
        body.extend_from_slice(&self.id.to_be_bytes());
        for (code, value) in &self.parameters {
            body.push(*code);
            body.extend_from_slice(&(value.len() as u16).to_be_bytes());
            body.extend_from_slice(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Takes the first whole message off a stream's bytes, if there is one.
    pub fn take(stream: &mut Vec<u8>) -> Result<Option<Frame>, NoFrame> {
        let Some(length) = stream.first_chunk::<2>() else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes(*length));
        if length < HEAD {
            return Err(NoFrame);
        }
        if stream.len() < 2 + length {
            return Ok(None);
        }
        let body: Vec<u8> = stream.drain(..2 + length).skip(2).collect();
        let id = Id::from_be_bytes(body[1..HEAD].try_into().map_err(|_| NoFrame)?);
        let mut rest = &body[HEAD..];
        let mut parameters = Vec::new();
        while let Some((head, after)) = rest.split_first_chunk::<3>() {
            let length = usize::from(u16::from_be_bytes([head[1], head[2]]));
            let (value, after) = after.split_at_checked(length).ok_or(NoFrame)?;
            parameters.push((head[0], value.to_vec()));
            rest = after;
        }
        if rest.is_empty() { Ok(Some(Frame { kind: body[0], id, parameters })) } else { Err(NoFrame) }
    }
}

/// What a broker says to a viewer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// The session stands, with its description.
    Answer(Id, String),
    /// A release with its cause, and how many milliseconds to stay away.
    Release(Id, u8, Option<u64>),
    /// The session is moved.
    Move(Id),
    /// A test's result.
    Pong(bool),
    /// What means nothing.
    Other,
}

impl Said {
    /// Reads one line; none if it can't be read.
    pub fn read(line: &[u8]) -> Option<Said> {
        let value: Value = serde_json::from_slice(line).ok()?;
        let id = || Id::from_str_radix(value["id"].as_str()?, 16).ok();
        let cause = || u8::try_from(value["cause"].as_u64()?).ok();
        Some(match value["type"].as_str()? {
            "answer" => Said::Answer(id()?, value["sdp"].as_str()?.to_owned()),
            "release" => Said::Release(id()?, cause()?, number(&value["fields"]["wait"])),
            "move" => Said::Move(id()?),
            "pong" => Said::Pong(cause()? == 1),
            _ => Said::Other,
        })
    }
}

fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

/// A line that gives up or ends a session.
pub fn release_line(id: Id) -> Vec<u8> {
    line(&json!({"type": "release", "id": format!("{id:016x}"), "fields": {}, "cause": cause::NORMAL}))
}

/// A line that tests a broker.
pub fn ping_line() -> Vec<u8> {
    line(&json!({"type": "ping", "id": format!("{:016x}", 0), "fields": {}, "cause": 0}))
}

/// One JSON object as a line.
pub fn line(value: &Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}
