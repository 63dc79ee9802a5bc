//! A set-up is half written when its client disconnects: the server's receive buffer is full and the rest is queued.
//! Aborting the connection would end the set-ups of other clients on it, so the rest is written, and the release
//! directly behind it, with no other message in between.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use amberspindle::api::SessionId;
use amberspindle::message::Kind;
use amberspindle::message::binary::Decoder;
use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
/// The size of an offer. The longest message is 16 KB.
const OFFER_BYTES: usize = 14_000;
/// The approximate number of unread bytes that the server's kernel accepts.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// The number of set-ups that wait behind the half written one when its client disconnects.
const SET_UPS_PER_ROUND: u64 = 3;
/// The broker can't write if it has written no byte in this number of turns.
const UNCHANGED_TURNS: u32 = 6;
/// The most set-ups that are sent. The kernel buffers no more than some megabytes for one connection.
const MAX_SET_UPS: u64 = 600;

/// A message as the server read it, with the offset of its end in the connection's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Message {
    kind: Kind,
    id: u64,
    end: usize,
}

/// A server that accepts connections and reads nothing from them until it is told to.
struct NonReadingServer {
    listener: TcpListener,
}

impl NonReadingServer {
    fn new() -> NonReadingServer {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket, sockopt};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        // Accepted connections inherit the buffer size.
        sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).unwrap();
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&socket, 16).unwrap();
        NonReadingServer { listener: TcpListener::from(socket) }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

/// Returns what the kernel holds of a connection from `from` to `to`: the number of bytes that were written and not
/// acknowledged yet, and the number of bytes that arrived and were not read.
fn queued_bytes(from: SocketAddr, to: SocketAddr) -> (usize, usize) {
    let hex = |port: u16| format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let of = |local: u16, remote: u16, nth: usize| {
        let ends = |line: &&str| {
            let mut fields = line.split_whitespace().skip(1);
            fields.next().is_some_and(|l| l.ends_with(&hex(local)))
                && fields.next().is_some_and(|r| r.ends_with(&hex(remote)))
        };
        let line = table.lines().find(ends).expect("the connection is open");
        let both = line.split_whitespace().nth(4).unwrap();
        usize::from_str_radix(both.split(':').nth(nth).unwrap(), 16).unwrap()
    };
    (of(from.port(), to.port(), 0), of(to.port(), from.port(), 1))
}

/// Returns the number of bytes that the broker has written on a connection from which its server has read nothing.
fn bytes_written(stream: &TcpStream) -> usize {
    let (broker, server) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    let (unacknowledged, unread) = queued_bytes(broker, server);
    unacknowledged + unread
}

fn send_large_set_up(client: &mut TcpStream, id: u64, class: &str) {
    let fields = json!({"class": class, "left": 50_000, "tenant": "home", "key": format!("k{id}"),
        "extras": "home:0;copies:1;top:1"});
    let offer = format!("{id:<width$}", width = OFFER_BYTES);
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": offer, "fields": fields});
    client.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// Whether the kernel accepts no more bytes although there is more to write.
fn is_connection_full(program: &Program, server: &TcpStream, ask_more: &mut impl FnMut() -> u64) -> bool {
    let before = bytes_written(server);
    ask_more();
    // Set-ups that were decided on are written in the next turns, as far as the kernel accepts them.
    (0..UNCHANGED_TURNS).all(|_| {
        program.settle();
        bytes_written(server) == before
    })
}

/// Reads messages until the set-up of session `last` has arrived.
fn read_until_set_up(stream: &mut TcpStream, last: u64) -> Vec<Message> {
    let (mut decoder, mut buffer) = (Decoder::default(), vec![0; 64 * 1024]);
    let (mut messages, mut bytes): (Vec<Message>, Vec<u8>) = (Vec::new(), Vec::new());
    loop {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "the connection ended after {messages:?}");
        bytes.extend_from_slice(&buffer[..n]);
        decoder.feed(&buffer[..n]);
        while let Some(packet) = decoder.next_packet().expect("all messages can be parsed") {
            let begin = messages.last().map_or(0, |m| m.end);
            // A message begins with the number of bytes that follow.
            let length = usize::from(u16::from_be_bytes([bytes[begin], bytes[begin + 1]]));
            messages.push(Message { kind: packet.kind, id: packet.id.0, end: begin + 2 + length });
        }
        if messages.iter().any(|m| m.kind == Kind::SetUp && m.id == last) && !decoder.has_partial_message() {
            return messages;
        }
    }
}

/// Guards against a release that waits behind all messages that were queued when the client disconnected.
#[test]
fn writes_release_directly_behind_a_half_written_set_up() {
    for class in ["paid", "clip"] {
        client_leaves_during_a_set_up(class);
    }
}

fn client_leaves_during_a_set_up(class: &str) {
    let (non_reading, other) = (NonReadingServer::new(), Edge::start(EdgeBehaviour::Answers));
    let known = known_from_event(&event(
        1,
        true,
        &[("s-0", non_reading.address(), 0, "in_service"), ("s-1", other.address, 1, "in_service")],
    ));
    let mut settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    settings["FamilyInfo"]["PlacesByKind"] = json!([1000]);
    let options = json!({"console": "127.0.0.1:0", "known": known, "settings": settings});
    let program =
        Program::platform_with_config(&[&other], UNREACHED_DEADLINE_MS, &options, &["viewer", "console"]);
    let (mut staying, mut leaving) = (program.connect("viewer"), program.connect("viewer"));
    leaving.set_nodelay(true).unwrap();
    send_large_set_up(&mut staying, 1, class);
    let (mut server, _) = non_reading.listener.accept().unwrap();
    server.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    program.settle();
    let mut id = 1;
    let mut ask_more = || {
        for _ in 0..SET_UPS_PER_ROUND {
            id += 1;
            send_large_set_up(&mut leaving, id, class);
        }
        // Requests that were sent before a ping are decided before the ping is answered.
        leaving.write_all(ping().as_bytes()).unwrap();
        assert_eq!(line(&mut leaving).unwrap()["type"], "pong", "{class}");
        assert!(id < MAX_SET_UPS, "the kernel accepts all set-ups");
        id
    };
    while !is_connection_full(&program, &server, &mut ask_more) {}
    let last = ask_more() + 1;
    send_large_set_up(&mut staying, last, class);
    program.settle();
    let written = bytes_written(&server);
    drop(leaving);
    program.settle();
    program.settle();
    assert_eq!(bytes_written(&server), written, "the server's kernel accepts more bytes");

    let messages = read_until_set_up(&mut server, last);
    let set_ups: Vec<&Message> = messages.iter().filter(|m| m.kind == Kind::SetUp).collect();
    let half_written = messages.iter().position(|m| m.end > written).unwrap();
    assert!(half_written > 0 && messages[half_written - 1].end < written, "{class}: none was half written");
    assert!(
        messages[half_written].kind == Kind::SetUp && messages[half_written].id < last,
        "{class}: {:?}",
        messages[half_written]
    );
    let (next, own) = (messages[half_written + 1], messages[half_written].id);
    assert_eq!((next.kind, next.id), (Kind::Release, own), "{class}: the release must follow directly");
    // Set-ups of which no byte was written are never sent; the others are sent once and released once.
    let begun: Vec<u64> = set_ups.iter().map(|m| m.id).filter(|id| *id != last).collect();
    assert_eq!(begun, (1..=own).collect::<Vec<u64>>(), "{class}");
    for id in 1..=last {
        let releases = messages.iter().filter(|m| m.kind == Kind::Release && m.id == id).count();
        assert_eq!(releases, usize::from((2..=own).contains(&id)), "{class}: releases of {id}");
    }
    assert_eq!(
        messages.last().map(|m| (m.kind, m.id)),
        Some((Kind::SetUp, last)),
        "{class}: the last set-up must be the last message"
    );
    // The client that stays is answered on the same connection.
    for id in [1, last] {
        server.write_all(&answer(SessionId(id), "o").finish().unwrap()).unwrap();
        assert_eq!(final_answer(&mut staying, id).unwrap()["type"], "answer", "{class}");
    }
    // No attempt was made at another connection or server.
    program.settle();
    non_reading.listener.set_nonblocking(true).unwrap();
    for (stream, _) in std::iter::from_fn(|| non_reading.listener.accept().ok()) {
        stream.set_nonblocking(true).unwrap();
        let read = (&stream).read(&mut [0; 1]);
        assert!(!matches!(read, Ok(n) if n > 0), "{class}: a set-up was sent again");
    }
    assert!(other.set_ups().is_empty(), "{class}");
}
