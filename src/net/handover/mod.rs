//! I/O of the hand-over between the processes of one broker: over a Unix socket in `$TMPDIR`, the next process asks
//! this one to let it take over.

mod gate;
mod meeting;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use tracing::{info, warn};

use super::outbox::{Notify, Outbox};
use super::{Handle, step, to_duration};
use crate::operate::handover::giver::{self, Predecessor, TakeoverConn};
use crate::operate::handover::heir::{self, Successor};
use crate::operate::handover::{Message, encode};
use gate::Gate;
pub(super) use meeting::socket_path;
use meeting::{FileId, exchange_messages, listen, try_connect};

/// The time before the process at the socket is asked again.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
/// The time between checks whether any client still waits at this process, once another process serves.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// The hand-over of this process with its predecessor and with its successor.
pub(super) struct Handover {
    socket_path: PathBuf,
    /// The start of this process on the boot clock, which is never set.
    started: u64,
    /// The state machine of this process as the predecessor of the next one.
    predecessor_role: RefCell<Predecessor>,
    /// The state machine of this process as the successor of the one before it.
    successor_role: RefCell<Option<Successor>>,
    /// The connection to the process before this one.
    predecessor_outbox: RefCell<Option<Rc<Outbox>>>,
    /// The connections of processes that ask to take over.
    takeovers: RefCell<BTreeMap<TakeoverConn, Rc<Outbox>>>,
    last_takeover: Cell<u64>,
    /// The socket file that this process listens on.
    own_socket: Cell<Option<FileId>>,
    /// The task that accepts processes that ask to take over.
    accept_task: RefCell<Option<Task<()>>>,
    /// Notified when the process at the socket is to be asked again.
    ask_again: Notify,
    /// Open while this process accepts clients' connections.
    pub(super) gate: Gate,
    /// Notified when this process has nothing left to do.
    pub(super) finished: Notify,
}

impl Handover {
    /// Whether another process serves in place of this one.
    pub(super) fn has_yielded(&self) -> bool {
        self.predecessor_role.borrow().has_yielded()
    }

    /// Sends the node's messages to the successor. If there is none, the predecessor is told that a client has left a
    /// session that this process does not hold.
    pub(super) fn send_messages(self: &Rc<Self>, shared: &Handle, messages: Vec<Message>) {
        let successor = self.predecessor_role.borrow().successor();
        let takeover = successor.and_then(|successor| self.takeovers.borrow().get(&successor).cloned());
        for message in messages {
            match (&takeover, message) {
                (Some(outbox), message) => outbox.push(encode(&message), None),
                (None, Message::Left { id }) => {
                    let now = shared.now();
                    self.as_successor(shared, |successor, out| successor.client_left(now, id, out));
                }
                _ => {}
            }
        }
    }

    /// Executes the actions of this process as the predecessor of the next one.
    fn execute_as_predecessor(self: &Rc<Self>, shared: &Handle, actions: Vec<giver::Action>) {
        for action in actions {
            match action {
                giver::Action::Yield => {
                    info!(event = "yields");
                    self.gate.set(false);
                    step(shared, |node, now, out| node.yield_to_successor(now, out));
                    shared.executor.spawn(leave_when_idle(shared.clone(), self.clone())).detach();
                }
                giver::Action::Resume => {
                    warn!(event = "serves again", reason = "the new process is gone");
                    step(shared, |node, now, out| node.resume_serving(now, out));
                    self.gate.set(true);
                    listen(shared, self);
                }
                giver::Action::Send(to, message) => {
                    if let Some(outbox) = self.takeovers.borrow().get(&to) {
                        outbox.push(encode(&message), None);
                    }
                }
                giver::Action::ClientLeft(id) => {
                    step(shared, |node, now, out| node.client_left_at_peer(now, id, out))
                }
                giver::Action::ProbeSocket => {
                    shared.executor.spawn(check_for_other_process(shared.clone(), self.clone())).detach()
                }
                giver::Action::Exit => self.finished.notify(),
            }
        }
    }

    /// Executes the actions of this process as the successor of the one before it.
    fn execute_as_successor(self: &Rc<Self>, shared: &Handle, actions: Vec<heir::Action>) {
        for action in actions {
            match action {
                heir::Action::Serve => {
                    step(shared, |node, _, _| node.start_serving());
                    self.gate.set(true);
                    info!(event = "serves");
                }
                heir::Action::Listen => listen(shared, self),
                heir::Action::Exit => self.finished.notify(),
                heir::Action::Reconnect => self.ask_again.notify(),
                heir::Action::TakeWarmUpTurns => {
                    step(shared, |node, now, out| node.take_warm_up_turns(now, out))
                }
                heir::Action::AdoptSession(passed) => {
                    step(shared, |node, now, out| node.adopt_session(now, &passed, out))
                }
                heir::Action::AdoptEndedSession(passed) => step(shared, |node, now, out| {
                    node.adopt_session(now, &passed, out);
                    node.client_left_at_peer(now, passed.id, out);
                }),
                heir::Action::HandleForwarded(message) => {
                    step(shared, |node, now, out| node.handle_forwarded(now, &message, out))
                }
                heir::Action::Send(message) => {
                    if let Some(outbox) = &*self.predecessor_outbox.borrow() {
                        outbox.push(encode(&message), None);
                    }
                }
            }
        }
    }

    /// Calls `act` on the successor's state machine, if there is one, and executes its actions.
    fn as_successor(
        self: &Rc<Self>,
        shared: &Handle,
        act: impl FnOnce(&mut Successor, &mut Vec<heir::Action>),
    ) {
        let mut actions = Vec::new();
        if let Some(successor) = &mut *self.successor_role.borrow_mut() {
            act(successor, &mut actions);
        }
        self.execute_as_successor(shared, actions);
    }

    /// Calls `act` on the predecessor's state machine and executes its actions.
    fn as_predecessor(
        self: &Rc<Self>,
        shared: &Handle,
        act: impl FnOnce(&mut Predecessor, &mut Vec<giver::Action>),
    ) {
        let mut actions = Vec::new();
        act(&mut self.predecessor_role.borrow_mut(), &mut actions);
        self.execute_as_predecessor(shared, actions);
    }
}

/// Tells the state machine, while another process serves, whether this process is still needed: it may leave once no
/// client waits here.
async fn leave_when_idle(shared: Handle, handover: Rc<Handover>) {
    while handover.has_yielded() {
        let unwritten = shared.outboxes.borrow().values().any(|outbox| !outbox.is_empty());
        // Messages of the process before this one pass through here, and it would take the end of this process for the
        // death of its successor.
        let relays = handover.predecessor_outbox.borrow().is_some();
        let is_needed = unwritten || relays || shared.node.borrow().has_waiting_clients();
        handover.as_predecessor(&shared, |predecessor, out| predecessor.update_pending_work(is_needed, out));
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Finds out whether another process listens on the socket, after the successor has gone. A successor that died before
/// it listened there has left the socket file of this process in place.
async fn check_for_other_process(shared: Handle, handover: Rc<Handover>) {
    let own = handover.own_socket.get();
    let is_own = || own.is_some() && FileId::of(&handover.socket_path).ok() == own;
    let no_other = is_own() || matches!(try_connect(&handover.socket_path).await, Ok(None));
    handover.as_predecessor(&shared, |predecessor, out| predecessor.socket_probed(!no_other, out));
}

/// Starts the hand-over: asks the process before this one to let this one take over, if there is one.
pub(super) async fn start(shared: Handle, handover: Rc<Handover>) {
    let max_sessions = step(&shared, |node, _, _| {
        node.await_predecessor();
        node.max_sessions()
    });
    let successor = Successor::new(shared.now(), handover.started, max_sessions);
    let deadline = successor.deadline();
    *handover.successor_role.borrow_mut() = Some(successor);
    let timeout = async {
        Timer::after(to_duration(deadline - shared.now())).await;
        let now = shared.now();
        handover.as_successor(&shared, |successor, out| successor.tick(now, out));
        future::pending::<()>().await;
    };
    let ask = async {
        loop {
            let stream = match try_connect(&handover.socket_path).await {
                Ok(Some(stream)) => stream,
                Ok(None) => return handover.as_successor(&shared, Successor::no_predecessor),
                Err(_) => {
                    Timer::after(RETRY_INTERVAL).await;
                    continue;
                }
            };
            let outbox = Rc::new(Outbox::new(&shared.queue_limits.servers));
            *handover.predecessor_outbox.borrow_mut() = Some(outbox.clone());
            handover.as_successor(&shared, Successor::connected);
            let exchange = async {
                let handle = |message| {
                    handover.as_successor(&shared, |successor, out| successor.handle_message(message, out))
                };
                let reason = exchange_messages(&stream, &outbox, handle).await;
                info!(event = "end", peer = "old process", reason);
                handover.as_successor(&shared, Successor::connection_ended);
                false
            };
            let told_to_ask_again = async {
                handover.ask_again.notified().await;
                true
            };
            // The notification may come during the exchange or at its end.
            let asks_again = future::or(told_to_ask_again, exchange).await;
            *handover.predecessor_outbox.borrow_mut() = None;
            if !asks_again && !handover.ask_again.take() {
                return;
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    };
    future::or(ask, timeout).await;
}

impl Handover {
    /// Creates the hand-over of the processes that meet at `socket_path`.
    pub(super) fn new(socket_path: PathBuf) -> Rc<Handover> {
        let started = super::quorum::boot_now().0;
        Rc::new(Handover {
            socket_path,
            started,
            predecessor_role: RefCell::new(Predecessor::new(started)),
            successor_role: RefCell::default(),
            predecessor_outbox: RefCell::default(),
            takeovers: RefCell::default(),
            last_takeover: Cell::default(),
            own_socket: Cell::default(),
            accept_task: RefCell::default(),
            ask_again: Notify::default(),
            gate: Gate::default(),
            finished: Notify::default(),
        })
    }
}
