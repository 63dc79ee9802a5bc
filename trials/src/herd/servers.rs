//! Stand-in edge servers on one thread: most answer at once, one in eight is bad in one way.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fastrand::Rng;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rustix::net::sockopt::set_socket_linger;

use super::ledger::{Ledger, SetUp};
use super::wire::{Frame, Id, cause, kind, parameter};

/// One server in so many is bad.
pub const BAD_IN: usize = 8;
/// Of a thousand set-ups, so many are turned away as full by a good server.
const FULL_PER_MILLE: u32 = 20;
/// Of a thousand set-ups, so many have their connection reset by a good server.
const RESET_PER_MILLE: u32 = 20;
/// A late server answers this long before the broker's wait is over, or up to [`LATEST`] after that.
const EARLIEST: Duration = Duration::from_millis(60);
/// See [`EARLIEST`].
const LATEST: Duration = Duration::from_millis(120);
/// Parts in which an answer in pieces comes at most.
const MOST_PIECES: usize = 5;
/// The longest pause between two pieces: beyond 400 ms a broker gives up a message that stops short.
const LONGEST_PAUSE_MS: u64 = 500;
/// Bytes that are read at once.
const TURN: usize = 16 * 1024;

/// What a server does with set-ups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Answers at once, but for a small share.
    Good,
    /// Accepts connections and says nothing.
    Hangs,
    /// Refuses connections.
    Refuses,
    /// Answers errors.
    Errors,
    /// Answers around the end of the broker's wait.
    Late,
    /// Answers in pieces, with pauses.
    Pieces,
}

impl Manner {
    /// The ways of being bad.
    pub const BAD: [Manner; 5] =
        [Manner::Hangs, Manner::Refuses, Manner::Errors, Manner::Late, Manner::Pieces];
}

/// One stand-in server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name on the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub manner: Manner,
    /// It closes connections that were idle for so long.
    pub idle: Duration,
}

impl Server {
    /// Starts it on an executor.
    pub fn start(
        self,
        executor: &Rc<LocalExecutor<'static>>,
        listener: TcpListener,
        ledger: &Ledger,
        seed: u64,
    ) -> io::Result<()> {
        if self.manner == Manner::Refuses {
            return Ok(());
        }
        let (server, ledger, listener) = (Rc::new(self), ledger.clone(), Async::new(listener)?);
        let spawner = executor.clone();
        let accepts = async move {
            let mut rng = Rng::with_seed(seed);
            while let Ok((stream, _)) = listener.accept().await {
                let connection = Connection {
                    server: server.clone(),
                    stream: Rc::new(stream),
                    ledger: ledger.clone(),
                    executor: spawner.clone(),
                };
                spawner.spawn(connection.serve(rng.fork())).detach();
            }
        };
        executor.spawn(accepts).detach();
        Ok(())
    }
}

/// Why a connection is over.
enum Over {
    Closed,
    Reset,
}

struct Connection {
    server: Rc<Server>,
    stream: Rc<Async<TcpStream>>,
    ledger: Ledger,
    executor: Rc<LocalExecutor<'static>>,
}

impl Connection {
    async fn serve(self, mut rng: Rng) {
        let mut heard = Vec::new();
        let mut buffer = vec![0; TURN];
        loop {
            let idle = async {
                Timer::after(self.server.idle).await;
                Ok(0)
            };
            let mut reader = &*self.stream;
            let Ok(read @ 1..) = future::or(reader.read(&mut buffer), idle).await else { return };
            let at = Instant::now();
            heard.extend_from_slice(&buffer[..read]);
            while let Ok(Some(frame)) = Frame::take(&mut heard) {
                if let Err(over) = self.hear(&frame, at, &mut rng).await {
                    return self.end(over);
                }
            }
        }
    }

    fn end(&self, over: Over) {
        if matches!(over, Over::Reset) {
            let _ = set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO));
        }
    }

    async fn hear(&self, frame: &Frame, at: Instant, rng: &mut Rng) -> Result<(), Over> {
        match frame.kind {
            kind::SET_UP => self.set_up(frame, at, rng).await,
            kind::PING if self.server.manner != Manner::Hangs => {
                self.write(&Frame::with(kind::PONG, frame.id, parameter::CAUSE, &[1])).await
            }
            _ => Ok(()),
        }
    }

    async fn set_up(&self, frame: &Frame, at: Instant, rng: &mut Rng) -> Result<(), Over> {
        let id = frame.id;
        let answer =
            format!("{}\r\no={:016x} at {}", frame.text(parameter::DESCRIPTION), id, self.server.name);
        let note = |ran, answer: Option<&String>| {
            let server = self.server.name.clone();
            self.ledger.set_up(id, SetUp { server, seen: at, ran, answer: answer.cloned() });
        };
        let answer_frame = Frame::with(kind::ANSWER, id, parameter::DESCRIPTION, answer.as_bytes());
        match self.server.manner {
            Manner::Good => {
                let chance = rng.u32(..1_000);
                if chance < FULL_PER_MILLE {
                    note(false, None);
                    return self.refuse(id, cause::FULL).await;
                }
                if chance < FULL_PER_MILLE + RESET_PER_MILLE {
                    note(true, None);
                    return Err(Over::Reset);
                }
                note(true, Some(&answer));
                self.write(&answer_frame).await
            }
            Manner::Errors => {
                note(true, None);
                self.refuse(id, cause::ERROR).await
            }
            Manner::Late => {
                note(true, Some(&answer));
                self.answer_late(frame, answer_frame, rng);
                Ok(())
            }
            Manner::Pieces => {
                note(true, Some(&answer));
                self.write_in_pieces(&answer_frame.encode(), rng).await
            }
            Manner::Hangs | Manner::Refuses => {
                note(true, None);
                Ok(())
            }
        }
    }

    async fn refuse(&self, id: Id, cause: u8) -> Result<(), Over> {
        self.write(&Frame::with(kind::RELEASE, id, parameter::CAUSE, &[cause])).await
    }

    async fn write(&self, frame: &Frame) -> Result<(), Over> {
        self.write_bytes(&frame.encode()).await
    }

    async fn write_bytes(&self, bytes: &[u8]) -> Result<(), Over> {
        let mut writer = &*self.stream;
        writer.write_all(bytes).await.map_err(|_| Over::Closed)
    }

    /// What comes meanwhile on the connection waits: messages don't mix.
    async fn write_in_pieces(&self, bytes: &[u8], rng: &mut Rng) -> Result<(), Over> {
        let size = bytes.len().div_ceil(rng.usize(2..=MOST_PIECES));
        for piece in bytes.chunks(size) {
            self.write_bytes(piece).await?;
            Timer::after(Duration::from_millis(rng.u64(5..=LONGEST_PAUSE_MS))).await;
        }
        Ok(())
    }

    fn answer_late(&self, frame: &Frame, answer: Frame, rng: &mut Rng) {
        let wait = Duration::from_millis(frame.text(parameter::WAIT).parse::<f64>().unwrap_or(0.0) as u64);
        let spread = Duration::from_micros(rng.u64(..(EARLIEST + LATEST).as_micros() as u64));
        let after = (wait + spread).saturating_sub(EARLIEST);
        let stream = self.stream.clone();
        let answers = async move {
            Timer::after(after).await;
            // Its connection may have ended.
            let _ = (&*stream).write_all(&answer.encode()).await;
        };
        self.executor.spawn(answers).detach();
    }
}
