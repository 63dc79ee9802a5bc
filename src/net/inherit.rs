//! The listening socket that the platform holds open and each process inherits.

use std::io;
use std::net::TcpListener;

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// Duplicates the inherited descriptor. Safe code can't take ownership of a bare descriptor number, so the descriptor
/// is duplicated through a pidfd of this process, as it would be from another process.
pub(super) fn inherited_listener(descriptor: i32) -> io::Result<TcpListener> {
    let invalid = |what: &str| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("LB_SOCKET_FD: descriptor {descriptor}: {what}"))
    };
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    let duplicate =
        pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty()).map_err(|e| invalid(&e.to_string()))?;
    match socket_acceptconn(&duplicate) {
        Ok(true) => Ok(TcpListener::from(duplicate)),
        Ok(false) => Err(invalid("not a listening socket")),
        Err(_) => Err(invalid("not a socket")),
    }
}
