//! The figures of the second address against a count of their own: every answer that clients saw, every set-up that
//! servers saw.

mod support;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};

use serde_json::{Value, json};
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn vars(program: &Program) -> BTreeMap<String, u64> {
    let text = program.call("vars\n");
    let lines = text.strip_prefix("SUCCESS\n").and_then(|rest| rest.strip_suffix("EOT\n")).unwrap();
    let read = |line: &str| {
        let (name, figure) = line.split_once('=').unwrap();
        (name.strip_prefix("broker.").unwrap().to_owned(), figure.parse().unwrap())
    };
    lines.lines().map(read).collect()
}

/// Requests of a seeded run over servers that answer, are full and fail: each figure is what clients and
/// servers saw. Those that are withdrawn while nothing was answered count as none.
#[test]
fn every_request_counts_once_and_every_attempt_that_a_server_saw() {
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
    let mut seen: BTreeMap<String, u64> = BTreeMap::new();
    let mut stands = 0;
    let mut asked = Vec::new();
    for id in 1..=80_u64 {
        let class = if rng.bool() { "paid" } else { "clip" };
        // At the end all are full: those are refused.
        let manners = if id <= 60 {
            [EdgeBehaviour::Answers, EdgeBehaviour::Full, EdgeBehaviour::Fails]
        } else {
            [EdgeBehaviour::Full; 3]
        };
        edges[rng.usize(0..3)].set_behaviour(manners[rng.usize(0..3)]);
        if id == 61 {
            edges.iter().for_each(|edge| edge.set_behaviour(EdgeBehaviour::Full));
        }
        let mut stream = program.connect("viewer");
        // Some ask for longer than any class waits: they fail at the door.
        send_set_up(&mut stream, id, class, if rng.usize(0..10) == 0 { 90_000 } else { 3_900 }, class);
        asked.push((class, stream));
    }
    for (class, stream) in asked {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        let answer: Value = serde_json::from_str(&line).unwrap();
        let outcome = match (answer["type"].as_str().unwrap(), answer["cause"].as_u64()) {
            ("answer", _) => "fulfilled",
            (_, Some(34 | 42 | 102)) => "throttled",
            _ => "faulted",
        };
        stands += u64::from(outcome == "fulfilled");
        *seen.entry(format!("operations.{class}.{outcome}")).or_default() += 1;
    }
    for (_, class) in edges.iter().flat_map(Edge::set_ups) {
        *seen.entry(format!("operations.{class}.relayed")).or_default() += 1;
    }
    let told = vars(&program);
    for (name, figure) in &told {
        if name.starts_with("operations.") {
            assert_eq!(*figure, seen.get(name).copied().unwrap_or(0), "{name} of {told:?}, seen {seen:?}");
        }
    }
    assert!(seen.values().filter(|n| **n > 0).count() >= 6, "all outcomes came about: {seen:?}");
    assert_eq!(told["open_requests"], stands, "sessions that play have not ended");
}

#[test]
fn a_request_that_is_withdrawn_counts_as_none_and_its_attempt_counts() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let more = json!({"console": "127.0.0.1:0"});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    let mut stream = program.connect("viewer");
    send_set_up(&mut stream, 1, "paid", 50_000, "paid");
    edge.wait_for_set_up(1);
    assert_eq!(vars(&program)["open_requests"], 1);
    drop(stream);
    edge.released(amberspindle::api::SessionId(1), 1);
    let told = vars(&program);
    assert_eq!(told["open_requests"], 0);
    assert_eq!(told["operations.paid.relayed"], 1);
    let answered = ["fulfilled", "throttled", "faulted"].map(|o| told[&format!("operations.paid.{o}")]);
    assert_eq!(answered, [0, 0, 0]);
}
