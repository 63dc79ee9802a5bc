//! A viewer connection: decodes JSON lines into messages, and builds the lines that answer them.

use crate::api::{Micros, Request, Rung, ServerId, SessionId, Settings, Status, Text};
use crate::message::line::{Decoder, Line};
use crate::message::{Kind, Malformed, cause};
use crate::roster::SettingNames;

/// How far the remaining time of a viewer may exceed the deadline of its class, as clocks and rounding
/// differ.
const TIME_LEFT_MARGIN: Micros = Micros(1_000_000);

/// A message of a viewer.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewerMessage {
    /// A request for a session, with a description.
    SetUp(Request, String),
    /// A session that already plays at a server.
    ExistingSession(Request, ServerId),
    /// A request with a field that the settings rule out, so that no server could serve it; with its class if
    /// that is known.
    Invalid(SessionId, Option<usize>),
    /// Gives up a set-up or ends its session.
    Release(SessionId),
    /// A health check.
    Ping(SessionId),
}

/// The decoder of one connection.
#[derive(Debug, Default)]
pub struct ViewerDecoder {
    decoder: Decoder,
}

impl ViewerDecoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// The memory that the bytes received so far hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.decoder.held_bytes()
    }

    /// Whether a message has begun that is not complete yet.
    pub fn has_partial_message(&self) -> bool {
        self.decoder.has_partial_message()
    }

    /// Returns the next message, or none until more bytes arrive.
    pub fn next_message(
        &mut self,
        now: Micros,
        names: &SettingNames,
        settings: &Settings,
    ) -> Result<Option<ViewerMessage>, Malformed> {
        while let Some(line) = self.decoder.next_line()? {
            match line.kind {
                Kind::SetUp => {
                    let id = line.id;
                    let class = line.fields.get("class").and_then(|c| names.class(c));
                    return Ok(Some(
                        set_up(line, now, names, settings).unwrap_or(ViewerMessage::Invalid(id, class)),
                    ));
                }
                Kind::Release => return Ok(Some(ViewerMessage::Release(line.id))),
                Kind::Ping => return Ok(Some(ViewerMessage::Ping(line.id))),
                // Allowed but without meaning.
                Kind::Progress | Kind::Released | Kind::Pong => {}
                Kind::Answer | Kind::Note | Kind::Move | Kind::Rate => return Err(Malformed::UnknownType),
            }
        }
        Ok(None)
    }
}

/// Parses a set-up. Returns none if a field is missing, invalid or beyond what the settings allow.
fn set_up(line: Line, now: Micros, names: &SettingNames, settings: &Settings) -> Option<ViewerMessage> {
    let field = |name: &str| line.fields.get(name).map(String::as_str);
    let number = |text: &str| text.trim().parse::<f64>().ok().filter(|x| x.is_finite());
    let class = field("class").and_then(|c| names.class(c))?;
    let tenant = match field("tenant") {
        None => 0,
        Some(name) => names.tenant(name)?,
    };
    let mut request = Request::new(line.id, Text::from(field("key").unwrap_or("")), now, 0, usize::MAX);
    (request.class, request.tenant) = (class, tenant);
    let mut at = None;
    let mut copies = None;
    for (name, value) in field("extras").unwrap_or("").split(';').filter_map(|pair| pair.split_once(':')) {
        let below = |end: u32| value.trim().parse::<u32>().ok().filter(|n| *n < end);
        match name.trim() {
            "home" => request.home = below(settings.cells)?,
            "copies" => copies = Some(below(settings.cells.saturating_add(1)).filter(|n| *n > 0)?),
            "top" => request.top = Rung(below(settings.rung_kb.len() as u32)? as usize),
            "viewer" => request.viewer = Text::from(value),
            "again" => request.is_returning = value != "0",
            "moved" | "midflow" => request.moved = value != "0",
            "at" => at = Some(ServerId::new(value)),
            // Unknown extras are ignored, as unknown fields are.
            _ => {}
        }
    }
    request.retry = field("retry").is_some_and(|r| r != "0");
    request.duration_hint_s = field("hint").and_then(number).filter(|h| *h > 0.0);
    if let Some(server) = at {
        request.copies = copies.unwrap_or(0);
        return Some(ViewerMessage::ExistingSession(request, server));
    }
    request.copies = copies?;
    // A viewer waits as long as the deadline of its class, give or take the transit time.
    let left = Micros::from_ms(field("left").and_then(number)?);
    // A request sent before its class changed may use the deadline of that time.
    let alike =
        names.classes.iter().zip(&settings.classes).filter(|(name, _)| **name == names.classes[class]);
    let most = alike.map(|(_, class)| class.deadline).max()?;
    if left == Micros(0) || left > most + TIME_LEFT_MARGIN {
        return None;
    }
    request.due = now + left.min(most);
    Some(ViewerMessage::SetUp(request, line.sdp?))
}

/// The session is established.
pub fn answer(id: SessionId, description: &str) -> Line {
    Line::new(Kind::Answer, id).sdp(description)
}

/// The request was refused: it may be repeated, after the wait if there is one.
pub fn refused(id: SessionId, wait: Micros) -> Line {
    let line = Line::new(Kind::Release, id).cause(cause::REFUSED);
    if wait == Micros(0) { line } else { line.field("wait", wait.0.div_ceil(1000)) }
}

/// The request failed.
pub fn failed(id: SessionId) -> Line {
    Line::new(Kind::Release, id).cause(cause::ERROR)
}

/// The session has ended; none if its viewer need not be told.
pub fn ended(id: SessionId, status: Status) -> Option<Line> {
    let cause = match status {
        Status::Cancelled => return None,
        Status::Completed => cause::NORMAL,
        _ => cause::RESET,
    };
    Some(Line::new(Kind::Release, id).cause(cause))
}

/// The session is moved.
pub fn moved(id: SessionId) -> Line {
    Line::new(Kind::Move, id)
}

/// The result of a health check.
pub fn pong(id: SessionId, passed: bool) -> Line {
    Line::new(Kind::Pong, id).cause(u8::from(passed))
}

/// Confirms a release.
pub fn released(id: SessionId) -> Line {
    Line::new(Kind::Released, id)
}
