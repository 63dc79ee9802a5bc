//! The second address: one line a connection, answered by a line that begins with `SUCCESS` or `FAILURE`.

use std::collections::BTreeSet;
use std::fmt;

use crate::api::Micros;

/// The longest line that is read; calls are a word each.
const MAX_CALL_BYTES: usize = 256;
/// A caller that has not completed its call after this is let go. Some take 4 s without completing one.
pub const CALL_TIMEOUT: Micros = Micros(10_000_000);

/// What staff call for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Check,
    /// The figures.
    Vars,
    /// Drain.
    DrainOn,
    /// Back to work.
    DrainOff,
}

/// Why a call is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// No such call.
    Unknown,
    /// The line is longer than any call.
    TooLong,
    /// The connection ended inside the line.
    Unfinished,
    /// The time of a caller was over.
    TooLate,
    /// The caller made room for another.
    NoRoom,
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadCall::Unknown => "unknown call; there are check, vars, drain-on, drain-off",
            BadCall::TooLong => "line too long",
            BadCall::Unfinished => "the line did not end",
            BadCall::TooLate => "no call in time",
            BadCall::NoRoom => "too many callers",
        })
    }
}

impl std::error::Error for BadCall {}

/// What a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was done, or the answer is yes.
    Success(&'static str),
    /// It was not done, or the answer is no.
    Failure(String),
    /// Lines of figures.
    Metrics(String),
}

impl Answer {
    /// The bytes to write.
    pub fn encode(&self) -> String {
        match self {
            Answer::Success(word) => format!("SUCCESS {word}\n"),
            Answer::Failure(why) => format!("FAILURE {why}\n"),
            Answer::Metrics(lines) => format!("SUCCESS\n{lines}EOT\n"),
        }
    }
}

/// The reading side of one caller's connection.
#[derive(Debug, Default)]
pub struct CallReader {
    buffer: Vec<u8>,
}

impl CallReader {
    /// Takes bytes in; gives the call once its line is whole. What comes behind the line is not read.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, BadCall>> {
        let end = bytes.iter().position(|b| *b == b'\n');
        self.buffer.extend_from_slice(&bytes[..end.unwrap_or(bytes.len()).min(MAX_CALL_BYTES + 1)]);
        if self.buffer.len() > MAX_CALL_BYTES {
            return Some(Err(BadCall::TooLong));
        }
        end?;
        Some(match self.buffer.trim_ascii() {
            b"check" => Ok(Call::Check),
            b"vars" => Ok(Call::Vars),
            b"drain-on" => Ok(Call::DrainOn),
            b"drain-off" => Ok(Call::DrainOff),
            _ => Err(BadCall::Unknown),
        })
    }
}

/// A caller, counted from the start of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// Who is connected and has not completed a call: never more than so many, also when hundreds connect and say
/// nothing.
#[derive(Debug)]
pub struct Callers {
    max_waiting: usize,
    next: u64,
    waiting: BTreeSet<CallerId>,
}

impl Callers {
    /// Room for so many.
    pub fn new(max_waiting: usize) -> Callers {
        Callers { max_waiting: max_waiting.max(1), next: 0, waiting: BTreeSet::new() }
    }

    /// One more comes. Where there is no room the one that has waited longest without completing its call goes:
    /// an honest caller writes its line at once, and what it wrote is read before the next one is let in.
    pub fn admit(&mut self) -> (CallerId, Option<CallerId>) {
        let oldest = (self.waiting.len() >= self.max_waiting).then(|| self.waiting.pop_first()).flatten();
        self.next += 1;
        self.waiting.insert(CallerId(self.next));
        (CallerId(self.next), oldest)
    }

    /// One has completed its call, or has left.
    pub fn remove(&mut self, id: CallerId) {
        self.waiting.remove(&id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn feed_pieces(pieces: &[&[u8]]) -> Option<Result<Call, BadCall>> {
        let mut reader = CallReader::default();
        pieces.iter().find_map(|piece| reader.feed(piece))
    }

    #[test]
    fn a_call_is_read_wherever_it_is_cut() {
        for (text, call) in [
            ("check\n", Call::Check),
            ("vars\r\n", Call::Vars),
            ("drain-on\nmore", Call::DrainOn),
            (" drain-off \n", Call::DrainOff),
        ] {
            for cut in 0..=text.len() {
                let (a, b) = text.as_bytes().split_at(cut);
                assert_eq!(feed_pieces(&[a, b]), Some(Ok(call)), "{text:?} cut at {cut}");
            }
        }
    }

    #[test]
    fn what_is_no_call_fails_and_a_half_line_waits() {
        assert_eq!(feed_pieces(&[b"drain\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"\xff\x00check\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"chec"]), None);
        assert_eq!(feed_pieces(&[&[b'x'; 200], &[b'x'; 57]]), Some(Err(BadCall::TooLong)));
        assert_eq!(feed_pieces(&[&[b'x'; 70_000]]), Some(Err(BadCall::TooLong)));
    }

    /// Guards against callers that say nothing and keep others out.
    #[test]
    fn the_oldest_silent_caller_makes_room() {
        let mut callers = Callers::new(2);
        let (a, none) = callers.admit();
        let (b, _) = callers.admit();
        assert_eq!(none, None);
        let (c, out) = callers.admit();
        assert_eq!(out, Some(a));
        callers.remove(b);
        assert_eq!(callers.admit().1, None);
        assert_eq!(callers.admit().1, Some(c));
        assert_eq!(callers.waiting.len(), 2);
    }

    #[test]
    fn answers_begin_with_their_word_and_figures_end_with_eot() {
        assert_eq!(Answer::Success("ready").encode(), "SUCCESS ready\n");
        assert_eq!(Answer::Failure("draining".into()).encode(), "FAILURE draining\n");
        assert_eq!(Answer::Metrics("a=1\n".into()).encode(), "SUCCESS\na=1\nEOT\n");
    }
}
