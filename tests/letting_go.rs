//! The broker closes a connection while its client sends a request: the request is answered, whichever came first.

mod support;

use std::io::Write;
use std::net::TcpStream;

use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn exchange_ping(stream: &mut TcpStream) {
    stream.write_all(ping().as_bytes()).unwrap();
    assert_eq!(next_line(stream)["type"], "pong");
}

fn next_line(stream: &mut TcpStream) -> serde_json::Value {
    line(stream).expect("the connection was closed")
}

/// The broker is stopped from before an idle connection's timeout until after it, and the request arrives in between.
/// Guards against a connection that is closed over a request in the receive buffer.
#[test]
fn answers_request_that_arrived_before_an_idle_connection_closed() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    for (id, has_sent_ping) in [(1, true), (2, false)] {
        let mut client = program.connect("viewer");
        if has_sent_ping {
            exchange_ping(&mut client);
        }
        program.while_stopped(|| {
            send_set_up(&mut client, id, "paid", 50_000, "crosses");
            // Idle connections are closed after 2.25 s, silent ones after 2 s; both are checked every 0.25 s.
            pass(2_800);
        });
        assert_eq!(final_answer(&mut client, id).expect("closed over a request")["type"], "answer");
    }
}

/// The same with a connection that is closed to make room for others.
#[test]
fn answers_request_that_arrived_before_its_connection_was_closed_to_make_room() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let options = json!({"limits": {"sockets": 32}, "console": "127.0.0.1:0"});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &options, &["viewer", "console"]);
    let mut clients: Vec<TcpStream> = (0..9).map(|_| program.connect("viewer")).collect();
    for client in &mut clients {
        exchange_ping(client);
    }
    program.while_stopped(|| {
        // The oldest connection is the first to be closed; the new ones need more room than is left.
        send_set_up(&mut clients[0], 1, "paid", 50_000, "crosses");
        clients.extend((0..4).map(|_| program.connect("viewer")));
    });
    assert_eq!(final_answer(&mut clients[0], 1).expect("closed over a request")["type"], "answer");
}

/// The client disconnects while the answer is in transit: the session is released at its server. Guards against a
/// session that goes on at its server without a client.
#[test]
fn releases_session_when_client_disconnects_before_the_answer() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut client = program.connect("viewer");
    edge.set_behaviour(EdgeBehaviour::Silent);
    send_set_up(&mut client, 1, "paid", 50_000, "gone");
    let id = edge.wait_for_set_up(1);
    program.while_stopped(|| {
        edge.send_answer(id);
        drop(client);
    });
    edge.released(id, 1);
}
