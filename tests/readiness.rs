//! How soon a process that was started says that it is ready, and that it says so only when it is.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::crossing::*;
use support::*;

fn started(known: &Value, board: SocketAddr) -> Program {
    let files = tempdir::Dir::new();
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964", "settings": settings(4_000.0), "known": known, "board": board.to_string()});
    let command = Program::command(&files, &config, &[]);
    Program::start(command, files, &["viewer", "console"])
}

fn passes(stream: &mut TcpStream) -> bool {
    stream.write_all(ping().as_bytes()).unwrap();
    line(stream).expect("it answers tests")["cause"] == 1
}

/// How long a process takes from its start until a test passes.
fn ready_after(known: &Value, board: SocketAddr) -> Duration {
    let begun = Instant::now();
    let program = started(known, board);
    loop {
        if passes(&mut program.connect("viewer")) {
            return begun.elapsed();
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "it is never ready");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Thirty are started together, with discovery up, slow, and down, and with the last list at hand or not.
#[test]
fn nine_in_ten_of_thirty_are_ready_within_ten_seconds() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let list = event(1, true, &[("s-0", edge.address, 0, "in_service")]);
    let up = NoticeBoard::start();
    up.stand(&list);
    // One that accepts and says nothing, and one that is not there.
    let slow = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow_at = slow.local_addr().unwrap();
    let down = SocketAddr::from(([127, 0, 0, 1], 9));
    let runs: Vec<_> = (0..30)
        .map(|n| {
            let board = [up.address, slow_at, down][n % 3];
            let at_hand = n % 2 == 0;
            let known = if at_hand { known_from_event(&list) } else { json!({"rev": 0, "notices": []}) };
            std::thread::spawn(move || ready_after(&known, board))
        })
        .collect();
    let mut took: Vec<Duration> = runs.into_iter().map(|run| run.join().unwrap()).collect();
    took.sort();
    assert!(took[26] < Duration::from_secs(10), "nine in ten: {:?}", took[26]);
    assert!(took[29] < Duration::from_secs(30), "all: {:?}", took[29]);
    // Ready is not said before the time is over for which a list is waited for.
    let without = took.iter().filter(|t| **t >= Duration::from_secs(8)).count();
    assert!(without >= 10, "{took:?}");
}

/// Without any list it can serve nobody. Seen to fail before: it said that it was ready.
#[test]
fn ready_is_said_once_a_list_is_there() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let board = NoticeBoard::start();
    let program = started(&json!({"rev": 0, "notices": []}), board.address);
    assert_eq!(board.wait_for_request(1), 0);
    assert!(!passes(&mut program.connect("viewer")));
    assert_eq!(program.call("check\n"), "FAILURE no list of servers yet\n");
    board.tell(&event(1, true, &[("s-0", edge.address, 0, "in_service")]));
    program.wait_for_log("generation=1");
    program.settle();
    let mut client = program.connect("viewer");
    assert!(passes(&mut client));
    assert_eq!(program.call("check\n"), "SUCCESS ready\n");
    send_set_up(&mut client, 1, "paid", 4_000, "o");
    assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer");
}
