//! Follows the notice board, wherever the configuration says it is.

use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tracing::info;

use super::conns::{code, within};
use super::{Handle, files, micros};
use crate::board;
use crate::roster::Source;

/// Follows the notice board, wherever the configuration says it is.
pub(super) async fn follow(shared: Handle) {
    loop {
        let Some(address) = shared.board_at.get() else {
            shared.board_moved.heard().await;
            continue;
        };
        let end = |reason: &str| {
            info!(event = "end", peer = %format_args!("board:{address}"), reason, last = shared.board.borrow().last());
        };
        let moved = async {
            shared.board_moved.heard().await;
            end("moved");
        };
        let stay = async {
            match follow_once(&shared, address).await {
                Ok(reason) => end(reason),
                Err(error) => end(code(&error)),
            }
            Timer::after(micros(board::RETRY)).await;
        };
        // A new address is asked at once, also in the middle of a dial or of the wait before the next.
        future::or(moved, stay).await;
    }
}

/// Follows the board on one connection; gives why it ended.
async fn follow_once(shared: &Handle, address: SocketAddr) -> io::Result<&'static str> {
    let mut stream = within(micros(board::CONNECT), Async::<TcpStream>::connect(address)).await?;
    let request = shared.board.borrow_mut().request(&address.to_string());
    stream.write_all(&request).await?;
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let n = within(micros(board::SILENCE), stream.read(&mut buffer)).await?;
        if n == 0 {
            return Ok("end-of-stream");
        }
        let mut news = Vec::new();
        let read = shared.board.borrow_mut().bytes(&buffer[..n], &mut news);
        for news in news {
            files::hear(shared, Source::Board, news);
        }
        if let Err(error) = read {
            return Ok(error.code());
        }
    }
}
