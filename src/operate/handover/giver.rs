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
    ProbeSocket,
    /// Serve again as before: the new process is gone.
    Resume,
    /// Say something to a suitor.
    Send(TakeoverConn, Message),
    /// A client left a session, as the new process heard.
    ClientLeft(u64),
    /// Nothing is held here any more, and the new process has taken in all: end.
    Exit,
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
    Exiting,
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
            State::Yielded(successor) | State::Leaving(successor) => Some(successor),
            State::Serving | State::Orphaned | State::Exiting => None,
        }
    }

    /// Whether another process serves in this one's place.
    pub fn has_yielded(&self) -> bool {
        self.state != State::Serving
    }

    /// A process that asks has said something.
    pub fn handle_message(&mut self, from: TakeoverConn, message: &Message, out: &mut Vec<Action>) {
        match (message, self.state) {
            // Versions that start within milliseconds may ask in any order: the last to start is to serve.
            (Message::TakeOver { started, .. }, State::Serving) if *started <= self.started => {
                out.push(Action::Send(from, Message::Newer));
            }
            (Message::TakeOver { version, .. }, State::Serving) if *version == VERSION => {
                self.state = State::Yielded(from);
                out.push(Action::Yield);
                out.push(Action::Send(from, Message::Yielded));
            }
            // It waits for this process' end rather than acting on half an understanding.
            (Message::TakeOver { .. }, State::Serving) => out.push(Action::Send(from, Message::Other)),
            (Message::TakeOver { .. }, _) if self.successor() != Some(from) => {
                out.push(Action::Send(from, Message::Busy));
            }
            (Message::Left { id }, _) if self.successor() == Some(from) => out.push(Action::ClientLeft(*id)),
            (Message::Leave, State::Leaving(successor)) if successor == from => {
                self.state = State::Exiting;
                out.push(Action::Exit);
            }
            _ => {}
        }
    }

    /// Its connection has ended. If it was the heir, this process serves again, unless a further one took that one's
    /// place: two would take turns at cold servers as if each were alone.
    pub fn connection_ended(&mut self, conn: TakeoverConn, out: &mut Vec<Action>) {
        if self.successor() == Some(conn) {
            self.state = State::Orphaned;
            out.push(Action::ProbeSocket);
        }
    }

    /// Whether anybody is at the meeting point. What was passed is not taken back: those sessions play on, and their
    /// clients name them again.
    pub fn socket_probed(&mut self, is_listening: bool, out: &mut Vec<Action>) {
        if self.state == State::Orphaned && !is_listening {
            self.state = State::Serving;
            out.push(Action::Resume);
        }
    }

    /// Whether anybody still waits here, or says so only here.
    pub fn update_pending_work(&mut self, has_work: bool, out: &mut Vec<Action>) {
        match self.state {
            State::Yielded(successor) if !has_work => {
                self.state = State::Leaving(successor);
                out.push(Action::Send(successor, Message::Leaving));
            }
            State::Orphaned if !has_work => {
                self.state = State::Exiting;
                out.push(Action::Exit);
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
    const TAKE_OVER: Message = Message::TakeOver { version: VERSION, started: 9 };

    fn handle(predecessor: &mut Predecessor, from: TakeoverConn, message: Message) -> Vec<Action> {
        let mut out = Vec::new();
        predecessor.handle_message(from, &message, &mut out);
        out
    }

    #[test]
    fn it_yields_once_and_leaves_only_when_the_heir_has_taken_all_in() {
        let mut predecessor = Predecessor::default();
        assert_eq!(
            handle(&mut predecessor, A, TAKE_OVER),
            [Action::Yield, Action::Send(A, Message::Yielded)]
        );
        assert_eq!(handle(&mut predecessor, B, TAKE_OVER), [Action::Send(B, Message::Busy)]);
        assert_eq!(handle(&mut predecessor, A, Message::Leave), [], "it was not asked for");
        let mut out = Vec::new();
        predecessor.update_pending_work(true, &mut out);
        assert_eq!(out, []);
        predecessor.update_pending_work(false, &mut out);
        predecessor.update_pending_work(false, &mut out);
        assert_eq!(out, [Action::Send(A, Message::Leaving)]);
        assert_eq!(handle(&mut predecessor, B, Message::Leave), []);
        assert!(predecessor.has_yielded());
        assert_eq!(handle(&mut predecessor, A, Message::Leave), [Action::Exit]);
        // It ends now, and neither serves again nor cuts what was passed.
        let mut out = Vec::new();
        predecessor.connection_ended(A, &mut out);
        assert!(out.is_empty() && predecessor.has_yielded());
    }

    /// Guards against a broker that nobody serves when the new process dies at any point before the old one left.
    #[test]
    fn it_serves_again_when_the_heir_dies_and_yields_to_the_next() {
        for leaving in [false, true] {
            let mut predecessor = Predecessor::default();
            handle(&mut predecessor, A, TAKE_OVER);
            let mut out = Vec::new();
            if leaving {
                predecessor.update_pending_work(false, &mut out);
                out.clear();
            }
            predecessor.connection_ended(B, &mut out);
            assert_eq!(out, [], "that was another");
            predecessor.connection_ended(A, &mut out);
            predecessor.socket_probed(false, &mut out);
            assert_eq!(out, [Action::ProbeSocket, Action::Resume]);
            assert_eq!(handle(&mut predecessor, A, Message::Leave), []);
            assert_eq!(
                handle(&mut predecessor, B, TAKE_OVER),
                [Action::Yield, Action::Send(B, Message::Yielded)]
            );
        }
    }

    /// Seen with three versions within milliseconds: the third took over before the second, which then took over from
    /// it.
    #[test]
    fn it_yields_to_none_that_started_before_it() {
        let mut predecessor = Predecessor::new(9);
        assert_eq!(handle(&mut predecessor, A, TAKE_OVER), [Action::Send(A, Message::Newer)]);
        assert!(!predecessor.has_yielded());
        let later = Message::TakeOver { version: VERSION, started: 10 };
        assert_eq!(handle(&mut predecessor, B, later), [Action::Yield, Action::Send(B, Message::Yielded)]);
    }

    /// Seen with three versions within a second: the second left before the first, which then served again beside
    /// the third.
    #[test]
    fn it_does_not_serve_again_beside_a_further_process() {
        let mut predecessor = Predecessor::default();
        handle(&mut predecessor, A, TAKE_OVER);
        let mut out = Vec::new();
        predecessor.connection_ended(A, &mut out);
        predecessor.socket_probed(true, &mut out);
        assert!(out == [Action::ProbeSocket] && predecessor.has_yielded());
        assert_eq!(handle(&mut predecessor, B, TAKE_OVER), [Action::Send(B, Message::Busy)]);
        predecessor.update_pending_work(true, &mut out);
        predecessor.update_pending_work(false, &mut out);
        assert_eq!(out, [Action::ProbeSocket, Action::Exit]);
    }

    #[test]
    fn another_version_is_told_so_and_changes_nothing() {
        let mut predecessor = Predecessor::default();
        let other = Message::TakeOver { version: VERSION + 1, started: 9 };
        assert_eq!(handle(&mut predecessor, A, other), [Action::Send(A, Message::Other)]);
        assert_eq!(predecessor.successor(), None);
        assert_eq!(handle(&mut predecessor, A, Message::Left { id: 1 }), []);
    }
}
