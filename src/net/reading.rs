//! Reading a socket, and the codes of what can end it: shared by all drivers of connections.

use std::future::Future;
use std::io::{self, Read as _};
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::Handle;

/// Bytes that one connection may bring in one turn, before the others have theirs.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes read of one peer at most without waiting: one that sends without a pause is not waited for.
const MAX_READ_BYTES: usize = 8 * READ_BUFFER_BYTES;

/// Reads what lies there, without waiting; `hear` gets it and says whether to go on. Gives the reason's code if the
/// peer has gone.
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

/// The code of an I/O error in the log, such as `reset`.
pub(super) fn error_code(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::BrokenPipe => "broken-pipe",
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::TimedOut => "timed-out",
        _ => "io-error",
    }
}

/// Does some work, or gives [`io::ErrorKind::TimedOut`] after a span of time.
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
