//! Listening sockets: clients' connections are accepted as far as there is room.

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

/// Time before the next try after a connection could not be accepted: descriptors may be free again by then.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// One listening socket.
pub(super) struct ClientListener {
    pub(super) listener: Async<TcpListener>,
    pub(super) protocol: Protocol,
    /// Whether this process serves, where another may hold the socket too.
    pub(super) handover: Option<Rc<Handover>>,
    /// Rings when the socket is to go.
    pub(super) stop: Rc<Notify>,
    /// The socket outlives this process.
    pub(super) outlives_process: bool,
}

enum AcceptEvent {
    Accepted(io::Result<(Async<TcpStream>, SocketAddr)>),
    GateClosed,
    Stopped,
}

fn serve_accepted(shared: &Handle, stream: Async<TcpStream>, peer: SocketAddr, protocol: Protocol) {
    shared.client_count.set(shared.client_count.get() + 1);
    shared.executor.spawn(serve_client(shared.clone(), stream, peer, protocol)).detach();
}

/// Accepts clients' connections until the last call.
pub(super) async fn accept_clients(shared: Handle, client_listener: ClientListener) {
    loop {
        match next_event(&shared, &client_listener).await {
            AcceptEvent::Accepted(Ok((stream, peer))) => {
                serve_accepted(&shared, stream, peer, client_listener.protocol);
                // Those that are there already have their turn before the next one comes.
                future::yield_now().await;
            }
            AcceptEvent::Accepted(Err(error)) => {
                warn!(event = "accept failed", reason = error_code(&error));
                // Descriptors may be short for others' sake: a client's idle connection makes room.
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
        // Who has waited for longer than that waits no more.
        future::or(accept_backlog(&shared, &client_listener), deadline).await;
    }
}

/// Accepts what waits in the machine's queue: a connection that the machine accepted was taken, and its client is
/// answered. Where there is no room for all, those that come first are answered first.
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

async fn next_event(shared: &Handle, client_listener: &ClientListener) -> AcceptEvent {
    let stopped = async {
        client_listener.stop.notified().await;
        AcceptEvent::Stopped
    };
    let next = async {
        // Descriptors are few: what can't be held waits in the machine's queue, while room is made.
        let is_full = || shared.client_count.get() >= shared.budget.clients;
        wait_for_room(shared, is_full, &shared.client_closed, |node, now, out| node.make_room(now, out))
            .await;
        let Some(handover) = &client_listener.handover else {
            return AcceptEvent::Accepted(client_listener.listener.accept().await);
        };
        handover.gate.wait_until_open().await;
        // Accepting is one step: what is given up here accepted nothing.
        let accepted = async { AcceptEvent::Accepted(client_listener.listener.accept().await) };
        let closed = async {
            handover.gate.wait_until_closed().await;
            AcceptEvent::GateClosed
        };
        future::or(closed, accepted).await
    };
    future::or(stopped, next).await
}
