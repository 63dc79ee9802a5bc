//! The old process: when it yields, serves again, and leaves.

use super::{Message, VERSION};

/// A connection of a process that asks to take over, counted from the start of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TakeoverConn(pub u64);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Yield: accept nothing, take no turn at cold servers, pass what stands; only then answer.
    Yield,
    /// Find out whether another process is at the meeting point.
    Look,
    /// Serve again as before: the new process is gone.
    Resume,
    /// Say something to a suitor.
    Say(TakeoverConn, Message),
    /// A client left a session, as the new process heard.
    Left(u64),
    /// Nothing is held here any more, and the new process has taken in all: end.
    Leave,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// It serves, and nobody has asked.
    #[default]
    Serving,
    /// It gave way to this one.
    Yielded(TakeoverConn),
    /// It has asked to leave.
    Leaving(TakeoverConn),
    /// Its heir is gone. A further process may serve in that one's place.
    Orphaned,
    /// It may end.
    Left,
}

/// The old process' side.
#[derive(Debug, Default)]
pub struct Predecessor {
    state: State,
    started: u64,
}

impl Predecessor {
    /// Of a process that started then, by the machine's clock that is never set.
    pub fn new(started: u64) -> Predecessor {
        Predecessor { state: State::Serving, started }
    }

    /// Whom it gave way to.
    pub fn successor(&self) -> Option<TakeoverConn> {
        match self.state {
            State::Yielded(heir) | State::Leaving(heir) => Some(heir),
            State::Serving | State::Orphaned | State::Left => None,
        }
    }

    /// Whether another process serves in this one's place.
    pub fn has_yielded(&self) -> bool {
        self.state != State::Serving
    }

    /// A process that asks has said something.
    pub fn heard(&mut self, from: TakeoverConn, message: &Message, out: &mut Vec<Action>) {
        match (message, self.state) {
            // Versions that start within milliseconds may ask in any order: the last to start is to serve.
            (Message::TakeOver { started, .. }, State::Serving) if *started <= self.started => {
                out.push(Action::Say(from, Message::Newer));
            }
            (Message::TakeOver { version, .. }, State::Serving) if *version == VERSION => {
                self.state = State::Yielded(from);
                out.push(Action::Yield);
                out.push(Action::Say(from, Message::Yielded));
            }
            // It waits for this process' end rather than acting on half an understanding.
            (Message::TakeOver { .. }, State::Serving) => out.push(Action::Say(from, Message::Other)),
            (Message::TakeOver { .. }, _) if self.successor() != Some(from) => {
                out.push(Action::Say(from, Message::Busy));
            }
            (Message::Left { id }, _) if self.successor() == Some(from) => out.push(Action::Left(*id)),
            (Message::Leave, State::Leaving(heir)) if heir == from => {
                self.state = State::Left;
                out.push(Action::Leave);
            }
            _ => {}
        }
    }

    /// Its connection has ended. If it was the heir, this process serves again, unless a further one took that one's
    /// place: two would take turns at cold servers as if each were alone.
    pub fn ended(&mut self, who: TakeoverConn, out: &mut Vec<Action>) {
        if self.successor() == Some(who) {
            self.state = State::Orphaned;
            out.push(Action::Look);
        }
    }

    /// Whether anybody is at the meeting point. What was passed is not taken back: those sessions play on, and their
    /// clients name them again.
    pub fn looked(&mut self, somebody: bool, out: &mut Vec<Action>) {
        if self.state == State::Orphaned && !somebody {
            self.state = State::Serving;
            out.push(Action::Resume);
        }
    }

    /// Whether anybody still waits here, or says so only here.
    pub fn holds(&mut self, anything: bool, out: &mut Vec<Action>) {
        match self.state {
            State::Yielded(heir) if !anything => {
                self.state = State::Leaving(heir);
                out.push(Action::Say(heir, Message::Leaving));
            }
            State::Orphaned if !anything => {
                self.state = State::Left;
                out.push(Action::Leave);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: TakeoverConn = TakeoverConn(1);
    const B: TakeoverConn = TakeoverConn(2);
    const ASK: Message = Message::TakeOver { version: VERSION, started: 9 };

    fn heard(giver: &mut Predecessor, from: TakeoverConn, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        giver.heard(from, &message, &mut out);
        out
    }

    #[test]
    fn it_yields_once_and_leaves_only_when_the_heir_has_taken_all_in() {
        let mut giver = Predecessor::default();
        assert_eq!(heard(&mut giver, A, ASK), [Action::Yield, Action::Say(A, Message::Yielded)]);
        assert_eq!(heard(&mut giver, B, ASK), [Action::Say(B, Message::Busy)]);
        assert_eq!(heard(&mut giver, A, Message::Leave), [], "it was not asked for");
        let mut out = Vec::new();
        giver.holds(true, &mut out);
        assert_eq!(out, []);
        giver.holds(false, &mut out);
        giver.holds(false, &mut out);
        assert_eq!(out, [Action::Say(A, Message::Leaving)]);
        assert_eq!(heard(&mut giver, B, Message::Leave), []);
        assert!(giver.has_yielded());
        assert_eq!(heard(&mut giver, A, Message::Leave), [Action::Leave]);
        // It ends now, and neither serves again nor cuts what was passed.
        let mut out = Vec::new();
        giver.ended(A, &mut out);
        assert!(out.is_empty() && giver.has_yielded());
    }

    /// Guards against a broker that nobody serves when the new process dies at any point before the old one left.
    #[test]
    fn it_serves_again_when_the_heir_dies_and_yields_to_the_next() {
        for leaving in [false, true] {
            let mut giver = Predecessor::default();
            heard(&mut giver, A, ASK);
            let mut out = Vec::new();
            if leaving {
                giver.holds(false, &mut out);
                out.clear();
            }
            giver.ended(B, &mut out);
            assert_eq!(out, [], "that was another");
            giver.ended(A, &mut out);
            giver.looked(false, &mut out);
            assert_eq!(out, [Action::Look, Action::Resume]);
            assert_eq!(heard(&mut giver, A, Message::Leave), []);
            assert_eq!(heard(&mut giver, B, ASK), [Action::Yield, Action::Say(B, Message::Yielded)]);
        }
    }

    /// Seen with three versions within milliseconds: the third took over before the second, which then took over from
    /// it.
    #[test]
    fn it_yields_to_none_that_started_before_it() {
        let mut giver = Predecessor::new(9);
        assert_eq!(heard(&mut giver, A, ASK), [Action::Say(A, Message::Newer)]);
        assert!(!giver.has_yielded());
        let later = Message::TakeOver { version: VERSION, started: 10 };
        assert_eq!(heard(&mut giver, B, later), [Action::Yield, Action::Say(B, Message::Yielded)]);
    }

    /// Seen with three versions within a second: the second left before the first, which then served again beside
    /// the third.
    #[test]
    fn it_does_not_serve_again_beside_a_further_process() {
        let mut giver = Predecessor::default();
        heard(&mut giver, A, ASK);
        let mut out = Vec::new();
        giver.ended(A, &mut out);
        giver.looked(true, &mut out);
        assert!(out == [Action::Look] && giver.has_yielded());
        assert_eq!(heard(&mut giver, B, ASK), [Action::Say(B, Message::Busy)]);
        giver.holds(true, &mut out);
        giver.holds(false, &mut out);
        assert_eq!(out, [Action::Look, Action::Leave]);
    }

    #[test]
    fn another_version_is_told_so_and_changes_nothing() {
        let mut giver = Predecessor::default();
        let other = Message::TakeOver { version: VERSION + 1, started: 9 };
        assert_eq!(heard(&mut giver, A, other), [Action::Say(A, Message::Other)]);
        assert_eq!(giver.successor(), None);
        assert_eq!(heard(&mut giver, A, Message::Left { id: 1 }), []);
    }
}
