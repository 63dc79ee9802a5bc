//! Runs one broker process from its start to its end.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::future;
use tracing::info;

use super::accept::{ClientListener, accept_clients};
use super::board::follow_board;
use super::clock::unix_now;
use super::ending::{Shutdown, shut_down};
use super::handover::Handover;
use super::outbox::Notify;
use super::registry::run_registry;
use super::signals::{complete_list, handle_signals};
use super::timers::run_timers;
use super::{Handle, Shared, files, handover, hook, inherit, quorum, step};
use crate::board::BoardClient;
use crate::config::Config;
use crate::eureka::Eureka;
use crate::hook::CallLimits;
use crate::node::Protocol;
use crate::quorum::Incarnation;
use crate::quorum::fronts::FleetPosition;
use crate::records::Findings;
use crate::roster::{ListUpdate, Source};
use crate::rules::standing::LocalRules;

/// The time between reports of the node's counts to the quorum.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);

/// Binds a listening socket. An error names the setting that holds the address.
fn bind(field: &str, address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .map_err(|e| io::Error::new(e.kind(), format!("{field}: can't listen on {address}: {e}")))
}

/// Logs the address of a listening socket.
fn log_listening(name: &str, listener: &Async<TcpListener>, front: &str) -> io::Result<()> {
    let address = listener.get_ref().local_addr()?;
    info!(event = "listens", name, address = %address, front, "{name} listens on {address} for {front}");
    Ok(())
}

/// Waits until this process has nothing left to do because another process serves in its place.
async fn wait_until_finished(handover: Option<&Rc<Handover>>) {
    match handover {
        Some(handover) => handover.finished.notified().await,
        None => future::pending().await,
    }
}

/// Reports the node's counts to the quorum at regular intervals.
async fn report_counts(shared: Handle, quorum: Rc<quorum::Quorum>) {
    loop {
        let counts = shared.node.borrow().counts();
        quorum.report_counts(counts);
        Timer::after(COUNT_INTERVAL).await;
    }
}

/// The tasks that accept client connections, and the notifications that tell them to stop.
#[derive(Default)]
struct ClientListeners {
    accept_tasks: Vec<Task<()>>,
    stop_accepting: Vec<Rc<Notify>>,
}

/// Starts to take server lists from all sources that the configuration names.
fn start_discovery(
    shared: &Handle,
    config: &Config,
    known: Vec<ListUpdate>,
) -> Option<Rc<RefCell<files::WatchedFiles>>> {
    let watched = config.watch.clone().map(|watch_config| files::start(shared, config, watch_config));
    if config.board.is_some() || config.eureka.is_some() || watched.is_some() {
        step(shared, |node, now, _| node.await_list(now));
    }
    if !config.servers.is_empty() {
        files::offer(shared, Source::Fixed, complete_list(config.servers.clone()));
    }
    for update in known {
        files::offer(shared, Source::Board, update);
    }
    shared.executor.spawn(files::maintain_roster(shared.clone(), watched.clone())).detach();
    shared.executor.spawn(follow_board(shared.clone())).detach();
    watched
}

/// Opens the listening sockets for clients: takes the inherited one if the platform holds it, else binds it.
fn open_client_listeners(
    shared: &Handle,
    config: &Config,
    handover: Option<&Rc<Handover>>,
) -> io::Result<ClientListeners> {
    let mut listeners = ClientListeners::default();
    let whip = config.whip.as_ref().map(|w| w.listen);
    for (address, protocol) in [(config.listen, Protocol::Platform), (whip, Protocol::Whip)] {
        let Some(address) = address else { continue };
        let field = if protocol == Protocol::Whip { "whip.listen" } else { "listen" };
        let inherited = config.inherited.filter(|_| protocol == Protocol::Platform);
        let listener = match inherited {
            Some(descriptor) => Async::new(inherit::inherited_listener(descriptor)?)?,
            None => bind(field, address)?,
        };
        log_listening(&config.name, &listener, protocol.name())?;
        let handover = handover.filter(|_| inherited.is_some()).cloned();
        let stop = Rc::new(Notify::default());
        listeners.stop_accepting.push(stop.clone());
        // If the platform holds the socket too, the connections that wait there are left to the next process.
        let outlives_process = inherited.is_some();
        let client_listener = ClientListener { listener, protocol, handover, stop, outlives_process };
        listeners.accept_tasks.push(shared.executor.spawn(accept_clients(shared.clone(), client_listener)));
    }
    Ok(listeners)
}

/// Opens the console's listening socket, if the configuration names one.
fn open_console(shared: &Handle, config: &Config) -> io::Result<()> {
    let Some(address) = config.console else { return Ok(()) };
    let listener = bind("console", address)?;
    log_listening(&config.name, &listener, "console")?;
    shared.executor.spawn(super::console::serve_console(shared.clone(), listener)).detach();
    Ok(())
}

/// Joins the quorum, if the configuration names one, and passes its decisions to the node.
fn join_quorum(shared: &Handle, config: &Config) -> io::Result<Option<Rc<quorum::Quorum>>> {
    let Some(quorum_config) = &config.quorum else { return Ok(None) };
    let incarnation = Incarnation(unix_now().0);
    let handle = shared.clone();
    let on_fleet_position = move |position: FleetPosition| {
        step(&handle, |node, now, out| node.set_fleet_position(now, position.count, position.place, out));
    };
    let handle = shared.clone();
    let on_rules = move |standing: LocalRules| {
        step(&handle, |node, now, out| node.set_rules(now, standing, out));
    };
    let quorum = quorum::start(
        &shared.executor,
        quorum_config,
        incarnation,
        Box::new(on_fleet_position),
        Box::new(on_rules),
    )?;
    shared.executor.spawn(report_counts(shared.clone(), quorum.clone())).detach();
    Ok(Some(quorum))
}

/// Serves until the process is told to stop or another process has taken over. At most `max_trace_lines_per_s` lines a
/// second trace requests in the log. `read_config` reads the configuration again for a reload.
pub fn run(
    config: &Config,
    max_trace_lines_per_s: u32,
    read_config: impl Fn() -> Result<Config, Findings> + 'static,
) -> io::Result<()> {
    #[cfg(feature = "trials")]
    crate::mutant::set_active(crate::mutant::from_environment());
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (board, known) = BoardClient::new(config.names.clone(), &config.known);
    let shared = Shared::new(config, board);
    shared.node.borrow_mut().trace(max_trace_lines_per_s);
    if let Some(script) = &config.hook {
        let limits = CallLimits::new(script.operations, config.memory);
        hook::replace(&shared, script.text.clone(), limits, || ());
    }
    let watched = start_discovery(&shared, config, known);
    // No request is taken before the script can be asked.
    async_io::block_on(shared.executor.run(shared.script.all_loaded()));
    let socket_path = || handover::socket_path(&std::env::temp_dir(), &config.name);
    let handover = config.inherited.map(|_| Handover::new(socket_path()));
    *shared.handover.borrow_mut() = handover.clone();
    let ClientListeners { accept_tasks, stop_accepting } =
        open_client_listeners(&shared, config, handover.as_ref())?;
    open_console(&shared, config)?;
    let leave_registry = Rc::new(Notify::default());
    let registry = config.eureka.clone().map(|eureka_config| {
        let registry = Eureka::new(eureka_config, config.names.clone());
        shared.executor.spawn(run_registry(shared.clone(), registry, leave_registry.clone()))
    });
    shared.executor.spawn(run_timers(shared.clone())).detach();
    let quorum = join_quorum(&shared, config)?;
    let stop_requested = Rc::new(Notify::default());
    let signal_handler = handle_signals(
        shared.clone(),
        signals,
        config.clone(),
        read_config,
        watched,
        quorum,
        stop_requested.clone(),
    );
    shared.executor.spawn(signal_handler).detach();
    if let Some(handover) = &handover {
        shared.executor.spawn(handover::start(shared.clone(), handover.clone())).detach();
    }
    let own_handover = handover.clone();
    let shutdown = Shutdown {
        serves_platform: config.listen.is_some(),
        handover,
        accept_tasks,
        stop_accepting,
        registry,
    };
    let stopped = async {
        stop_requested.notified().await;
        leave_registry.notify();
        shut_down(&shared, shutdown).await;
    };
    let replaced = async {
        wait_until_finished(own_handover.as_ref()).await;
        info!(event = "stopped", reason = "another process serves");
    };
    async_io::block_on(shared.executor.run(future::or(stopped, replaced)));
    Ok(())
}
