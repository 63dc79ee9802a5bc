//! Reader for the server-sent events with which a media server reports its load and the sessions that it ended. The
//! data of each event is a JSON object:
//!
//! | key | meaning |
//! | --- | --- |
//! | `link`, `uplink` | demand on the server's link, and on the uplink of its rack, divided by the rate it delivers |
//! | `delivered` | share of the requested rates that its sessions receive, 0 to 1 |
//! | `ended` | the path of a session that has ended |

use serde_json::Value;

use crate::api::Note;
use crate::http::{HttpError, sse};

/// An event that a server sent.
#[derive(Clone, Debug, PartialEq)]
pub enum EdgeEvent {
    /// A note on its load.
    Note(Note),
    /// The session at this path has ended.
    Ended(String),
}

/// Reads bytes of a stream and returns the events that are complete. After an error, which includes a status other
/// than 200, the stream can't be read on.
pub fn read_events(stream: &mut sse::Stream, bytes: &[u8]) -> Result<Vec<EdgeEvent>, HttpError> {
    let mut events = Vec::new();
    stream.feed(bytes, &mut events)?;
    Ok(events.iter().flat_map(|event| parse_data(&event.data)).collect())
}

/// Reads the data of one event. Unknown keys and values out of their range are skipped.
fn parse_data(data: &str) -> Vec<EdgeEvent> {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let number = |key: &str| value.get(key).and_then(Value::as_f64).filter(|x| x.is_finite() && *x >= 0.0);
    let notes = [
        number("link").map(Note::Link),
        number("uplink").map(Note::Uplink),
        number("delivered").filter(|share| *share <= 1.0).map(Note::Delivered),
    ];
    let ended = value.get("ended").and_then(Value::as_str).map(|path| EdgeEvent::Ended(path.to_owned()));
    notes.into_iter().flatten().map(EdgeEvent::Note).chain(ended).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_load_and_ended_sessions_however_the_bytes_are_split() {
        let text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\ndata: {\"link\":1.2,\"delivered\":0.9}\n\n\
            data: {\"delivered\":7,\"uplink\":-1,\"ended\":\"/made/1\"}\n\ndata: no\n\n";
        for size in [1, 3, 1000] {
            let (mut stream, mut received) = (sse::Stream::default(), Vec::new());
            for piece in text.as_bytes().chunks(size) {
                received.extend(read_events(&mut stream, piece).unwrap());
            }
            let load = [EdgeEvent::Note(Note::Link(1.2)), EdgeEvent::Note(Note::Delivered(0.9))];
            assert_eq!(received, [load.as_slice(), &[EdgeEvent::Ended("/made/1".into())]].concat());
        }
        let refused = b"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n";
        assert!(read_events(&mut sse::Stream::default(), refused).is_err());
    }
}
