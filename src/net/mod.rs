//! Network and timer I/O of the process. This is the only module that owns sockets: its tasks move bytes between the
//! sockets and the [`Node`], which makes all decisions without doing I/O itself.

mod accept;
mod board;
mod budget;
mod clock;
mod conns;
mod console;
mod ending;
mod files;
mod handover;
mod hook;
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
mod timers;

#[cfg(test)]
mod tests;

pub use run::run;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use tracing::info;

use crate::api::{Micros, SessionId};
use crate::board::BoardClient;
use crate::config::Config;
use crate::mutant::{self, Mutant};
use crate::node::Node;
use crate::platform::links::{Command, ConnId};
use crate::platform::timings::Timings;
use crate::roster::{Roster, ShrinkLimit};
use budget::DescriptorBudget;
use clock::{Clock, unix_now};
use conns::dial_server;
use outbox::{Notify, Outbox};
use queues::{QueueLimits, QueuedBytes};
use reading::READ_BUFFER_BYTES;

/// The socket of a client.
struct ClientSocket {
    stream: Rc<Async<TcpStream>>,
    /// The memory held by what it has sent and the node has not handled yet.
    input: QueuedBytes,
}

/// The state that all tasks of the process share. They run on one thread.
struct Shared {
    executor: Rc<LocalExecutor<'static>>,
    node: RefCell<Node>,
    outboxes: RefCell<BTreeMap<ConnId, Rc<Outbox>>>,
    /// The clients' sockets, and the notice board's: they are read before a set-up is sent on a client's behalf.
    client_sockets: RefCell<BTreeMap<ConnId, ClientSocket>>,
    board_stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// Why the notice board's connection has ended, until the task that follows the board handles it.
    board_end_reason: Cell<Option<&'static str>>,
    clock: Clock,
    /// Wakes the timer task, as each step may change the time of the node's next alarm.
    alarm_changed: Notify,
    /// One read buffer serves all connections: nothing else runs between a read and the step that uses its bytes.
    read_buffer: RefCell<Vec<u8>>,
    board: RefCell<BoardClient>,
    roster: RefCell<Roster>,
    /// Notified when the server list has changed, or when a list is held back.
    list_changed: Notify,
    /// The address of the notice board, and the notification of a new one.
    board_address: Cell<Option<SocketAddr>>,
    board_address_changed: Notify,
    budget: DescriptorBudget,
    /// The number of accepted client connections, and the notification that one has ended.
    client_count: Cell<usize>,
    client_closed: Notify,
    /// The number of connections to edge servers that hold a descriptor, and the notification that one has ended.
    server_connection_count: Cell<usize>,
    server_connection_closed: Notify,
    queue_limits: QueueLimits,
    /// The timeouts that follow from the settings in use.
    timings: Cell<Timings>,
    /// The operator's script.
    script: hook::ScriptSlot,
    /// The hand-over with the process before and the one after this one, on platforms that replace a running version
    /// under load.
    handover: RefCell<Option<Rc<handover::Handover>>>,
}

/// A shared reference to the state of the process.
type Handle = Rc<Shared>;

/// Converts a span of time to the type that timers take.
fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

impl Shared {
    fn new(config: &Config, board: BoardClient) -> Handle {
        // Only lists from watched files are held back, so without a watch the limit is never reached.
        let never = ShrinkLimit { max_dropped_fraction: 1.0, hold: Micros(0) };
        let shrink_limit = config.watch.as_ref().map_or(never, |w| w.plausible);
        let (node, budget) = (Node::new(config), DescriptorBudget::new(config.sockets));
        let timings = node.timings();
        Rc::new(Shared {
            executor: Rc::new(LocalExecutor::new()),
            node: RefCell::new(node),
            outboxes: RefCell::new(BTreeMap::new()),
            client_sockets: RefCell::default(),
            board_stream: RefCell::default(),
            board_end_reason: Cell::default(),
            clock: Clock::default(),
            alarm_changed: Notify::default(),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_BYTES]),
            board: RefCell::new(board),
            roster: RefCell::new(Roster::new(shrink_limit)),
            list_changed: Notify::default(),
            board_address: Cell::new(config.board),
            board_address_changed: Notify::default(),
            budget,
            client_count: Cell::new(0),
            client_closed: Notify::default(),
            server_connection_count: Cell::new(0),
            server_connection_closed: Notify::default(),
            queue_limits: QueueLimits::new(config.memory, &budget),
            timings: Cell::new(timings),
            script: hook::ScriptSlot::default(),
            handover: RefCell::default(),
        })
    }

    /// Returns the current time, which never goes backwards.
    fn now(&self) -> Micros {
        self.clock.read(unix_now())
    }
}

/// Calls `act` on the node, then executes the commands, log lines and messages that it produced.
fn step<T>(shared: &Handle, act: impl FnOnce(&mut Node, Micros, &mut Vec<Command>) -> T) -> T {
    let now = shared.now();
    let mut commands = Vec::new();
    let (result, lines, trace_events, messages, calls) = {
        let mut node = shared.node.borrow_mut();
        if node.has_rules() {
            // The boot clock is read for each step, so that a decision after a stall uses the time after the stall.
            node.set_boot_time(quorum::boot_now());
        }
        let result = act(&mut node, now, &mut commands);
        let calls = node.take_script_calls();
        (result, node.take_log(), node.take_trace(), node.take_messages(), calls)
    };
    for (at, event) in trace_events {
        event.write(at.0);
    }
    for line in lines {
        info!(event = "module", "{line}");
    }
    let mut withdrawn = Vec::new();
    for command in commands {
        match command {
            Command::Dial(conn, address) => {
                let outbox = Rc::new(Outbox::new(&shared.queue_limits.servers));
                shared.outboxes.borrow_mut().insert(conn, outbox.clone());
                let driver = dial_server(shared.clone(), conn, address, outbox);
                shared.executor.spawn(driver).detach();
            }
            Command::Write(conn, bytes, session) => match shared.outboxes.borrow().get(&conn) {
                Some(outbox) => outbox.push(bytes, session),
                None => info!(event = "unwritten", conn = conn.0, bytes = bytes.len()),
            },
            Command::WriteSessionEnd(conn, bytes) => {
                let outbox = shared.outboxes.borrow().get(&conn).cloned();
                match outbox {
                    Some(outbox) => outbox.push_session_end(bytes),
                    None => info!(event = "unwritten", conn = conn.0, bytes = bytes.len()),
                }
            }
            Command::Withdraw(conn, id, release) => {
                let outbox = shared.outboxes.borrow().get(&conn).cloned();
                match outbox {
                    Some(outbox) if outbox.withdraw(id) => withdrawn.push((conn, id)),
                    Some(outbox) => outbox.push_release(release, id),
                    // The connection has ended; its own task reports that to the node.
                    None => {}
                }
            }
            Command::Close(conn, reason) => {
                if let Some(outbox) = shared.outboxes.borrow().get(&conn) {
                    outbox.close(reason);
                }
            }
            Command::CloseIfQuiet(conn, reason) => match shared.outboxes.borrow().get(&conn) {
                Some(outbox) if mutant::is_active(Mutant::CutAtClose) => outbox.abort(reason),
                Some(outbox) => outbox.close_if_quiet(reason),
                None => {}
            },
            Command::LingeringClose(conn, reason) => {
                if let Some(outbox) = shared.outboxes.borrow().get(&conn) {
                    outbox.lingering_close(reason);
                }
            }
            Command::Abort(conn, reason) => {
                if let Some(outbox) = shared.outboxes.borrow().get(&conn) {
                    outbox.abort(reason);
                }
            }
        }
    }
    hook::hand_out(shared, calls);
    if !messages.is_empty() {
        let handover = shared.handover.borrow().clone();
        if let Some(handover) = handover {
            handover.send_messages(shared, messages);
        }
    }
    withdrawn.into_iter().for_each(|(conn, id)| report_withdrawn(shared, conn, id));
    shared.alarm_changed.notify();
    result
}

/// A boxed call on the node.
type NodeAction = Box<dyn FnOnce(&mut Node, Micros, &mut Vec<Command>)>;

/// Tells the node that the release of a withdrawn attempt is written on its connection, or that the attempt was never
/// sent.
fn report_withdrawn(shared: &Handle, conn: ConnId, id: SessionId) {
    let act: NodeAction = Box::new(move |node, now, out| node.withdrawn(now, conn, id, out));
    step(shared, act);
}
