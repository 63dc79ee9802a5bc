//! What a client hears, and what it does when its connection ends.

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::AsyncReadExt;

use super::{CROSSING, Client, PLAYS_MS, TURN};
use crate::herd::wire::{Said, cause};
use crate::soak::book::Answer;

impl Client {
    /// Reads until the connection ends.
    pub(super) async fn read(self: Rc<Client>, stream: Rc<Async<TcpStream>>) -> bool {
        let mut buffer = vec![0; TURN];
        loop {
            let Ok(read @ 1..) = (&*stream).read(&mut buffer).await else { return true };
            let mut heard = self.heard.take();
            heard.extend_from_slice(&buffer[..read]);
            while let Some(end) = heard.iter().position(|byte| *byte == b'\n') {
                let text: Vec<u8> = heard.drain(..=end).collect();
                self.hear(&text);
            }
            self.heard.set(heard);
        }
    }

    fn hear(&self, text: &[u8]) {
        let Some(said) = Said::read(text) else {
            let text = String::from_utf8_lossy(text).into_owned();
            return self.crowd.book.lock().unreadable.push(text);
        };
        let (id, answer) = match said {
            Said::Answer(id, _) => (id, Answer::Plays),
            Said::Release(id, cause::FULL | cause::REFUSED | cause::MOOT, _) => (id, Answer::Refused),
            Said::Release(id, ..) | Said::Move(id) => (id, Answer::Failed),
            Said::Pong(_) | Said::Other => return,
        };
        let now = Instant::now();
        if let Some(request) = self.crowd.book.lock().requests.get_mut(&id) {
            let plays = request.answers.first().is_some_and(|(_, first)| *first == Answer::Plays);
            // A session that stands belongs to no connection: its end may come on any client's.
            if plays && answer != Answer::Plays {
                request.over.get_or_insert(now);
                self.plays.borrow_mut().remove(&id);
                return;
            }
            request.answers.push((now, answer));
        }
        if let Some(mut pending) = self.open.borrow_mut().remove(&id)
            && answer == Answer::Plays
        {
            let plays = Duration::from_millis(self.rng.borrow_mut().u64(PLAYS_MS));
            pending.leave_at = Some(now + plays);
            self.plays.borrow_mut().insert(id, pending);
        }
    }

    /// The connection has ended: what crossed its end is sent once more, on a new connection to the same broker.
    pub(super) fn broken(&self) {
        let now = Instant::now();
        *self.connection.borrow_mut() = None;
        self.heard.take();
        let mut again = Vec::new();
        let mut book = self.crowd.book.lock();
        for (id, pending) in std::mem::take(&mut *self.open.borrow_mut()) {
            let Some(request) = book.requests.get_mut(&id) else { continue };
            request.ended = Some(now);
            let crossed = request.sent.last().is_some_and(|sent| now - *sent <= CROSSING);
            if crossed && request.sent.len() == 1 {
                again.push((id, pending));
            }
        }
        drop(book);
        if again.is_empty() || !self.crowd.takes(self.broker.get()) {
            return;
        }
        // A connection to a machine of our own comes up at once or not at all.
        let Ok(stream) = TcpStream::connect(self.crowd.fronts[self.broker.get()].0) else { return };
        let Ok(stream) = Async::new(stream) else { return };
        let _ = stream.get_ref().set_nodelay(true);
        self.connected.set(Instant::now());
        *self.connection.borrow_mut() = Some(Rc::new(stream));
        for (id, pending) in again {
            if self.write(&pending.line) {
                if let Some(request) = self.crowd.book.lock().requests.get_mut(&id) {
                    request.sent.push(Instant::now());
                }
                self.open.borrow_mut().insert(id, pending);
            }
        }
    }
}
