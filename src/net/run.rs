//! One process from its start to its end.

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

use super::accept::{Door, accept};
use super::board::follow;
use super::clock::unix;
use super::ending::{Ending, end};
use super::handover::Handover;
use super::outbox::Bell;
use super::registry::take_part;
use super::signals::{signals, whole};
use super::{Handle, Shared, files, handover, inherit, keep_time, quorum, step};
use crate::board::BoardClient;
use crate::config::Config;
use crate::eureka::Eureka;
use crate::node::Protocol;
use crate::quorum::Incarnation;
use crate::quorum::fronts::FleetPosition;
use crate::records::Findings;
use crate::roster::{ListUpdate, Source};
use crate::rules::standing::LocalRules;

/// Time between counts that the quorum is told.
const COUNTED: Duration = Duration::from_millis(250);

fn bind(field: &str, address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .map_err(|e| io::Error::new(e.kind(), format!("{field}: can't listen on {address}: {e}")))
}

fn log_listens(name: &str, listener: &Async<TcpListener>, front: &str) -> io::Result<()> {
    let address = listener.get_ref().local_addr()?;
    info!(event = "listens", name, address = %address, front, "{name} listens on {address} for {front}");
    Ok(())
}

/// Waits until this process has nothing left to do, as another serves in its place.
async fn left(handover: Option<&Rc<Handover>>) {
    match handover {
        Some(handover) => handover.left.heard().await,
        None => future::pending().await,
    }
}

/// Tells the quorum what the node counts.
async fn count(shared: Handle, quorum: Rc<quorum::Quorum>) {
    loop {
        let counts = shared.node.borrow().counts();
        quorum.count(counts);
        Timer::after(COUNTED).await;
    }
}

/// What listens for clients: the tasks that accept, and the bells that tell them of the last call.
#[derive(Default)]
struct Doors {
    fronts: Vec<Task<()>>,
    last_calls: Vec<Rc<Bell>>,
}

/// Begins to hear of servers from all sources that the configuration names.
fn hear_of_servers(
    shared: &Handle,
    config: &Config,
    known: Vec<ListUpdate>,
) -> Option<Rc<RefCell<files::Files>>> {
    let watched = config.watch.clone().map(|setup| files::start(shared, config, setup));
    if config.board.is_some() || config.eureka.is_some() || watched.is_some() {
        step(shared, |node, now, _| node.awaits_list(now));
    }
    if !config.servers.is_empty() {
        files::hear(shared, Source::Fixed, whole(config.servers.clone()));
    }
    for news in known {
        files::hear(shared, Source::Board, news);
    }
    shared.executor.spawn(files::keep(shared.clone(), watched.clone())).detach();
    shared.executor.spawn(follow(shared.clone())).detach();
    watched
}

/// Opens the clients' sockets, those that the platform holds or those of this process's own.
fn open_doors(shared: &Handle, config: &Config, handover: Option<&Rc<Handover>>) -> io::Result<Doors> {
    let mut doors = Doors::default();
    let whip = config.whip.as_ref().map(|w| w.listen);
    for (address, front) in [(config.listen, Protocol::Platform), (whip, Protocol::Whip)] {
        let Some(address) = address else { continue };
        let field = if front == Protocol::Whip { "whip.listen" } else { "listen" };
        let inherited = config.inherited.filter(|_| front == Protocol::Platform);
        let listener = match inherited {
            Some(number) => Async::new(inherit::listener(number)?)?,
            None => bind(field, address)?,
        };
        log_listens(&config.name, &listener, front.name())?;
        let gate = handover.filter(|_| inherited.is_some()).cloned();
        let last_call = Rc::new(Bell::default());
        doors.last_calls.push(last_call.clone());
        // Where the platform holds the socket too, what waits there is for the next process.
        let kept = inherited.is_some();
        let door = Door { listener, front, gate, last_call, kept };
        doors.fronts.push(shared.executor.spawn(accept(shared.clone(), door)));
    }
    Ok(doors)
}

fn open_console(shared: &Handle, config: &Config) -> io::Result<()> {
    let Some(address) = config.console else { return Ok(()) };
    let listener = bind("console", address)?;
    log_listens(&config.name, &listener, "console")?;
    shared.executor.spawn(super::console::console(shared.clone(), listener)).detach();
    Ok(())
}

/// Takes part in the quorum, if the configuration names one; what it agrees on goes to the node.
fn join_quorum(shared: &Handle, config: &Config) -> io::Result<Option<Rc<quorum::Quorum>>> {
    let Some(setup) = &config.quorum else { return Ok(None) };
    let incarnation = Incarnation(unix().0);
    let told = shared.clone();
    let paced = move |fronts: FleetPosition| {
        step(&told, |node, now, out| node.set_fleet_position(now, fronts.count, fronts.place, out));
    };
    let told = shared.clone();
    let ruled = move |standing: LocalRules| {
        step(&told, |node, now, out| node.ruled(now, standing, out));
    };
    let quorum = quorum::start(&shared.executor, setup, incarnation, Box::new(paced), Box::new(ruled))?;
    shared.executor.spawn(count(shared.clone(), quorum.clone())).detach();
    Ok(Some(quorum))
}

/// Serves until it is told to stop. `trace` lines a second at most tell of requests in the log; `reread` gives the
/// configuration anew when that is asked for.
pub fn run(
    config: &Config,
    trace: u32,
    reread: impl Fn() -> Result<Config, Findings> + 'static,
) -> io::Result<()> {
    #[cfg(feature = "trials")]
    crate::mutant::set_active(crate::mutant::from_environment());
    let heard = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let (board, known) = BoardClient::new(config.names.clone(), &config.known);
    let shared = Shared::new(config, board);
    shared.node.borrow_mut().trace(trace);
    let watched = hear_of_servers(&shared, config, known);
    let place = || handover::place(&std::env::temp_dir(), &config.name);
    let handover = config.inherited.map(|_| Handover::new(place()));
    *shared.handover.borrow_mut() = handover.clone();
    let Doors { fronts, last_calls } = open_doors(&shared, config, handover.as_ref())?;
    open_console(&shared, config)?;
    let leave = Rc::new(Bell::default());
    let registry = config.eureka.clone().map(|setup| {
        let registry = Eureka::new(setup, config.names.clone());
        shared.executor.spawn(take_part(shared.clone(), registry, leave.clone()))
    });
    shared.executor.spawn(keep_time(shared.clone())).detach();
    let quorum = join_quorum(&shared, config)?;
    let stopping = Rc::new(Bell::default());
    let signals = signals(shared.clone(), heard, config.clone(), reread, watched, quorum, stopping.clone());
    shared.executor.spawn(signals).detach();
    if let Some(handover) = &handover {
        shared.executor.spawn(handover::start(shared.clone(), handover.clone())).detach();
    }
    let handed = handover.clone();
    let ending = Ending { platform: config.listen.is_some(), handover, fronts, last_calls, registry };
    let told = async {
        stopping.heard().await;
        leave.ring();
        end(&shared, ending).await;
    };
    let replaced = async {
        left(handed.as_ref()).await;
        info!(event = "stopped", reason = "another process serves");
    };
    async_io::block_on(shared.executor.run(future::or(told, replaced)));
    Ok(())
}
