//! The predecessor's side of a hand-over: when the old process yields, resumes service and exits.

use super::{Message, VERSION};

/// The connection of a process that asks to take over: a counter that starts with this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TakeoverConn(pub u64);

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Stop accepting connections, take no further warm-up turns at cold servers and hand over the established
    /// sessions, all before the answer is sent.
    Yield,
    /// Check whether another process listens on the hand-over socket.
    ProbeSocket,
    /// Serve again as before, because the successor is gone.
    Resume,
    /// Send a message on the connection of a process that asks to take over.
    Send(TakeoverConn, Message),
    /// End this session: its client left it, as the successor reported.
    ClientLeft(u64),
    /// Exit: nothing is left here, and the successor has received everything.
    Exit,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// This process serves, and none has asked to take over.
    #[default]
    Serving,
    /// The process on this connection serves.
    Yielded(TakeoverConn),
    /// This process has asked its successor for permission to exit.
    Leaving(TakeoverConn),
    /// The successor is gone. A third process may serve in its place.
    Orphaned,
    /// This process may exit.
    Exiting,
}

/// The state machine of the process that hands over.
#[derive(Debug, Default)]
pub struct Predecessor {
    state: State,
    started: u64,
}

impl Predecessor {
    /// Creates the state of a process that started at this time of the boot clock, in microseconds.
    pub fn new(started: u64) -> Predecessor {
        Predecessor { state: State::Serving, started }
    }

    /// Returns the connection of the process that this one has yielded to, while that is open.
    pub fn successor(&self) -> Option<TakeoverConn> {
        match self.state {
            State::Yielded(successor) | State::Leaving(successor) => Some(successor),
            State::Serving | State::Orphaned | State::Exiting => None,
        }
    }

    /// Whether another process serves in place of this one.
    pub fn has_yielded(&self) -> bool {
        self.state != State::Serving
    }

    /// Handles a message of a process that asks to take over.
    pub fn handle_message(&mut self, from: TakeoverConn, message: &Message, out: &mut Vec<Action>) {
        match (message, self.state) {
            // Processes that start within milliseconds of each other may ask in any order. The last to start is to
            // serve.
            (Message::TakeOver { started, .. }, State::Serving) if *started <= self.started => {
                out.push(Action::Send(from, Message::Newer));
            }
            (Message::TakeOver { version, .. }, State::Serving) if *version == VERSION => {
                self.state = State::Yielded(from);
                out.push(Action::Yield);
                out.push(Action::Send(from, Message::Yielded));
            }
            // A process of another protocol version must wait for this one to exit, as it may misread its messages.
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

    /// Handles the end of a connection. If it was the successor's, this process serves again, unless a third
    /// process has taken that place: two serving processes would each take warm-up turns at cold servers as if
    /// they were alone.
    pub fn connection_ended(&mut self, conn: TakeoverConn, out: &mut Vec<Action>) {
        if self.successor() == Some(conn) {
            self.state = State::Orphaned;
            out.push(Action::ProbeSocket);
        }
    }

    /// Handles the result of [`Action::ProbeSocket`]. Sessions that were handed over are not taken back: they play
    /// on, and their clients name them again.
    pub fn socket_probed(&mut self, is_listening: bool, out: &mut Vec<Action>) {
        if self.state == State::Orphaned && !is_listening {
            self.state = State::Serving;
            out.push(Action::Resume);
        }
    }

    /// Handles whether this process still has work: clients that wait here, or messages that arrive only here.
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
    fn yields_once_and_exits_only_after_the_successor_permits_it() {
        let mut predecessor = Predecessor::default();
        assert_eq!(
            handle(&mut predecessor, A, TAKE_OVER),
            [Action::Yield, Action::Send(A, Message::Yielded)]
        );
        assert_eq!(handle(&mut predecessor, B, TAKE_OVER), [Action::Send(B, Message::Busy)]);
        assert_eq!(
            handle(&mut predecessor, A, Message::Leave),
            [],
            "a Leave that was not asked for is ignored"
        );
        let mut out = Vec::new();
        predecessor.update_pending_work(true, &mut out);
        assert_eq!(out, []);
        predecessor.update_pending_work(false, &mut out);
        predecessor.update_pending_work(false, &mut out);
        assert_eq!(out, [Action::Send(A, Message::Leaving)]);
        assert_eq!(handle(&mut predecessor, B, Message::Leave), []);
        assert!(predecessor.has_yielded());
        assert_eq!(handle(&mut predecessor, A, Message::Leave), [Action::Exit]);
        // The process exits now: it neither serves again nor ends the sessions that it has handed over.
        let mut out = Vec::new();
        predecessor.connection_ended(A, &mut out);
        assert!(out.is_empty() && predecessor.has_yielded());
    }

    /// Guards against a broker without a serving process when the successor dies before the predecessor has exited.
    #[test]
    fn resumes_when_the_successor_dies_and_yields_to_the_next_one() {
        for leaving in [false, true] {
            let mut predecessor = Predecessor::default();
            handle(&mut predecessor, A, TAKE_OVER);
            let mut out = Vec::new();
            if leaving {
                predecessor.update_pending_work(false, &mut out);
                out.clear();
            }
            predecessor.connection_ended(B, &mut out);
            assert_eq!(out, [], "the connection was not the successor's");
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

    /// Guards against a take-over by an older process. When three versions started within milliseconds, the third
    /// took over before the second, which then took over from the third.
    #[test]
    fn does_not_yield_to_a_process_that_started_earlier() {
        let mut predecessor = Predecessor::new(9);
        assert_eq!(handle(&mut predecessor, A, TAKE_OVER), [Action::Send(A, Message::Newer)]);
        assert!(!predecessor.has_yielded());
        let later = Message::TakeOver { version: VERSION, started: 10 };
        assert_eq!(handle(&mut predecessor, B, later), [Action::Yield, Action::Send(B, Message::Yielded)]);
    }

    /// Guards against two serving processes. When three versions started within a second, the second exited before
    /// the first, which then served again beside the third.
    #[test]
    fn does_not_resume_while_a_third_process_listens() {
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
    fn rejects_another_protocol_version_without_yielding() {
        let mut predecessor = Predecessor::default();
        let other = Message::TakeOver { version: VERSION + 1, started: 9 };
        assert_eq!(handle(&mut predecessor, A, other), [Action::Send(A, Message::Other)]);
        assert_eq!(predecessor.successor(), None);
        assert_eq!(handle(&mut predecessor, A, Message::Left { id: 1 }), []);
    }
}
