//! What lies in the machine's buffers already is heard before a set-up leaves.
//!
//! A client that has gone, or a server that was taken off the list, is told by bytes that may have come while this
//! process did something else or stood still. The order in which the sockets' readers have their turns says nothing
//! of the order in which things happened, so the sockets that matter are read first. Between this and the write
//! nothing else runs; what comes after it is later than the attempt.

use std::net::TcpStream;

use async_io::Async;

use super::outbox::Outbox;
use super::reading::read_available;
use super::{Handle, board, step};
use crate::api::SessionId;
use crate::platform::links::{ConnId, ConnectionEnd};

/// What came on a connection is told, and keeps one that was to be let go.
pub(super) fn deliver(shared: &Handle, conn: ConnId, outbox: &Outbox, bytes: &[u8]) {
    if outbox.keep_open() {
        step(shared, |node, now, _| node.keep_open(now, conn));
    }
    step(shared, |node, now, out| node.bytes(now, conn, bytes, out));
}

/// Tells what lies there on a connection; gives the reason's code if the peer has gone.
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

/// The last look before a connection is let go: whether its client has said something that keeps it.
pub(super) fn stays_open(shared: &Handle, conn: ConnId, stream: &Async<TcpStream>, outbox: &Outbox) -> bool {
    if outbox.is_closing() {
        return false;
    }
    deliver_available(shared, conn, stream, outbox);
    // An answer that came of it is written first; then this look is taken again.
    let stays_open = outbox.close_reason().is_none() || !outbox.is_empty();
    if !stays_open {
        outbox.confirm_close();
    }
    stays_open
}

/// How a connection ended, by the code of the reason and by what was still to be written.
pub(super) fn connection_end(outbox: &Outbox, reason: &str) -> ConnectionEnd {
    let reset = matches!(reason, "reset" | "broken-pipe");
    ConnectionEnd::Ended { unsent: outbox.unsent_sessions(), unfinished: outbox.unfinished_sessions(), reset }
}

/// Hears a client out: what it said, and whether it has gone.
pub(super) fn deliver_available_from_client(shared: &Handle, conn: ConnId) {
    let stream = shared.client_streams.borrow().get(&conn).cloned();
    let outbox = shared.outboxes.borrow().get(&conn).cloned();
    let (Some(stream), Some(outbox)) = (stream, outbox) else { return };
    if let Some(reason) = deliver_available(shared, conn, &stream, &outbox) {
        // Its own driver finds the end too, and nothing left to tell of it.
        let end = connection_end(&outbox, reason);
        step(shared, |node, now, out| node.closed(now, conn, &end, out));
    }
}

/// The last look at a set-up before it leaves on a server's connection. What may not leave is taken back.
pub(super) fn confirm_set_up(shared: &Handle, conn: ConnId, id: SessionId) {
    let clients = shared.node.borrow().requesting_connections(id);
    for client in clients {
        deliver_available_from_client(shared, client);
    }
    board::deliver_available(shared);
    step(shared, |node, now, out| node.may_send_set_up(now, conn, id, out));
}
