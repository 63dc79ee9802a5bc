//! Clients of a soak: each goes on asking on a connection that is open, for as long as it is, and comes again at once.

mod hearing;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use fastrand::Rng;
use futures_lite::future;
use serde_json::json;

use super::book::{Request, SharedBook};
use crate::herd::deployment::Deployment;
use crate::herd::settings::{TOP_RUNG, tenant};
use crate::herd::wire::{Id, line, release_line};

/// A request that crosses the end of its connection within this is sent once more under its id (the protocol page).
pub const CROSSING: Duration = Duration::from_millis(50);
/// Time between two looks of a client at what it is to do.
const LOOK: Duration = Duration::from_millis(2);
/// Sessions play for so long, in milliseconds.
const PLAYS_MS: std::ops::Range<u64> = 50..600;
/// A session that could not be ended is forgotten after so long.
const FORGOTTEN: Duration = Duration::from_secs(2);
/// Titles that clients ask for.
const TITLES: usize = 40;
const TURN: usize = 16 * 1024;

/// What all clients share.
pub struct Crowd {
    /// The deployment.
    pub deployment: Deployment,
    /// Cells of servers.
    pub cells: usize,
    /// Where each broker listens, and whether its front sends clients there.
    pub fronts: Vec<(SocketAddr, Arc<AtomicBool>)>,
    /// Mean time between two requests of a client.
    pub pause: Duration,
    /// They ask so many times as often.
    pub times: Cell<u32>,
    /// Of a hundred requests, so many are given up early.
    pub gives_up_percent: u32,
    /// What is seen.
    pub book: SharedBook,
    /// No further request is asked.
    pub ending: Cell<bool>,
}

impl Crowd {
    /// Whether the front sends clients to a broker.
    fn takes(&self, broker: usize) -> bool {
        self.fronts[broker].1.load(Ordering::SeqCst)
    }
}

/// What a client means to do with a request or session.
struct Pending {
    broker: usize,
    give_up_at: Option<Instant>,
    leave_at: Option<Instant>,
    line: Vec<u8>,
    due: Instant,
}

/// One client.
pub struct Client {
    crowd: Rc<Crowd>,
    home: usize,
    rng: RefCell<Rng>,
    connection: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// What came on it and is not whole.
    heard: Cell<Vec<u8>>,
    /// The broker that the connection leads to.
    broker: Cell<usize>,
    /// When it came up.
    connected: Cell<Instant>,
    open: RefCell<BTreeMap<Id, Pending>>,
    plays: RefCell<BTreeMap<Id, Pending>>,
}

impl Client {
    /// One whose first broker is this.
    pub fn new(crowd: Rc<Crowd>, home: usize, rng: Rng) -> Rc<Client> {
        Rc::new(Client {
            crowd,
            home,
            rng: RefCell::new(rng),
            connection: RefCell::default(),
            heard: Cell::default(),
            broker: Cell::new(home),
            connected: Cell::new(Instant::now()),
            open: RefCell::default(),
            plays: RefCell::default(),
        })
    }

    /// Asks until no further request is wanted, then waits for the answers.
    pub async fn live(self: Rc<Client>) {
        let mut next = Instant::now();
        loop {
            let ending = self.crowd.ending.get();
            // What plays is ended first, so that the end of each session has somebody to be told to.
            if ending && self.open.borrow().is_empty() && self.plays.borrow().is_empty() {
                return;
            }
            if self.connection.borrow().is_none() {
                self.connect().await;
            }
            let Some(stream) = self.connection.borrow().clone() else {
                Timer::after(LOOK).await;
                continue;
            };
            if !ending && Instant::now() >= next {
                let pause = self.crowd.pause.div_f64(f64::from(self.crowd.times.get()));
                next = Instant::now() + pause.mul_f64(0.5 + self.rng.borrow_mut().f64());
                self.ask();
            }
            self.act_when_due();
            let look = async {
                Timer::after(LOOK).await;
                false
            };
            if future::or(self.clone().read(stream), look).await {
                self.broken();
            }
        }
    }

    /// Connects to the broker of its own, or to another whose front takes it in.
    async fn connect(&self) {
        let open: Vec<usize> = (0..self.crowd.fronts.len()).filter(|b| self.crowd.takes(*b)).collect();
        let other = || open.get(self.rng.borrow_mut().usize(..open.len().max(1))).copied();
        let Some(broker) = open.iter().copied().find(|b| *b == self.home).or_else(other) else { return };
        let connect = async { Async::<TcpStream>::connect(self.crowd.fronts[broker].0).await.ok() };
        let late = async {
            Timer::after(Duration::from_secs(1)).await;
            None
        };
        if let Some(stream) = future::or(connect, late).await {
            let _ = stream.get_ref().set_nodelay(true);
            self.broker.set(broker);
            self.connected.set(Instant::now());
            *self.connection.borrow_mut() = Some(Rc::new(stream));
        }
    }

    fn ask(&self) {
        let mut rng = self.rng.borrow_mut();
        let id = rng.u64(1..);
        let class = rng.usize(..self.crowd.deployment.classes.len());
        let deadline = self.crowd.deployment.classes[class].deadline_ms;
        let left = Duration::from_millis((f64::from(deadline) * (0.8 + 0.2 * rng.f64())) as u64);
        let title = rng.usize(..TITLES);
        let (home, copies) = (title % self.crowd.cells, (2 + title % 4).min(self.crowd.cells));
        let early = rng.u32(..100) < self.crowd.gives_up_percent;
        let give_up = early.then(|| left.mul_f64(rng.f64()));
        drop(rng);
        let top = TOP_RUNG;
        let mut fields = json!({"class": self.crowd.deployment.classes[class].name,
            "left": left.as_millis().to_string(), "key": format!("title-{title}"),
            "extras": format!("home:{home};copies:{copies};top:{top};viewer:{:016x}", self.home)});
        if self.crowd.deployment.tenants > 0 {
            fields["tenant"] = json!(tenant(title as u32 % self.crowd.deployment.tenants));
        }
        let offer = format!("v=0\r\no={id:016x}\r\nm=video 9");
        let bytes =
            line(&json!({"type": "setup", "id": format!("{id:016x}"), "fields": fields, "sdp": offer}));
        if !self.write(&bytes) {
            return;
        }
        let (now, broker) = (Instant::now(), self.broker.get());
        let request = Request {
            class,
            broker,
            connected: self.connected.get(),
            sent: vec![now],
            left,
            given_up: None,
            answers: Vec::new(),
            ended: None,
            over: None,
            left_at: None,
        };
        self.crowd.book.lock().requests.insert(id, request);
        let give_up_at = give_up.map(|span| now + span);
        let due = now + left + Duration::from_secs(1);
        self.open.borrow_mut().insert(id, Pending { broker, give_up_at, leave_at: None, line: bytes, due });
    }

    /// Writes a whole message; messages are far smaller than the machine's buffer for them.
    fn write(&self, bytes: &[u8]) -> bool {
        let Some(stream) = self.connection.borrow().clone() else { return false };
        let whole = matches!(stream.get_ref().write(bytes), Ok(written) if written == bytes.len());
        if !whole {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
        whole
    }

    /// Gives up, or ends, what it means to; stops waiting for what never comes.
    fn act_when_due(&self) {
        let now = Instant::now();
        let is_due = |at: Option<Instant>| at.is_some_and(|at| now >= at);
        let given_up: Vec<Id> =
            self.open.borrow().iter().filter(|(_, p)| is_due(p.give_up_at)).map(|(id, _)| *id).collect();
        for id in given_up {
            if self.write(&release_line(id)) {
                self.open.borrow_mut().remove(&id);
                if let Some(request) = self.crowd.book.lock().requests.get_mut(&id) {
                    request.given_up = Some(Instant::now());
                }
            }
        }
        self.open.borrow_mut().retain(|_, pending| now < pending.due);
        // One that is held by a broker that the client has no connection to any more is out of its mind after a while.
        self.plays.borrow_mut().retain(|_, p| p.leave_at.is_some_and(|at| now < at + FORGOTTEN));
        let left: Vec<Id> =
            self.plays.borrow().iter().filter(|(_, p)| is_due(p.leave_at)).map(|(id, _)| *id).collect();
        for id in left {
            // A session is ended where it is held.
            let here = self.plays.borrow()[&id].broker == self.broker.get();
            if here && self.write(&release_line(id)) {
                self.plays.borrow_mut().remove(&id);
                if let Some(request) = self.crowd.book.lock().requests.get_mut(&id) {
                    request.left_at = Some(Instant::now());
                }
            }
        }
    }
}
