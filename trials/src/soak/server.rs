//! Stand-in servers of a soak: each can be made to fail in one way and to be well again, while connections are open.

mod answers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fastrand::Rng;
use futures_lite::{AsyncReadExt, future};
use rustix::net::sockopt::set_socket_linger;

use super::book::{Attempt, AttemptEnd, SharedBook};
use super::plan::ServerFault;
use crate::herd::wire::{Frame, Id, cause, kind, parameter};

/// Time between two looks at what a server is to do.
const LOOK: Duration = Duration::from_millis(10);
/// A late server answers after so long, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 200..1_200;
/// A server that hangs seldom does with one set-up in so many.
const HANGS_IN: u32 = 50;
/// One session in so many is ended by its server, so long after its answer, in milliseconds.
const ENDED_IN: u32 = 8;
const ENDED_AFTER_MS: std::ops::Range<u64> = 100..800;
/// Bytes that are looked at, or read, at once: more than one connection brings in a trial.
const TURN: usize = 256 * 1024;
/// Time between two looks at what lies unread.
const UNREAD_LOOK: Duration = Duration::from_millis(2);
/// The rung's parameter.
const RUNG: u8 = 14;

/// One server, shared by its connections.
pub struct Server {
    /// Which it is.
    pub number: usize,
    /// What it does.
    pub fault: Cell<Option<ServerFault>>,
    /// Sessions that brokers have released.
    pub released: RefCell<BTreeSet<Id>>,
    /// What is seen.
    pub book: SharedBook,
    /// The rig's executor.
    pub executor: Rc<LocalExecutor<'static>>,
}

impl Server {
    /// Serves what comes to a socket.
    pub fn start(self: &Rc<Server>, listener: TcpListener, seed: u64) -> io::Result<()> {
        let (server, listener, mut rng) = (self.clone(), Async::new(listener)?, Rng::with_seed(seed));
        let accepts = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Rc::new(Connection {
                    server: server.clone(),
                    stream,
                    out: Cell::default(),
                    ended: Cell::new(false),
                    writing: Cell::new(false),
                });
                server.executor.spawn(connection.serve(rng.fork())).detach();
            }
        };
        self.executor.spawn(accepts).detach();
        Ok(())
    }
}

struct Connection {
    server: Rc<Server>,
    stream: Async<TcpStream>,
    /// Attempts that are out on it.
    out: Cell<BTreeSet<Id>>,
    ended: Cell<bool>,
    /// A message is being written.
    writing: Cell<bool>,
}

impl Connection {
    fn out(&self, act: impl FnOnce(&mut BTreeSet<Id>)) {
        let mut out = self.out.take();
        act(&mut out);
        self.out.set(out);
    }

    async fn serve(self: Rc<Connection>, mut rng: Rng) {
        let (mut heard, mut buffer) = (Vec::new(), vec![0; TURN]);
        let mut began = Instant::now();
        let mut unread_since = None;
        loop {
            while self.server.fault.get() == Some(ServerFault::ReadsNothing) {
                unread_since.get_or_insert_with(Instant::now);
                self.note_unread_ends(&heard, &mut buffer);
                Timer::after(UNREAD_LOOK).await;
            }
            let mut reader = &self.stream;
            // What lay unread came at some time since then.
            let idle = async {
                if unread_since.is_none() {
                    future::pending::<()>().await;
                }
                Timer::after(LOOK).await;
                Ok(None)
            };
            let read = future::or(async { reader.read(&mut buffer).await.map(Some) }, idle).await;
            let read = match read {
                Ok(None) => {
                    unread_since = None;
                    continue;
                }
                Ok(Some(read @ 1..)) => read,
                Ok(Some(_)) | Err(_) => break,
            };
            if heard.is_empty() {
                began = unread_since.unwrap_or_else(Instant::now);
            }
            heard.extend_from_slice(&buffer[..read]);
            while let Ok(Some(frame)) = Frame::take(&mut heard) {
                if self.clone().hear(&frame, began, &mut rng).await.is_err() {
                    self.end();
                    let _ = set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO));
                    return;
                }
                began = unread_since.unwrap_or_else(Instant::now);
            }
        }
        self.end();
    }

    /// What lies unread is not taken, yet an attempt is over once its end was written: that is looked for there.
    fn note_unread_ends(&self, heard: &[u8], buffer: &mut [u8]) {
        let Ok(peeked) = self.stream.get_ref().peek(buffer) else { return };
        let mut unread = [heard, &buffer[..peeked]].concat();
        while let Ok(Some(frame)) = Frame::take(&mut unread) {
            if frame.kind == kind::RELEASE {
                self.finish(frame.id, AttemptEnd::GivenUp);
            }
        }
    }

    /// The connection is over, and with it what is out there.
    fn end(&self) {
        self.ended.set(true);
        for id in self.out.take() {
            self.server.book.attempt_ended(id, self.server.number, AttemptEnd::Closed);
        }
    }

    async fn hear(self: Rc<Connection>, frame: &Frame, began: Instant, rng: &mut Rng) -> io::Result<()> {
        match frame.kind {
            kind::SET_UP => self.set_up(frame, began, rng).await,
            kind::RELEASE => {
                if !self.finish(frame.id, AttemptEnd::GivenUp) {
                    self.server.released.borrow_mut().insert(frame.id);
                }
                Ok(())
            }
            kind::PING => self.write(&Frame::with(kind::PONG, frame.id, parameter::CAUSE, &[1])).await,
            _ => Ok(()),
        }
    }

    /// An attempt ends, if it is out here.
    fn finish(&self, id: Id, how: AttemptEnd) -> bool {
        let mut was_out = false;
        self.out(|out| was_out = out.remove(&id));
        if was_out {
            self.server.book.attempt_ended(id, self.server.number, how);
        }
        was_out
    }

    async fn set_up(self: Rc<Connection>, frame: &Frame, began: Instant, rng: &mut Rng) -> io::Result<()> {
        let id = frame.id;
        let rung = frame.text(RUNG).parse().ok();
        let attempt = Attempt { server: self.server.number, began, taken: Instant::now(), rung, ended: None };
        self.server.book.lock().attempts.entry(id).or_default().push(attempt);
        self.out(|out| {
            out.insert(id);
        });
        let answer =
            format!("{}\r\no={id:016x} at s-{:04}", frame.text(parameter::DESCRIPTION), self.server.number);
        let answer = Frame::with(kind::ANSWER, id, parameter::DESCRIPTION, answer.as_bytes());
        let seldom = rng.u32(..HANGS_IN) == 0;
        match self.server.fault.get() {
            Some(ServerFault::HangsSeldom) if seldom => Ok(()),
            Some(ServerFault::Hangs | ServerFault::ReadsNothing) => Ok(()),
            Some(ServerFault::Resets) => Err(io::ErrorKind::ConnectionReset.into()),
            Some(ServerFault::Full) => {
                self.finish(id, AttemptEnd::TurnedAway);
                self.write(&Frame::with(kind::RELEASE, id, parameter::CAUSE, &[cause::FULL])).await
            }
            Some(ServerFault::Errors) => {
                self.finish(id, AttemptEnd::Errored);
                self.write(&Frame::with(kind::RELEASE, id, parameter::CAUSE, &[cause::ERROR])).await
            }
            Some(ServerFault::Late) => {
                let wait = Duration::from_millis(rng.u64(LATE_MS));
                self.answer_behind(wait, id, answer);
                Ok(())
            }
            Some(ServerFault::BackHeld) => {
                self.answer_behind(LOOK, id, answer);
                Ok(())
            }
            Some(ServerFault::Pieces) => {
                self.answer_in_pieces(id, answer, rng.fork());
                Ok(())
            }
            Some(ServerFault::ClosesEarly) => {
                self.finish(id, AttemptEnd::Answered);
                self.write(&answer).await?;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            None | Some(ServerFault::HangsSeldom) if self.writing.get() => {
                self.answer_behind(LOOK, id, answer);
                Ok(())
            }
            None | Some(ServerFault::HangsSeldom) => {
                self.finish(id, AttemptEnd::Answered);
                self.write(&answer).await?;
                if rng.u32(..ENDED_IN) == 0 {
                    let after = Duration::from_millis(rng.u64(ENDED_AFTER_MS));
                    self.clone().end_session_behind(after, id);
                }
                Ok(())
            }
        }
    }
}
