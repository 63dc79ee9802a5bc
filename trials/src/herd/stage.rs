//! One run: servers, notice board, brokers and viewers are started, the failures are brought about, and what was seen
//! is judged.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::{Sender, unbounded};
use fastrand::Rng;
use serde_json::Value;

use super::board::{Board, target};
use super::crowd::{self, Order};
use super::deployment::{Deployment, ZONES};
use super::ledger::Ledger;
use super::processes::Herd;
use super::report::{Report, Verdict};
use super::servers::{BAD_IN, Server};
use super::stand_ins::{StandIns, described, draw_servers};
use super::{Options, address, checker, starved};
use crate::history::{History, Line};
use crate::process::Scratch;

/// The fewest servers that stand in.
const FEWEST_SERVERS: usize = 16;
/// Processes that have not passed a test by now never will.
const READY: Duration = Duration::from_secs(60);
/// Log lines that a report quotes at most.
const LINES_QUOTED: usize = 200;

/// Runs a deployment to its end and judges what was seen.
pub(super) fn run(options: &Options, number: u64, deployment: Deployment) -> io::Result<Report> {
    let mut stage = Stage::set(options, number, deployment)?;
    stage.start_all()?;
    stage.play()?;
    stage.report(options, number)
}

/// All parts of one run.
pub(super) struct Stage {
    pub(super) herd: Herd,
    pub(super) board: Board,
    pub(super) servers: Vec<Server>,
    pub(super) ledger: Ledger,
    orders: Sender<Order>,
    admitted: mpsc::Receiver<usize>,
    threads: Vec<JoinHandle<()>>,
    end_servers: Sender<()>,
    pub(super) load: Duration,
    pub(super) begun: Instant,
    pub(super) killed: usize,
    pub(super) rng: Rng,
    _scratch: Scratch,
}

impl Stage {
    /// Sets all up but the brokers.
    fn set(options: &Options, number: u64, deployment: Deployment) -> io::Result<Stage> {
        let mut rng = Rng::with_seed(options.seed.wrapping_mul(1_000_003) ^ number);
        let ledger = Ledger::default();
        let count = (options.processes * 3 / 5).next_multiple_of(BAD_IN).max(FEWEST_SERVERS);
        let (servers, listeners) = draw_servers(count, &deployment, &mut rng)?;
        let (board, board_socket) = (Board::default(), address::listen()?);
        let board_address = board_socket.local_addr()?;
        let zones = deployment.zones as usize;
        // The last one comes later.
        let listed: Vec<Value> = servers[..count]
            .iter()
            .enumerate()
            .map(|(cell, server)| {
                target(&server.name, server.address, ZONES[cell % zones], cell, "in_service", 0)
            })
            .collect();
        board.tell(true, &listed);
        let (end_servers, ended) = unbounded();
        let stand_ins = StandIns {
            servers: servers.iter().cloned().zip(listeners).collect(),
            board: board.clone(),
            board_socket,
            ledger: ledger.clone(),
            seed: rng.u64(..),
        };
        let (seen, watch_ends) = (ledger.clone(), ended.clone());
        let mut threads = vec![
            std::thread::spawn(move || stand_ins.run(&ended)),
            std::thread::spawn(move || starved::watch(&seen, &watch_ends)),
        ];
        let addresses: Vec<SocketAddr> =
            (0..options.processes).map(|_| address::reserve()).collect::<io::Result<_>>()?;
        let (orders, heard) = unbounded();
        let (admit, admitted) = mpsc::channel();
        let setup = crowd::Setup {
            addresses: addresses.clone(),
            deployment: deployment.clone(),
            cells: count,
            viewers: options.viewers * options.processes,
            seed: rng.u64(..),
            ledger: ledger.clone(),
            admitted: admit,
        };
        threads.push(std::thread::spawn(move || crowd::run(setup, heard)));
        let name = format!("herd-{}-{}", std::process::id(), board_address.ip());
        let scratch = Scratch(std::env::temp_dir().join(name), false);
        std::fs::create_dir_all(&scratch.0)?;
        let herd = Herd {
            program: options.program.clone(),
            own: options.own.clone(),
            deployment,
            starts: vec![0; options.processes],
            running: (0..options.processes).map(|_| None).collect(),
            addresses,
            board: board_address,
            cells: count,
            folder: scratch.0.clone(),
            history: History::default(),
            ledger: ledger.clone(),
        };
        Ok(Stage {
            herd,
            board,
            servers,
            ledger,
            orders,
            admitted,
            threads,
            end_servers,
            load: options.load,
            begun: Instant::now(),
            killed: 0,
            rng,
            _scratch: scratch,
        })
    }

    /// Starts all brokers, and waits until each has passed a test.
    fn start_all(&mut self) -> io::Result<()> {
        for process in 0..self.herd.addresses.len() {
            self.start(process, self.board.last())?;
        }
        for _ in 0..self.herd.addresses.len() {
            let unready = |_| io::Error::new(io::ErrorKind::TimedOut, "not all brokers passed a test");
            self.admitted.recv_timeout(READY).map_err(unready)?;
        }
        Ok(())
    }

    pub(super) fn start(&mut self, process: usize, last: usize) -> io::Result<()> {
        let (known, seed) = (self.board.known(last), self.rng.u64(..));
        self.herd.start(process, &known, seed)?;
        self.order(Order::Admit(process));
        Ok(())
    }

    pub(super) fn order(&self, order: Order) {
        // The viewers' thread listens until it is told to end.
        let _ = self.orders.try_send(order);
    }

    /// Ends all, and judges what was seen.
    fn report(mut self, options: &Options, number: u64) -> io::Result<Report> {
        // The viewers end once each has its answer, or has waited for it in vain.
        let viewers = self.threads.pop();
        let whole = viewers.is_none_or(|thread| thread.join().is_ok());
        let crashed = self.herd.crashed();
        self.herd.running.clear();
        self.end_servers.close();
        let whole = self.threads.drain(..).all(|thread| thread.join().is_ok()) && whole;
        if !whole {
            return Err(io::Error::other("a thread of the rig panicked"));
        }
        let mut verdict = checker::judge(&self.ledger.book(), self.begun);
        verdict.crashed = crashed;
        let lines = self.herd.history.lines();
        if let Some(folder) = &options.keep {
            keep(folder, number, &lines)?;
        }
        Ok(Report {
            seed: options.seed,
            number,
            processes: options.processes,
            killed: self.killed,
            servers: described(&self.servers),
            log: quoted(&verdict, &lines),
            deployment: self.herd.deployment,
            verdict,
        })
    }
}

/// Log lines that name a wrong case.
fn quoted(verdict: &Verdict, lines: &[Line]) -> Vec<String> {
    let cases = verdict.kinds().flat_map(|(_, cases)| cases);
    let ids: Vec<&str> = cases.map(|case| case.id.as_str()).collect();
    let named = lines.iter().filter(|line| ids.iter().any(|id| line.text.contains(id)));
    named.take(LINES_QUOTED).map(|line| format!("{}#{} {}", line.who, line.run, line.text)).collect()
}

fn keep(folder: &std::path::Path, number: u64, lines: &[Line]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let text: Vec<String> = lines.iter().map(|l| format!("{}#{} {}", l.who, l.run, l.text)).collect();
    std::fs::write(folder.join(format!("herd-{number}.log")), text.join("\n"))
}
