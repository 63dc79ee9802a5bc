//! A set-up that is half written when its client leaves. The server's machine takes no more bytes, and the rest waits.
//! Cutting the connection would end the set-ups of others on it, so the rest is written, and the release directly
//! behind it: nothing else of anybody lies between.

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
/// Bytes of an offer: the longest message is 16 KB.
const OFFER: usize = 14_000;
/// What the server's machine takes unread, about.
const UNREAD: usize = 8 * 1024;
/// Set-ups that wait behind the half written one when its client leaves.
const BEHIND: u64 = 3;
/// So many turns of the program without a byte written mean that it can't write.
const TURNS: u32 = 6;
/// The kernel takes no more than some megabytes for one connection.
const MOST_SET_UPS: u64 = 600;

/// A message as the server read it: how far its last byte is from the connection's first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Message {
    kind: Kind,
    id: u64,
    end: usize,
}

/// A server that accepts and reads nothing until it is told to.
struct Deaf {
    listener: TcpListener,
}

impl Deaf {
    fn new() -> Deaf {
        use rustix::net::{AddressFamily, SocketType, bind, listen, socket, sockopt};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        // Connections that it accepts have the same.
        sockopt::set_socket_recv_buffer_size(&socket, UNREAD).unwrap();
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        listen(&socket, 16).unwrap();
        Deaf { listener: TcpListener::from(socket) }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

/// What the machine holds of a connection from `from` to `to`: bytes that were written and not acknowledged yet, and
/// bytes that came and were not read.
fn queues(from: SocketAddr, to: SocketAddr) -> (usize, usize) {
    let hex = |port: u16| format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let of = |local: u16, remote: u16, nth: usize| {
        let ends = |line: &&str| {
            let mut fields = line.split_whitespace().skip(1);
            fields.next().is_some_and(|l| l.ends_with(&hex(local)))
                && fields.next().is_some_and(|r| r.ends_with(&hex(remote)))
        };
        let line = table.lines().find(ends).expect("the connection stands");
        let both = line.split_whitespace().nth(4).unwrap();
        usize::from_str_radix(both.split(':').nth(nth).unwrap(), 16).unwrap()
    };
    (of(from.port(), to.port(), 0), of(to.port(), from.port(), 1))
}

/// Bytes of a connection that its server never read from that were written.
fn written(stream: &TcpStream) -> usize {
    let (broker, server) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
    let (unacknowledged, unread) = queues(broker, server);
    unacknowledged + unread
}

fn ask_at_the_deaf(client: &mut TcpStream, id: u64, class: &str) {
    let fields = json!({"class": class, "left": 50_000, "tenant": "home", "key": format!("k{id}"),
        "extras": "home:0;copies:1;top:1"});
    let offer = format!("{id:<width$}", width = OFFER);
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": offer, "fields": fields});
    client.write_all(format!("{line}\n").as_bytes()).unwrap();
}

/// Whether the machine takes nothing more though there is more to write.
fn full(program: &Program, server: &TcpStream, ask_more: &mut impl FnMut() -> u64) -> bool {
    let before = written(server);
    ask_more();
    // What was decided is written in the next turns, as far as the machine takes it.
    (0..TURNS).all(|_| {
        program.settle();
        written(server) == before
    })
}

/// Reads messages until a set-up has come.
fn read_until(stream: &mut TcpStream, last: u64) -> Vec<Message> {
    let (mut decoder, mut buffer) = (Decoder::default(), vec![0; 64 * 1024]);
    let (mut messages, mut bytes): (Vec<Message>, Vec<u8>) = (Vec::new(), Vec::new());
    loop {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "the connection ended after {messages:?}");
        bytes.extend_from_slice(&buffer[..n]);
        decoder.feed(&buffer[..n]);
        while let Some(packet) = decoder.next_packet().expect("no message is torn") {
            let begin = messages.last().map_or(0, |m| m.end);
            // A message begins with how many bytes follow.
            let length = usize::from(u16::from_be_bytes([bytes[begin], bytes[begin + 1]]));
            messages.push(Message { kind: packet.kind, id: packet.id.0, end: begin + 2 + length });
        }
        if messages.iter().any(|m| m.kind == Kind::SetUp && m.id == last) && !decoder.has_partial_message() {
            return messages;
        }
    }
}

/// Seen to fail before: the release waited behind all that was queued when the client left.
#[test]
fn the_rest_of_a_half_written_set_up_is_followed_by_its_release() {
    for class in ["paid", "clip"] {
        leaves_in_the_middle(class);
    }
}

fn leaves_in_the_middle(class: &str) {
    let (deaf, other) = (Deaf::new(), Edge::start(EdgeBehaviour::Answers));
    let known = known_from_event(&event(
        1,
        true,
        &[("s-0", deaf.address(), 0, "in_service"), ("s-1", other.address, 1, "in_service")],
    ));
    let mut settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    settings["FamilyInfo"]["PlacesByKind"] = json!([1000]);
    let more = json!({"console": "127.0.0.1:0", "known": known, "settings": settings});
    let program =
        Program::platform_with_config(&[&other], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    let (mut stays, mut leaves) = (program.connect("viewer"), program.connect("viewer"));
    leaves.set_nodelay(true).unwrap();
    ask_at_the_deaf(&mut stays, 1, class);
    let (mut server, _) = deaf.listener.accept().unwrap();
    server.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    program.settle();
    let mut id = 1;
    let mut ask_more = || {
        for _ in 0..BEHIND {
            id += 1;
            ask_at_the_deaf(&mut leaves, id, class);
        }
        // What was said before a test is decided before it is answered.
        leaves.write_all(ping().as_bytes()).unwrap();
        assert_eq!(line(&mut leaves).unwrap()["type"], "pong", "{class}");
        assert!(id < MOST_SET_UPS, "the machine takes all");
        id
    };
    while !full(&program, &server, &mut ask_more) {}
    let last = ask_more() + 1;
    ask_at_the_deaf(&mut stays, last, class);
    program.settle();
    let cut = written(&server);
    drop(leaves);
    program.settle();
    program.settle();
    assert_eq!(written(&server), cut, "the server's machine takes more meanwhile");

    let messages = read_until(&mut server, last);
    let set_ups: Vec<&Message> = messages.iter().filter(|m| m.kind == Kind::SetUp).collect();
    let half = messages.iter().position(|m| m.end > cut).unwrap();
    assert!(half > 0 && messages[half - 1].end < cut, "{class}: none was half written");
    assert!(messages[half].kind == Kind::SetUp && messages[half].id < last, "{class}: {:?}", messages[half]);
    let (next, own) = (messages[half + 1], messages[half].id);
    assert_eq!((next.kind, next.id), (Kind::Release, own), "{class}: directly behind it");
    // What was not begun never leaves; what was is set up once, and released once.
    let begun: Vec<u64> = set_ups.iter().map(|m| m.id).filter(|id| *id != last).collect();
    assert_eq!(begun, (1..=own).collect::<Vec<u64>>(), "{class}");
    for id in 1..=last {
        let releases = messages.iter().filter(|m| m.kind == Kind::Release && m.id == id).count();
        assert_eq!(releases, usize::from((2..=own).contains(&id)), "{class}: releases of {id}");
    }
    assert_eq!(
        messages.last().map(|m| (m.kind, m.id)),
        Some((Kind::SetUp, last)),
        "{class}: none waits longer"
    );
    // Those who stay are answered on the same connection.
    for id in [1, last] {
        server.write_all(&answer(SessionId(id), "o").finish().unwrap()).unwrap();
        assert_eq!(final_answer(&mut stays, id).unwrap()["type"], "answer", "{class}");
    }
    // No attempt was made anywhere else, then or later.
    program.settle();
    deaf.listener.set_nonblocking(true).unwrap();
    for (stream, _) in std::iter::from_fn(|| deaf.listener.accept().ok()) {
        stream.set_nonblocking(true).unwrap();
        let said = (&stream).read(&mut [0; 1]);
        assert!(!matches!(said, Ok(n) if n > 0), "{class}: something was set up anew");
    }
    assert!(other.set_ups().is_empty(), "{class}");
}
