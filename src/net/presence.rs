//! Handles input that is already in the kernel's buffers before a set-up is sent.
//!
//! That a client has left, or that a server was taken off the list, is known from bytes that may have arrived while
//! this process did something else or was stopped. The order in which the readers of the sockets run says nothing
//! about the order in which the bytes arrived, so the sockets that may forbid a set-up are read first. Nothing else
//! runs between this check and the write; bytes that arrive after it are later than the attempt.

use std::net::TcpStream;

use async_io::Async;

use super::outbox::Outbox;
use super::reading::read_available;
use super::{Handle, board, step};
use crate::api::SessionId;
use crate::platform::links::{ConnId, ConnectionEnd};

/// Passes input of a connection to the node. Input cancels a close that was to happen only if the peer is quiet.
pub(super) fn deliver(shared: &Handle, conn: ConnId, outbox: &Outbox, bytes: &[u8]) {
    if outbox.keep_open() {
        step(shared, |node, now, _| node.keep_open(now, conn));
    }
    step(shared, |node, now, out| node.bytes(now, conn, bytes, out));
    limit_input(shared, conn, outbox);
}

/// Ends a client's connection if clients' unhandled input uses up its memory, and this client holds more than its share.
fn limit_input(shared: &Handle, conn: ConnId, outbox: &Outbox) {
    let sockets = shared.client_sockets.borrow();
    let Some(client) = sockets.get(&conn) else { return };
    client.input.set(shared.node.borrow().held_input_bytes(conn));
    if client.input.exceeds_limit() {
        outbox.abort("too-much-input");
    }
}

/// Passes the input that has already arrived on a connection to the node. Returns the reason code if the peer has
/// closed the connection.
pub(super) fn deliver_available(
    shared: &Handle,
    conn: ConnId,
    stream: &Async<TcpStream>,
    outbox: &Outbox,
) -> Option<&'static str> {
    if outbox.is_closing() {
        return None;
    }
    read_available(shared, stream, |bytes| {
        deliver(shared, conn, outbox, bytes);
        !outbox.is_closing()
    })
}

/// Checks for input a last time before a connection is closed. Returns whether the connection stays open for now,
/// because its client has sent something.
pub(super) fn stays_open(shared: &Handle, conn: ConnId, stream: &Async<TcpStream>, outbox: &Outbox) -> bool {
    if outbox.is_closing() {
        return false;
    }
    deliver_available(shared, conn, stream, outbox);
    // An answer to that input is written first; then this check is repeated.
    let stays_open = outbox.close_reason().is_none() || !outbox.is_empty();
    if !stays_open {
        outbox.confirm_close();
    }
    stays_open
}

/// Returns how a connection ended, from the reason code and from what was still to be written.
pub(super) fn connection_end(outbox: &Outbox, reason: &str) -> ConnectionEnd {
    let reset = matches!(reason, "reset" | "broken-pipe");
    ConnectionEnd::Ended { unsent: outbox.unsent_sessions(), unfinished: outbox.unfinished_sessions(), reset }
}

/// Handles the input of a client that has already arrived, and its disconnection.
pub(super) fn deliver_available_from_client(shared: &Handle, conn: ConnId) {
    let stream = shared.client_sockets.borrow().get(&conn).map(|client| client.stream.clone());
    let outbox = shared.outboxes.borrow().get(&conn).cloned();
    let (Some(stream), Some(outbox)) = (stream, outbox) else { return };
    if let Some(reason) = deliver_available(shared, conn, &stream, &outbox) {
        // The connection's own task finds the end too, and then has nothing more to report to the node.
        let end = connection_end(&outbox, reason);
        step(shared, |node, now, out| node.closed(now, conn, &end, out));
    }
}

/// Checks a set-up a last time before it is sent to a server. A set-up that may no longer be sent is withdrawn.
pub(super) fn confirm_set_up(shared: &Handle, conn: ConnId, id: SessionId) {
    let clients = shared.node.borrow().requesting_connections(id);
    for client in clients {
        deliver_available_from_client(shared, client);
    }
    board::deliver_available(shared);
    step(shared, |node, now, out| node.may_send_set_up(now, conn, id, out));
}
