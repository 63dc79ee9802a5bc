//! A viewers' connection to one broker: many sessions share it. What comes on it goes to the ledger, and to the viewer
//! that waits for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, future};

use super::ledger::{Answer, Ledger};
use super::wire::{Id, Said, cause};

/// Viewers close a connection without a session after so long.
const UNUSED: Duration = Duration::from_secs(4);
/// Time between two looks whether it is unused.
const LOOK: Duration = Duration::from_secs(1);
/// A set-up that crosses the broker's close of a connection within this is sent once more.
const CROSSING: Duration = Duration::from_millis(50);
/// Bytes that are read at once.
const TURN: usize = 16 * 1024;

/// What a viewer hears of its request or session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The session stands.
    Plays,
    /// Refused; milliseconds to stay away, if they were told.
    Refused(Option<u64>),
    /// Failed.
    Failed,
    /// A session that stood is over or moved.
    Over,
    /// The connection ended.
    Broken,
    /// The request crossed the close of an idle connection: it is to be sent once more.
    Crossed,
}

struct Waiting {
    written: Instant,
    stands: bool,
    events: Sender<Event>,
}

/// One connection.
pub struct Connection {
    /// The process.
    pub process: usize,
    /// Which run of it.
    pub run: usize,
    /// When it came up.
    pub connected: Instant,
    stream: Async<TcpStream>,
    ledger: Ledger,
    sessions: RefCell<BTreeMap<Id, Waiting>>,
    used: Cell<Instant>,
    closed: Cell<bool>,
}

impl Connection {
    /// One that has come up.
    pub fn new(process: usize, stream: Async<TcpStream>, ledger: &Ledger) -> Rc<Connection> {
        let now = Instant::now();
        Rc::new(Connection {
            process,
            run: ledger.run_of(process),
            connected: now,
            stream,
            ledger: ledger.clone(),
            sessions: RefCell::default(),
            used: Cell::new(now),
            closed: Cell::new(false),
        })
    }

    /// Whether it has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Writes a message whole; when its last byte was written, or none if it could not be.
    pub fn write(&self, bytes: &[u8]) -> Option<Instant> {
        if self.closed.get() {
            return None;
        }
        // Messages are far smaller than the machine's buffer for them: what does not fit is a broken connection.
        match self.stream.get_ref().write(bytes) {
            Ok(written) if written == bytes.len() => {
                let at = Instant::now();
                self.used.set(at);
                Some(at)
            }
            Ok(_) | Err(_) => {
                let _ = self.stream.get_ref().shutdown(Shutdown::Both);
                None
            }
        }
    }

    /// A viewer waits for what comes for a session.
    pub fn expect(&self, id: Id, written: Instant, events: Sender<Event>) {
        self.sessions.borrow_mut().insert(id, Waiting { written, stands: false, events });
    }

    /// Nobody waits for a session any more.
    pub fn forget(&self, id: Id) {
        self.sessions.borrow_mut().remove(&id);
    }

    /// Reads until its end.
    pub async fn read(self: Rc<Connection>) {
        let (mut heard, mut buffer) = (Vec::new(), vec![0; TURN]);
        loop {
            let look = async {
                Timer::after(LOOK).await;
                None
            };
            let mut reader = &self.stream;
            let read = async { Some(reader.read(&mut buffer).await) };
            match future::or(read, look).await {
                None => self.close_if_unused(),
                Some(Ok(0)) => return self.ended("end of stream"),
                Some(Err(error)) => return self.ended(&error.kind().to_string()),
                Some(Ok(read)) => {
                    heard.extend_from_slice(&buffer[..read]);
                    self.lines(&mut heard);
                }
            }
        }
    }

    fn close_if_unused(&self) {
        if self.sessions.borrow().is_empty() && self.used.get().elapsed() >= UNUSED {
            self.closed.set(true);
            let _ = self.stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    fn lines(&self, heard: &mut Vec<u8>) {
        let at = Instant::now();
        while let Some(end) = heard.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = heard.drain(..=end).collect();
            match Said::read(&line) {
                Some(said) => self.said(at, said),
                None => {
                    let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                    self.ledger.book().unreadable.push((self.process, line));
                }
            }
        }
    }

    fn said(&self, at: Instant, said: Said) {
        self.used.set(at);
        match said {
            Said::Answer(id, description) => {
                self.ledger.answered(id, at, Answer::Plays(description));
                if let Some(waiting) = self.sessions.borrow_mut().get_mut(&id) {
                    waiting.stands = true;
                }
                self.tell(id, Event::Plays);
            }
            Said::Release(id, _, _) | Said::Move(id) if self.ledger.plays(id) => self.tell(id, Event::Over),
            Said::Release(id, cause::FULL | cause::REFUSED | cause::MOOT, wait) => {
                self.ledger.answered(id, at, Answer::Refused);
                self.tell(id, Event::Refused(wait));
            }
            Said::Release(id, cause, _) => {
                self.ledger.answered(id, at, Answer::Failed(cause));
                self.tell(id, Event::Failed);
            }
            Said::Move(_) | Said::Pong(_) | Said::Other => {}
        }
    }

    fn tell(&self, id: Id, event: Event) {
        if let Some(waiting) = self.sessions.borrow().get(&id) {
            // The viewer may have left.
            let _ = waiting.events.try_send(event);
        }
    }

    /// It has ended: what waited on it is lost, unless it crossed the close of a connection that was idle.
    fn ended(&self, how: &str) {
        let at = Instant::now();
        let closed_here = self.closed.replace(true);
        let sessions = std::mem::take(&mut *self.sessions.borrow_mut());
        let open = || sessions.values().filter(|waiting| !waiting.stands);
        let young = |waiting: &Waiting| at.duration_since(waiting.written) <= CROSSING;
        let crosses = !closed_here && !self.ledger.was_killed(self.process, self.run) && open().all(young);
        for (id, waiting) in &sessions {
            let event = if crosses && !waiting.stands { Event::Crossed } else { Event::Broken };
            if !waiting.stands && !self.ledger.has_answer(*id) {
                self.ledger.ended(*id, at, how);
            }
            let _ = waiting.events.try_send(event);
        }
    }
}
