//! The hand-over from an old process to a new one of the same broker: what the two say to each other, and what each
//! does about it. No socket, no clock.

pub mod giver;
pub mod heir;
mod reader;

pub use reader::MessageReader;

use serde::{Deserialize, Serialize};

use crate::api::{Micros, Note, Request, Rung, ServerId, SessionId, Status, Text};

/// What this build speaks. Fields that a build does not know are skipped; a change that both must know raises this.
pub const VERSION: u32 = 1;

/// A session that stands, as one process passes it to the other. Classes and tenants go by name: the two processes
/// may have read different files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SessionTransfer {
    /// The session.
    pub id: u64,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Its viewer.
    pub viewer: String,
    /// What is watched.
    pub title: String,
    /// First cell that holds the title.
    pub home: u32,
    /// So many cells in a row hold it.
    pub copies: u32,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// Where it stands.
    pub server: String,
    /// The rung in force, if it is known.
    pub rung: Option<usize>,
}

impl SessionTransfer {
    /// From a request and where it stands.
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

    /// The request that it came of, under the numbers that this process has for its class and tenant.
    pub fn request(&self, class: usize, tenant: usize) -> Request {
        let (id, title) = (SessionId(self.id), Text::from(self.title.as_str()));
        let viewer = Text::from(self.viewer.as_str());
        let mut request = Request::new(id, title, Micros(0), self.copies, self.top);
        (request.class, request.tenant, request.home, request.viewer) = (class, tenant, self.home, viewer);
        request
    }
}

/// What one process says to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum Message {
    /// The new one: it can serve, and asks the old one to yield.
    TakeOver {
        /// What it speaks.
        version: u32,
        /// When it started, by the machine's clock that is never set.
        started: u64,
    },
    /// The old one has yielded.
    Yielded,
    /// The old one gives way to another already.
    Busy,
    /// The old one speaks another version.
    Other,
    /// The one that was asked started later than the one that asks.
    Newer,
    /// The old one passes a session that stands.
    Session(SessionTransfer),
    /// The old one heard that a session is over that it had passed.
    Over {
        /// The session.
        id: u64,
        /// Its server.
        server: String,
        /// How it ended, as [`status_name`] has it.
        how: String,
    },
    /// The old one heard a note on a session that it had passed.
    Noted {
        /// The session.
        id: u64,
        /// Its server.
        server: String,
        /// Which note: 1 to 4, as on the simulator's wire.
        note: u8,
        /// Its figure.
        figure: f64,
    },
    /// One heard from a client that a session is over that the other may hold.
    Left {
        /// The session.
        id: u64,
    },
    /// The old one has nothing left and asks to leave.
    Leaving,
    /// The new one has taken in all that came before.
    Leave,
    /// Of another build.
    #[serde(other)]
    Unknown,
}

/// A note as a number and a figure.
pub fn encode_note(note: Note) -> (u8, f64) {
    match note {
        Note::Delivered(x) => (1, x),
        Note::Rung(rung) => (2, rung.0 as f64),
        Note::Link(x) => (3, x),
        Note::Uplink(x) => (4, x),
    }
}

/// And back.
pub fn decode_note(number: u8, figure: f64) -> Option<Note> {
    Some(match number {
        1 => Note::Delivered(figure),
        2 => Note::Rung(Rung(figure.max(0.0) as usize)),
        3 => Note::Link(figure),
        4 => Note::Uplink(figure),
        _ => return None,
    })
    .filter(|_| figure.is_finite())
}

/// How a session ended, as a word.
pub fn status_name(status: Status) -> &'static str {
    match status {
        Status::Completed => "completed",
        Status::Cancelled => "cancelled",
        _ => "reset",
    }
}

/// And back; what is not known counts as a reset.
pub fn parse_status(word: &str) -> Status {
    match word {
        "completed" => Status::Completed,
        "cancelled" => Status::Cancelled,
        _ => Status::Reset,
    }
}

/// A message as a line.
pub fn encode(message: &Message) -> Vec<u8> {
    // Plain records of numbers and text always have a form in JSON.
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
        let passed = SessionTransfer::new(&request, "paid", "home", &ServerId::new("s-0"), Some(Rung(1)));
        assert_eq!(passed.request(0, 0), request);
        vec![
            Message::TakeOver { version: VERSION, started: 1 },
            Message::Yielded,
            Message::Session(passed),
            Message::Over { id: 7, server: "s-0".into(), how: "completed".into() },
            Message::Noted { id: 7, server: "s-0".into(), note: 3, figure: 0.5 },
            Message::Left { id: 7 },
            Message::Leaving,
            Message::Leave,
        ]
    }

    #[test]
    fn messages_are_read_wherever_they_are_cut_and_a_half_one_counts_for_nothing() {
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
    fn another_builds_words_are_skipped_and_garbage_ends_the_reading() {
        let mut reader = MessageReader::default();
        let bytes = b"{\"say\":\"dance\"}\n{\"say\":\"left\",\"id\":7,\"why\":1}\nx\n{\"say\":\"leave\"}\n";
        assert_eq!(reader.feed(bytes), [Message::Unknown, Message::Left { id: 7 }]);
        assert!(reader.is_broken() && reader.feed(b"{\"say\":\"leave\"}\n").is_empty());
        let mut endless = MessageReader::default();
        assert!(endless.feed(&[b' '; MAX_LINE_BYTES + 1]).is_empty() && endless.is_broken());
    }
}
