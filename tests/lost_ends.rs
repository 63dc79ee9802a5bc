//! The end of a session whose client closes its connection at the same time: it is told on another connection.

mod support;

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::time::Duration;

use amberspindle::api::SessionId;
use amberspindle::message::cause;
use serde_json::Value;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
/// The session of the client that stays.
const STAYS: u64 = 100;
/// So many times both come at once, one after the other.
const TIMES: u64 = 8;

/// A client's next line, or none if there is none within a time in which the program tells of every end.
fn next(lines: &mut BufReader<TcpStream>) -> Option<Value> {
    let mut text = String::new();
    lines.read_line(&mut text).ok()?;
    serde_json::from_str(&text).ok()
}

/// The program stands still while a server ends a session and its client closes the connection that the session was set
/// up on: the end, read first, was written to a client that had gone, and nobody heard of it.
#[test]
fn an_end_that_crosses_its_clients_close_is_told_on_another_connection() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut stays = program.connect("viewer");
    send_set_up(&mut stays, STAYS, "paid", 50_000, "stays");
    assert_eq!(final_answer(&mut stays, STAYS).expect("no answer")["type"], "answer");
    stays.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut told = BufReader::new(stays);
    for id in 1..=TIMES {
        let mut leaves = program.connect("viewer");
        send_set_up(&mut leaves, id, "paid", 50_000, "leaves");
        assert_eq!(final_answer(&mut leaves, id).expect("no answer")["type"], "answer");
        // Either may come first; readers of what came meanwhile have their turns in some order.
        program.while_stopped(|| {
            if id % 2 == 0 {
                edge.say(release(SessionId(id), cause::NORMAL));
                drop(leaves);
            } else {
                drop(leaves);
                edge.say(release(SessionId(id), cause::NORMAL));
            }
        });
        // What follows must not stir the program: it has only what it found.
        pass(300);
        let line = next(&mut told).unwrap_or_else(|| panic!("nobody was told of the end of session {id}"));
        assert_eq!((&line["type"], &line["id"]), (&"release".into(), &format!("{id:016x}").into()));
    }
}
