//! The end of a process while clients say something: each request that was taken gets its one answer, whatever was in
//! which buffer when the end came.

mod support;

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use amberspindle::message::cause;
use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn started(edge: &Edge, deadline: f64) -> Program {
    let settings = settings_with_spare_uplink(deadline);
    let more = json!({"console": "127.0.0.1:0", "settings": settings});
    Program::platform_with_config(&[edge], deadline, &more, &["viewer", "console"])
}

/// A hundred connections wait to be accepted when the listening socket is to go. Seen to fail before: those that had
/// not had their turn were reset.
#[test]
fn connections_that_wait_to_be_accepted_are_answered() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&edge, UNREACHED_DEADLINE_MS);
    program.terminate();
    program.wait_for_log("stopping");
    let clients: Vec<TcpStream> = program.while_stopped(|| {
        let asked = (1..=100).map(|id| {
            let mut client = program.connect("viewer");
            send_set_up(&mut client, id, "clip", 50_000, "waits");
            client
        });
        let asked = asked.collect();
        // The time for which connections keep coming is over.
        pass(900);
        asked
    });
    let heard =
        clients.into_iter().zip(1..).filter_map(|(mut client, id)| final_answer(&mut client, id)).count();
    assert_eq!(heard, 100, "so many were answered");
}

/// A session's client ends it, which lets the process end, and asks again some milliseconds later, at one of the steps
/// of the end. Seen to fail before: what came within the last 50 ms was sent on and never answered.
#[test]
fn what_comes_while_the_process_ends_is_answered_or_never_read() {
    let tries: Vec<_> = (0..14_u64).map(|n| std::thread::spawn(move || ask_at_the_end(n * 5))).collect();
    for one in tries {
        one.join().unwrap();
    }
}

fn ask_at_the_end(ms: u64) {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&edge, UNREACHED_DEADLINE_MS);
    let mut client = program.connect("viewer");
    send_set_up(&mut client, 1, "paid", 50_000, "plays");
    assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer");
    edge.set_behaviour(EdgeBehaviour::Silent);
    program.terminate();
    program.wait_for_log("stopping");
    pass(800);
    let over = json!({"type": "release", "id": "0000000000000001", "fields": {}, "cause": 16});
    client.write_all(format!("{over}\n").as_bytes()).unwrap();
    pass(ms);
    let line = json!({"type": "setup", "id": "0000000000000002", "sdp": "again", "fields":
        {"class": "paid", "left": "1500", "key": "k", "extras": "home:0;copies:3;top:1"}});
    let written = client.write_all(format!("{line}\n").as_bytes());
    let heard = written.ok().and_then(|()| final_answer(&mut client, 2));
    let sent = edge.set_ups().iter().any(|(_, offer)| offer == "again");
    match heard {
        Some(answer) => assert!(answer["type"] == "release", "{ms} ms: {answer}"),
        None => assert!(!sent, "{ms} ms: it was sent on, and its client was never told"),
    }
    assert!(program.ended_well());
}

/// Requests go on coming on an open connection, and their server says nothing. Seen to fail before: when the process
/// had waited long enough it ended with those unanswered that it had taken last.
#[test]
fn what_was_taken_last_is_answered_though_requests_go_on_coming() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let program = started(&edge, 500.0);
    let mut client = program.connect("viewer");
    client.set_nonblocking(true).unwrap();
    program.terminate();
    program.wait_for_log("stopping");
    let (mut asked, begun) = (Vec::new(), Instant::now());
    let mut heard = Vec::new();
    let mut ended = false;
    while !ended {
        assert!(begun.elapsed() < TEST_TIMEOUT, "it goes on");
        let id = asked.len() as u64 + 1;
        let line = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": "o", "fields":
            {"class": "paid", "left": "500", "key": "k", "extras": "home:0;copies:3;top:1"}});
        if client.write_all(format!("{line}\n").as_bytes()).is_ok() {
            asked.push(id);
        }
        std::thread::sleep(Duration::from_millis(10));
        ended = read_some(&mut client, &mut heard);
    }
    let heard = String::from_utf8(heard).unwrap();
    let answered = |id: &u64| heard.lines().filter(|l| l.contains(&format!("{id:016x}"))).count();
    assert!(asked.iter().all(|id| answered(id) <= 1));
    // What was read was answered; what came behind the end of the connection, at most, was not.
    let silent: Vec<u64> = edge.set_ups().iter().map(|(id, _)| id.0).filter(|id| answered(id) == 0).collect();
    assert!(silent.is_empty(), "{} of {} that were sent on were never answered", silent.len(), asked.len());
    assert!(program.ended_well());
}

/// Reads what is there; whether the connection has ended.
fn read_some(client: &mut TcpStream, heard: &mut Vec<u8>) -> bool {
    use std::io::Read;
    let mut buffer = [0; 4096];
    loop {
        match client.read(&mut buffer) {
            Ok(0) => return true,
            Ok(n) => heard.extend(&buffer[..n]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => return true,
        }
    }
}

/// Every signal once more, in the middle of a drain and of an end: what is open is answered, and the end stays one.
#[test]
fn further_signals_take_nothing_back_and_cost_no_answer() {
    for before in ["", "drain-on\n", "drain-on\ndrain-off\n"] {
        let edge = Edge::start(EdgeBehaviour::Silent);
        let program = started(&edge, UNREACHED_DEADLINE_MS);
        let mut client = program.connect("viewer");
        send_set_up(&mut client, 1, "paid", 50_000, "open");
        let id = edge.wait_for_set_up(1);
        before.lines().for_each(|call| assert!(program.call(&format!("{call}\n")).starts_with("SUCCESS")));
        program.terminate();
        program.wait_for_log("stopping");
        program.hang_up();
        program.wait_for_log("reloaded");
        program.terminate();
        program.wait_for_nth_log("stopping", 1);
        assert_eq!(program.call("check\n"), "FAILURE ending\n");
        assert!(program.call("drain-off\n").starts_with("SUCCESS"));
        assert_eq!(program.call("check\n"), "FAILURE ending\n");
        edge.send_answer(id);
        assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer", "{before}");
        edge.say(release(id, cause::CANCELLED));
        assert!(line(&mut client).is_none(), "its viewer is owed no word, and the connection ends");
        assert!(program.ended_well());
    }
}

/// Half a message is no request: it neither keeps the process up nor the connection.
#[test]
fn half_a_message_holds_nothing_up() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = started(&edge, UNREACHED_DEADLINE_MS);
    let mut client = program.connect("viewer");
    client.write_all(b"{\"type\":\"setup\",\"id\":\"00000000000").unwrap();
    program.settle();
    program.terminate();
    assert!(line_or_none(&mut client));
    assert!(program.ended_well());
    assert!(edge.set_ups().is_empty());
}

fn line_or_none(client: &mut TcpStream) -> bool {
    line(client).is_none()
}

/// A process that was told to end leaves the turns at cold servers to the next one, which may have its number and be
/// there already. Seen to fail before: both took them.
#[test]
fn a_process_that_ends_sends_a_cold_server_nothing_more() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let mut settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    // Sixteen set-ups a second are allowed at the start, of which the pace uses seven in ten.
    settings["FamilyInfo"]["PlacesByKind"] = json!([1000]);
    settings["Rules"] = json!({"StopSendingWithin": 500.0, "Cold": 60_000.0, "ColdFrom": 0.4,
        "FallMultiple": 2.5, "Fall": 2_000.0});
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let mut known = known(&[&edge]);
    known["notices"][0]["pool"]["targets"][0]["boot_ms"] = json!(now.as_millis() as u64);
    let more = json!({"console": "127.0.0.1:0", "settings": settings, "known": known});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    let mut client = program.connect("viewer");
    // It takes its turns.
    let mut id = 0;
    let mut ask = |client: &mut TcpStream| {
        id += 1;
        send_set_up(client, id, "clip", 50_000, "o");
        std::thread::sleep(Duration::from_millis(10));
    };
    while edge.ran().len() < 3 {
        ask(&mut client);
    }
    program.terminate();
    program.wait_for_log("stopping");
    program.settle();
    let before = edge.ran().len();
    (0..50).for_each(|_| ask(&mut client));
    program.settle();
    assert_eq!(edge.ran().len(), before, "it goes on taking turns");
}
