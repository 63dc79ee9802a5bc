//! The operator console on the second listening address: each connection carries one call, a line of text, and gets
//! an answer that begins with `SUCCESS` or `FAILURE`.

use std::collections::BTreeSet;
use std::fmt;

use crate::api::Micros;

/// The maximum length of a call. Each call is a single word.
const MAX_CALL_BYTES: usize = 256;
/// The connection of a caller that has not completed its call within this time is closed. Some callers take 4 s
/// and still complete none.
pub const CALL_TIMEOUT: Micros = Micros(10_000_000);

/// A call of the operator console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process is ready to serve.
    Check,
    /// Asks for the metrics.
    Vars,
    /// Starts a drain.
    DrainOn,
    /// Ends a drain.
    DrainOff,
}

/// The reason why a connection yields no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadCall {
    /// There is no such call.
    Unknown,
    /// The line exceeds the maximum length of a call.
    TooLong,
    /// The connection ended before the line did.
    Unfinished,
    /// The call was not complete within [`CALL_TIMEOUT`].
    TooLate,
    /// The caller was dropped to make room for a new one.
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

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call was carried out, or its answer is yes.
    Success(&'static str),
    /// The call was not carried out, or its answer is no.
    Failure(String),
    /// The metrics, one a line.
    Metrics(String),
}

impl Answer {
    /// Returns the text to write to the caller.
    pub fn encode(&self) -> String {
        match self {
            Answer::Success(text) => format!("SUCCESS {text}\n"),
            Answer::Failure(reason) => format!("FAILURE {reason}\n"),
            Answer::Metrics(lines) => format!("SUCCESS\n{lines}EOT\n"),
        }
    }
}

/// Reads the call from one caller's connection.
#[derive(Debug, Default)]
pub struct CallReader {
    buffer: Vec<u8>,
}

impl CallReader {
    /// Takes in bytes and returns the call once its line is complete. Bytes after the line are ignored.
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

/// The identifier of a caller: a counter that starts with the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// The callers that are connected and have not completed a call. Their number is bounded, even when hundreds connect
/// and send nothing.
#[derive(Debug)]
pub struct Callers {
    max_waiting: usize,
    next: u64,
    waiting: BTreeSet<CallerId>,
}

impl Callers {
    /// Creates a set with room for `max_waiting` callers, at least one.
    pub fn new(max_waiting: usize) -> Callers {
        Callers { max_waiting: max_waiting.max(1), next: 0, waiting: BTreeSet::new() }
    }

    /// Adds a caller and returns its identifier. If there is no room, removes and returns the caller that has waited
    /// longest: a well-behaved caller writes its line at once, and that is read before the next caller is admitted.
    pub fn admit(&mut self) -> (CallerId, Option<CallerId>) {
        let oldest = (self.waiting.len() >= self.max_waiting).then(|| self.waiting.pop_first()).flatten();
        self.next += 1;
        self.waiting.insert(CallerId(self.next));
        (CallerId(self.next), oldest)
    }

    /// Removes a caller that has completed its call or disconnected.
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
    fn reads_a_call_split_at_any_byte() {
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
    fn rejects_unknown_and_overlong_calls_and_waits_for_the_end_of_a_line() {
        assert_eq!(feed_pieces(&[b"drain\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"\xff\x00check\n"]), Some(Err(BadCall::Unknown)));
        assert_eq!(feed_pieces(&[b"chec"]), None);
        assert_eq!(feed_pieces(&[&[b'x'; 200], &[b'x'; 57]]), Some(Err(BadCall::TooLong)));
        assert_eq!(feed_pieces(&[&[b'x'; 70_000]]), Some(Err(BadCall::TooLong)));
    }

    /// Guards against silent callers that keep others out.
    #[test]
    fn evicts_the_longest_waiting_caller_when_full() {
        let mut callers = Callers::new(2);
        let (a, evicted_by_a) = callers.admit();
        let (b, _) = callers.admit();
        assert_eq!(evicted_by_a, None);
        let (c, evicted_by_c) = callers.admit();
        assert_eq!(evicted_by_c, Some(a));
        callers.remove(b);
        assert_eq!(callers.admit().1, None);
        assert_eq!(callers.admit().1, Some(c));
        assert_eq!(callers.waiting.len(), 2);
    }

    #[test]
    fn encodes_answers_with_their_status_and_ends_metrics_with_eot() {
        assert_eq!(Answer::Success("ready").encode(), "SUCCESS ready\n");
        assert_eq!(Answer::Failure("draining".into()).encode(), "FAILURE draining\n");
        assert_eq!(Answer::Metrics("a=1\n".into()).encode(), "SUCCESS\na=1\nEOT\n");
    }
}
