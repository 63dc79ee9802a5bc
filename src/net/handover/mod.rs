//! The hand-over's sockets: a Unix socket in `$TMPDIR`, where the next process asks this one.

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

use super::outbox::{Bell, Outbox};
use super::{Handle, micros, step};
use crate::operate::handover::giver::{self, Predecessor, TakeoverConn};
use crate::operate::handover::heir::{self, Successor};
use crate::operate::handover::{Message, encode};
use gate::Gate;
pub(super) use meeting::place;
use meeting::{FileId, converse, listen, reach};

/// Time before the process at the meeting point is asked again.
const AGAIN: std::time::Duration = std::time::Duration::from_millis(20);
/// Time between looks whether anybody still waits here, once another process serves.
const LOOK: std::time::Duration = std::time::Duration::from_millis(10);

/// This process between the one before it and the one after it.
pub(super) struct Handover {
    path: PathBuf,
    /// When this process started, by the machine's clock that is never set.
    started: u64,
    giver: RefCell<Predecessor>,
    heir: RefCell<Option<Successor>>,
    /// The connection to the process before.
    old: RefCell<Option<Rc<Outbox>>>,
    /// Those of processes that ask.
    suitors: RefCell<BTreeMap<TakeoverConn, Rc<Outbox>>>,
    next: Cell<u64>,
    /// The file that this process took its place at the meeting point with.
    own_place: Cell<Option<FileId>>,
    /// Hears those that ask.
    meeting: RefCell<Option<Task<()>>>,
    /// Rings when the process at the meeting point is to be asked again.
    again: Bell,
    pub(super) gate: Gate,
    /// Rings when this process has nothing left to do.
    pub(super) left: Bell,
}

impl Handover {
    /// Whether another process serves in this one's place.
    pub(super) fn yielded(&self) -> bool {
        self.giver.borrow().has_yielded()
    }

    /// What the node has for the other process.
    pub(super) fn told(self: &Rc<Self>, shared: &Handle, messages: Vec<Message>) {
        let heir = self.giver.borrow().successor();
        let suitor = heir.and_then(|heir| self.suitors.borrow().get(&heir).cloned());
        for message in messages {
            match (&suitor, message) {
                (Some(outbox), message) => outbox.push(encode(&message), None),
                (None, Message::Left { id }) => {
                    let now = shared.now();
                    self.as_heir(shared, |heir, out| heir.client_left(now, id, out));
                }
                _ => {}
            }
        }
    }

    fn give(self: &Rc<Self>, shared: &Handle, acts: Vec<giver::Action>) {
        for act in acts {
            match act {
                giver::Action::Yield => {
                    info!(event = "yields");
                    self.gate.set(false);
                    step(shared, |node, now, out| node.yield_to_successor(now, out));
                    shared.executor.spawn(leave(shared.clone(), self.clone())).detach();
                }
                giver::Action::Resume => {
                    warn!(event = "serves again", reason = "the new process is gone");
                    step(shared, |node, now, out| node.resume_serving(now, out));
                    self.gate.set(true);
                    listen(shared, self);
                }
                giver::Action::Send(to, message) => {
                    if let Some(outbox) = self.suitors.borrow().get(&to) {
                        outbox.push(encode(&message), None);
                    }
                }
                giver::Action::ClientLeft(id) => {
                    step(shared, |node, now, out| node.client_left_at_peer(now, id, out))
                }
                giver::Action::ProbeSocket => {
                    shared.executor.spawn(look(shared.clone(), self.clone())).detach()
                }
                giver::Action::Exit => self.left.ring(),
            }
        }
    }

    fn inherit(self: &Rc<Self>, shared: &Handle, acts: Vec<heir::Action>) {
        for act in acts {
            match act {
                heir::Action::Serve => {
                    step(shared, |node, _, _| node.start_serving());
                    self.gate.set(true);
                    info!(event = "serves");
                }
                heir::Action::Listen => listen(shared, self),
                heir::Action::Exit => self.left.ring(),
                heir::Action::Reconnect => self.again.ring(),
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
                    if let Some(old) = &*self.old.borrow() {
                        old.push(encode(&message), None);
                    }
                }
            }
        }
    }

    fn as_heir(self: &Rc<Self>, shared: &Handle, act: impl FnOnce(&mut Successor, &mut Vec<heir::Action>)) {
        let mut acts = Vec::new();
        if let Some(heir) = &mut *self.heir.borrow_mut() {
            act(heir, &mut acts);
        }
        self.inherit(shared, acts);
    }

    fn as_giver(
        self: &Rc<Self>,
        shared: &Handle,
        act: impl FnOnce(&mut Predecessor, &mut Vec<giver::Action>),
    ) {
        let mut acts = Vec::new();
        act(&mut self.giver.borrow_mut(), &mut acts);
        self.give(shared, acts);
    }
}

/// Once another process serves: asks to leave when nobody waits here, and leaves when it is told to.
async fn leave(shared: Handle, handover: Rc<Handover>) {
    while handover.yielded() {
        let unwritten = shared.boxes.borrow().values().any(|outbox| !outbox.empty());
        // What the process before passes comes by here; it would take this one's end for its heir's death.
        let passes_by = handover.old.borrow().is_some();
        let anything = unwritten || passes_by || shared.node.borrow().has_waiting_clients();
        handover.as_giver(&shared, |giver, out| giver.update_pending_work(anything, out));
        Timer::after(LOOK).await;
    }
}

/// Finds out whether anybody else is at the meeting point, now that the heir is gone. One that died before it took its
/// place has left this process's own there.
async fn look(shared: Handle, handover: Rc<Handover>) {
    let own = handover.own_place.get();
    let still_own = || own.is_some() && FileId::of(&handover.path).ok() == own;
    let nobody = still_own() || matches!(reach(&handover.path).await, Ok(None));
    handover.as_giver(&shared, |giver, out| giver.socket_probed(!nobody, out));
}

/// Starts: asks the process before this one, if there is one.
pub(super) async fn start(shared: Handle, handover: Rc<Handover>) {
    let most_sessions = step(&shared, |node, _, _| {
        node.await_predecessor();
        node.most_sessions()
    });
    let heir = Successor::new(shared.now(), handover.started, most_sessions);
    let until = heir.deadline();
    *handover.heir.borrow_mut() = Some(heir);
    let patience = async {
        Timer::after(micros(until - shared.now())).await;
        let now = shared.now();
        handover.as_heir(&shared, |heir, out| heir.tick(now, out));
        future::pending::<()>().await;
    };
    let ask = async {
        loop {
            let stream = match reach(&handover.path).await {
                Ok(Some(stream)) => stream,
                Ok(None) => return handover.as_heir(&shared, Successor::no_predecessor),
                Err(_) => {
                    Timer::after(AGAIN).await;
                    continue;
                }
            };
            let outbox = Rc::new(Outbox::new(&shared.queues.servers));
            *handover.old.borrow_mut() = Some(outbox.clone());
            handover.as_heir(&shared, Successor::connected);
            let talk = async {
                let hear = |message| handover.as_heir(&shared, |heir, out| heir.handle_message(message, out));
                let reason = converse(&stream, &outbox, hear).await;
                info!(event = "end", peer = "old process", reason);
                handover.as_heir(&shared, Successor::connection_ended);
                false
            };
            let told = async {
                handover.again.heard().await;
                true
            };
            // Told while it talked, or at its end.
            let again = future::or(told, talk).await;
            *handover.old.borrow_mut() = None;
            if !again && !handover.again.rung() {
                return;
            }
            Timer::after(AGAIN).await;
        }
    };
    future::or(ask, patience).await;
}

impl Handover {
    /// Between the processes that meet there.
    pub(super) fn new(path: PathBuf) -> Rc<Handover> {
        let started = super::quorum::boot_now().0;
        Rc::new(Handover {
            path,
            started,
            giver: RefCell::new(Predecessor::new(started)),
            heir: RefCell::default(),
            old: RefCell::default(),
            suitors: RefCell::default(),
            next: Cell::default(),
            own_place: Cell::default(),
            meeting: RefCell::default(),
            again: Bell::default(),
            gate: Gate::default(),
            left: Bell::default(),
        })
    }
}
