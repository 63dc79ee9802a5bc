//! The hand-over of a broker from an old process to a new one: the messages between the two and the state machine of
//! each. They meet on the hand-over socket, on which the process that serves listens. Nothing here owns a socket or
//! reads a clock.

pub mod giver;
pub mod heir;
mod reader;

pub use reader::MessageReader;

use serde::{Deserialize, Serialize};

use crate::api::{Micros, Note, Request, Rung, ServerId, SessionId, Status, Text};

/// The protocol version of this build. Unknown fields are skipped, so only a change that both sides must understand
/// raises it.
pub const VERSION: u32 = 1;

/// An established session as one process hands it over to the other. Classes and tenants are given by name, as the
/// two processes may have read different files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionTransfer {
    /// The session's identifier.
    pub id: u64,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant.
    pub tenant: String,
    /// The viewer.
    pub viewer: String,
    /// The title that is played.
    pub title: String,
    /// The first cell that holds the title.
    pub home: u32,
    /// The number of consecutive cells that hold it.
    pub copies: u32,
    /// The highest rung that the viewer can use.
    pub top: usize,
    /// The server on which the session plays.
    pub server: String,
    /// The rung in force, if it is known.
    pub rung: Option<usize>,
}

impl SessionTransfer {
    /// Creates the transfer of a session from its request and the server on which it plays.
    pub fn new(
        request: &Request,
        class: &str,
        tenant: &str,
        server: &ServerId,
        rung: Option<Rung>,
    ) -> SessionTransfer {
        SessionTransfer {
            id: request.id.0,
            class: class.to_owned(),
            tenant: tenant.to_owned(),
            viewer: request.viewer.to_string(),
            title: request.title.to_string(),
            home: request.home,
            copies: request.copies,
            top: request.top.0,
            server: server.0.to_string(),
            rung: rung.map(|r| r.0),
        }
    }

    /// Returns the request of the session, with the numbers of its class and tenant in this process.
    pub fn request(&self, class: usize, tenant: usize) -> Request {
        let (id, title) = (SessionId(self.id), Text::from(self.title.as_str()));
        let viewer = Text::from(self.viewer.as_str());
        let mut request = Request::new(id, title, Micros(0), self.copies, self.top);
        (request.class, request.tenant, request.home, request.viewer) = (class, tenant, self.home, viewer);
        request
    }
}

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// New to old: the sender can serve and asks the receiver to yield.
    TakeOver {
        /// The sender's protocol version.
        version: u32,
        /// When the sender started, in microseconds of the boot clock.
        started: u64,
    },
    /// Old to new: the sender has yielded.
    Yielded,
    /// Old to new: the sender has already yielded to another process.
    Busy,
    /// Old to new: the sender has another protocol version.
    Other,
    /// Old to new: the sender started later than the process that asks.
    Newer,
    /// Old to new: the sender hands over an established session.
    Session(SessionTransfer),
    /// Old to new: a session that was handed over has ended.
    Over {
        /// The session.
        id: u64,
        /// Its server.
        server: String,
        /// How it ended, as given by [`status_name`].
        how: String,
    },
    /// Old to new: a server sent a note on a session that was handed over.
    Noted {
        /// The session.
        id: u64,
        /// Its server.
        server: String,
        /// The kind of note, 1 to 4, numbered as in the simulator's wire protocol.
        note: u8,
        /// The note's value.
        figure: f64,
    },
    /// Either way: a client has left a session that the receiver may hold.
    Left {
        /// The session.
        id: u64,
    },
    /// Old to new: the sender has no work left and asks for permission to exit.
    Leaving,
    /// New to old: the sender has processed all earlier messages, so the receiver may exit.
    Leave,
    /// A message that this build does not know.
    #[serde(other)]
    Unknown,
}

/// Returns a note as the number of its kind and its value.
pub fn encode_note(note: Note) -> (u8, f64) {
    match note {
        Note::Delivered(x) => (1, x),
        Note::Rung(rung) => (2, rung.0 as f64),
        Note::Link(x) => (3, x),
        Note::Uplink(x) => (4, x),
    }
}

/// Returns the note of a kind and a value; `None` if the kind is unknown or the value is not finite.
pub fn decode_note(number: u8, value: f64) -> Option<Note> {
    Some(match number {
        1 => Note::Delivered(value),
        2 => Note::Rung(Rung(value.max(0.0) as usize)),
        3 => Note::Link(value),
        4 => Note::Uplink(value),
        _ => return None,
    })
    .filter(|_| value.is_finite())
}

/// Returns the name of how a session ended. All but completion and cancellation count as a reset.
pub fn status_name(status: Status) -> &'static str {
    match status {
        Status::Completed => "completed",
        Status::Cancelled => "cancelled",
        _ => "reset",
    }
}

/// Returns the status of a name. An unknown name counts as a reset.
pub fn parse_status(name: &str) -> Status {
    match name {
        "completed" => Status::Completed,
        "cancelled" => Status::Cancelled,
        _ => Status::Reset,
    }
}

/// Encodes a message as a line.
pub fn encode(message: &Message) -> Vec<u8> {
    // Serializing plain records of numbers and text can't fail.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

#[cfg(test)]
mod tests {
    use super::reader::MAX_LINE_BYTES;
    use super::*;

    fn sample_messages() -> Vec<Message> {
        let mut request = Request::new(SessionId(7), Text::from("t"), Micros(0), 3, 2);
        (request.home, request.viewer) = (1, Text::from("v"));
        let transfer = SessionTransfer::new(&request, "paid", "home", &ServerId::new("s-0"), Some(Rung(1)));
        assert_eq!(transfer.request(0, 0), request);
        vec![
            Message::TakeOver { version: VERSION, started: 1 },
            Message::Yielded,
            Message::Session(transfer),
            Message::Over { id: 7, server: "s-0".into(), how: "completed".into() },
            Message::Noted { id: 7, server: "s-0".into(), note: 3, figure: 0.5 },
            Message::Left { id: 7 },
            Message::Leaving,
            Message::Leave,
        ]
    }

    #[test]
    fn reads_messages_split_at_any_byte_and_ignores_an_incomplete_one() {
        let bytes: Vec<u8> = sample_messages().iter().flat_map(encode).collect();
        for cut in 0..=bytes.len() {
            let mut reader = MessageReader::default();
            let mut read = reader.feed(&bytes[..cut]);
            let whole = bytes[..cut].iter().filter(|b| **b == b'\n').count();
            assert_eq!(read, sample_messages()[..whole]);
            read.extend(reader.feed(&bytes[cut..]));
            assert!(read == sample_messages() && !reader.is_broken());
        }
    }

    #[test]
    fn skips_unknown_messages_and_stops_at_invalid_input() {
        let mut reader = MessageReader::default();
        let bytes = b"{\"say\":\"dance\"}\n{\"say\":\"left\",\"id\":7,\"why\":1}\nx\n{\"say\":\"leave\"}\n";
        assert_eq!(reader.feed(bytes), [Message::Unknown, Message::Left { id: 7 }]);
        assert!(reader.is_broken() && reader.feed(b"{\"say\":\"leave\"}\n").is_empty());
        let mut endless = MessageReader::default();
        assert!(endless.feed(&[b' '; MAX_LINE_BYTES + 1]).is_empty() && endless.is_broken());
    }
}
