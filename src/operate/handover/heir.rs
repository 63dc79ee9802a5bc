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
    /// Take turns at cold servers that begin from now on.
    TakeTurns,
    /// Hold this session.
    Take(Passed),
    /// Hold this session, and end it: its client left before it was passed.
    TakeEnded(Passed),
    /// A server said this of a session.
    Told(Message),
    /// Say something to the old process.
    Say(Message),
}

/// The new process' side.
#[derive(Debug)]
pub struct Heir {
    /// The old process is asked until then.
    until: Micros,
    serves: bool,
    turns: bool,
    /// The connection to the old process stands.
    linked: bool,
    /// Sessions that clients left and that were not passed yet.
    left: BTreeMap<u64, Micros>,
}

impl Heir {
    /// With an old process at the other end of a connection, or alone.
    pub fn new(now: Micros, linked: bool, out: &mut Vec<Act>) -> Heir {
        let mut heir =
            Heir { until: now + PATIENCE, serves: false, turns: false, linked, left: BTreeMap::new() };
        if linked {
            out.push(Act::Say(Message::TakeOver { version: VERSION }));
        } else {
            heir.serve(out);
            heir.take_turns(out);
        }
        heir
    }

    /// Whether it serves.
    pub fn serves(&self) -> bool {
        self.serves
    }

    /// When [`Heir::tick`] is wanted next.
    pub fn next_alarm(&self) -> Option<Micros> {
        (!self.serves).then_some(self.until)
    }

    fn serve(&mut self, out: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.serves, true) {
            out.push(Act::Serve);
        }
    }

    fn take_turns(&mut self, out: &mut Vec<Act>) {
        if !std::mem::replace(&mut self.turns, true) {
            out.push(Act::TakeTurns);
        }
    }

    /// The old process said something.
    pub fn heard(&mut self, message: Message, out: &mut Vec<Act>) {
        match message {
            Message::Yielded => {
                // The turns first: what is accepted next may want one.
                self.take_turns(out);
                self.serve(out);
            }
            // It gives way to another, or speaks otherwise. Its turns stay its own until it has ended.
            Message::Busy => self.serve(out),
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

    /// The connection to the old process has ended, as the system ends it when that process does.
    pub fn ended(&mut self, out: &mut Vec<Act>) {
        self.linked = false;
        self.take_turns(out);
        self.serve(out);
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

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Act>) {
        if now >= self.until {
            self.serve(out);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn heir(linked: bool) -> (Heir, Vec<Act>) {
        let mut out = Vec::new();
        (Heir::new(Micros(1), linked, &mut out), out)
    }

    #[test]
    fn alone_it_serves_at_once_and_else_when_the_old_one_has_yielded() {
        assert_eq!(heir(false).1, [Act::Serve, Act::TakeTurns]);
        let (mut heir, mut out) = heir(true);
        assert_eq!(out, [Act::Say(Message::TakeOver { version: VERSION })]);
        out.clear();
        heir.heard(Message::Yielded, &mut out);
        heir.ended(&mut out);
        heir.tick(Micros(1) + PATIENCE, &mut out);
        assert_eq!(out, [Act::TakeTurns, Act::Serve], "once each, the turns first");
    }

    /// Guards against two processes that pace a cold server as if each were alone: one that hears nothing serves,
    /// but takes no turn until the old one yields or is gone, however long that takes.
    #[test]
    fn beside_an_old_one_that_says_nothing_it_serves_without_turns() {
        for silent in [Message::Busy, Message::Unknown] {
            let (mut heir, mut out) = heir(true);
            out.clear();
            heir.heard(silent, &mut out);
            heir.tick(Micros(1) + PATIENCE, &mut out);
            assert_eq!(out, [Act::Serve]);
            out.clear();
            heir.tick(Micros(3_600_000_000), &mut out);
            assert_eq!(out, []);
            heir.ended(&mut out);
            assert_eq!(out, [Act::TakeTurns]);
        }
    }

    #[test]
    fn a_session_that_was_left_before_it_was_passed_is_ended() {
        let (mut heir, mut out) = heir(true);
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
