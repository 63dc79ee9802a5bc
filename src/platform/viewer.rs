//! A viewer's connection: JSON lines in, what they ask for out; and the lines that answer them.

use crate::api::{Micros, Request, Rung, ServerId, SessionId, Settings, Status, Text};
use crate::message::line::{Decoder, Line};
use crate::message::{Kind, Malformed, cause};
use crate::roster::SettingNames;

/// How far what is left of a viewer's time may lie above the deadline of its class: clocks and rounding differ.
const LEFT_SPARE: Micros = Micros(1_000_000);

/// What a viewer says.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewerMessage {
    /// It asks for a session, with a description.
    SetUp(Request, String),
    /// It names a session that plays at a server already.
    Playing(Request, ServerId),
    /// It asks for what the settings rule out, so that no server could use it; with the class, if that is known.
    Unfit(SessionId, Option<usize>),
    /// It gives a set-up up, or ends its session.
    Release(SessionId),
    /// It tests the broker.
    Ping(SessionId),
}

/// The reading side of one connection.
#[derive(Debug, Default)]
pub struct Viewer {
    decoder: Decoder,
}

impl Viewer {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
    }

    /// Whether a message has begun that is not whole yet.
    pub fn begun(&self) -> bool {
        self.decoder.has_partial_message()
    }

    /// The next thing said, or none until more bytes come.
    pub fn next(
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
                        set_up(line, now, names, settings).unwrap_or(ViewerMessage::Unfit(id, class)),
                    ));
                }
                Kind::Release => return Ok(Some(ViewerMessage::Release(line.id))),
                Kind::Ping => return Ok(Some(ViewerMessage::Ping(line.id))),
                // Free: they mean nothing.
                Kind::Progress | Kind::Released | Kind::Pong => {}
                Kind::Answer | Kind::Note | Kind::Move | Kind::Rate => return Err(Malformed::UnknownType),
            }
        }
        Ok(None)
    }
}

/// Reads a set-up; none if a figure is missing, can't be read, or is beyond what the settings allow.
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
            "again" => request.again = value != "0",
            "moved" | "midflow" => request.moved = value != "0",
            "at" => at = Some(ServerId::new(value)),
            // Unknown figures are skipped like unknown fields.
            _ => {}
        }
    }
    request.retry = field("retry").is_some_and(|r| r != "0");
    request.hint = field("hint").and_then(number).filter(|h| *h > 0.0);
    if let Some(server) = at {
        request.copies = copies.unwrap_or(0);
        return Some(ViewerMessage::Playing(request, server));
    }
    request.copies = copies?;
    // A viewer waits as long as its class does, give or take what the way cost.
    let left = Micros::from_ms(field("left").and_then(number)?);
    // One that was sent before the class changed may wait for as long as it did then.
    let alike =
        names.classes.iter().zip(&settings.classes).filter(|(name, _)| **name == names.classes[class]);
    let most = alike.map(|(_, class)| class.deadline).max()?;
    if left == Micros(0) || left > most + LEFT_SPARE {
        return None;
    }
    request.due = now + left.min(most);
    Some(ViewerMessage::SetUp(request, line.sdp?))
}

/// The session stands.
pub fn answer(id: SessionId, description: &str) -> Line {
    Line::new(Kind::Answer, id).sdp(description)
}

/// Refused: coming again is harmless, after the wait if there is one.
pub fn refused(id: SessionId, wait: Micros) -> Line {
    let line = Line::new(Kind::Release, id).cause(cause::REFUSED);
    if wait == Micros(0) { line } else { line.field("wait", wait.0.div_ceil(1000)) }
}

/// Failed.
pub fn failed(id: SessionId) -> Line {
    Line::new(Kind::Release, id).cause(cause::ERROR)
}

/// The session is over; none if its viewer is owed nothing.
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

/// A test's result.
pub fn pong(id: SessionId, passed: bool) -> Line {
    Line::new(Kind::Pong, id).cause(u8::from(passed))
}

/// A release was heard.
pub fn released(id: SessionId) -> Line {
    Line::new(Kind::Released, id)
}
