//! Connections: read and written until they end, each with a reason for the log.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use rustix::net::sockopt::set_socket_linger;
use tracing::info;

use super::outbox::Outbox;
use super::presence::{self, ended_with};
use super::reading::{code, within};
use super::room::Linked;
use super::{Handle, micros, step, tell_withdrawn};
use crate::node::Protocol;
use crate::platform::links::{ConnId, ConnectionEnd};

/// A server, a caller or another broker that takes nothing for so long while there is something to write is let go. For
/// a server it is short on purpose: what has not left by then has not run, and may still be tried elsewhere.
pub(super) const STALLED: Duration = Duration::from_secs(2);
/// How long a peer has to close a connection too that this side has ended.
const PARTING: Duration = Duration::from_millis(500);

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Towards {
    /// A client, or another process of this program.
    Client,
    /// An edge server: set-ups leave here.
    Server,
}

/// Reads and writes until the connection ends; gives the reason's code.
pub(super) async fn drive(
    shared: &Handle,
    conn: ConnId,
    stream: &Async<TcpStream>,
    outbox: &Outbox,
    towards: Towards,
) -> &'static str {
    let read = async {
        loop {
            // One buffer does for all connections: nothing else runs between the read and the step.
            let n = match stream.read_with(|mut s| s.read(&mut shared.buffer.borrow_mut())).await {
                Ok(0) => return outbox.reason().unwrap_or("end-of-stream"),
                Ok(n) => n,
                Err(error) => return outbox.reason().unwrap_or(code(&error)),
            };
            // What comes behind the end is read for nobody.
            if !outbox.closing() {
                let buffer = shared.buffer.borrow();
                presence::hear(shared, conn, outbox, &buffer[..n]);
            }
            // A peer that sends without a pause would otherwise keep all others waiting, and its own writer,
            // which is to end the connection.
            future::yield_now().await;
        }
    };
    let write = async {
        loop {
            if let Some(reason) = outbox.ready().await {
                // A request that lies there already would find no answer.
                if towards == Towards::Client && presence::keeps(shared, conn, stream, outbox) {
                    continue;
                }
                if outbox.leaving() {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    Timer::after(PARTING).await;
                }
                return reason;
            }
            let leaving = outbox.about_to_leave();
            if towards == Towards::Server {
                leaving.iter().for_each(|id| presence::look(shared, conn, *id));
                // What is left of it, or a close, is looked at anew.
                if outbox.about_to_leave() != leaving || outbox.closing() && outbox.empty() {
                    continue;
                }
            } else if let Some(reason) =
                outbox.has_words_to_keep().then(|| presence::hear_out(shared, conn, stream, outbox)).flatten()
            {
                // Who has gone gets no answer; the session ends where it was set up. Ends are told elsewhere.
                return reason;
            }
            // Nothing runs between that look and the write.
            match outbox.gather(|slices| stream.get_ref().write_vectored(slices)) {
                Ok(0) => return "write-zero",
                Ok(n) => {
                    let whole = outbox.written(n);
                    if !whole.sessions.is_empty() {
                        let now = shared.now();
                        shared.node.borrow_mut().record_fully_written(now, conn, &whole.sessions);
                    }
                    whole.withdrawals.iter().for_each(|id| tell_withdrawn(shared, conn, *id));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // A client's answers are of use for as long as it waits.
                    let stalled = match towards {
                        Towards::Client => micros(shared.timings.get().client_stall_timeout),
                        Towards::Server => STALLED,
                    };
                    match within(stalled, stream.writable()).await {
                        Ok(()) => {}
                        Err(error) if error.kind() == io::ErrorKind::TimedOut => return "stalled",
                        Err(error) => return code(&error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return code(&error),
            }
        }
    };
    future::or(outbox.was_cut(), future::or(write, read)).await
}

/// Ends a client's connection so that an answer on its way is not destroyed: closing a socket with unread input
/// resets the connection. Input is dropped until the client has closed too, for a short while.
async fn part(shared: &Handle, stream: &Async<TcpStream>, outbox: &Outbox) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    if outbox.wrote() {
        read_out(shared, stream).await;
    }
}

/// Drops what a peer still sends until it has closed too, for a short while.
pub(super) async fn read_out(shared: &Handle, stream: &Async<TcpStream>) {
    let drain = async {
        loop {
            match stream.read_with(|mut s| s.read(&mut shared.buffer.borrow_mut())).await {
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) => future::yield_now().await,
            }
        }
    };
    let _ = within(PARTING, drain).await;
}

fn ended(shared: &Handle, conn: ConnId, peer: &str, reason: &str, how: ConnectionEnd) {
    shared.boxes.borrow_mut().remove(&conn);
    let unanswered = shared.node.borrow().unanswered_on(conn);
    info!(event = "end", conn = conn.0, peer, reason, unanswered);
    step(shared, |node, now, out| node.closed(now, conn, &how, out));
}

pub(super) async fn dial(shared: Handle, conn: ConnId, address: SocketAddr, outbox: Rc<Outbox>) {
    let peer = format!("edge:{address}");
    let timeout = micros(shared.timings.get().connect_timeout);
    let free = async { Ok(Linked::when_free(&shared).await) };
    let Ok(_linked) = within(timeout, free).await else {
        return ended(&shared, conn, &peer, "no-room", ConnectionEnd::Unopened);
    };
    match within(timeout, Async::<TcpStream>::connect(address)).await {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            step(&shared, |node, now, out| node.opened(now, conn, out));
            let reason = drive(&shared, conn, &stream, &outbox, Towards::Server).await;
            if !outbox.empty() {
                // What the machine holds would reach a slow server long after its end is taken as written.
                let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
            }
            // The server hears of the end before the next attempts leave.
            drop(stream);
            ended(&shared, conn, &peer, reason, ended_with(&outbox, reason));
        }
        Err(error) => {
            let (reason, how) = match error.kind() {
                io::ErrorKind::TimedOut => ("connect-timeout", ConnectionEnd::NoAnswer),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    (code(&error), ConnectionEnd::Refused)
                }
                _ => (code(&error), ConnectionEnd::Unopened),
            };
            ended(&shared, conn, &peer, reason, how);
        }
    }
}

pub(super) async fn serve(shared: Handle, stream: Async<TcpStream>, peer: SocketAddr, front: Protocol) {
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let outbox = Rc::new(Outbox::new(&shared.queues.clients));
    let conn = step(&shared, |node, _, _| node.allocate_conn_id());
    shared.boxes.borrow_mut().insert(conn, outbox.clone());
    shared.clients.borrow_mut().insert(conn, stream.clone());
    step(&shared, |node, now, _| node.accepted(now, conn, front));
    let reason = drive(&shared, conn, &stream, &outbox, Towards::Client).await;
    shared.clients.borrow_mut().remove(&conn);
    if outbox.closing() {
        part(&shared, &stream, &outbox).await;
    }
    drop(stream);
    shared.accepted.set(shared.accepted.get() - 1);
    shared.room.ring();
    ended(&shared, conn, &format!("{}:{peer}", front.name()), reason, ended_with(&outbox, reason));
    let ends = outbox.take_ends();
    step(&shared, |node, now, out| node.requeue_session_ends(now, ends, out));
}
