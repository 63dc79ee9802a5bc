//! A client that closes its connection while much of what it sent is unread.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::crossing::*;
use support::*;

const DEADLINE_MS: f64 = 8_000.0;
const REQUESTS: u64 = 2_000;
const WARM_UP_ROUNDS: usize = 60;
const WARM_UP_TESTS: usize = 1_000;
/// More than the program reads of one connection at a time.
const MIN_SENT_BYTES: usize = 256 * 1024;

fn set_up(id: u64) -> String {
    let fields = json!({"class": "paid", "left": DEADLINE_MS, "key": "k", "extras": "home:0;copies:3;top:1"});
    let line =
        json!({"type": "setup", "id": format!("{id:016x}"), "sdp": format!("offer-{id}"), "fields": fields});
    format!("{line}\n")
}

/// Sends much and hears the answers, so that the machine gives the connection a receive buffer that holds all that follows,
/// with the end of the connection.
fn grow_receive_buffer(client: &mut TcpStream) {
    for _ in 0..WARM_UP_ROUNDS {
        client.write_all(ping().repeat(WARM_UP_TESTS).as_bytes()).unwrap();
        for _ in 0..WARM_UP_TESTS {
            line(client).unwrap();
        }
    }
}

/// Sends this much while the program stands still, closes the connection, and returns the set-ups that were sent on though
/// nobody waits for their answers.
fn sent_on_after_close(lines: impl Iterator<Item = String>) -> usize {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let options = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(DEADLINE_MS)});
    let program = Program::platform_with_config(&[&edge], DEADLINE_MS, &options, &["viewer", "console"]);
    // The connection to the server is open: nothing else delays a set-up.
    let mut usual = program.connect("viewer");
    send_set_up(&mut usual, 1_000_001, "clip", 8_000, "usual");
    assert_eq!(final_answer(&mut usual, 1_000_001).unwrap()["type"], "answer");
    let mut client = program.connect("viewer");
    grow_receive_buffer(&mut client);
    let sent = program.while_stopped(|| {
        client.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut sent = 0;
        for line in lines {
            if client.write_all(line.as_bytes()).is_err() {
                break;
            }
            sent += line.len();
        }
        drop(client);
        sent
    });
    assert!(sent > MIN_SENT_BYTES, "{sent} bytes were taken");
    // A usual client is served meanwhile.
    send_set_up(&mut usual, 1_000_000, "clip", 8_000, "usual");
    assert_eq!(final_answer(&mut usual, 1_000_000).unwrap()["type"], "answer");
    pass(500);
    edge.set_ups().into_iter().filter(|(_, offer)| offer != "usual").count()
}

/// Guards against requests that are sent on although their client has closed its connection: the end of the connection
/// was not seen behind what was still unread.
#[test]
fn requests_of_a_client_that_has_closed_its_connection_are_not_sent_on() {
    assert_eq!(sent_on_after_close((1..=REQUESTS).map(set_up)), 0);
}

/// The same for one request before much else: no further request leads to a further reading of the connection. Known red:
/// the last look reads 128 KiB and takes the client for present if the end lies behind that.
#[test]
fn one_request_before_much_else_is_not_sent_on_after_the_close() {
    let tests = std::iter::repeat_with(ping).take(6_000);
    assert_eq!(sent_on_after_close(std::iter::once(set_up(1)).chain(tests)), 0);
}
