//! Listening sockets: clients' connections are accepted as far as there is room.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use tracing::warn;

use super::conns::serve;
use super::handover::Handover;
use super::outbox::Bell;
use super::reading::code;
use super::room::until_room;
use super::{Handle, micros, step};
use crate::node::Protocol;

/// Time before the next try after a connection could not be accepted: descriptors may be free again by then.
const AGAIN: Duration = Duration::from_millis(20);

/// One listening socket.
pub(super) struct Door {
    pub(super) listener: Async<TcpListener>,
    pub(super) front: Protocol,
    /// Whether this process serves, where another may hold the socket too.
    pub(super) gate: Option<Rc<Handover>>,
    /// Rings when the socket is to go.
    pub(super) last_call: Rc<Bell>,
    /// The socket outlives this process.
    pub(super) kept: bool,
}

enum Next {
    Accepted(io::Result<(Async<TcpStream>, SocketAddr)>),
    GateClosed,
    LastCall,
}

fn take(shared: &Handle, stream: Async<TcpStream>, peer: SocketAddr, front: Protocol) {
    shared.accepted.set(shared.accepted.get() + 1);
    shared.executor.spawn(serve(shared.clone(), stream, peer, front)).detach();
}

/// Accepts clients' connections until the last call.
pub(super) async fn accept(shared: Handle, door: Door) {
    loop {
        match next(&shared, &door).await {
            Next::Accepted(Ok((stream, peer))) => {
                take(&shared, stream, peer, door.front);
                // Those that are there already have their turn before the next one comes.
                future::yield_now().await;
            }
            Next::Accepted(Err(error)) => {
                warn!(event = "accept failed", reason = code(&error));
                // Descriptors may be short for others' sake: a client's idle connection makes room.
                step(&shared, |node, now, out| node.make_room(now, out));
                Timer::after(AGAIN).await;
            }
            Next::GateClosed => {}
            Next::LastCall => break,
        }
    }
    if !door.kept {
        let late = async {
            Timer::after(micros(shared.timings.get().longest_deadline)).await;
        };
        // Who has waited for longer than that waits no more.
        future::or(take_last(&shared, &door), late).await;
    }
}

/// Accepts what waits in the machine's queue: a connection that the machine accepted was taken, and its client is
/// answered. Where there is no room for all, those that come first are answered first.
async fn take_last(shared: &Handle, door: &Door) {
    let full = || shared.accepted.get() >= shared.budget.clients_at_last(shared.linked.get());
    loop {
        let accepted = door.listener.get_ref().accept();
        match accepted.and_then(|(stream, peer)| Ok((Async::new(stream)?, peer))) {
            Ok((stream, peer)) => {
                until_room(shared, full, &shared.room, |node, now, out| node.make_room(now, out)).await;
                take(shared, stream, peer, door.front);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                warn!(event = "accept failed", reason = code(&error));
                step(shared, |node, now, out| node.make_room(now, out));
                Timer::after(AGAIN).await;
            }
        }
    }
}

async fn next(shared: &Handle, door: &Door) -> Next {
    let last = async {
        door.last_call.heard().await;
        Next::LastCall
    };
    let next = async {
        // Descriptors are few: what can't be held waits in the machine's queue, while room is made.
        let full = || shared.accepted.get() >= shared.budget.clients;
        until_room(shared, full, &shared.room, |node, now, out| node.make_room(now, out)).await;
        let Some(gate) = &door.gate else { return Next::Accepted(door.listener.accept().await) };
        gate.gate.opened().await;
        // Accepting is one step: what is given up here accepted nothing.
        let accepted = async { Next::Accepted(door.listener.accept().await) };
        let closed = async {
            gate.gate.closed().await;
            Next::GateClosed
        };
        future::or(closed, accepted).await
    };
    future::or(last, next).await
}
