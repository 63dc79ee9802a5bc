//! The platform's viewers: their messages, and the lines sent back to them.

use super::{Node, name_at};
use crate::api::*;
use crate::broker::{Effect, Input};
use crate::message::line::Line;
use crate::mutant::{self, Mutant};
use crate::operate::figures::Outcome;
use crate::platform::links::{Command, ConnId};
use crate::platform::viewer::{self, ViewerMessage};

/// The final answer to a set-up.
pub(super) enum FinalAnswer {
    /// The session is established.
    Established(Line),
    /// The set-up was refused or failed.
    NotServed(Line),
}

impl Node {
    /// Handles a message of a viewer.
    pub(super) fn handle_viewer_message(
        &mut self,
        now: Micros,
        conn: ConnId,
        message: ViewerMessage,
        out: &mut Vec<Command>,
    ) {
        if !matches!(message, ViewerMessage::Ping(_)) {
            self.send_pending_ends(now, conn, out);
        }
        match message {
            ViewerMessage::Ping(id) => {
                self.write_line(now, Some(conn), &viewer::pong(id, self.phase.passes_health_check(now)), out)
            }
            ViewerMessage::Release(id) => {
                self.forget_session(id);
                if self.has_session(id) {
                    self.handle_input(now, Input::ClientLeft(id), out);
                } else {
                    self.forward_client_left(id);
                }
            }
            ViewerMessage::SetUp(request, description) => {
                let id = request.id;
                if self.has_session(id) {
                    return self.reject_reused_id(now, conn, id, out);
                }
                self.session_conns.insert(id, conn);
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.unanswered.insert(id);
                }
                self.submit_request(now, request, description.into_bytes().into(), out);
            }
            ViewerMessage::Invalid(id, _) if self.has_session(id) => {
                self.reject_reused_id(now, conn, id, out)
            }
            ViewerMessage::Invalid(id, class) => {
                if let Some(class) = class {
                    self.metrics.record_request(id, name_at(&self.names.classes, class));
                    self.metrics.record_answer(id, Outcome::Faulted);
                }
                self.write_line(now, Some(conn), &viewer::failed(id), out);
            }
            ViewerMessage::ExistingSession(request, _) if self.phase.is_refusing() => {
                self.apply_effect(now, Effect::Ended(request.id, Status::Reset), out);
            }
            ViewerMessage::ExistingSession(request, server) => {
                if self.session_conns.get(request.id).is_none() {
                    self.session_conns.insert(request.id, conn);
                }
                self.handle_input(now, Input::NamedSession(request, server.clone()), out);
                let before = out.len();
                self.links.ensure_connected(now, &server, out);
                self.trace_dials(now, &server, "notes", &out[before..]);
            }
        }
    }

    /// Keeps a connection open that was about to be closed, as its client has sent something.
    pub fn keep_open(&mut self, now: Micros, conn: ConnId) {
        if let Some(c) = self.viewers.get_mut(&conn) {
            (c.is_closing, c.last_used) = (false, now);
        }
        if let Some(whip) = &mut self.whip {
            whip.keep_open(now, conn);
        }
    }

    /// Handles a set-up with an id that is in use. The first set-up keeps its single answer. The second is
    /// answered by a failure, or by closing the connection where a line with that id could be taken for the
    /// answer to the first.
    pub(super) fn reject_reused_id(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: SessionId,
        out: &mut Vec<Command>,
    ) {
        let own = self.session_conns.get(id) == Some(conn);
        let Some(c) = self.viewers.get_mut(&conn) else { return };
        if own || c.unanswered.is_empty() {
            c.has_reused_id = true;
            self.close_after_reused_id(conn, out);
        } else {
            self.write_line(now, Some(conn), &viewer::failed(id), out);
        }
    }

    /// Sends the final answer to a set-up.
    pub(super) fn send_final_answer(
        &mut self,
        now: Micros,
        client_conn: Option<ConnId>,
        id: SessionId,
        answer: &FinalAnswer,
        out: &mut Vec<Command>,
    ) {
        let client_conn = client_conn.filter(|conn| self.viewers.contains_key(conn));
        if let Some(tracer) = &mut self.tracer {
            tracer.reply_sent(now, id, client_conn);
        }
        // The answer of an established session is marked: the session ends if its client can't be told of it.
        let (line, mark) = match answer {
            FinalAnswer::Established(line) => (line, Some(id)),
            FinalAnswer::NotServed(line) => (line, None),
        };
        self.write_marked_line(client_conn, line, mark, out);
        if mutant::is_active(Mutant::AnsweredTwice) {
            self.write_marked_line(client_conn, line, None, out);
        }
        if let Some(conn) = client_conn {
            self.close_after_reused_id(conn, out);
        }
    }

    /// Closes a connection that has reused an id, once all its set-ups are answered.
    pub(super) fn close_after_reused_id(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(c) = self
            .viewers
            .get_mut(&conn)
            .filter(|c| c.has_reused_id && !c.is_closing && c.unanswered.is_empty())
        {
            c.is_closing = true;
            out.push(Command::Close(conn, "id-in-use"));
        }
    }

    /// Marks a request as answered and returns the connection that its answer goes out on.
    pub(super) fn settle_request(&mut self, now: Micros, id: SessionId) -> Option<ConnId> {
        let client_conn = self.session_conns.get(id);
        if let Some(c) = client_conn.and_then(|client_conn| self.viewers.get_mut(&client_conn)) {
            c.unanswered.remove(&id);
            c.last_used = now;
        }
        client_conn
    }

    /// Drops a session from its connection.
    pub(super) fn forget_session(&mut self, id: SessionId) {
        if let Some(client_conn) = self.session_conns.remove(id)
            && let Some(c) = self.viewers.get_mut(&client_conn)
        {
            c.unanswered.remove(&id);
        }
    }

    /// Writes a line on a viewer connection, if it is still open.
    pub(super) fn write_line(
        &mut self,
        _now: Micros,
        conn: Option<ConnId>,
        line: &Line,
        out: &mut Vec<Command>,
    ) {
        self.write_marked_line(conn, line, None, out);
    }

    /// Writes a line. The driver reports whether a line marked with a session was fully written.
    fn write_marked_line(
        &mut self,
        conn: Option<ConnId>,
        line: &Line,
        mark: Option<SessionId>,
        out: &mut Vec<Command>,
    ) {
        if let (Some(conn), Ok(bytes)) = (conn.filter(|c| self.viewers.contains_key(c)), line.encode()) {
            out.push(Command::Write(conn, bytes, mark));
        }
    }
}
