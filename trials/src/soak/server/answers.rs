//! How a stand-in server says something: at once, later, or in pieces.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use fastrand::Rng;
use futures_lite::{AsyncWriteExt, future};

use super::{Connection, LOOK};
use crate::herd::wire::{Frame, Id, cause, kind, parameter};
use crate::soak::book::AttemptEnd;
use crate::soak::plan::ServerFault;

/// Time between two pieces of an answer, in milliseconds.
const PIECE_MS: std::ops::Range<u64> = 5..100;
/// A client that takes nothing is waited for so long.
const STALLED: Duration = Duration::from_secs(2);

impl Connection {
    /// Answers later, beside what comes meanwhile, if the attempt is still out then.
    pub(super) fn answer_behind(self: Rc<Connection>, wait: Duration, id: Id, answer: Frame) {
        let executor = self.server.executor.clone();
        let answers = async move {
            Timer::after(wait).await;
            while self.server.fault.get() == Some(ServerFault::BackHeld) {
                Timer::after(LOOK).await;
            }
            if !self.ended.get() && self.finish(id, AttemptEnd::Answered) {
                let _ = self.write(&answer).await;
            }
        };
        executor.spawn(answers).detach();
    }

    /// Answers in pieces, while what comes meanwhile is read.
    pub(super) fn answer_in_pieces(self: Rc<Connection>, id: Id, answer: Frame, mut rng: Rng) {
        let executor = self.server.executor.clone();
        let answers = async move {
            let bytes = answer.encode();
            self.begin_message().await;
            for piece in bytes.chunks(bytes.len().div_ceil(4)) {
                let mut writer = &self.stream;
                let _ = writer.write_all(piece).await;
                Timer::after(Duration::from_millis(rng.u64(PIECE_MS))).await;
            }
            self.writing.set(false);
            self.finish(id, AttemptEnd::Answered);
        };
        executor.spawn(answers).detach();
    }

    /// Messages don't mix: waits until no other is being written.
    async fn begin_message(&self) {
        while self.writing.replace(true) {
            Timer::after(LOOK).await;
        }
    }

    /// Ends a session that stands, on the connection of its set-up.
    pub(super) fn end_session_behind(self: Rc<Connection>, after: Duration, id: Id) {
        let executor = self.server.executor.clone();
        let ends = async move {
            Timer::after(after).await;
            let released = self.server.released.borrow().contains(&id);
            if released || self.ended.get() || self.server.fault.get().is_some() {
                return;
            }
            let over = Frame::with(kind::RELEASE, id, parameter::CAUSE, &[cause::NORMAL]);
            if self.write(&over).await.is_ok() {
                self.server.book.lock().session_ends.entry(id).or_insert_with(Instant::now);
            }
        };
        executor.spawn(ends).detach();
    }

    pub(super) async fn write(&self, frame: &Frame) -> io::Result<()> {
        self.write_bytes(&frame.encode()).await
    }

    async fn write_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        self.begin_message().await;
        let mut writer = &self.stream;
        let late = async {
            Timer::after(STALLED).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let written = future::or(writer.write_all(bytes), late).await;
        self.writing.set(false);
        written
    }
}
