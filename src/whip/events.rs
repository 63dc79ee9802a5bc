//! What happens to a session, as server-sent events, in the manner of the WHEP draft's extension: the answer to a
//! set-up has a `Link` to the stream, a POST there is answered with its place, a GET opens it.
//!
//! | event | data | when |
//! | --- | --- | --- |
//! | `rung` | `{"rung":N}` | the broker changed the rung |
//! | `moved` | `{}` | the session ends, its client is to come again |
//! | `ended` | `{}` | the session is over |

use super::{FrontAction, Session, WhipFront};
use crate::api::{Micros, Rung, SessionId};
use crate::http::server::Response;
use crate::platform::links::ConnId;

/// A stream on which nothing happens says so, so that nothing between takes it for dead.
pub(super) const COMMENT_EVERY: Micros = Micros(15_000_000);
/// Streams of one session.
const MOST_STREAMS: usize = 4;
const RELATION: &str = "urn:ietf:params:whep:ext:core:server-sent-events";

/// Where a session's events are.
pub(super) fn path(id: SessionId) -> String {
    format!("/sessions/{:016x}/events", id.0)
}

/// The value of a `Link` header that leads there.
pub(super) fn link(id: SessionId) -> String {
    format!("<{}>; rel=\"{RELATION}\"; events=\"rung,moved,ended\"", path(id))
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

pub(super) fn comment() -> Vec<u8> {
    chunk(":\n\n")
}

fn event(name: &str, data: &serde_json::Value) -> Vec<u8> {
    chunk(&format!("event: {name}\ndata: {data}\n\n"))
}

impl WhipFront {
    /// Whether a session of this front stands.
    pub(super) fn standing(&self, id: SessionId) -> bool {
        self.sessions.get(&id).is_some_and(|s| s.answer.is_some())
    }

    /// Opens a stream on a connection, which carries nothing else from then on; or gives why not.
    pub(super) fn listen(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        out: &mut Vec<FrontAction>,
    ) -> Option<Response> {
        let (Some(session), Some(c)) = (self.sessions.get_mut(&id), self.conns.get_mut(&conn)) else {
            return Some(super::no_session());
        };
        if session.streams.len() >= MOST_STREAMS {
            let response =
                Response::problem(503, "too-many-streams", "the session has enough streams of events");
            return Some(response.with("Retry-After", super::RETRY_S));
        }
        session.streams.insert(conn);
        (c.waits, c.streams, c.used) = (Some((id, false)), true, now);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nAccess-Control-Allow-Origin: {}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
            self.setup.origin
        );
        out.push(FrontAction::Write(conn, [head.into_bytes(), comment()], None));
        None
    }

    /// The broker changed a session's rung.
    pub fn rated(&mut self, id: SessionId, rung: Rung, out: &mut Vec<FrontAction>) {
        let Some(session) = self.sessions.get(&id) else { return };
        let told = event("rung", &serde_json::json!({"rung": rung.0}));
        out.extend(
            session.streams.iter().map(|conn| FrontAction::Write(*conn, [told.clone(), Vec::new()], None)),
        );
    }

    /// The last event, and the end of the streams.
    pub(super) fn hang_up(&mut self, session: &Session, name: &str, out: &mut Vec<FrontAction>) {
        for conn in &session.streams {
            let Some(c) = self.conns.get_mut(conn) else { continue };
            (c.waits, c.closing) = (None, true);
            let last = event(name, &serde_json::json!({}));
            out.push(FrontAction::Write(*conn, [last, b"0\r\n\r\n".to_vec()], None));
            out.push(FrontAction::Close(*conn, "done"));
        }
    }
}
