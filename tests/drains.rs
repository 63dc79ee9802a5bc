//! Nothing new goes to a server once it was told to drain or to be gone, wherever the set-up is by then: behind its
//! word in a buffer, or waiting for a connection.

mod support;

use std::net::SocketAddr;

use serde_json::json;
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn started(edges: &[&Edge], servers: &[(&str, SocketAddr, u32, &str)], board: &NoticeBoard) -> Program {
    let settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    let more = json!({"console": "127.0.0.1:0", "settings": settings, "board": board.address.to_string(),
        "known": known_from_event(&event(1, true, servers))});
    let program = Program::platform_with_config(edges, UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    assert_eq!(board.wait_for_request(1), 1);
    program
}

/// The board's word lies in the machine's buffer behind a request for the server, or before it. Seen to fail before:
/// whichever of the two was read first decided, however long ago the board had told.
#[test]
fn what_the_board_has_told_is_heard_before_a_set_up_leaves() {
    for (state, request_first) in
        [("terminating", true), ("terminated", true), ("terminating", false), ("terminated", false)]
    {
        let board = NoticeBoard::start();
        let edge = Edge::start(EdgeBehaviour::Answers);
        let servers = [("s-0", edge.address, 0, "in_service")];
        let program = started(&[&edge], &servers, &board);
        let mut warm = program.connect("viewer");
        send_set_up_for_cell(&mut warm, 1, 0, "warm");
        assert_eq!(final_answer(&mut warm, 1).unwrap()["type"], "answer");
        program.settle();
        program.while_stopped(|| {
            let tell = || board.tell(&event(2, false, &[("s-0", edge.address, 0, state)]));
            if request_first {
                send_set_up(&mut warm, 2, "paid", 1_200, "late");
                tell();
            } else {
                tell();
                send_set_up(&mut warm, 2, "paid", 1_200, "late");
            }
            pass(700);
        });
        // Nothing else can serve it: it is refused in the end, and never ran.
        let heard = final_answer(&mut warm, 2).unwrap();
        assert_eq!((&heard["type"], &heard["cause"]), (&json!("release"), &json!(42)), "{state}");
        assert_eq!(edge.ran(), ["warm"], "{state} {request_first}");
    }
}

/// The connection for a set-up comes up a second later, and the server drains by then. Seen to fail before: the
/// set-up left on it, however long after the board's word.
#[test]
fn a_set_up_that_waits_for_its_connection_goes_elsewhere() {
    for state in ["terminating", "terminated"] {
        let board = NoticeBoard::start();
        let (first, second) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers));
        let clogged = FullAcceptQueue::new();
        let servers = [("s-0", clogged.address(), 0, "in_service")];
        let program = started(&[&first], &servers, &board);
        let mut client = program.connect("viewer");
        send_set_up(&mut client, 1, "paid", 50_000, "once");
        program.settle();
        board.tell(&event(
            2,
            false,
            &[("s-0", clogged.address(), 0, state), ("s-1", second.address, 1, "in_service")],
        ));
        program.wait_for_log("generation=2");
        clogged.free(&first);
        assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer", "{state}");
        assert!(first.ran().is_empty(), "{state}: it left for a server that drains");
        assert_eq!(second.ran(), ["once"], "{state}");
    }
}
