//! Stand-in viewers on one thread, the front that tells them which brokers serve, and the connections they share.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fastrand::Rng;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use super::connection::Connection;
use super::deployment::Deployment;
use super::ledger::Ledger;
use super::viewer::Viewer;
use super::wire::{Said, ping_line};

/// A connection that has not come up by now is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// Connections to one process that viewers share.
const SHARED: usize = 6;

/// What viewers are told by the thread that runs the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// A process was started: viewers go to it once it passes a test.
    Admit(usize),
    /// It has been noticed that a run of a process is dead.
    Remove(usize, usize),
    /// Viewers begin to ask.
    Begin,
    /// Viewers end once they have their answers.
    End,
}

/// What the viewers need to know.
pub struct Setup {
    /// Where the processes listen.
    pub addresses: Vec<SocketAddr>,
    /// The deployment.
    pub deployment: Deployment,
    /// Cells of servers.
    pub cells: usize,
    /// How many viewers.
    pub viewers: usize,
    /// Seed of their choices.
    pub seed: u64,
    /// What they see.
    pub ledger: Ledger,
    /// Told whenever a process has passed its first test.
    pub admitted: std::sync::mpsc::Sender<usize>,
}

/// Runs the viewers on this thread until they are told to end.
pub fn run(setup: Setup, orders: Receiver<Order>) {
    let executor = Rc::new(LocalExecutor::new());
    let processes = setup.addresses.len();
    let crowd = Rc::new(Crowd {
        setup,
        executor: executor.clone(),
        front: RefCell::new(vec![None; processes]),
        shared: RefCell::new(vec![Vec::new(); processes]),
        held: RefCell::new(vec![0; processes]),
        ending: Cell::new(false),
    });
    async_io::block_on(executor.run(crowd.obey(orders)));
}

/// All viewers, and what they share.
pub(super) struct Crowd {
    pub(super) setup: Setup,
    executor: Rc<LocalExecutor<'static>>,
    /// Runs of processes that the front sends viewers to.
    front: RefCell<Vec<Option<usize>>>,
    shared: RefCell<Vec<Vec<Rc<Connection>>>>,
    /// Connections that are open, by process.
    held: RefCell<Vec<usize>>,
    /// Viewers are no longer wanted.
    pub(super) ending: Cell<bool>,
}

impl Crowd {
    async fn obey(self: Rc<Crowd>, orders: Receiver<Order>) {
        let mut viewers = Vec::new();
        while let Ok(order) = orders.recv().await {
            match order {
                Order::Admit(process) => self.executor.spawn(self.clone().admit(process)).detach(),
                Order::Remove(process, run) => {
                    let admitted = &mut self.front.borrow_mut()[process];
                    if *admitted == Some(run) {
                        *admitted = None;
                    }
                }
                Order::Begin => {
                    let ledger = self.setup.ledger.clone();
                    let note = move |due, fired| ledger.book().stalls.push((due, fired));
                    self.executor.spawn(watch_stalls(note)).detach();
                    let mut rng = Rng::with_seed(self.setup.seed);
                    let viewer =
                        |number| self.executor.spawn(Viewer::new(self.clone(), number, rng.fork()).live());
                    viewers = (0..self.setup.viewers).map(viewer).collect();
                }
                Order::End => break,
            }
        }
        self.ending.set(true);
        for viewer in viewers {
            viewer.await;
        }
    }

    /// Tests a process until it passes, or until it is killed.
    async fn admit(self: Rc<Crowd>, process: usize) {
        let run = self.setup.ledger.run_of(process);
        while !self.setup.ledger.was_killed(process, run) {
            if passes_test(self.setup.addresses[process]).await {
                self.front.borrow_mut()[process] = Some(run);
                let _ = self.setup.admitted.send(process);
                return;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// A process that the front knows, the viewer's own if it is among them and nothing speaks against that.
    pub(super) fn choose(&self, own: Option<usize>, rng: &mut Rng) -> Option<usize> {
        let front = self.front.borrow();
        let own = own.filter(|own| front[*own].is_some());
        let known = || (0..front.len()).filter(|process| front[*process].is_some());
        own.or_else(|| known().nth(rng.usize(..known().count().max(1))))
    }

    /// A connection to a process: a shared one, or a new one.
    pub(super) async fn connect(self: &Rc<Crowd>, process: usize, new: bool) -> Option<Rc<Connection>> {
        let shared = |crowd: &Crowd| {
            let mut shared = crowd.shared.borrow_mut();
            shared[process].retain(|connection| !connection.is_closed());
            shared[process].clone()
        };
        let open = shared(self);
        let most = self.setup.deployment.sockets as usize / 3;
        let full = self.held.borrow()[process] >= most;
        if let Some(oldest) = open.first()
            && (full || (!new && open.len() >= SHARED))
        {
            // They take turns.
            self.shared.borrow_mut()[process].rotate_left(1);
            return Some(oldest.clone());
        }
        if full {
            return None;
        }
        self.held.borrow_mut()[process] += 1;
        let Some(stream) = dial(self.setup.addresses[process]).await else {
            self.held.borrow_mut()[process] -= 1;
            return None;
        };
        let connection = Connection::new(process, stream, &self.setup.ledger);
        if !new && open.len() < SHARED {
            self.shared.borrow_mut()[process].push(connection.clone());
        }
        let (crowd, reads) = (self.clone(), connection.clone());
        let driver = async move {
            reads.read().await;
            crowd.held.borrow_mut()[process] -= 1;
        };
        self.executor.spawn(driver).detach();
        Some(connection)
    }
}

async fn dial(address: SocketAddr) -> Option<Async<TcpStream>> {
    let connect = async { Async::<TcpStream>::connect(address).await.ok() };
    let late = async {
        Timer::after(CONNECT).await;
        None
    };
    let stream = future::or(connect, late).await?;
    stream.get_ref().set_nodelay(true).ok()?;
    Some(stream)
}

async fn passes_test(address: SocketAddr) -> bool {
    let Some(mut stream) = dial(address).await else { return false };
    let test = async {
        stream.write_all(&ping_line()).await.ok()?;
        let mut heard = Vec::new();
        let mut byte = [0];
        while !heard.ends_with(b"\n") {
            stream.read_exact(&mut byte).await.ok()?;
            heard.push(byte[0]);
        }
        Said::read(&heard)
    };
    let late = async {
        Timer::after(CONNECT).await;
        None
    };
    future::or(test, late).await == Some(Said::Pong(true))
}

/// Tells when this thread's timers are late, from when they were due until they fired: what it sees then is older than it
/// seems.
pub async fn watch_stalls(note: impl Fn(Instant, Instant)) {
    const EVERY: Duration = Duration::from_millis(5);
    const STALL: Duration = Duration::from_millis(1);
    loop {
        let due = Instant::now() + EVERY;
        Timer::after(EVERY).await;
        let fired = Instant::now();
        if fired > due + STALL {
            note(due, fired);
        }
    }
}
