//! The hand-over of a broker from one process to the next, at either of them: sessions that stand are passed, and
//! what is heard of them where they no longer are.

use super::{Node, named};
use crate::api::*;
use crate::broker::{Effect as Done, Input};
use crate::operate::handover::{
    Message, SessionTransfer, note_number, numbered_note, status_word, worded_status,
};
use crate::platform::links::{Command, ServerMessage, status};

impl Node {
    /// This process asks another, or nobody, whether it may serve.
    pub fn await_predecessor(&mut self) {
        self.phase.start();
    }

    /// Sessions that memory allows at most.
    pub fn most_sessions(&self) -> usize {
        self.broker.max_sessions()
    }

    /// It serves from now on.
    pub fn start_serving(&mut self) {
        self.phase.serve();
    }

    /// It may take turns at cold servers that begin from now on.
    pub fn take_warm_up_turns(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.tell(now, Input::WarmUpTurnsFrom(now), out);
    }

    /// Another process serves from now on: no turn at cold servers is taken any more, what stands is passed, and
    /// clients' connections are let go.
    pub fn yield_to_successor(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.yields();
        self.let_go_at = now;
        self.tell(now, Input::WarmUpTurnsFrom(Micros::MAX), out);
        let standing: Vec<SessionId> = self.broker.established_ids();
        for id in standing {
            self.pass(now, id, out);
        }
    }

    /// The other process is gone: this one serves again. Sessions that were passed play on and are named again by
    /// their clients. A turn at a cold server that began before may have been the other's; those that begin from now on
    /// are this process's, also if it was told to end: whoever comes next asks it at the meeting point first.
    pub fn resume_serving(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.resumes();
        self.let_go_at = self.phase.lets_go_from().unwrap_or(Micros::MAX);
        self.passed.clear();
        self.tell(now, Input::WarmUpTurnsFrom(now), out);
    }

    /// Passes a session that stands to the process that serves now.
    pub(super) fn pass(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        // Those of the HTTP front stay: their clients know an address of this process.
        if self.owned_by_whip(id) {
            return;
        }
        let Some((request, server, rung)) = self.broker.established_session(id) else { return };
        let class = named(&self.names.classes, request.class);
        let tenant = named(&self.names.tenants, request.tenant);
        let passed = SessionTransfer::new(&request, class, tenant, &server, rung);
        self.messages.push(Message::Session(passed));
        self.passed.insert(id, server);
        self.forget(id);
        self.tell(now, Input::HandedOver(id), out);
    }

    /// Takes a session that another process held.
    pub fn adopt_session(&mut self, now: Micros, passed: &SessionTransfer, out: &mut Vec<Command>) {
        let class = self.names.class(&passed.class);
        let tenant = self.names.tenant(&passed.tenant).unwrap_or(0);
        let (id, server) = (SessionId(passed.id), ServerId::new(&passed.server));
        let Some(class) = class else {
            // This process has no such class: its client hears that it is over, and comes again.
            self.links.release(now, id, &server, out);
            return self.carry_out(now, Done::Ended(id, Status::Reset), out);
        };
        self.tell(now, Input::ExistingSession(passed.request(class, tenant), server.clone()), out);
        if let Some(rung) = passed.rung {
            self.tell(now, Input::Note { id, server: server.clone(), note: Note::Rung(Rung(rung)) }, out);
        }
        // The next version serves already: it goes on to that.
        if self.phase.yielded() {
            return self.pass(now, id, out);
        }
        let before = out.len();
        // A server that drains may turn new connections down though its sessions play.
        self.links.ensure_connected_after_handover(now, &server, out);
        self.dialled(now, &server, "notes", &out[before..]);
    }

    /// What the other process heard of a session that is here now.
    pub fn handle_forwarded(&mut self, now: Micros, message: &Message, out: &mut Vec<Command>) {
        if let Message::Over { id, .. } | Message::Noted { id, .. } = message
            && self.passed.contains_key(&SessionId(*id))
        {
            return self.forward(message.clone());
        }
        match message {
            Message::Over { id, server, how } => {
                let (server, status) = (ServerId::new(server), worded_status(how));
                let load = Load::default();
                self.tell(now, Input::Ended { id: SessionId(*id), server, status, load }, out);
            }
            Message::Noted { id, server, note, figure } => {
                if let Some(note) = numbered_note(*note, *figure) {
                    let server = ServerId::new(server);
                    self.tell(now, Input::Note { id: SessionId(*id), server, note }, out);
                }
            }
            Message::Left { id } => self.client_left_at_peer(now, *id, out),
            _ => {}
        }
    }

    /// A client left a session, as the other process heard.
    pub fn client_left_at_peer(&mut self, now: Micros, id: u64, out: &mut Vec<Command>) {
        let id = SessionId(id);
        if self.broker.has_session(id) {
            self.forget(id);
            self.tell(now, Input::ClientLeft(id), out);
        }
    }

    /// Whether a client waits here for an answer, or has a connection that it may ask on; or a server that drains
    /// can tell of what it still plays nowhere else, as it turns new connections down.
    pub fn has_waiting_clients(&self) -> bool {
        self.broker.unanswered() > 0
            || !self.viewers.is_empty()
            || self.links.waiting()
            || self.passed.values().any(|server| self.drains(server) && self.links.reaches(server))
            || self.whip.as_ref().is_some_and(|whip| !whip.idle())
    }

    fn drains(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|(state, _)| *state == ServerState::Draining)
    }

    /// What the other process is to hear since the last call.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// A client left a session that is not here: perhaps it is at the other process.
    pub(super) fn stray(&mut self, id: SessionId) {
        self.messages.push(Message::Left { id: id.0 });
    }

    /// Whether what a server says concerns a session that was passed; it is passed too then.
    pub(super) fn passes_on(&mut self, heard: &ServerMessage) -> bool {
        let id = match heard {
            ServerMessage::Release(id, ..) | ServerMessage::Note(id, _) => *id,
            ServerMessage::Answer(..) => return false,
        };
        let Some(server) = self.passed.get(&id).map(|server| server.0.to_string()) else { return false };
        let message = match heard {
            ServerMessage::Release(id, cause, _) => {
                let how = status_word(status(*cause, true)).to_owned();
                Message::Over { id: id.0, server, how }
            }
            ServerMessage::Note(id, note) => {
                let (note, figure) = note_number(*note);
                Message::Noted { id: id.0, server, note, figure }
            }
            ServerMessage::Answer(..) => return false,
        };
        self.forward(message);
        true
    }

    /// Word of a session that was passed goes where it went.
    fn forward(&mut self, message: Message) {
        if let Message::Over { id, .. } = &message {
            self.passed.remove(&SessionId(*id));
        }
        self.messages.push(message);
    }
}
