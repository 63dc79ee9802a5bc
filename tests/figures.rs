//! The metrics of the operator console, compared with the answers that clients received and the set-ups that servers
//! received.

mod support;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};

use serde_json::{Value, json};
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn vars(program: &Program) -> BTreeMap<String, u64> {
    let text = program.call("vars\n");
    let lines = text.strip_prefix("SUCCESS\n").and_then(|rest| rest.strip_suffix("EOT\n")).unwrap();
    let parse = |line: &str| {
        let (name, value) = line.split_once('=').unwrap();
        (name.strip_prefix("broker.").unwrap().to_owned(), value.parse().unwrap())
    };
    lines.lines().map(parse).collect()
}

/// A seeded run of requests over servers that answer, are full or fail: each metric equals what clients and servers
/// have received. A request that was withdrawn before its answer counts under no outcome.
#[test]
fn counts_every_request_once_and_every_attempt_that_a_server_received() {
    let edges: Vec<Edge> = [EdgeBehaviour::Answers, EdgeBehaviour::Full, EdgeBehaviour::Fails]
        .into_iter()
        .map(Edge::start)
        .collect();
    let program = Program::platform_with_config(
        &edges.iter().collect::<Vec<_>>(),
        4_000.0,
        &json!({"console": "127.0.0.1:0"}),
        &["viewer", "console"],
    );
    let before = vars(&program);
    assert_eq!(before["operations.paid.fulfilled"], 0);
    assert_eq!((before["registry_entries"], before["open_requests"]), (3, 0));
    let mut rng = fastrand::Rng::with_seed(20);
    let mut expected: BTreeMap<String, u64> = BTreeMap::new();
    let mut playing = 0;
    let mut requests = Vec::new();
    for id in 1..=80_u64 {
        let class = if rng.bool() { "paid" } else { "clip" };
        // In the end all servers are full, so that the last requests are refused.
        let behaviours = if id <= 60 {
            [EdgeBehaviour::Answers, EdgeBehaviour::Full, EdgeBehaviour::Fails]
        } else {
            [EdgeBehaviour::Full; 3]
        };
        edges[rng.usize(0..3)].set_behaviour(behaviours[rng.usize(0..3)]);
        if id == 61 {
            edges.iter().for_each(|edge| edge.set_behaviour(EdgeBehaviour::Full));
        }
        let mut stream = program.connect("viewer");
        // Some have a longer deadline than any class allows and fail at once.
        send_set_up(&mut stream, id, class, if rng.usize(0..10) == 0 { 90_000 } else { 3_900 }, class);
        requests.push((class, stream));
    }
    for (class, stream) in requests {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        let answer: Value = serde_json::from_str(&line).unwrap();
        let outcome = match (answer["type"].as_str().unwrap(), answer["cause"].as_u64()) {
            ("answer", _) => "fulfilled",
            (_, Some(34 | 42 | 102)) => "throttled",
            _ => "faulted",
        };
        playing += u64::from(outcome == "fulfilled");
        *expected.entry(format!("operations.{class}.{outcome}")).or_default() += 1;
    }
    for (_, class) in edges.iter().flat_map(Edge::set_ups) {
        *expected.entry(format!("operations.{class}.relayed")).or_default() += 1;
    }
    let reported = vars(&program);
    for (name, value) in &reported {
        if name.starts_with("operations.") {
            assert_eq!(
                *value,
                expected.get(name).copied().unwrap_or(0),
                "{name} of {reported:?}, expected {expected:?}"
            );
        }
    }
    assert!(expected.values().filter(|n| **n > 0).count() >= 6, "not all outcomes occurred: {expected:?}");
    assert_eq!(reported["open_requests"], playing, "playing sessions count as open requests");
}

#[test]
fn withdrawn_request_counts_under_no_outcome_but_its_attempt_counts() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let config = json!({"console": "127.0.0.1:0"});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &config, &["viewer", "console"]);
    let mut stream = program.connect("viewer");
    send_set_up(&mut stream, 1, "paid", 50_000, "paid");
    edge.wait_for_set_up(1);
    assert_eq!(vars(&program)["open_requests"], 1);
    drop(stream);
    edge.released(amberspindle::api::SessionId(1), 1);
    let reported = vars(&program);
    assert_eq!(reported["open_requests"], 0);
    assert_eq!(reported["operations.paid.relayed"], 1);
    let outcomes = ["fulfilled", "throttled", "faulted"].map(|o| reported[&format!("operations.paid.{o}")]);
    assert_eq!(outcomes, [0, 0, 0]);
}
