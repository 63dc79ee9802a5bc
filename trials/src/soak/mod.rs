//! Soaks: short dense trials of one to five brokers before stand-in servers, with faults drawn from one seed, judged from
//! the records of clients, servers and processes alone.

pub mod book;
pub mod checker;
pub mod client;
pub mod ends;
pub mod fleet;
pub mod plan;
pub mod report;
mod rig;
pub mod server;

use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_channel::{Sender, unbounded};
use serde_json::Value;

use crate::herd::address;
use crate::herd::board::{Board, target};
use crate::herd::deployment::ZONES;
use crate::herd::processes::Program;
use crate::history::History;
use crate::process::Scratch;
use book::{Forbidden, SharedBook};
use fleet::{Broker, Setup};
use plan::{Act, Plan};
use report::Report;
use rig::{Order, Rig};

/// Time between two looks at processes and acts.
const LOOK: Duration = Duration::from_millis(5);
/// All brokers are ready within this at the start, and settled within this at the end.
const SETTLED: Duration = Duration::from_secs(20);
/// After a failed, refused or given-up call a change counts as told so long after discovery could be reached.
const TOLD_AFTER_FAILURE: Duration = Duration::from_secs(6);
/// The stand-in board tells within this.
const BOARD_LOOK: Duration = Duration::from_millis(50);

/// What a soak is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// How the program is run.
    pub program: Program,
    /// This executable.
    pub own: PathBuf,
}

/// Runs one plan to its end and judges what was seen.
pub fn run(options: &Options, plan: &Plan) -> io::Result<Report> {
    let mut stage = Stage::set(options, plan)?;
    let begun = Instant::now();
    stage.start(begun)?;
    stage.play()?;
    stage.settle()?;
    Ok(stage.report(begun))
}

struct Stage {
    setup: Setup,
    brokers: Vec<Broker>,
    board: Board,
    addresses: Vec<std::net::SocketAddr>,
    orders: Sender<Order>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// When discovery was last good again after it had failed; none while it fails.
    good_since: Option<Instant>,
    failed_before: bool,
    _scratch: Scratch,
}

impl Stage {
    fn set(options: &Options, plan: &Plan) -> io::Result<Stage> {
        let servers: Vec<TcpListener> =
            (0..plan.servers).map(|_| address::listen()).collect::<io::Result<_>>()?;
        let addresses = servers.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let (board, board_socket) = (Board::default(), address::listen()?);
        let zones = plan.deployment.zones as usize;
        let all: Vec<Value> = (0..plan.servers)
            .map(|n| target(&name(n), addresses[n], ZONES[n % zones], n, "in_service", 0))
            .collect();
        board.tell(true, &all);
        let brokers: Vec<Broker> =
            (0..plan.brokers).map(|n| Broker::new(n, plan.inherits)).collect::<io::Result<_>>()?;
        // Trials may run side by side: the board's address is one trial's own.
        let folder = format!("soak-{}-{}", std::process::id(), board_socket.local_addr()?.ip());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder)?;
        let (orders, heard) = unbounded();
        let book = SharedBook::default();
        let setup = Setup {
            plan: plan.clone(),
            program: options.program.clone(),
            own: options.own.clone(),
            folder: folder.clone(),
            board: board_socket.local_addr()?,
            history: History::default(),
            book: book.clone(),
        };
        let fronts = brokers.iter().map(|broker| (broker.address, broker.front.clone())).collect();
        let rig = Rig { plan: plan.clone(), servers, board: (board.clone(), board_socket), fronts, book };
        let thread = Some(std::thread::spawn(move || rig.run(&heard)));
        let (good_since, failed_before) = (Some(Instant::now()), false);
        let _scratch = Scratch(folder, false);
        Ok(Stage { setup, brokers, board, addresses, orders, thread, good_since, failed_before, _scratch })
    }

    fn known(&self) -> Value {
        self.board.known(self.board.last())
    }

    fn tick(&mut self) -> io::Result<()> {
        let known = self.known();
        self.brokers.iter_mut().try_for_each(|broker| broker.tick(&self.setup, &known))?;
        std::thread::sleep(LOOK);
        Ok(())
    }

    fn start(&mut self, begun: Instant) -> io::Result<()> {
        let known = self.known();
        self.brokers.iter_mut().try_for_each(|broker| broker.start(&self.setup, &known))?;
        while !self.brokers.iter().all(Broker::settled) {
            if begun.elapsed() > SETTLED {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "not all brokers said that they are ready",
                ));
            }
            self.tick()?;
        }
        Ok(())
    }

    fn play(&mut self) -> io::Result<()> {
        let begun = Instant::now();
        let mut acts = self.setup.plan.acts.clone();
        acts.reverse();
        while begun.elapsed() < self.setup.plan.load {
            while let Some((_, act)) = acts.pop_if(|(at, _)| begun.elapsed() >= *at) {
                self.act(act)?;
            }
            self.tick()?;
        }
        Ok(())
    }

    fn order(&self, order: Order) {
        // The rig's thread listens until it is told to end.
        let _ = self.orders.try_send(order);
    }

    fn act(&mut self, act: Act) -> io::Result<()> {
        self.setup.book.act(format!("{act:?}"));
        let known = self.known();
        match act {
            Act::Restart(broker) => self.brokers[broker].restart(&self.setup, false),
            Act::Upgrade(broker) => self.brokers[broker].upgrade(&self.setup, &known, false)?,
            Act::Signals(broker) if self.setup.plan.inherits => {
                self.brokers[broker].upgrade(&self.setup, &known, true)?;
            }
            Act::Signals(broker) => self.brokers[broker].restart(&self.setup, true),
            Act::Reload(broker) => self.brokers[broker].reload(&self.setup, &known)?,
            Act::Server(server, fault) => self.order(Order::Server(server, fault)),
            Act::AllServers(fault) => {
                (0..self.setup.plan.servers).for_each(|server| self.order(Order::Server(server, fault)));
            }
            Act::Crowd(times) => self.order(Order::Crowd(times)),
            Act::Board(fault) => self.board_fails(fault),
            Act::Drain(server, drains) => self.drain(server, drains),
        }
        Ok(())
    }

    fn board_fails(&mut self, fault: Option<crate::herd::board::Fault>) {
        self.board.fail(fault);
        self.failed_before |= fault.is_some();
        self.good_since = fault.is_none().then(Instant::now);
        if let Some(good) = self.good_since {
            // What changed while it failed counts as told from now on.
            let told_by = good + TOLD_AFTER_FAILURE;
            let mut book = self.setup.book.lock();
            let untold = book.forbidden.iter_mut().filter(|f| f.told_by > good + TOLD_AFTER_FAILURE);
            untold.for_each(|forbidden| forbidden.told_by = told_by);
        }
    }

    /// When a change that is told now counts as told at the latest.
    fn told_by(&self, now: Instant) -> Instant {
        const NEVER: Duration = Duration::from_secs(3_600);
        match self.good_since {
            None => now + NEVER,
            Some(good) if self.failed_before && now < good + TOLD_AFTER_FAILURE => now + TOLD_AFTER_FAILURE,
            Some(_) => now + BOARD_LOOK,
        }
    }

    fn drain(&mut self, server: usize, drains: bool) {
        let state = if drains { "terminating" } else { "in_service" };
        let zones = self.setup.plan.deployment.zones as usize;
        self.board.tell(
            false,
            &[target(&name(server), self.addresses[server], ZONES[server % zones], server, state, 0)],
        );
        let now = Instant::now();
        let mut book = self.setup.book.lock();
        for open in book.forbidden.iter_mut().filter(|f| f.server == server && f.until.is_none()) {
            open.until = Some(now);
        }
        if drains {
            book.forbidden.push(Forbidden { server, told_by: self.told_by(now), until: None });
        }
    }

    /// All faults end, and each process that was told to end has.
    fn settle(&mut self) -> io::Result<()> {
        self.board_fails(None);
        self.act(Act::AllServers(None))?;
        self.order(Order::End);
        let begun = Instant::now();
        let done = |stage: &Stage| stage.thread.as_ref().is_none_or(std::thread::JoinHandle::is_finished);
        while !(done(self) && self.brokers.iter().all(Broker::settled)) && begun.elapsed() < SETTLED {
            self.tick()?;
        }
        if self.thread.take().is_some_and(|thread| thread.join().is_err()) {
            return Err(io::Error::other("the rig's thread panicked"));
        }
        Ok(())
    }

    fn report(mut self, begun: Instant) -> Report {
        self.brokers.clear();
        let book = self.setup.book.lock();
        let broken = checker::judge(&self.setup.plan, &book);
        Report::new(&self.setup.plan, &book, broken, &self.setup.history.lines(), begun)
    }
}

fn name(server: usize) -> String {
    format!("s-{server:04}")
}
