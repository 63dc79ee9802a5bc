//! A listening socket that the platform holds and every process inherits.

use std::io;
use std::net::TcpListener;

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// Duplicates the inherited descriptor, as the system's number alone is nothing that safe code may own: the process
/// asks for it as it would ask for another's.
pub(super) fn listener(number: i32) -> io::Result<TcpListener> {
    let wrong = |what: &str| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("LB_SOCKET_FD: descriptor {number}: {what}"))
    };
    let this = pidfd_open(getpid(), PidfdFlags::empty())?;
    let own = pidfd_getfd(this, number, PidfdGetfdFlags::empty()).map_err(|e| wrong(&e.to_string()))?;
    match socket_acceptconn(&own) {
        Ok(true) => Ok(TcpListener::from(own)),
        Ok(false) => Err(wrong("not a listening socket")),
        Err(_) => Err(wrong("not a socket")),
    }
}
