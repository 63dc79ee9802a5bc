//! Watches of the notice board, and settings that change under a request, where two events cross.

mod support;

use amberspindle::api::SessionId;
use amberspindle::message::cause;
use serde_json::{Value, json};
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn started(edge: &Edge, more: &Value) -> Program {
    Program::platform_with_config(&[edge], UNREACHED_DEADLINE_MS, more, &["viewer", "console"])
}

/// Writes the configuration anew with these parts in it, and has it read.
fn reload(program: &Program, more: &Value) {
    let path = program.files.0.join("config.json");
    let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
    for (key, value) in more.as_object().unwrap() {
        config[key] = value.clone();
    }
    std::fs::write(&path, config.to_string()).unwrap();
    program.hang_up();
    program.wait_for_log("reloaded");
}

/// The old place has said half an event when discovery moves, and says the rest after.
#[test]
fn what_the_old_place_says_after_discovery_moved_is_not_heard() {
    let edges = [Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers)];
    let (old, new) = (NoticeBoard::start(), NoticeBoard::start());
    let known = known_from_event(&event(1, true, &[("s-0", edges[0].address, 0, "in_service")]));
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "known": known,
        "board": old.address.to_string()});
    let program = started(&edges[0], &more);
    assert_eq!(old.wait_for_request(1), 1);
    let gone = format!("id: 2\ndata: {}\n\n", event(2, false, &[("s-0", edges[0].address, 0, "terminated")]));
    let (first, rest) = gone.split_at(gone.len() / 2);
    old.say(first);
    program.settle();
    program.while_stopped(|| {
        // Both lie there when the program goes on: the new place, and the rest of the event.
        let path = program.files.0.join("config.json");
        let mut config: Value = serde_json::from_str(&std::fs::read_to_string(&path).unwrap()).unwrap();
        config["board"] = json!(new.address.to_string());
        std::fs::write(&path, config.to_string()).unwrap();
        old.say(&rest[..rest.len() - 1]);
        program.hang_up();
    });
    assert_eq!(new.wait_for_request(1), 1, "the half event does not count as heard");
    old.say(&rest[rest.len() - 1..]);
    new.tell(&event(2, false, &[("s-1", edges[1].address, 1, "in_service")]));
    program.wait_for_log("generation=2");
    program.settle();
    let mut client = program.connect("viewer");
    for (id, cell) in [(1, 0), (2, 1)] {
        send_set_up_for_cell(&mut client, id, cell, "o");
        assert_eq!(final_answer(&mut client, id).unwrap()["type"], "answer", "cell {cell}");
    }
}

/// A watch that stays open and says nothing is asked anew, from the last event that was heard.
#[test]
fn a_watch_that_falls_silent_is_asked_anew() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let board = NoticeBoard::start();
    let known = known_from_event(&event(1, true, &[("s-0", edge.address, 0, "in_service")]));
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "known": known, "board": board.address.to_string()});
    let program = started(&edge, &more);
    assert_eq!(board.wait_for_request(1), 1);
    board.tell(&event(2, false, &[("s-1", edge.address, 1, "terminated")]));
    assert_eq!(board.wait_for_request(2), 2, "from the last one");
    // Requests that are looked at meanwhile do not count as words of the board.
    let mut client = program.connect("viewer");
    send_set_up(&mut client, 1, "paid", 50_000, "o");
    assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer");
    assert_eq!(board.wait_for_request(3), 2);
}

/// Fewer attempts are allowed while one is out: what it has made counts, and no further one begins.
#[test]
fn fewer_attempts_allowed_meanwhile_hold_for_a_request_that_is_out() {
    let edges = [Edge::start(EdgeBehaviour::Silent), Edge::start(EdgeBehaviour::Silent)];
    let more =
        json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS)});
    let program = Program::platform_with_config(
        &[&edges[0], &edges[1]],
        UNREACHED_DEADLINE_MS,
        &more,
        &["viewer", "console"],
    );
    let mut client = program.connect("viewer");
    send_set_up(&mut client, 1, "paid", 50_000, "o");
    let first = loop {
        if let Some(i) = edges.iter().position(|e| !e.set_ups().is_empty()) {
            break i;
        }
        std::thread::yield_now();
    };
    let mut settings = settings_with_spare_uplink(UNREACHED_DEADLINE_MS);
    settings["Limits"]["AttemptsCap"] = json!(1);
    reload(&program, &json!({"settings": settings}));
    edges[first].send_on_connection_of(SessionId(1), release(SessionId(1), cause::FULL));
    let heard = final_answer(&mut client, 1).unwrap();
    assert_eq!(heard["type"], "release", "{heard}");
    assert!(edges[1 - first].set_ups().is_empty());
}
