//! The platform's viewers: their connections, what they say, and the lines that go back to them.

use super::{Node, named};
use crate::api::*;
use crate::broker::{Effect, Input};
use crate::message::line::Line;
use crate::mutant::{self, Mutant};
use crate::operate::figures::Outcome;
use crate::platform::links::{Command, ConnId};
use crate::platform::viewer::{self, ViewerMessage};

/// How long a release waits for a connection that it could go out on: as long as a drain may take, in which clients
/// have none here. Late is better than never, as its client goes by it that the session plays.
const OWED_KEPT: Micros = Micros(60_000_000);
/// The part of the memory that they may take, and what each takes, roughly: as many may wait as sessions may be held,
/// as all of them may end while their clients have no connection here.
const OWED_PART: usize = 16;
const OWED_BYTES: usize = 256;

/// How many releases may wait for a connection, where there is so much memory.
pub(super) fn owed_most(memory: usize) -> usize {
    memory / OWED_PART / OWED_BYTES
}

/// The final answer to a set-up.
pub(super) enum Reply {
    /// The session stands.
    Plays(Line),
    /// It was refused, or it failed.
    Over(Line),
}

impl Node {
    pub(super) fn said(&mut self, now: Micros, conn: ConnId, said: ViewerMessage, out: &mut Vec<Command>) {
        if !matches!(said, ViewerMessage::Ping(_)) {
            self.pay_owed(now, conn, out);
        }
        match said {
            ViewerMessage::Ping(id) => {
                self.say(now, Some(conn), &viewer::pong(id, self.phase.passes(now)), out)
            }
            ViewerMessage::Release(id) => {
                self.forget(id);
                if self.broker.has_session(id) {
                    self.tell(now, Input::ClientLeft(id), out);
                } else {
                    self.stray(id);
                }
            }
            ViewerMessage::SetUp(request, description) => {
                let id = request.id;
                if self.broker.has_session(id) {
                    return self.taken(now, conn, id, out);
                }
                self.homes.insert(id, conn);
                if let Some(c) = self.viewers.get_mut(&conn) {
                    c.open.insert(id);
                }
                self.ask(now, request, description.into_bytes().into(), out);
            }
            ViewerMessage::Unfit(id, _) if self.broker.has_session(id) => self.taken(now, conn, id, out),
            ViewerMessage::Unfit(id, class) => {
                if let Some(class) = class {
                    self.figures.asked(id, named(&self.names.classes, class));
                    self.figures.answered(id, Outcome::Faulted);
                }
                self.say(now, Some(conn), &viewer::failed(id), out);
            }
            ViewerMessage::Playing(request, _) if self.phase.closed() => {
                self.carry_out(now, Effect::Ended(request.id, Status::Reset), out);
            }
            ViewerMessage::Playing(request, server) => {
                self.homes.entry(request.id).or_insert(conn);
                self.tell(now, Input::ExistingSession(request, server.clone()), out);
                let before = out.len();
                self.links.ensure_connected(now, &server, out);
                self.dialled(now, &server, "notes", &out[before..]);
            }
        }
    }

    /// A connection that was to be let go stays: its client has said something.
    pub fn keep_open(&mut self, now: Micros, conn: ConnId) {
        if let Some(c) = self.viewers.get_mut(&conn) {
            (c.closing, c.used) = (false, now);
        }
        if let Some(whip) = &mut self.whip {
            whip.keep_open(now, conn);
        }
    }

    /// What waited for a connection goes out on one that has proved to be a viewer's: who only tests hears of no
    /// sessions (seen on a day with a drain, when the front's tests were the only connections).
    fn pay_owed(&mut self, now: Micros, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(c) = self.viewers.get_mut(&conn) {
            c.asked = true;
        }
        for (until, bytes) in std::mem::take(&mut self.owed) {
            if until > now {
                out.push(Command::WriteSessionEnd(conn, bytes));
            }
        }
    }

    /// A set-up under an id that is in use. The first keeps its single answer; the sender of the second is told by
    /// a failure, or by a close where a line with that id could mean the first.
    pub(super) fn taken(&mut self, now: Micros, conn: ConnId, id: SessionId, out: &mut Vec<Command>) {
        let own = self.homes.get(&id) == Some(&conn);
        let Some(c) = self.viewers.get_mut(&conn) else { return };
        if own || c.open.is_empty() {
            c.repeats = true;
            self.close_if_repeats(conn, out);
        } else {
            self.say(now, Some(conn), &viewer::failed(id), out);
        }
    }

    /// A set-up's final answer.
    pub(super) fn reply(
        &mut self,
        now: Micros,
        home: Option<ConnId>,
        id: SessionId,
        reply: &Reply,
        out: &mut Vec<Command>,
    ) {
        let home = home.filter(|conn| self.viewers.contains_key(conn));
        if let Some(tracer) = &mut self.tracer {
            tracer.replied(now, id, home);
        }
        // A session that stands is marked: it ends if its client can't be told of it.
        let (line, mark) = match reply {
            Reply::Plays(line) => (line, Some(id)),
            Reply::Over(line) => (line, None),
        };
        self.say_marked(home, line, mark, out);
        if mutant::on(Mutant::AnsweredTwice) {
            self.say_marked(home, line, None, out);
        }
        if let Some(conn) = home {
            self.close_if_repeats(conn, out);
        }
    }

    pub(super) fn close_if_repeats(&mut self, conn: ConnId, out: &mut Vec<Command>) {
        if let Some(c) = self.viewers.get_mut(&conn).filter(|c| c.repeats && !c.closing && c.open.is_empty())
        {
            c.closing = true;
            out.push(Command::Close(conn, "id-in-use"));
        }
    }

    /// The answer to a request goes out on its connection.
    pub(super) fn answered(&mut self, now: Micros, id: SessionId) -> Option<ConnId> {
        let home = self.homes.get(&id).copied();
        if let Some(c) = home.and_then(|home| self.viewers.get_mut(&home)) {
            c.open.remove(&id);
            c.used = now;
        }
        home
    }

    pub(super) fn forget(&mut self, id: SessionId) {
        if let Some(home) = self.homes.remove(&id)
            && let Some(c) = self.viewers.get_mut(&home)
        {
            c.open.remove(&id);
        }
    }

    pub(super) fn say(&mut self, _now: Micros, conn: Option<ConnId>, line: &Line, out: &mut Vec<Command>) {
        self.say_marked(conn, line, None, out);
    }

    fn say_marked(
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

    /// A session that stands belongs to no connection: its end goes out on its own, on any, or on the next.
    pub(super) fn say_anywhere(
        &mut self,
        now: Micros,
        home: Option<ConnId>,
        line: &Line,
        out: &mut Vec<Command>,
    ) {
        if let Ok(bytes) = line.encode() {
            self.tell_end(now, home, bytes, out);
        }
    }

    fn tell_end(&mut self, now: Micros, home: Option<ConnId>, bytes: Vec<u8>, out: &mut Vec<Command>) {
        // What is written behind the end of a connection reaches nobody.
        let open = |conn: &ConnId| self.viewers.get(conn).is_some_and(|c| !c.closing && c.asked);
        match home.filter(open).or_else(|| self.viewers.keys().rev().copied().find(open)) {
            Some(conn) => out.push(Command::WriteSessionEnd(conn, bytes)),
            None => {
                self.owed.push_back((now + OWED_KEPT, bytes));
                self.owed.drain(..self.owed.len().saturating_sub(self.owed_most));
            }
        }
    }

    /// Ends of sessions that were not written whole when their connection ended: they go out on another, or on the next.
    pub fn requeue_session_ends(&mut self, now: Micros, ends: Vec<Vec<u8>>, out: &mut Vec<Command>) {
        for bytes in ends {
            self.tell_end(now, None, bytes, out);
        }
    }
}
