//! The hand-over of a broker from one process to the next, on either side: established sessions are
//! transferred, and messages about a transferred session are forwarded to the process that holds it.

use super::{Node, name_at};
use crate::api::*;
use crate::broker::{Effect, Input};
use crate::operate::handover::{
    Message, SessionTransfer, decode_note, encode_note, parse_status, status_name,
};
use crate::platform::links::{Command, ServerMessage, release_status};

impl Node {
    /// Marks this process as not serving until its predecessor, if there is one, has yielded.
    pub fn await_predecessor(&mut self) {
        self.phase.await_predecessor();
    }

    /// The number of sessions that the memory allows.
    pub fn max_sessions(&self) -> usize {
        self.broker.max_sessions()
    }

    /// Starts to serve.
    pub fn start_serving(&mut self) {
        self.phase.start_serving();
    }

    /// Takes the warm-up turns at servers that begin from now on.
    pub fn take_warm_up_turns(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.handle_input(now, Input::WarmUpTurnsFrom(now), out);
    }

    /// Yields to the next process: takes no more warm-up turns, hands over the established sessions, and
    /// closes client connections.
    pub fn yield_to_successor(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.yield_to_successor();
        self.next_drain_check = now;
        self.release_from_script(now, out);
        self.handle_input(now, Input::WarmUpTurnsFrom(Micros::MAX), out);
        let established: Vec<SessionId> = self.broker.established_ids();
        for id in established {
            self.hand_over_session(now, id, out);
        }
    }

    /// Serves again after the other process has exited. Sessions that were handed over play on, and their
    /// clients name them again. A warm-up turn that began earlier may belong to the other process. Turns that
    /// begin from now on belong to this one, even if it was told to end: the next process asks it at the
    /// meeting point before it serves.
    pub fn resume_serving(&mut self, now: Micros, out: &mut Vec<Command>) {
        self.phase.resume_serving();
        self.next_drain_check = self.phase.closes_connections_from().unwrap_or(Micros::MAX);
        self.handed_over.clear();
        self.handle_input(now, Input::WarmUpTurnsFrom(now), out);
    }

    /// Transfers an established session to the process that serves now.
    pub(super) fn hand_over_session(&mut self, now: Micros, id: SessionId, out: &mut Vec<Command>) {
        // Sessions of the HTTP front stay: their clients know an address of this process.
        if self.is_whip_session(id) {
            return;
        }
        let Some((request, server, rung)) = self.broker.established_session(id) else { return };
        let class = name_at(&self.names.classes, request.class);
        let tenant = name_at(&self.names.tenants, request.tenant);
        let transfer = SessionTransfer::new(&request, class, tenant, &server, rung);
        self.messages.push(Message::Session(transfer));
        self.handed_over.insert(id, server);
        self.forget_session(id);
        self.handle_input(now, Input::HandedOver(id), out);
    }

    /// Takes over a session from another process.
    pub fn adopt_session(&mut self, now: Micros, transfer: &SessionTransfer, out: &mut Vec<Command>) {
        let class = self.names.class(&transfer.class);
        let tenant = self.names.tenant(&transfer.tenant).unwrap_or(0);
        let (id, server) = (SessionId(transfer.id), ServerId::new(&transfer.server));
        let Some(class) = class else {
            // This process has no such class. The client is told that the session is over, and asks again.
            self.links.release(now, id, &server, out);
            return self.apply_effect(now, Effect::Ended(id, Status::Reset), out);
        };
        self.handle_input(now, Input::ExistingSession(transfer.request(class, tenant), server.clone()), out);
        if let Some(rung) = transfer.rung {
            self.handle_input(
                now,
                Input::Note { id, server: server.clone(), note: Note::Rung(Rung(rung)) },
                out,
            );
        }
        // A newer process serves already: the session goes on to that one.
        if self.phase.has_yielded() {
            return self.hand_over_session(now, id, out);
        }
        let before = out.len();
        // A draining server may refuse new connections while its sessions play.
        self.links.ensure_connected_after_handover(now, &server, out);
        self.trace_dials(now, &server, "notes", &out[before..]);
    }

    /// Handles a message of the other process about a session that is held here now.
    pub fn handle_forwarded(&mut self, now: Micros, message: &Message, out: &mut Vec<Command>) {
        if let Message::Over { id, .. } | Message::Noted { id, .. } = message
            && self.handed_over.contains_key(&SessionId(*id))
        {
            return self.forward_message(message.clone());
        }
        match message {
            Message::Over { id, server, how } => {
                let (server, status) = (ServerId::new(server), parse_status(how));
                let load = Load::default();
                self.handle_input(now, Input::Ended { id: SessionId(*id), server, status, load }, out);
            }
            Message::Noted { id, server, note, figure } => {
                if let Some(note) = decode_note(*note, *figure) {
                    let server = ServerId::new(server);
                    self.handle_input(now, Input::Note { id: SessionId(*id), server, note }, out);
                }
            }
            Message::Left { id } => self.client_left_at_peer(now, *id, out),
            _ => {}
        }
    }

    /// Handles the report of the other process that a client has left a session.
    pub fn client_left_at_peer(&mut self, now: Micros, id: u64, out: &mut Vec<Command>) {
        let id = SessionId(id);
        if self.broker.has_session(id) {
            self.forget_session(id);
            self.handle_input(now, Input::ClientLeft(id), out);
        }
    }

    /// Whether this process is still needed: a client waits for an answer or has an open connection, a write
    /// to a server is queued, or a draining server with sessions that were handed over is connected here.
    /// Such a server refuses new connections, so this is the only way for its messages.
    pub fn has_waiting_clients(&self) -> bool {
        self.open_counts().0 > 0
            || !self.viewers.is_empty()
            || self.links.has_queued_writes()
            || self
                .handed_over
                .values()
                .any(|server| self.is_draining(server) && self.links.is_connected_to(server))
            || self.whip.as_ref().is_some_and(|whip| !whip.idle())
    }

    /// Whether the server list has a server as draining.
    fn is_draining(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|(state, _)| *state == ServerState::Draining)
    }

    /// Returns the messages for the other process since the last call.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// Tells the other process that a client left a session that is not held here, as the other process may
    /// hold it.
    pub(super) fn forward_client_left(&mut self, id: SessionId) {
        self.messages.push(Message::Left { id: id.0 });
    }

    /// Forwards a server's message if its session was handed over. Returns whether it was.
    pub(super) fn forward_if_handed_over(&mut self, said: &ServerMessage) -> bool {
        let id = match said {
            ServerMessage::Release(id, ..) | ServerMessage::Note(id, _) => *id,
            ServerMessage::Answer(..) => return false,
        };
        let Some(server) = self.handed_over.get(&id).map(|server| server.0.to_string()) else { return false };
        let message = match said {
            ServerMessage::Release(id, cause, _) => {
                let how = status_name(release_status(*cause, true)).to_owned();
                Message::Over { id: id.0, server, how }
            }
            ServerMessage::Note(id, note) => {
                let (note, figure) = encode_note(*note);
                Message::Noted { id: id.0, server, note, figure }
            }
            ServerMessage::Answer(..) => return false,
        };
        self.forward_message(message);
        true
    }

    /// Queues a message about a handed-over session for the process that holds it.
    fn forward_message(&mut self, message: Message) {
        if let Message::Over { id, .. } = &message {
            self.handed_over.remove(&SessionId(*id));
        }
        self.messages.push(message);
    }
}
