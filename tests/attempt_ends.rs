//! Where second copies are not allowed, the next attempt of a request begins only once the end of the one before was
//! written, or its connection is over.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use amberspindle::api::SessionId;
use amberspindle::message::Kind;
use amberspindle::message::binary::Decoder;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;
use support::crossing::*;
use support::*;

/// A class's deadline: the first attempt of a free class has a quarter of it.
const DEADLINE_MS: f64 = 8_000.0;
/// Requests that may go to either server.
const ASKED: u64 = 8;
/// Set-ups that fill the machine's buffers on the way to a server that does not read; paid ones, which have one attempt.
const FILLERS: u64 = 300;
/// Bytes of a filler's description.
const FILLER_BYTES: usize = 14_000;

/// A server that reads until it is told to stop, so that what is written to it stays in the machine's buffers.
struct SlowReader {
    stream: TcpStream,
    decoder: Decoder,
    begun: Vec<SessionId>,
    ended: Vec<SessionId>,
    /// The connection is over, and with it all that was out on it.
    over: bool,
}

impl SlowReader {
    fn listen() -> TcpListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        set_socket_recv_buffer_size(&listener, 4096).unwrap();
        listener
    }

    fn accepted(listener: &TcpListener) -> SlowReader {
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        SlowReader { stream, decoder: Decoder::default(), begun: Vec::new(), ended: Vec::new(), over: false }
    }

    /// Reads all that lies there.
    fn drain(&mut self) {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(n @ 1..) => self.hear(&buffer[..n]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Ok(_) | Err(_) => {
                    self.over = true;
                    return;
                }
            }
        }
    }

    fn hear(&mut self, bytes: &[u8]) {
        self.decoder.feed(bytes);
        while let Some(packet) = self.decoder.next_packet().unwrap() {
            match packet.kind {
                Kind::SetUp => self.begun.push(packet.id),
                Kind::Release => self.ended.push(packet.id),
                _ => {}
            }
        }
    }
}

/// Asks for a session of a class that the first servers of the list may hold, so many.
fn ask_of(stream: &mut TcpStream, id: u64, class: &str, servers: usize, offer: &str) {
    let fields = json!({"class": class, "left": DEADLINE_MS, "tenant": "home", "key": format!("k{servers}"),
        "extras": format!("home:0;copies:{servers};top:1")});
    let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": offer, "fields": fields});
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
}

fn known_addresses(addresses: &[SocketAddr]) -> serde_json::Value {
    let names = ["s-0", "s-1"];
    let servers: Vec<_> = addresses
        .iter()
        .zip(names)
        .zip(0..)
        .map(|((at, name), cell)| (name, *at, cell, "in_service"))
        .collect();
    known_from_event(&event(1, true, &servers))
}

/// Seen with the report c7ba89 as its headline: the end of an attempt lay behind a full buffer while the next attempt of
/// the same request had reached another server already.
#[test]
fn a_second_attempt_never_overtakes_the_end_of_the_first_behind_a_full_buffer() {
    let listener = SlowReader::listen();
    let other = Edge::start(EdgeBehaviour::Answers);
    let mut settings = settings_with_spare_uplink(DEADLINE_MS);
    settings["FamilyInfo"]["LadderKb"] = json!([0.1, 0.2]);
    let addresses = [listener.local_addr().unwrap(), other.address];
    let more = json!({"console": "127.0.0.1:0", "settings": settings, "known": known_addresses(&addresses)});
    let program = Program::platform_with_config(&[&other], DEADLINE_MS, &more, &["viewer", "console"]);
    let mut client = program.connect("viewer");
    (1..=ASKED).for_each(|id| ask_of(&mut client, id, "clip", 2, "offer"));
    let mut slow = SlowReader::accepted(&listener);
    let begun = Instant::now();
    while slow.begun.is_empty() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "no set-up came");
        slow.drain();
    }
    let filler = "x".repeat(FILLER_BYTES);
    let mut crowd = program.connect("viewer");
    (1_000..1_000 + FILLERS).for_each(|id| ask_of(&mut crowd, id, "paid", 1, &filler));
    // What may go to either server is given up where it went first, and goes to the other.
    let first: Vec<SessionId> = slow.begun.iter().copied().filter(|id| id.0 <= ASKED).collect();
    let again = |other: &Edge| other.set_ups().iter().any(|(id, _)| first.contains(id));
    while !again(&other) && begun.elapsed() < Duration::from_millis(DEADLINE_MS as u64 + 500) {
        std::thread::sleep(Duration::from_millis(1));
    }
    let out_twice = program.while_stopped(|| {
        // What the program has written by now comes out of the machine's buffers.
        let until = Instant::now() + Duration::from_millis(300);
        while Instant::now() < until {
            slow.drain();
        }
        let again = other.set_ups().into_iter().map(|(id, _)| id);
        let twice = again.filter(|id| first.contains(id) && !slow.ended.contains(id) && !slow.over);
        twice.collect::<Vec<SessionId>>()
    });
    assert!(out_twice.is_empty(), "out at two servers at once: {out_twice:?}");
}
