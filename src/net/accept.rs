//! Accepts client connections on a listening socket, as far as the descriptor budget allows.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use tracing::warn;

use super::conns::serve_client;
use super::handover::Handover;
use super::outbox::Notify;
use super::reading::error_code;
use super::room::wait_for_room;
use super::{Handle, step, to_duration};
use crate::node::Protocol;

/// The time between a failed `accept` and the next one: descriptors may be free again by then.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A listening socket for clients.
pub(super) struct ClientListener {
    pub(super) listener: Async<TcpListener>,
    pub(super) protocol: Protocol,
    /// The hand-over whose gate must be open, where another process may hold the same socket.
    pub(super) handover: Option<Rc<Handover>>,
    /// Notified when accepting is to stop.
    pub(super) stop: Rc<Notify>,
    /// Whether the socket stays open after this process has ended.
    pub(super) outlives_process: bool,
}

/// Why the wait for the next connection ended.
enum AcceptEvent {
    Accepted(io::Result<(Async<TcpStream>, SocketAddr)>),
    GateClosed,
    Stopped,
}

/// Counts an accepted connection and starts the task that serves it.
fn serve_accepted(shared: &Handle, stream: Async<TcpStream>, peer: SocketAddr, protocol: Protocol) {
    shared.client_count.set(shared.client_count.get() + 1);
    shared.executor.spawn(serve_client(shared.clone(), stream, peer, protocol)).detach();
}

/// Accepts client connections until accepting is to stop, then those that still wait in the kernel's queue.
pub(super) async fn accept_clients(shared: Handle, client_listener: ClientListener) {
    loop {
        match next_event(&shared, &client_listener).await {
            AcceptEvent::Accepted(Ok((stream, peer))) => {
                serve_accepted(&shared, stream, peer, client_listener.protocol);
                // Existing connections get their turn before the next one is accepted.
                future::yield_now().await;
            }
            AcceptEvent::Accepted(Err(error)) => {
                warn!(event = "accept failed", reason = error_code(&error));
                // `accept` may have failed for lack of descriptors: an idle client connection is closed to make room.
                step(&shared, |node, now, out| node.make_room(now, out));
                Timer::after(RETRY_INTERVAL).await;
            }
            AcceptEvent::GateClosed => {}
            AcceptEvent::Stopped => break,
        }
    }
    if !client_listener.outlives_process {
        let deadline = async {
            Timer::after(to_duration(shared.timings.get().longest_deadline)).await;
        };
        // A client that has waited for longer than the longest deadline no longer waits for an answer.
        future::or(accept_backlog(&shared, &client_listener), deadline).await;
    }
}

/// Accepts the connections that wait in the kernel's queue. The kernel has completed their handshakes, so their
/// clients expect an answer. If there is no room for all of them at once, they are served in the order of arrival.
async fn accept_backlog(shared: &Handle, client_listener: &ClientListener) {
    let is_full = || {
        shared.client_count.get()
            >= shared.budget.max_clients_at_shutdown(shared.server_connection_count.get())
    };
    loop {
        let accepted = client_listener.listener.get_ref().accept();
        match accepted.and_then(|(stream, peer)| Ok((Async::new(stream)?, peer))) {
            Ok((stream, peer)) => {
                wait_for_room(shared, is_full, &shared.client_closed, |node, now, out| {
                    node.make_room(now, out)
                })
                .await;
                serve_accepted(shared, stream, peer, client_listener.protocol);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                warn!(event = "accept failed", reason = error_code(&error));
                step(shared, |node, now, out| node.make_room(now, out));
                Timer::after(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Waits for the next connection, for the gate to close, or for the notification to stop.
async fn next_event(shared: &Handle, client_listener: &ClientListener) -> AcceptEvent {
    let stopped = async {
        client_listener.stop.notified().await;
        AcceptEvent::Stopped
    };
    let next = async {
        // Descriptors are limited: further connections wait in the kernel's queue until there is room for them.
        let is_full = || shared.client_count.get() >= shared.budget.clients;
        wait_for_room(shared, is_full, &shared.client_closed, |node, now, out| node.make_room(now, out))
            .await;
        let Some(handover) = &client_listener.handover else {
            return AcceptEvent::Accepted(client_listener.listener.accept().await);
        };
        handover.gate.wait_until_open().await;
        // Dropping this future loses no connection: it has accepted none until it is ready.
        let accepted = async { AcceptEvent::Accepted(client_listener.listener.accept().await) };
        let closed = async {
            handover.gate.wait_until_closed().await;
            AcceptEvent::GateClosed
        };
        future::or(closed, accepted).await
    };
    future::or(stopped, next).await
}
