//! Follows the notice board, wherever the configuration says it is.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use tracing::info;

use super::reading::{code, read_now, within};
use super::{Handle, files, micros};
use crate::api::Micros;
use crate::board::{self, BoardError};
use crate::mutant::{self, Mutant};
use crate::roster::Source;

/// Time before the next try in a wrong way of the program.
const LATE_RETRY: Micros = Micros(20_000_000);

/// Follows the notice board, wherever the configuration says it is.
pub(super) async fn follow(shared: Handle) {
    loop {
        let Some(address) = shared.board_at.get() else {
            shared.board_moved.heard().await;
            continue;
        };
        let end = |reason: &str| {
            info!(event = "end", peer = %format_args!("board:{address}"), reason, last = shared.board.borrow().last_event());
        };
        let moved = async {
            shared.board_moved.heard().await;
            end("moved");
        };
        let stay = async {
            let followed = follow_once(&shared, address).await;
            *shared.board_stream.borrow_mut() = None;
            match followed {
                Ok(reason) => end(reason),
                Err(error) => end(code(&error)),
            }
            let retry = if mutant::is_active(Mutant::LateRetry) { LATE_RETRY } else { board::RETRY_DELAY };
            Timer::after(micros(retry)).await;
        };
        // A new address is asked at once, also in the middle of a dial or of the wait before the next.
        future::or(moved, stay).await;
        // What the old place still says is not heard.
        *shared.board_stream.borrow_mut() = None;
    }
}

/// Follows the board on one connection; gives why it ended.
async fn follow_once(shared: &Handle, address: SocketAddr) -> io::Result<&'static str> {
    let connected =
        within(micros(shared.timings.get().board_connect), Async::<TcpStream>::connect(address)).await?;
    let stream = Rc::new(connected);
    let request = shared.board.borrow_mut().request(shared.now(), &address.to_string());
    within(micros(board::SILENCE_TIMEOUT), (&*stream).write_all(&request)).await?;
    shared.board_over.set(None);
    *shared.board_stream.borrow_mut() = Some(stream.clone());
    loop {
        // What was heard out before a set-up counts too: the wait is for what is whole, however it was heard.
        let until = shared.board.borrow().deadline();
        match within(micros(until - shared.now()), stream.readable()).await {
            Ok(()) => {}
            Err(_) if shared.board.borrow().deadline() > until => {}
            Err(error) => return Err(error),
        }
        hear_out(shared);
        if let Some(reason) = shared.board_over.take() {
            return Ok(reason);
        }
        if shared.now() >= shared.board.borrow().deadline() {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

/// Hears what the board has said so far, without waiting. An end is left to whoever follows it.
pub(super) fn hear_out(shared: &Handle) {
    let Some(stream) = shared.board_stream.borrow().clone() else { return };
    if shared.board_over.get().is_some() {
        return;
    }
    let gone = read_now(shared, &stream, |bytes| {
        hear(shared, bytes).inspect_err(|error| shared.board_over.set(Some(error.code()))).is_ok()
    });
    if let Some(reason) = gone {
        shared.board_over.set(Some(reason));
    }
}

fn hear(shared: &Handle, bytes: &[u8]) -> Result<(), BoardError> {
    let mut news = Vec::new();
    let read = shared.board.borrow_mut().receive(shared.now(), bytes, &mut news);
    for news in news {
        files::hear(shared, Source::Board, news);
    }
    read
}
