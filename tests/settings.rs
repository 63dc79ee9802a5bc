//! New settings at SIGHUP, over sockets: what is taken, and what is turned down whole.

mod support;

use std::io::{BufRead, BufReader};
use std::net::TcpStream;

use serde_json::{Value, json};
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn figure(program: &Program, name: &str) -> u64 {
    let text = program.call("vars\n");
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("broker.{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().unwrap()
}

fn start(edge: &Edge) -> (Program, Value) {
    let program = Program::platform_with_config(
        &[edge],
        UNREACHED_DEADLINE_MS,
        &json!({"console": "127.0.0.1:0"}),
        &["viewer", "console"],
    );
    let mut file = config(&[edge], UNREACHED_DEADLINE_MS);
    file["console"] = json!("127.0.0.1:0");
    (program, file)
}

fn set_up(program: &Program, id: u64, class: &str) -> BufReader<TcpStream> {
    let mut stream = program.connect("viewer");
    send_set_up(&mut stream, id, class, 50_000, class);
    BufReader::new(stream)
}

fn answer(stream: &mut BufReader<TcpStream>) -> Value {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

/// Writes a file, asks for it to be read, and waits until it was taken or turned down the `n`th time, from 0.
fn reread(program: &Program, text: &str, n: usize, taken: bool) {
    program.files.write("config.json", text);
    program.hang_up();
    let mut have = 0;
    while have <= n {
        have = figure(program, if taken { "cfg_accepted" } else { "cfg_invalid" }) as usize;
    }
}

/// Guards against half of a file that is taken: each way of being broken changes nothing and counts once, also while
/// the broker drains.
#[test]
fn a_broken_file_is_taken_not_at_all() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let (program, file) = start(&edge);
    let with = |pointer: &str, value: Value| {
        let mut new = file.clone();
        // What it would bring if it were taken.
        new["settings"]["RequestClasses"][0]["Name"] = json!("other");
        *new.pointer_mut(pointer).unwrap() = value;
        new.to_string()
    };
    let whole = file.to_string();
    let broken = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        "[]".to_owned(),
        with("/settings", Value::Null),
        with("/settings/Limits", Value::Null),
        with("/settings/Tenants", Value::Null),
        with("/settings/RequestClasses/1/Effect", Value::Null),
        with("/settings/RequestClasses/1/Deadline", json!(0)),
        with("/settings/RequestClasses/1/Deadline", json!("soon")),
        with("/settings/RequestClasses/1/Deadline", json!(-5)),
        with("/settings/Limits/AttemptsCap", json!(0)),
        with("/settings/Limits/AttemptsCap", json!(-1)),
        with("/settings/Limits/AttemptsCap", json!("many")),
        with("/settings/RequestClasses/1/Name", json!("other")),
    ];
    assert_eq!(program.call("drain-on\n"), "SUCCESS draining\n");
    for (n, text) in broken.iter().enumerate() {
        reread(&program, text, n, false);
    }
    assert_eq!((figure(&program, "cfg_accepted"), figure(&program, "cfg_invalid")), (0, broken.len() as u64));
    assert_eq!(program.call("check\n"), "FAILURE draining\n");
    program.call("drain-off\n");
    assert_eq!(answer(&mut set_up(&program, 1, "paid"))["type"], "answer");
    assert_eq!(answer(&mut set_up(&program, 2, "other"))["cause"], 47);
}

#[test]
fn classes_come_change_and_go_under_requests_that_keep_theirs() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let (program, mut file) = start(&edge);
    // Under way as a class whose repeat does no harm; the class becomes paid meanwhile.
    let mut under_way = set_up(&program, 1, "clip");
    edge.wait_for_set_up(1);
    let classes = file["settings"]["RequestClasses"].as_array_mut().unwrap();
    classes[1]["Effect"] = json!("non_idempotent");
    classes.push(json!({"Name": "gold", "Slo": 30000, "Deadline": 60000, "Effect": "non_idempotent"}));
    reread(&program, &file.to_string(), 0, true);
    let mut gold = set_up(&program, 2, "gold");
    let mut strict = set_up(&program, 3, "clip");
    edge.wait_for_set_up(3);
    // All fail at the server. What may run twice is sent again under the effect it was taken with, the others not.
    edge.set_behaviour(EdgeBehaviour::Answers);
    for id in 1..=3 {
        edge.say(release(amberspindle::api::SessionId(id), 47));
    }
    assert_eq!(answer(&mut gold)["cause"], 47);
    assert_eq!(answer(&mut strict)["cause"], 47);
    assert_eq!(answer(&mut under_way)["type"], "answer");
    for (figure_of, n) in
        [("gold.faulted", 1), ("clip.faulted", 1), ("clip.fulfilled", 1), ("clip.relayed", 3)]
    {
        assert_eq!(figure(&program, &format!("operations.{figure_of}")), n, "{figure_of}");
    }
    // Fewer attempts: one, and no second one elsewhere.
    file["settings"]["Limits"]["AttemptsCap"] = json!(1);
    file["settings"]["RequestClasses"][1]["Effect"] = json!("read_like");
    file["settings"]["RequestClasses"].as_array_mut().unwrap().pop();
    reread(&program, &file.to_string(), 1, true);
    edge.set_behaviour(EdgeBehaviour::Fails);
    let before = edge.set_ups().len();
    assert_ne!(answer(&mut set_up(&program, 4, "clip"))["type"], "answer");
    assert_eq!(edge.set_ups().len(), before + 1);
    // The class that went is asked for in vain, at the latest after what was on its way has come.
    edge.set_behaviour(EdgeBehaviour::Answers);
    let mut id = 10;
    while answer(&mut set_up(&program, id, "gold"))["type"] == "answer" {
        id += 1;
    }
    assert_eq!(answer(&mut set_up(&program, id + 1, "paid"))["type"], "answer");
}
