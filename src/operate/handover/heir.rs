//! The new process: when it serves, and which turns at cold servers are its own.

use std::collections::{BTreeMap, VecDeque};

use super::{Message, SessionTransfer, VERSION};
use crate::api::Micros;

/// An old process that says nothing for so long is not waited for: the new one serves beside it. Progress alone
/// rests on this.
pub const PREDECESSOR_TIMEOUT: Micros = Micros(2_000_000);
/// The end of a session that was heard before the session was passed is remembered for so long.
const EARLY_END_TTL: Micros = Micros(30_000_000);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Accept, and say yes.
    Serve,
    /// Take the place where the next process asks.
    Listen,
    /// Take turns at cold servers that begin from now on.
    TakeWarmUpTurns,
    /// A newer version serves already, and nothing was accepted here: end.
    Exit,
    /// Leave this connection, and ask again at the meeting point: the old process gives way to another, which will be
    /// there.
    Reconnect,
    /// Hold this session.
    AdoptSession(SessionTransfer),
    /// Hold this session, and end it: its client left before it was passed.
    AdoptEndedSession(SessionTransfer),
    /// A server or a client said this of a session.
    HandleForwarded(Message),
    /// Say something to the old process.
    Send(Message),
}

/// The new process' side.
#[derive(Debug)]
pub struct Successor {
    /// When this process started, by the machine's clock that is never set.
    started: u64,
    /// The old process is asked until then.
    deadline: Micros,
    is_serving: bool,
    is_listening: bool,
    takes_warm_up_turns: bool,
    /// The connection to the old process stands.
    is_connected: bool,
    /// One old process was about to give way to another.
    is_reconnecting: bool,
    /// Sessions that clients left and that were not passed yet.
    early_ends: BTreeMap<u64, Micros>,
    /// The same in the order in which they are forgotten.
    early_ends_order: VecDeque<(Micros, u64)>,
    /// No more of them are remembered.
    max_early_ends: usize,
}

impl Successor {
    /// One that has not asked yet, of a process that started then and holds so many sessions at most.
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

    /// When [`Successor::tick`] is wanted.
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

    /// All is this process' from now on. The turns first: what is accepted next may want one; and who sees it serve
    /// finds it at the meeting point.
    fn take_over(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.takes_warm_up_turns, true) {
            out.push(Action::TakeWarmUpTurns);
        }
        self.listen(out);
        self.serve(out);
    }

    /// A connection to a process at the meeting point stands.
    pub fn connected(&mut self, out: &mut Vec<Action>) {
        self.is_connected = true;
        out.push(Action::Send(Message::TakeOver { version: VERSION, started: self.started }));
    }

    /// Nobody is at the meeting point.
    pub fn no_predecessor(&mut self, out: &mut Vec<Action>) {
        self.is_connected = false;
        self.take_over(out);
    }

    /// The old process said something.
    pub fn handle_message(&mut self, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Yielded => self.take_over(out),
            Message::Busy => {
                (self.is_connected, self.is_reconnecting) = (false, true);
                out.push(Action::Reconnect);
            }
            Message::Newer if !self.is_serving => out.push(Action::Exit),
            // Its turns stay its own until it has ended.
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

    /// The connection to the old process has ended, as the system ends it when that process does. Another may have
    /// come to the meeting point meanwhile, unless this one is there.
    pub fn connection_ended(&mut self, out: &mut Vec<Action>) {
        self.is_connected = false;
        if self.is_listening { self.take_over(out) } else { out.push(Action::Reconnect) }
    }

    /// Forgets ends whose sessions were not passed in time.
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

    /// A client left a session that this process does not hold.
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

    /// Time has passed. One that is told to ask again keeps asking, and stays away from the meeting point meanwhile.
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
