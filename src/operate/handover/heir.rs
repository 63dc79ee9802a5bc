//! The new process: when it serves, and which turns at cold servers are its own.

use std::collections::BTreeMap;

use super::{Message, Passed, VERSION};
use crate::api::Micros;

/// An old process that says nothing for so long is not waited for: the new one serves beside it. Progress alone
/// rests on this.
pub const PATIENCE: Micros = Micros(2_000_000);
/// The end of a session that was heard before the session was passed is remembered for so long.
const LEFT_KEPT: Micros = Micros(30_000_000);
/// No more of them are remembered.
const LEFT_MOST: usize = 4096;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
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
    Take(Passed),
    /// Hold this session, and end it: its client left before it was passed.
    TakeEnded(Passed),
    /// A server or a client said this of a session.
    Told(Message),
    /// Say something to the old process.
    Say(Message),
}

/// The new process' side.
#[derive(Debug)]
pub struct Heir {
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
}

impl Heir {
    /// One that has not asked yet, of a process that started then.
    pub fn new(now: Micros, started: u64) -> Heir {
        let (serves, meets, turns, linked, again) = (false, false, false, false, false);
        Heir { started, until: now + PATIENCE, serves, meets, turns, linked, again, left: BTreeMap::new() }
    }

    /// When [`Heir::tick`] is wanted.
    pub fn patience(&self) -> Micros {
        self.until
    }

    fn serve(&mut self, out: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.serves, true) {
            out.push(Act::Serve);
        }
    }

    fn meet(&mut self, out: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.meets, true) {
            out.push(Act::Meet);
        }
    }

    /// All is this process' from now on. The turns first: what is accepted next may want one; and who sees it serve
    /// finds it at the meeting point.
    fn settle(&mut self, out: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.turns, true) {
            out.push(Act::TakeTurns);
        }
        self.meet(out);
        self.serve(out);
    }

    /// A connection to a process at the meeting point stands.
    pub fn linked(&mut self, out: &mut Vec<Act>) {
        self.linked = true;
        out.push(Act::Say(Message::TakeOver { version: VERSION, started: self.started }));
    }

    /// Nobody is at the meeting point.
    pub fn alone(&mut self, out: &mut Vec<Act>) {
        self.linked = false;
        self.settle(out);
    }

    /// The old process said something.
    pub fn heard(&mut self, message: Message, out: &mut Vec<Act>) {
        match message {
            Message::Yielded => self.settle(out),
            Message::Busy => {
                (self.linked, self.again) = (false, true);
                out.push(Act::AskAgain);
            }
            Message::Newer if !self.serves => out.push(Act::Leave),
            // Its turns stay its own until it has ended.
            Message::Newer => {}
            Message::Other => {
                self.serve(out);
                self.meet(out);
            }
            Message::Session(passed) => match self.left.remove(&passed.id) {
                Some(_) => out.push(Act::TakeEnded(passed)),
                None => out.push(Act::Take(passed)),
            },
            Message::Over { .. } | Message::Noted { .. } | Message::Left { .. } => {
                out.push(Act::Told(message));
            }
            Message::Leaving => out.push(Act::Say(Message::Leave)),
            Message::TakeOver { .. } | Message::Leave | Message::Unknown => {}
        }
    }

    /// The connection to the old process has ended, as the system ends it when that process does. Another may have
    /// come to the meeting point meanwhile, unless this one is there.
    pub fn ended(&mut self, out: &mut Vec<Act>) {
        self.linked = false;
        if self.meets { self.settle(out) } else { out.push(Act::AskAgain) }
    }

    /// A client left a session that this process does not hold.
    pub fn left(&mut self, now: Micros, id: u64, out: &mut Vec<Act>) {
        if self.linked {
            self.left.retain(|_, until| *until > now);
            if self.left.len() < LEFT_MOST {
                self.left.insert(id, now + LEFT_KEPT);
            }
            out.push(Act::Say(Message::Left { id }));
        }
    }

    /// Time has passed. One that is told to ask again keeps asking, and stays away from the meeting point meanwhile.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Act>) {
        if now >= self.until {
            self.serve(out);
            if !self.again {
                self.meet(out);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn linked() -> (Heir, Vec<Act>) {
        let (mut heir, mut out) = (Heir::new(Micros(1), 7), Vec::new());
        heir.linked(&mut out);
        assert_eq!(out, [Act::Say(Message::TakeOver { version: VERSION, started: 7 })]);
        (heir, Vec::new())
    }

    #[test]
    fn alone_it_serves_at_once_and_else_when_the_old_one_has_yielded() {
        let mut out = Vec::new();
        Heir::new(Micros(1), 7).alone(&mut out);
        assert_eq!(out, [Act::TakeTurns, Act::Meet, Act::Serve]);
        let (mut heir, mut out) = linked();
        heir.heard(Message::Yielded, &mut out);
        heir.ended(&mut out);
        heir.tick(Micros(1) + PATIENCE, &mut out);
        assert_eq!(out, [Act::TakeTurns, Act::Meet, Act::Serve], "once each, the turns first");
    }

    /// Guards against two processes that pace a cold server as if each were alone: one that hears nothing serves,
    /// but takes no turn until the old one yields or is gone, however long that takes.
    #[test]
    fn beside_an_old_one_that_says_nothing_it_serves_without_turns() {
        for silent in [Message::Other, Message::Unknown] {
            let (mut heir, mut out) = linked();
            heir.heard(silent, &mut out);
            heir.tick(Micros(1) + PATIENCE, &mut out);
            assert_eq!(out, [Act::Serve, Act::Meet]);
            out.clear();
            heir.tick(Micros(3_600_000_000), &mut out);
            assert_eq!(out, []);
            heir.ended(&mut out);
            assert_eq!(out, [Act::TakeTurns]);
        }
    }

    /// Seen with three versions within a second: the third asked the first, which gave way to the second already, and
    /// served beside the second for good.
    #[test]
    fn one_that_meets_a_process_that_gives_way_to_another_asks_that_other() {
        let (mut heir, mut out) = linked();
        heir.heard(Message::Busy, &mut out);
        assert_eq!(out, [Act::AskAgain]);
        out.clear();
        heir.tick(Micros(1) + PATIENCE, &mut out);
        assert_eq!(out, [Act::Serve], "it would meet itself");
        out.clear();
        heir.linked(&mut out);
        heir.heard(Message::Yielded, &mut out);
        assert_eq!(out[1..], [Act::TakeTurns, Act::Meet]);
        let (mut heir, mut out) = linked();
        heir.ended(&mut out);
        assert_eq!(out, [Act::AskAgain], "another may be there");
    }

    #[test]
    fn one_that_meets_a_newer_one_leaves_unless_it_has_taken_anything() {
        let (mut heir, mut out) = linked();
        heir.heard(Message::Newer, &mut out);
        assert_eq!(out, [Act::Leave]);
        let (mut heir, mut out) = linked();
        heir.tick(Micros(1) + PATIENCE, &mut out);
        out.clear();
        heir.heard(Message::Newer, &mut out);
        assert_eq!(out, []);
    }

    #[test]
    fn a_session_that_was_left_before_it_was_passed_is_ended() {
        let (mut heir, mut out) = linked();
        heir.heard(Message::Yielded, &mut out);
        out.clear();
        heir.left(Micros(2), 7, &mut out);
        let passed = |id| Passed { id, ..Passed::default() };
        heir.heard(Message::Session(passed(7)), &mut out);
        heir.heard(Message::Session(passed(8)), &mut out);
        let want = [Act::Say(Message::Left { id: 7 }), Act::TakeEnded(passed(7)), Act::Take(passed(8))];
        assert_eq!(out, want);
        (0..10_000).for_each(|n| heir.left(Micros(3), n, &mut Vec::new()));
        assert!(heir.left.len() <= LEFT_MOST);
    }
}
