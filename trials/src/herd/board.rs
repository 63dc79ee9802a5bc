//! A stand-in notice board: numbered events that change the list of servers, told as server-sent events. It can be
//! taken down and brought back at the same address.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};

/// Time between two looks for new events.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two comments.
const COMMENT: Duration = Duration::from_secs(1);
/// Time between two bytes of a board that drips.
const DRIP: Duration = Duration::from_millis(500);
/// Longer than any trial.
const FOREVER: Duration = Duration::from_secs(3_600);
/// Bytes of a request's head at most.
const LONGEST_HEAD: usize = 4 * 1024;

/// A server's line in an event.
pub fn target(name: &str, address: SocketAddr, zone: &str, cell: usize, state: &str, boot_ms: u64) -> Value {
    json!({"uid": name, "endpoint": address.to_string(), "az": zone, "model": "std", "pod_group": cell,
        "state": state, "capacity_hint": 4, "boot_ms": boot_ms})
}

/// A way in which it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections are refused.
    Down,
    /// It accepts and says nothing, also on connections that are open.
    Silent,
    /// It answers that it is not available.
    Unavailable,
    /// It goes on at two bytes a second.
    Drips,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 4] = [Fault::Down, Fault::Silent, Fault::Unavailable, Fault::Drips];
}

#[derive(Debug, Default)]
struct Told {
    events: Vec<Value>,
    fault: Option<Fault>,
}

/// The board, as the thread that runs the trial holds it.
#[derive(Clone, Debug, Default)]
pub struct Board(Arc<Mutex<Told>>);

impl Board {
    fn told(&self) -> std::sync::MutexGuard<'_, Told> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells of servers: the whole list, or what has changed.
    pub fn tell(&self, all: bool, targets: &[Value]) {
        let mut told = self.told();
        let number = told.events.len() + 1;
        told.events.push(json!({"rev": number, "pool": {"rev": number, "all": all, "targets": targets}}));
    }

    /// Takes it down, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.fail(down.then_some(Fault::Down));
    }

    /// It fails in a way from now on, or is good again.
    pub fn fail(&self, fault: Option<Fault>) {
        self.told().fault = fault;
    }

    /// The last event's number.
    pub fn last(&self) -> usize {
        self.told().events.len()
    }

    /// What a broker that starts is told to know: the events up to a number.
    pub fn known(&self, last: usize) -> Value {
        json!({"rev": last, "notices": self.told().events[..last]})
    }

    fn fault(&self) -> Option<Fault> {
        self.told().fault
    }

    fn down(&self) -> bool {
        self.fault() == Some(Fault::Down)
    }

    fn behind(&self, last: usize) -> Vec<Value> {
        self.told().events.iter().skip(last).cloned().collect()
    }

    /// Serves on an executor, beginning with this socket.
    pub fn start(&self, executor: &Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let (board, spawner) = (self.clone(), executor.clone());
        executor.spawn(async move { board.serve(&spawner, listener).await }).detach();
    }

    async fn serve(&self, executor: &Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let Ok(address) = listener.local_addr() else { return };
        let mut listener = Async::new(listener).ok();
        loop {
            match &listener {
                Some(open) if !self.down() => {
                    let look = async {
                        Timer::after(LOOK).await;
                        None
                    };
                    let accepted = async { open.accept().await.ok() };
                    if let Some((stream, _)) = future::or(accepted, look).await {
                        let board = self.clone();
                        executor.spawn(async move { board.answer(stream).await }).detach();
                    }
                }
                // While it is down nothing listens: connections are refused.
                Some(_) => listener = None,
                None => {
                    Timer::after(LOOK).await;
                    if !self.down() {
                        listener = Async::<TcpListener>::bind(address).ok();
                    }
                }
            }
        }
    }

    async fn answer(&self, stream: Async<TcpStream>) {
        let Some(mut last) = asked(&stream).await else { return };
        let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n".to_owned();
        let mut commented = Instant::now();
        while !self.down() {
            match self.fault() {
                Some(Fault::Unavailable) => {
                    let _ = (&stream)
                        .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        .await;
                    return;
                }
                // What has begun is neither gone on with nor ended: it is never good again.
                Some(Fault::Silent) => {
                    Timer::after(FOREVER).await;
                    return;
                }
                Some(Fault::Drips) => return drip(&stream, &text).await,
                Some(Fault::Down) | None => {}
            }
            for event in self.behind(last) {
                last += 1;
                text += &format!("id: {last}\ndata: {event}\n\n");
            }
            if commented.elapsed() >= COMMENT {
                commented = Instant::now();
                text += ": still here\n\n";
            }
            if (&stream).write_all(text.as_bytes()).await.is_err() {
                return;
            }
            text.clear();
            Timer::after(LOOK).await;
        }
    }
}

/// Says something at two bytes a second, again and again, until the other side ends the connection.
async fn drip(mut stream: &Async<TcpStream>, text: &str) {
    let text = if text.is_empty() { "id: 9\ndata: {" } else { text };
    for byte in text.as_bytes().iter().cycle() {
        if stream.write_all(&[*byte]).await.is_err() {
            return;
        }
        Timer::after(DRIP).await;
    }
}

/// Reads a request's head; gives the number of the last event that the broker has heard.
async fn asked(mut stream: &Async<TcpStream>) -> Option<usize> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        let read = stream.read(&mut buffer).await.ok().filter(|read| *read > 0)?;
        head.extend_from_slice(&buffer[..read]);
        if head.len() > LONGEST_HEAD {
            return None;
        }
    }
    let head = String::from_utf8(head).ok()?.to_ascii_lowercase();
    let last = head.lines().find_map(|line| line.strip_prefix("last-event-id:"))?;
    last.trim().parse().ok()
}
