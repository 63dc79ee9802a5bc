//! The new process: when it serves, and which turns at cold servers are its own.

use std::collections::{BTreeMap, VecDeque};

use super::{Message, SessionTransfer, VERSION};
use crate::api::Micros;

/// An old process that says nothing for so long is not waited for: the new one serves beside it. Progress alone
/// rests on this.
pub const PREDECESSOR_TIMEOUT: Micros = Micros(2_000_000);
/// The end of a session that was heard before the session was passed is remembered for so long.
const LEFT_KEPT: Micros = Micros(30_000_000);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Accept, and say yes.
    Serve,
    /// Take the place where the next process asks.
    Meet,
    /// Take turns at cold servers that begin from now on.
    TakeTurns,
    /// A newer version serves already, and nothing was accepted here: end.
    Leave,
    /// Leave this connection, and ask again at the meeting point: the old process gives way to another, which will be
    /// there.
    AskAgain,
    /// Hold this session.
    Take(SessionTransfer),
    /// Hold this session, and end it: its client left before it was passed.
    TakeEnded(SessionTransfer),
    /// A server or a client said this of a session.
    Told(Message),
    /// Say something to the old process.
    Say(Message),
}

/// The new process' side.
#[derive(Debug)]
pub struct Successor {
    /// When this process started, by the machine's clock that is never set.
    started: u64,
    /// The old process is asked until then.
    until: Micros,
    serves: bool,
    meets: bool,
    turns: bool,
    /// The connection to the old process stands.
    linked: bool,
    /// One old process was about to give way to another.
    again: bool,
    /// Sessions that clients left and that were not passed yet.
    left: BTreeMap<u64, Micros>,
    /// The same in the order in which they are forgotten.
    left_order: VecDeque<(Micros, u64)>,
    /// No more of them are remembered.
    most_left: usize,
}

impl Successor {
    /// One that has not asked yet, of a process that started then and holds so many sessions at most.
    pub fn new(now: Micros, started: u64, most_left: usize) -> Successor {
        let (serves, meets, turns, linked, again) = (false, false, false, false, false);
        let (until, left, left_order) = (now + PREDECESSOR_TIMEOUT, BTreeMap::new(), VecDeque::new());
        Successor { started, until, serves, meets, turns, linked, again, left, left_order, most_left }
    }

    /// When [`Successor::tick`] is wanted.
    pub fn deadline(&self) -> Micros {
        self.until
    }

    fn serve(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.serves, true) {
            out.push(Action::Serve);
        }
    }

    fn meet(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.meets, true) {
            out.push(Action::Meet);
        }
    }

    /// All is this process' from now on. The turns first: what is accepted next may want one; and who sees it serve
    /// finds it at the meeting point.
    fn settle(&mut self, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.turns, true) {
            out.push(Action::TakeTurns);
        }
        self.meet(out);
        self.serve(out);
    }

    /// A connection to a process at the meeting point stands.
    pub fn linked(&mut self, out: &mut Vec<Action>) {
        self.linked = true;
        out.push(Action::Say(Message::TakeOver { version: VERSION, started: self.started }));
    }

    /// Nobody is at the meeting point.
    pub fn alone(&mut self, out: &mut Vec<Action>) {
        self.linked = false;
        self.settle(out);
    }

    /// The old process said something.
    pub fn heard(&mut self, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Yielded => self.settle(out),
            Message::Busy => {
                (self.linked, self.again) = (false, true);
                out.push(Action::AskAgain);
            }
            Message::Newer if !self.serves => out.push(Action::Leave),
            // Its turns stay its own until it has ended.
            Message::Newer => {}
            Message::Other => {
                self.serve(out);
                self.meet(out);
            }
            Message::Session(passed) => match self.left.remove(&passed.id) {
                Some(_) => out.push(Action::TakeEnded(passed)),
                None => out.push(Action::Take(passed)),
            },
            Message::Over { .. } | Message::Noted { .. } | Message::Left { .. } => {
                out.push(Action::Told(message));
            }
            Message::Leaving => out.push(Action::Say(Message::Leave)),
            Message::TakeOver { .. } | Message::Leave | Message::Unknown => {}
        }
    }

    /// The connection to the old process has ended, as the system ends it when that process does. Another may have
    /// come to the meeting point meanwhile, unless this one is there.
    pub fn ended(&mut self, out: &mut Vec<Action>) {
        self.linked = false;
        if self.meets { self.settle(out) } else { out.push(Action::AskAgain) }
    }

    /// Forgets ends whose sessions were not passed in time.
    fn forget_left(&mut self, now: Micros) {
        while let Some((until, id)) = self.left_order.front().copied().filter(|(until, _)| *until <= now) {
            self.left_order.pop_front();
            if self.left.get(&id) == Some(&until) {
                self.left.remove(&id);
            }
        }
    }

    /// A client left a session that this process does not hold.
    pub fn left(&mut self, now: Micros, id: u64, out: &mut Vec<Action>) {
        if self.linked {
            self.forget_left(now);
            if self.left_order.len() < self.most_left {
                self.left.insert(id, now + LEFT_KEPT);
                self.left_order.push_back((now + LEFT_KEPT, id));
            }
            out.push(Action::Say(Message::Left { id }));
        }
    }

    /// Time has passed. One that is told to ask again keeps asking, and stays away from the meeting point meanwhile.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now >= self.until {
            self.serve(out);
            if !self.again {
                self.meet(out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
