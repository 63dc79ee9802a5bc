use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::Async;

use super::conns::{PeerKind, drive};
use super::reading::READ_BUFFER_BYTES;
use super::*;
use crate::node::Protocol;

/// Returns the shared state of a process with the example configuration.
fn shared_state() -> (Handle, Config) {
    let settings = include_str!("../../deploy/operator.toml");
    let config = Config::read(&toml::from_str(settings).unwrap()).unwrap();
    let shared = Shared::new(&config, BoardClient::new(config.names.clone(), &serde_json::Value::Null).0);
    (shared, config)
}

/// Accepts a client connection.
fn accept_client(shared: &Handle, listener: &TcpListener) -> (ConnId, Async<TcpStream>, Rc<Outbox>) {
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    let outbox = Rc::new(Outbox::new(&shared.queue_limits.clients));
    let conn = step(shared, |node, _, _| node.allocate_conn_id());
    shared.outboxes.borrow_mut().insert(conn, outbox.clone());
    step(shared, |node, now, _| node.accepted(now, conn, Protocol::Platform));
    (conn, stream, outbox)
}

/// Returns a set-up request of a class.
fn set_up_line(class: &str) -> String {
    let fields =
        serde_json::json!({"class": class, "left": 500, "key": "k", "extras": "home:0;copies:1;top:0"});
    let line =
        serde_json::json!({"type": "setup", "id": "9b1f03aa5c7e2d41", "sdp": "offer", "fields": fields});
    format!("{line}\n")
}

/// Guards against a reader that never yields: a message of 60 MB was read to its end, past the limit on memory,
/// because the connection's writer had no turn to close the connection.
#[test]
fn closes_connection_within_three_reads_of_an_endless_message() {
    let (shared, _) = shared_state();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(n) = peer.write(&[b'x'; READ_BUFFER_BYTES]) {
        sent += n;
    }
    assert!(sent > 8 * READ_BUFFER_BYTES);
    let (conn, stream, outbox) = accept_client(&shared, &listener);
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, PeerKind::Client)), "too-large");
    let (mut unread, mut buffer) = (0, vec![0; READ_BUFFER_BYTES]);
    while let Ok(n) = stream.get_ref().read(&mut buffer) {
        unread += n;
    }
    assert!(sent - unread <= 3 * READ_BUFFER_BYTES, "{} of {sent} bytes read", sent - unread);
}

/// Guards against a close that destroys what the peer wrote before it learned of the close, such as the end of a
/// session.
#[test]
fn lingering_close_reads_what_the_peer_writes_before_it_closes() {
    let (shared, config) = shared_state();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (conn, stream, outbox) = accept_client(&shared, &listener);
    let class = config.names.classes[0].clone();
    let late_request = std::thread::spawn(move || {
        assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0, "the peer sees the close first");
        peer.write_all(set_up_line(&class).as_bytes()).unwrap();
    });
    outbox.lingering_close("replaced");
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, PeerKind::Server)), "replaced");
    drop(stream);
    late_request.join().unwrap();
    assert_eq!(shared.node.borrow().open_counts(), (1, 0), "the late request was handled");
}

/// Guards against a connection that is closed over a request in the receive buffer: the request is handled and the
/// connection stays open. Fails if the connection is closed without the last check for input.
#[test]
fn close_if_quiet_handles_an_unread_request_and_stays_open() {
    let (shared, config) = shared_state();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (conn, stream, outbox) = accept_client(&shared, &listener);
    peer.write_all(set_up_line(&config.names.classes[0]).as_bytes()).unwrap();
    outbox.close_if_quiet("idle");
    drop(peer);
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, PeerKind::Client)), "end-of-stream");
    assert_eq!(shared.node.borrow().open_counts(), (1, 0), "the request was handled before the end");
    // A connection without unread input is closed.
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    let outbox = Rc::new(Outbox::new(&shared.queue_limits.clients));
    outbox.close_if_quiet("idle");
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, PeerKind::Client)), "idle");
    drop(peer);
}
