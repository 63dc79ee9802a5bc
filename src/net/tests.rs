use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_io::Async;

use super::conns::{Towards, drive};
use super::reading::TURN;
use super::*;
use crate::node::Protocol;

/// What drivers share, as the example configuration has it.
fn process() -> (Handle, Config) {
    let settings = include_str!("../../deploy/operator.toml");
    let config = Config::read(&toml::from_str(settings).unwrap()).unwrap();
    let shared = Shared::new(&config, BoardClient::new(config.names.clone(), &serde_json::Value::Null).0);
    (shared, config)
}

/// A client's connection that was accepted.
fn accepted(shared: &Handle, listener: &TcpListener) -> (ConnId, Async<TcpStream>, Rc<Outbox>) {
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    let outbox = Rc::new(Outbox::new(&shared.queues.clients));
    let conn = step(shared, |node, _, _| node.number());
    shared.boxes.borrow_mut().insert(conn, outbox.clone());
    step(shared, |node, now, _| node.accepted(now, conn, Protocol::Platform));
    (conn, stream, outbox)
}

/// A request of a class.
fn request(class: &str) -> String {
    let fields =
        serde_json::json!({"class": class, "left": 500, "key": "k", "extras": "home:0;copies:1;top:0"});
    let line =
        serde_json::json!({"type": "setup", "id": "9b1f03aa5c7e2d41", "sdp": "offer", "fields": fields});
    format!("{line}\n")
}

/// Seen on a day with bad clients: a message of 60 MB was read to its end, past the limit on memory, as the
/// reader left its own writer no turn to end the connection.
#[test]
fn a_message_that_never_ends_is_cut_off_after_a_turn_or_two() {
    let (shared, _) = process();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(n) = peer.write(&[b'x'; TURN]) {
        sent += n;
    }
    assert!(sent > 8 * TURN);
    let (conn, stream, outbox) = accepted(&shared, &listener);
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, Towards::Client)), "too-large");
    let (mut rest, mut left) = (0, vec![0; TURN]);
    while let Ok(n) = stream.get_ref().read(&mut left) {
        rest += n;
    }
    assert!(sent - rest <= 3 * TURN, "{} of {sent} bytes read", sent - rest);
}

/// Guards against a close that destroys what the peer wrote before it saw it, such as the end of a session.
#[test]
fn what_a_peer_writes_until_it_closes_too_is_heard_on_a_connection_that_is_left() {
    let (shared, config) = process();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (conn, stream, outbox) = accepted(&shared, &listener);
    let class = config.names.classes[0].clone();
    let last_words = std::thread::spawn(move || {
        assert_eq!(peer.read(&mut [0; 16]).unwrap(), 0, "it is told of the end first");
        peer.write_all(request(&class).as_bytes()).unwrap();
    });
    outbox.leave("replaced");
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, Towards::Server)), "replaced");
    drop(stream);
    last_words.join().unwrap();
    assert_eq!(shared.node.borrow().held(), (1, 0), "the last words were heard");
}

/// A request lies in the buffer when its connection is to be let go: it is heard, and the connection stays. Seen to
/// fail where the driver ends a connection without that look.
#[test]
fn a_connection_is_not_let_go_over_a_request_that_was_not_read() {
    let (shared, config) = process();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (conn, stream, outbox) = accepted(&shared, &listener);
    peer.write_all(request(&config.names.classes[0]).as_bytes()).unwrap();
    outbox.let_go("idle");
    drop(peer);
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, Towards::Client)), "end-of-stream");
    assert_eq!(shared.node.borrow().held(), (1, 0), "the request was heard before the end");
    // With nothing more to hear a connection goes.
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::new(listener.accept().unwrap().0).unwrap();
    let outbox = Rc::new(Outbox::new(&shared.queues.clients));
    outbox.let_go("idle");
    assert_eq!(async_io::block_on(drive(&shared, conn, &stream, &outbox, Towards::Client)), "idle");
    drop(peer);
}
