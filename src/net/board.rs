//! Follows the notice board at the address that the configuration names, and passes on the server lists that it sends.

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

/// The time before the next connection attempt in the mutant that retries too late.
const LATE_RETRY: Micros = Micros(20_000_000);

/// Follows the notice board for as long as the process runs: reconnects after an end, and when the address changes.
pub(super) async fn follow_board(shared: Handle) {
    loop {
        let Some(address) = shared.board_address.get() else {
            shared.board_address_changed.notified().await;
            continue;
        };
        let log_end = |reason: &str| {
            info!(event = "end", peer = %format_args!("board:{address}"), reason, last = shared.board.borrow().last_event());
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
            let retry = if mutant::is_active(Mutant::LateRetry) { LATE_RETRY } else { board::RETRY_DELAY };
            Timer::after(to_duration(retry)).await;
        };
        // A new address is used at once, also during a connection attempt or the wait before the next one.
        future::or(address_changed, keep_following).await;
        // Nothing more is read from the old address.
        *shared.board_stream.borrow_mut() = None;
    }
}

/// Follows the board on one connection. Returns the reason code of its end.
async fn follow_connection(shared: &Handle, address: SocketAddr) -> io::Result<&'static str> {
    let connected = with_timeout(
        to_duration(shared.timings.get().board_connect_timeout),
        Async::<TcpStream>::connect(address),
    )
    .await?;
    let stream = Rc::new(connected);
    let request = shared.board.borrow_mut().request(shared.now(), &address.to_string());
    with_timeout(to_duration(board::SILENCE_TIMEOUT), (&*stream).write_all(&request)).await?;
    shared.board_end_reason.set(None);
    *shared.board_stream.borrow_mut() = Some(stream.clone());
    loop {
        // The timeout is for a complete message. It is also extended by messages that were read before a set-up was
        // sent, not only by those that were read here.
        let until = shared.board.borrow().deadline();
        match with_timeout(to_duration(until - shared.now()), stream.readable()).await {
            Ok(()) => {}
            Err(_) if shared.board.borrow().deadline() > until => {}
            Err(error) => return Err(error),
        }
        deliver_available(shared);
        if let Some(reason) = shared.board_end_reason.take() {
            return Ok(reason);
        }
        if shared.now() >= shared.board.borrow().deadline() {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

/// Reads and handles what the board has sent so far, without waiting. The end of the connection is recorded for the
/// task that follows the board.
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

/// Parses bytes from the board and offers the server lists that they complete to the roster.
fn deliver(shared: &Handle, bytes: &[u8]) -> Result<(), BoardError> {
    let mut updates = Vec::new();
    let read = shared.board.borrow_mut().receive(shared.now(), bytes, &mut updates);
    for update in updates {
        files::offer(shared, Source::Board, update);
    }
    read
}
