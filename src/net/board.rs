//! Follows the notice board, wherever the configuration says it is.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, future};
use tracing::info;

use super::reading::{error_code, read_available, with_timeout};
use super::{Handle, files, to_duration};
use crate::api::Micros;
use crate::board::{self, BoardError};
use crate::mutant::{self, Mutant};
use crate::roster::Source;

/// Time before the next try in a wrong way of the program.
const LATE_RETRY: Micros = Micros(20_000_000);

/// Follows the notice board, wherever the configuration says it is.
pub(super) async fn follow_board(shared: Handle) {
    loop {
        let Some(address) = shared.board_address.get() else {
            shared.board_address_changed.notified().await;
            continue;
        };
        let log_end = |reason: &str| {
            info!(event = "end", peer = %format_args!("board:{address}"), reason, last = shared.board.borrow().last());
        };
        let address_changed = async {
            shared.board_address_changed.notified().await;
            log_end("moved");
        };
        let keep_following = async {
            let ended = follow_connection(&shared, address).await;
            *shared.board_stream.borrow_mut() = None;
            match ended {
                Ok(reason) => log_end(reason),
                Err(error) => log_end(error_code(&error)),
            }
            let retry = if mutant::on(Mutant::LateRetry) { LATE_RETRY } else { board::RETRY };
            Timer::after(to_duration(retry)).await;
        };
        // A new address is asked at once, also in the middle of a dial or of the wait before the next.
        future::or(address_changed, keep_following).await;
        // What the old place still says is not heard.
        *shared.board_stream.borrow_mut() = None;
    }
}

/// Follows the board on one connection; gives why it ended.
async fn follow_connection(shared: &Handle, address: SocketAddr) -> io::Result<&'static str> {
    let connected =
        with_timeout(to_duration(shared.timings.get().board_connect), Async::<TcpStream>::connect(address))
            .await?;
    let stream = Rc::new(connected);
    let request = shared.board.borrow_mut().request(shared.now(), &address.to_string());
    with_timeout(to_duration(board::SILENCE), (&*stream).write_all(&request)).await?;
    shared.board_end_reason.set(None);
    *shared.board_stream.borrow_mut() = Some(stream.clone());
    loop {
        // What was heard out before a set-up counts too: the wait is for what is whole, however it was heard.
        let until = shared.board.borrow().awaited_until();
        match with_timeout(to_duration(until - shared.now()), stream.readable()).await {
            Ok(()) => {}
            Err(_) if shared.board.borrow().awaited_until() > until => {}
            Err(error) => return Err(error),
        }
        deliver_available(shared);
        if let Some(reason) = shared.board_end_reason.take() {
            return Ok(reason);
        }
        if shared.now() >= shared.board.borrow().awaited_until() {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

/// Hears what the board has said so far, without waiting. An end is left to whoever follows it.
pub(super) fn deliver_available(shared: &Handle) {
    let Some(stream) = shared.board_stream.borrow().clone() else { return };
    if shared.board_end_reason.get().is_some() {
        return;
    }
    let end_reason = read_available(shared, &stream, |bytes| {
        deliver(shared, bytes).inspect_err(|error| shared.board_end_reason.set(Some(error.code()))).is_ok()
    });
    if let Some(reason) = end_reason {
        shared.board_end_reason.set(Some(reason));
    }
}

fn deliver(shared: &Handle, bytes: &[u8]) -> Result<(), BoardError> {
    let mut updates = Vec::new();
    let read = shared.board.borrow_mut().bytes(shared.now(), bytes, &mut updates);
    for update in updates {
        files::offer(shared, Source::Board, update);
    }
    read
}
