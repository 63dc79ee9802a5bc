//! Helpers that the connection tasks share: reads without waiting, reason codes of I/O errors, and timeouts.

use std::future::Future;
use std::io::{self, Read as _};
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::Handle;

/// The most bytes that are read from one connection before the other connections get their turn.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The most bytes that are read from one peer without waiting, so that a peer that sends without a pause does not
/// block the reader.
const MAX_READ_BYTES: usize = 8 * READ_BUFFER_BYTES;

/// Reads what has already arrived, without waiting. `handle` gets the bytes and returns whether to read on. Returns
/// the reason code if the peer has closed the connection.
pub(super) fn read_available(
    shared: &Handle,
    stream: &Async<TcpStream>,
    mut handle: impl FnMut(&[u8]) -> bool,
) -> Option<&'static str> {
    let mut remaining = MAX_READ_BYTES;
    while remaining > 0 {
        // The descriptor is in non-blocking mode.
        let read = stream.get_ref().read(&mut shared.read_buffer.borrow_mut());
        match read {
            Ok(0) => return Some("end-of-stream"),
            Ok(n) => {
                remaining = remaining.saturating_sub(n);
                if !handle(&shared.read_buffer.borrow()[..n]) {
                    return None;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Some(error_code(&error)),
        }
    }
    None
}

/// Returns the reason code of an I/O error for the log, such as `reset`.
pub(super) fn error_code(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::BrokenPipe => "broken-pipe",
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::TimedOut => "timed-out",
        _ => "io-error",
    }
}

/// Runs a future, or returns [`io::ErrorKind::TimedOut`] after a timeout.
pub(super) async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(work, async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
