//! Runs client and edge server connections: reads and writes until a connection ends, and logs the reason of its end.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use rustix::net::sockopt::set_socket_linger;
use tracing::info;

use super::outbox::Outbox;
use super::presence::{self, connection_end};
use super::queues::QueuedBytes;
use super::reading::{error_code, with_timeout};
use super::room::ServerSlot;
use super::{ClientSocket, Handle, report_withdrawn, step, to_duration};
use crate::node::Protocol;
use crate::platform::links::{ConnId, ConnectionEnd};

/// The time after which a connection to a server, a console caller or another broker is closed if the peer accepts
/// none of the bytes that are to be written. It is short so that set-ups that were not sent to a server by then have
/// not run there, and may still be tried elsewhere.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a peer has to close its side of a connection after this side has shut down its own.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// The kind of peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerKind {
    /// A client, or another process of this program.
    Client,
    /// An edge server, to which set-ups are sent.
    Server,
}

/// Reads and writes until the connection ends. Returns the reason code of its end.
pub(super) async fn drive(
    shared: &Handle,
    conn: ConnId,
    stream: &Async<TcpStream>,
    outbox: &Outbox,
    peer_kind: PeerKind,
) -> &'static str {
    let read = async {
        loop {
            // One buffer serves all connections: nothing else runs between the read and the step.
            let n = match stream.read_with(|mut s| s.read(&mut shared.read_buffer.borrow_mut())).await {
                Ok(0) => return outbox.close_reason().unwrap_or("end-of-stream"),
                Ok(n) => n,
                Err(error) => return outbox.close_reason().unwrap_or(error_code(&error)),
            };
            // Input after the decision to close is discarded.
            if !outbox.is_closing() {
                let buffer = shared.read_buffer.borrow();
                presence::deliver(shared, conn, outbox, &buffer[..n]);
            }
            // Yields, because a peer that sends without a pause would otherwise block all other connections, and its
            // own writer, which may have to close the connection.
            future::yield_now().await;
        }
    };
    let write = async {
        loop {
            if let Some(reason) = outbox.ready().await {
                // A request that has already arrived would not be answered.
                if peer_kind == PeerKind::Client && presence::stays_open(shared, conn, stream, outbox) {
                    continue;
                }
                if outbox.is_lingering() {
                    let _ = stream.get_ref().shutdown(Shutdown::Write);
                    Timer::after(LINGER_TIMEOUT).await;
                }
                return reason;
            }
            let set_ups = outbox.set_ups_in_next_write();
            if peer_kind == PeerKind::Server {
                set_ups.iter().for_each(|id| presence::confirm_set_up(shared, conn, *id));
                // If that withdrew a set-up or closed the connection, the queue is examined again.
                if outbox.set_ups_in_next_write() != set_ups || outbox.is_closing() && outbox.is_empty() {
                    continue;
                }
            } else if let Some(reason) = outbox
                .may_begin_answer_or_end()
                .then(|| presence::deliver_available(shared, conn, stream, outbox))
                .flatten()
            {
                // A client that has disconnected gets no answer: its session is released at the server. Ends of other
                // sessions that are queued here are delivered on another connection.
                return reason;
            }
            // Nothing else runs between these checks and the write, which writes nothing if a check aborted the
            // connection.
            match outbox.write_queued(|slices| stream.get_ref().write_vectored(slices)) {
                Ok(0) => return "write-zero",
                Ok(n) => {
                    let completed = outbox.advance(n);
                    if !completed.sessions.is_empty() {
                        let now = shared.now();
                        shared.node.borrow_mut().record_fully_written(now, conn, &completed.sessions);
                    }
                    completed.withdrawals.iter().for_each(|id| report_withdrawn(shared, conn, *id));
                    // Yields, because a peer that causes and takes answers without a pause would otherwise block all
                    // other connections: the check above reads what it sends.
                    future::yield_now().await;
                }
                Err(_) if outbox.is_aborted() => return outbox.close_reason().unwrap_or_default(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // An answer is useful to a client for as long as the client waits for it.
                    let timeout = match peer_kind {
                        PeerKind::Client => to_duration(shared.timings.get().client_stall_timeout),
                        PeerKind::Server => WRITE_TIMEOUT,
                    };
                    match with_timeout(timeout, stream.writable()).await {
                        Ok(()) => {}
                        Err(error) if error.kind() == io::ErrorKind::TimedOut => return "stalled",
                        Err(error) => return error_code(&error),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error_code(&error),
            }
        }
    };
    future::or(outbox.aborted(), future::or(write, read)).await
}

/// Shuts down a client's connection without losing an answer in transit: closing a socket with unread input resets the
/// connection. Input is discarded until the client has closed too, or until [`LINGER_TIMEOUT`].
async fn linger(shared: &Handle, stream: &Async<TcpStream>, outbox: &Outbox) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    if outbox.has_written() {
        discard_input(shared, stream).await;
    }
}

/// Discards input until the peer has closed too, or until [`LINGER_TIMEOUT`].
pub(super) async fn discard_input(shared: &Handle, stream: &Async<TcpStream>) {
    let discard = async {
        loop {
            match stream.read_with(|mut s| s.read(&mut shared.read_buffer.borrow_mut())).await {
                Ok(0) | Err(_) => return Ok(()),
                Ok(_) => future::yield_now().await,
            }
        }
    };
    let _ = with_timeout(LINGER_TIMEOUT, discard).await;
}

/// Logs the end of a connection and tells the node of it.
fn report_end(shared: &Handle, conn: ConnId, peer: &str, reason: &str, end: ConnectionEnd) {
    shared.outboxes.borrow_mut().remove(&conn);
    let unanswered = shared.node.borrow().unanswered_on(conn);
    info!(event = "end", conn = conn.0, peer, reason, unanswered);
    step(shared, |node, now, out| node.closed(now, conn, &end, out));
}

/// Connects to an edge server and runs the connection until it ends.
pub(super) async fn dial_server(shared: Handle, conn: ConnId, address: SocketAddr, outbox: Rc<Outbox>) {
    let peer = format!("edge:{address}");
    let timeout = to_duration(shared.timings.get().connect_timeout);
    let slot = async { Ok(ServerSlot::acquire(&shared).await) };
    let Ok(_slot) = with_timeout(timeout, slot).await else {
        return report_end(&shared, conn, &peer, "no-room", ConnectionEnd::Unopened);
    };
    match with_timeout(timeout, Async::<TcpStream>::connect(address)).await {
        Ok(stream) => {
            let _ = stream.get_ref().set_nodelay(true);
            step(&shared, |node, now, out| node.opened(now, conn, out));
            let reason = drive(&shared, conn, &stream, &outbox, PeerKind::Server).await;
            if !outbox.is_empty() {
                // Discards what the kernel has buffered: it would reach a slow server long after the connection counts
                // as ended.
                let _ = set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
            }
            // Closes the socket first, so that the server learns of the end before further attempts are sent.
            drop(stream);
            report_end(&shared, conn, &peer, reason, connection_end(&outbox, reason));
        }
        Err(error) => {
            let (reason, end) = match error.kind() {
                io::ErrorKind::TimedOut => ("connect-timeout", ConnectionEnd::NoAnswer),
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    (error_code(&error), ConnectionEnd::Refused)
                }
                _ => (error_code(&error), ConnectionEnd::Unopened),
            };
            report_end(&shared, conn, &peer, reason, end);
        }
    }
}

/// Runs an accepted client connection until it ends.
pub(super) async fn serve_client(
    shared: Handle,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    protocol: Protocol,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let outbox = Rc::new(Outbox::new(&shared.queue_limits.clients));
    let conn = step(&shared, |node, _, _| node.allocate_conn_id());
    shared.outboxes.borrow_mut().insert(conn, outbox.clone());
    let input = QueuedBytes::new(&shared.queue_limits.input);
    shared.client_sockets.borrow_mut().insert(conn, ClientSocket { stream: stream.clone(), input });
    step(&shared, |node, now, _| node.accepted(now, conn, protocol));
    let reason = drive(&shared, conn, &stream, &outbox, PeerKind::Client).await;
    shared.client_sockets.borrow_mut().remove(&conn);
    if outbox.is_closing() {
        linger(&shared, &stream, &outbox).await;
    }
    drop(stream);
    shared.client_count.set(shared.client_count.get() - 1);
    shared.client_closed.notify();
    report_end(
        &shared,
        conn,
        &format!("{}:{peer}", protocol.name()),
        reason,
        connection_end(&outbox, reason),
    );
    let ends = outbox.take_session_ends();
    step(&shared, |node, now, out| node.requeue_session_ends(now, ends, out));
}
