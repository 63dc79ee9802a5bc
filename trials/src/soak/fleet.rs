//! The brokers of a soak: started, told to end, replaced under load, and killed at the pages' earliest.

mod running;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use super::book::{Run, SharedBook};
use super::plan::Plan;
use crate::herd::address;
use crate::herd::processes::Program;
use crate::herd::settings::{Place, configuration};
use crate::history::History;
use crate::process::Process;
use running::Running;

/// SIGKILL comes this and the longest deadline after SIGTERM (protocol page).
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest deadline counts as so much at most; and where another version serves (operators' page).
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
const LONGEST_COUNTED_UPGRADE: Duration = Duration::from_secs(5);
/// The front goes on sending new connections for so long after SIGTERM.
const STILL_SENT: Duration = Duration::from_millis(300);

/// What all brokers have in common.
pub struct Setup {
    /// The plan.
    pub plan: Plan,
    /// How the program is run, and this executable.
    pub program: Program,
    /// See there.
    pub own: PathBuf,
    /// The folder of their files.
    pub folder: PathBuf,
    /// Where the notice board listens.
    pub board: SocketAddr,
    /// Their logs, and what is seen.
    pub history: History,
    /// See there.
    pub book: SharedBook,
}

/// One broker: its processes follow each other.
pub struct Broker {
    number: usize,
    socket: Option<TcpListener>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the front sends clients there.
    pub front: Arc<AtomicBool>,
    running: Vec<Running>,
    /// The process before the newest gets these signals once the newest is ready.
    upgrade: Option<bool>,
    /// A new process is started once the last has ended.
    restarts: bool,
    closes_front_at: Option<Instant>,
    reloads: u32,
}

impl Broker {
    /// One whose processes do not run yet.
    pub fn new(number: usize, inherits: bool) -> io::Result<Broker> {
        let listener = address::listen()?;
        let address = listener.local_addr()?;
        Ok(Broker {
            number,
            socket: inherits.then_some(listener),
            address,
            front: Arc::new(AtomicBool::new(false)),
            running: Vec::new(),
            upgrade: None,
            restarts: false,
            closes_front_at: None,
            reloads: 0,
        })
    }

    fn file(&self, setup: &Setup) -> PathBuf {
        setup.folder.join(format!("b-{}.json", self.number))
    }

    fn write_file(&self, setup: &Setup, known: &Value, console: SocketAddr) -> io::Result<()> {
        let name = format!("b-{}", self.number);
        let place = Place {
            name: &name,
            index: self.number,
            brokers: setup.plan.brokers,
            cells: setup.plan.servers,
            listen: self.address,
            board: setup.board,
            seed: setup.plan.seed,
        };
        let mut file = configuration(&setup.plan.deployment, &place, known);
        file["console"] = json!(console.to_string());
        // Each new file allows as many attempts or one fewer.
        let attempts = setup.plan.deployment.attempts - self.reloads % 2;
        file["settings"]["Limits"]["AttemptsCap"] = json!(attempts.max(1));
        std::fs::write(self.file(setup), file.to_string())
    }

    /// Starts a process with what it is told to know of the servers.
    pub fn start(&mut self, setup: &Setup, known: &Value) -> io::Result<()> {
        let console = address::reserve()?;
        self.write_file(setup, known, console)?;
        let mut command = setup.program.command(&setup.own);
        command.env("LB_CONFIG", self.file(setup)).env("TMPDIR", &setup.folder);
        let input = match &self.socket {
            Some(socket) => {
                // The descriptor is the standard input: no other can be handed over without unsafe code.
                command.env("LB_SOCKET_FD", "0");
                Stdio::from(OwnedFd::from(socket.try_clone()?))
            }
            None => Stdio::null(),
        };
        let mut book = setup.book.lock();
        let run = book.runs.len();
        let name = format!("b-{}", self.number);
        let process = Process::spawn_with(command, input, &name, run, "start", &setup.history)?;
        let started = Instant::now();
        book.runs.push(Run {
            broker: self.number,
            started,
            ready: None,
            told: None,
            ended: None,
            killed: false,
            crashed: None,
            waits: Vec::new(),
            peak_kb: 0,
            peak_descriptors: 0,
        });
        drop(book);
        setup.book.act(format!("broker {}: process {run} started", self.number));
        let (kill_at, signals) = (None, Vec::new());
        self.running.push(Running { process, run, console, ready: false, tested: started, kill_at, signals });
        Ok(())
    }

    /// A new process takes the place of the one that runs; in the middle of an end, nothing happens.
    pub fn upgrade(&mut self, setup: &Setup, known: &Value, series: bool) -> io::Result<()> {
        if self.running.len() != 1 || !self.running[0].ready {
            return Ok(());
        }
        self.upgrade = Some(series);
        self.start(setup, known)
    }

    /// The process that runs is told to end, and another one is started once it has.
    pub fn restart(&mut self, setup: &Setup, series: bool) {
        if self.running.len() != 1 || !self.running[0].ready || self.running[0].kill_at.is_some() {
            return;
        }
        self.restarts = true;
        self.closes_front_at = Some(Instant::now() + STILL_SENT);
        self.tell(setup, 0, LONGEST_COUNTED, series);
    }

    /// New settings are written and read by the newest process.
    pub fn reload(&mut self, setup: &Setup, known: &Value) -> io::Result<()> {
        let Some(console) = self.running.last().filter(|newest| newest.ready).map(|newest| newest.console)
        else {
            return Ok(());
        };
        self.reloads += 1;
        self.write_file(setup, known, console)?;
        if let Some(newest) = self.running.last_mut() {
            newest.process.signal(Signal::HUP);
        }
        Ok(())
    }

    fn tell(&mut self, setup: &Setup, which: usize, longest_counted: Duration, series: bool) {
        let longest = Duration::from_millis(setup.plan.deployment.longest_deadline_ms().into());
        let running = &mut self.running[which];
        let now = Instant::now();
        running.kill_at = Some(now + longest.min(longest_counted) + KILL_DELAY);
        if series {
            let later = |ms| now + Duration::from_millis(ms);
            running.signals = vec![(later(300), Signal::TERM), (later(150), Signal::HUP)];
        }
        running.process.signal(Signal::TERM);
        setup.book.lock().runs[running.run].told = Some(now);
        setup.book.act(format!("broker {}: SIGTERM to process {}", self.number, running.run));
    }

    /// Looks after its processes.
    pub fn tick(&mut self, setup: &Setup, known: &Value) -> io::Result<()> {
        if self.closes_front_at.is_some_and(|at| Instant::now() >= at) {
            self.closes_front_at = None;
            self.front.store(false, Ordering::SeqCst);
        }
        let newest = self.running.len().saturating_sub(1);
        for (n, running) in self.running.iter_mut().enumerate() {
            running.look(setup, self.number, n < newest);
        }
        self.running.retain(|running| setup.book.lock().runs[running.run].ended.is_none());
        if self.running.is_empty() && self.restarts {
            self.restarts = false;
            self.closes_front_at = None;
            self.front.store(false, Ordering::SeqCst);
            return self.start(setup, known);
        }
        if self.running.last().is_some_and(|newest| newest.ready && newest.kill_at.is_none()) {
            self.front.store(true, Ordering::SeqCst);
            if let Some(series) = self.upgrade.take()
                && self.running.len() == 2
            {
                self.tell(setup, 0, LONGEST_COUNTED_UPGRADE, series);
            }
        }
        Ok(())
    }

    /// Whether its newest process is ready and no other is left.
    pub fn settled(&self) -> bool {
        self.running.len() == 1 && self.running[0].ready && self.running[0].kill_at.is_none()
    }
}
