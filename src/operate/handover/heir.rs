//! The successor's side of a hand-over: when the new process starts to serve, and from when it takes warm-up turns at
//! cold servers.

use std::collections::{BTreeMap, VecDeque};

use super::{Message, SessionTransfer, VERSION};
use crate::api::Micros;

/// If the predecessor has not answered within this time, the new process serves beside it. This only ensures that the
/// new process makes progress; no other guarantee depends on it.
pub const PREDECESSOR_TIMEOUT: Micros = Micros(2_000_000);
/// The time for which the end of a session that was not handed over yet is remembered.
const EARLY_END_TTL: Micros = Micros(30_000_000);

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Accept connections and report ready.
    Serve,
    /// Listen on the hand-over socket, where the next process asks.
    Listen,
    /// Take the warm-up turns at cold servers that begin from now on.
    TakeWarmUpTurns,
    /// Exit: a newer process serves already, and this one has accepted nothing.
    Exit,
    /// Close the connection and connect to the hand-over socket again: the predecessor yields to another process,
    /// which will listen there.
    Reconnect,
    /// Adopt this session.
    AdoptSession(SessionTransfer),
    /// Adopt this session and end it, as its client left before it was handed over.
    AdoptEndedSession(SessionTransfer),
    /// Handle what a server or a client reported about a session to the predecessor.
    HandleForwarded(Message),
    /// Send a message to the predecessor.
    Send(Message),
}

/// The state machine of the process that takes over.
#[derive(Debug)]
pub struct Successor {
    /// When this process started, in microseconds of the boot clock.
    started: u64,
    /// The time until which an answer of the predecessor is awaited.
    deadline: Micros,
    is_serving: bool,
    is_listening: bool,
    takes_warm_up_turns: bool,
    /// The connection to the predecessor is open.
    is_connected: bool,
    /// A predecessor answered that it yields to another process.
    is_reconnecting: bool,
    /// The sessions that clients left before they were handed over, and until when each is remembered.
    early_ends: BTreeMap<u64, Micros>,
    /// The same sessions in the order of expiry.
    early_ends_order: VecDeque<(Micros, u64)>,
    /// The maximum length of `early_ends_order`.
    max_early_ends: usize,
}

impl Successor {
    /// Creates the state of a process that started at `started`, in microseconds of the boot clock, and that holds at
    /// most `max_early_ends` sessions.
    pub fn new(now: Micros, started: u64, max_early_ends: usize) -> Successor {
        Successor {
            started,
            deadline: now + PREDECESSOR_TIMEOUT,
            is_serving: false,
            is_listening: false,
            takes_warm_up_turns: false,
            is_connected: false,
            is_reconnecting: false,
            early_ends: BTreeMap::new(),
            early_ends_order: VecDeque::new(),
            max_early_ends,
        }
    }

    /// Returns when [`Successor::tick`] is due.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    fn serve(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.is_serving, true) {
            out.push(Action::Serve);
        }
    }

    fn listen(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.is_listening, true) {
            out.push(Action::Listen);
        }
    }

    /// Takes over the whole service. Warm-up turns come first, as the next request may need one; service comes
    /// last, so that whoever sees this process serve can reach it on the hand-over socket.
    fn take_over(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.takes_warm_up_turns, true) {
            out.push(Action::TakeWarmUpTurns);
        }
        self.listen(out);
        self.serve(out);
    }

    /// Handles a connection that was established to the process on the hand-over socket.
    pub fn connected(&mut self, out: &mut Vec<Action>) {
        self.is_connected = true;
        out.push(Action::Send(Message::TakeOver { version: VERSION, started: self.started }));
    }

    /// Handles that no process listens on the hand-over socket.
    pub fn no_predecessor(&mut self, out: &mut Vec<Action>) {
        self.is_connected = false;
        self.take_over(out);
    }

    /// Handles a message of the predecessor.
    pub fn handle_message(&mut self, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Yielded => self.take_over(out),
            Message::Busy => {
                (self.is_connected, self.is_reconnecting) = (false, true);
                out.push(Action::Reconnect);
            }
            Message::Newer if !self.is_serving => out.push(Action::Exit),
            // The other process keeps its warm-up turns until it has exited.
            Message::Newer => {}
            Message::Other => {
                self.serve(out);
                self.listen(out);
            }
            Message::Session(session) => match self.early_ends.remove(&session.id) {
                Some(_) => out.push(Action::AdoptEndedSession(session)),
                None => out.push(Action::AdoptSession(session)),
            },
            Message::Over { .. } | Message::Noted { .. } | Message::Left { .. } => {
                out.push(Action::HandleForwarded(message));
            }
            Message::Leaving => out.push(Action::Send(Message::Leave)),
            Message::TakeOver { .. } | Message::Leave | Message::Unknown => {}
        }
    }

    /// Handles the end of the connection to the predecessor; the system closes it when that process exits. Unless
    /// this process listens on the hand-over socket, another process may do so by now.
    pub fn connection_ended(&mut self, out: &mut Vec<Action>) {
        self.is_connected = false;
        if self.is_listening { self.take_over(out) } else { out.push(Action::Reconnect) }
    }

    /// Removes the ends whose sessions were not handed over in time.
    fn forget_early_ends(&mut self, now: Micros) {
        while let Some((until, id)) =
            self.early_ends_order.front().copied().filter(|(until, _)| *until <= now)
        {
            self.early_ends_order.pop_front();
            if self.early_ends.get(&id) == Some(&until) {
                self.early_ends.remove(&id);
            }
        }
    }

    /// Handles that a client left a session that this process does not hold.
    pub fn client_left(&mut self, now: Micros, id: u64, out: &mut Vec<Action>) {
        if self.is_connected {
            self.forget_early_ends(now);
            if self.early_ends_order.len() < self.max_early_ends {
                self.early_ends.insert(id, now + EARLY_END_TTL);
                self.early_ends_order.push_back((now + EARLY_END_TTL, id));
            }
            out.push(Action::Send(Message::Left { id }));
        }
    }

    /// Serves if the deadline has passed. A process that must connect again doesn't listen on the hand-over socket
    /// meanwhile, as it would connect to itself.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now >= self.deadline {
            self.serve(out);
            if !self.is_reconnecting {
                self.listen(out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
