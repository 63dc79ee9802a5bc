//! The only module with sockets: thin drivers that move bytes between them and the [`Node`].

mod accept;
mod board;
mod budget;
mod clock;
mod conns;
mod console;
mod ending;
mod files;
mod handover;
mod inherit;
mod outbox;
mod presence;
mod queues;
pub mod quorum;
mod reading;
mod registry;
mod room;
mod run;
mod signals;

#[cfg(test)]
mod tests;

pub use run::run;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use tracing::info;

use crate::api::{Micros, SessionId};
use crate::board::Board;
use crate::config::Config;
use crate::mutant::{self, Mutant};
use crate::node::Node;
use crate::platform::links::{Command, ConnId};
use crate::platform::timings::Timings;
use crate::roster::{Roster, ShrinkLimit};
use budget::Budget;
use clock::{Clock, unix};
use conns::dial;
use outbox::{Bell, Outbox};
use queues::Queues;
use reading::TURN;

struct Shared {
    executor: Rc<LocalExecutor<'static>>,
    node: RefCell<Node>,
    boxes: RefCell<BTreeMap<ConnId, Rc<Outbox>>>,
    /// Clients' connections, to be read before anything is sent on their behalf; and the notice board's.
    clients: RefCell<BTreeMap<ConnId, Rc<Async<TcpStream>>>>,
    board_stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// Why the board's connection is over, until that is seen to.
    board_over: Cell<Option<&'static str>>,
    clock: Clock,
    bell: Bell,
    buffer: RefCell<Vec<u8>>,
    board: RefCell<Board>,
    roster: RefCell<Roster>,
    /// Rings when the list has changed, or when one is held back.
    listed: Bell,
    /// Where the notice board listens, and the bell that tells of a new address.
    board_at: Cell<Option<SocketAddr>>,
    board_moved: Bell,
    budget: Budget,
    accepted: Cell<usize>,
    room: Bell,
    /// Connections to edge servers that have a descriptor, and the bell that tells of one that ended.
    linked: Cell<usize>,
    unlinked: Bell,
    queues: Queues,
    /// Time limits that follow from the settings in use.
    timings: Cell<Timings>,
    /// The processes before and after this one, where the platform lets versions follow each other under load.
    handover: RefCell<Option<Rc<handover::Handover>>>,
}

type Handle = Rc<Shared>;

fn micros(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}

impl Shared {
    fn new(config: &Config, board: Board) -> Handle {
        // Only lists from watched files are ever held back.
        let never = ShrinkLimit { max_dropped_fraction: 1.0, hold: Micros(0) };
        let plausible = config.watch.as_ref().map_or(never, |w| w.plausible);
        let (node, budget) = (Node::new(config), Budget::new(config.sockets));
        let timings = node.timings();
        Rc::new(Shared {
            executor: Rc::new(LocalExecutor::new()),
            node: RefCell::new(node),
            boxes: RefCell::new(BTreeMap::new()),
            clients: RefCell::default(),
            board_stream: RefCell::default(),
            board_over: Cell::default(),
            clock: Clock::default(),
            bell: Bell::default(),
            buffer: RefCell::new(vec![0; TURN]),
            board: RefCell::new(board),
            roster: RefCell::new(Roster::new(plausible)),
            listed: Bell::default(),
            board_at: Cell::new(config.board),
            board_moved: Bell::default(),
            budget,
            accepted: Cell::new(0),
            room: Bell::default(),
            linked: Cell::new(0),
            unlinked: Bell::default(),
            queues: Queues::new(config.memory, &budget),
            timings: Cell::new(timings),
            handover: RefCell::default(),
        })
    }

    fn now(&self) -> Micros {
        self.clock.read(unix())
    }
}

/// Lets the node do something, then carries its commands out.
fn step<T>(shared: &Handle, act: impl FnOnce(&mut Node, Micros, &mut Vec<Command>) -> T) -> T {
    let now = shared.now();
    let mut commands = Vec::new();
    let (result, lines, told, messages) = {
        let mut node = shared.node.borrow_mut();
        if node.has_rules() {
            // Read anew for each step: what is decided after a stall is decided by the moment behind it.
            node.set_boot(quorum::boot_now());
        }
        (act(&mut node, now, &mut commands), node.take_log(), node.take_trace(), node.take_messages())
    };
    for (at, event) in told {
        event.write(at.0);
    }
    for line in lines {
        info!(event = "module", "{line}");
    }
    let mut withdrawn = Vec::new();
    for command in commands {
        match command {
            Command::Dial(conn, address) => {
                let outbox = Rc::new(Outbox::new(&shared.queues.servers));
                shared.boxes.borrow_mut().insert(conn, outbox.clone());
                let driver = dial(shared.clone(), conn, address, outbox);
                shared.executor.spawn(driver).detach();
            }
            Command::Write(conn, bytes, tag) => match shared.boxes.borrow().get(&conn) {
                Some(outbox) => outbox.push(bytes, tag),
                None => info!(event = "unwritten", conn = conn.0, bytes = bytes.len()),
            },
            Command::WriteSessionEnd(conn, bytes) => {
                let outbox = shared.boxes.borrow().get(&conn).cloned();
                match outbox {
                    Some(outbox) => outbox.push_end(bytes),
                    None => info!(event = "unwritten", conn = conn.0, bytes = bytes.len()),
                }
            }
            Command::Withdraw(conn, id, behind) => {
                let outbox = shared.boxes.borrow().get(&conn).cloned();
                match outbox {
                    Some(outbox) if outbox.withdraw(id) => withdrawn.push((conn, id)),
                    Some(outbox) => outbox.push_release(behind, id),
                    // Its connection is over, and tells that itself.
                    None => {}
                }
            }
            Command::Close(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.close(reason);
                }
            }
            Command::CloseIfQuiet(conn, reason) => match shared.boxes.borrow().get(&conn) {
                Some(outbox) if mutant::on(Mutant::CutAtClose) => outbox.cut(reason),
                Some(outbox) => outbox.let_go(reason),
                None => {}
            },
            Command::LingeringClose(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.leave(reason);
                }
            }
            Command::Abort(conn, reason) => {
                if let Some(outbox) = shared.boxes.borrow().get(&conn) {
                    outbox.cut(reason);
                }
            }
        }
    }
    if !messages.is_empty() {
        let handover = shared.handover.borrow().clone();
        if let Some(handover) = handover {
            handover.told(shared, messages);
        }
    }
    withdrawn.into_iter().for_each(|(conn, id)| tell_withdrawn(shared, conn, id));
    shared.bell.ring();
    result
}

/// What a node is let do.
type Act = Box<dyn FnOnce(&mut Node, Micros, &mut Vec<Command>)>;

/// The end of an attempt is written on its connection, or the attempt never left.
fn tell_withdrawn(shared: &Handle, conn: ConnId, id: SessionId) {
    let act: Act = Box::new(move |node, now, out| node.withdrawn(now, conn, id, out));
    step(shared, act);
}

async fn keep_time(shared: Handle) {
    loop {
        let wait = micros(shared.node.borrow().next_alarm() - shared.now());
        if !wait.is_zero() {
            let timer = async {
                Timer::after(wait).await;
            };
            future::or(shared.bell.heard(), timer).await;
        }
        // What came meanwhile is heard before what is due: readers that were woken together with this have their turn.
        future::yield_now().await;
        if shared.node.borrow().next_alarm() <= shared.now() {
            step(&shared, |node, now, out| node.tick(now, out));
        }
    }
}
