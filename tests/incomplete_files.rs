//! New configurations at SIGHUP that lack a key of the one in force: nothing of them is applied, so that no file
//! switches anything off without a word.

mod support;

use std::process::Command;

use serde_json::{Value, json};
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

/// Writes a file, sends SIGHUP, and waits until it is refused because of a missing key.
fn reload_is_refused(program: &Program, file: &str, text: &str, key: &str) {
    program.files.write(file, text);
    program.hang_up();
    program.wait_for_log(&format!("reload refused problem={key}: missing"));
}

/// Guards against a file that switches the notice board off: without the key `board` a broker followed no board any
/// more, and new sessions went to servers that drained.
#[test]
fn a_file_without_a_key_changes_nothing_and_drains_are_still_heard() {
    let board = NoticeBoard::start();
    let (draining, ready) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers));
    let servers = [("s-0", draining.address, 0, "in_service"), ("s-1", ready.address, 1, "in_service")];
    let options = json!({"console": "127.0.0.1:0", "board": board.address.to_string(),
        "limits": {"sockets": 256, "memory_mb": 48},
        "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS),
        "known": known_from_event(&event(1, true, &servers))});
    let edges = [&draining, &ready];
    let program =
        Program::platform_with_config(&edges, UNREACHED_DEADLINE_MS, &options, &["viewer", "console"]);
    board.wait_for_request(1);
    let mut file = config(&edges, UNREACHED_DEADLINE_MS);
    file.as_object_mut().unwrap().extend(options.as_object().unwrap().clone());
    for key in ["board", "console", "known", "seed", "limits"] {
        let mut incomplete = file.clone();
        incomplete.as_object_mut().unwrap().remove(key);
        reload_is_refused(&program, "config.json", &incomplete.to_string(), key);
    }
    let figures = program.call("vars\n");
    assert!(figures.contains("broker.cfg_accepted=0\nbroker.cfg_invalid=5\n"), "{figures}");
    board.tell(&event(2, false, &[("s-0", draining.address, 0, "terminating")]));
    program.settle();
    let mut viewer = program.connect("viewer");
    for id in 1..=4 {
        send_set_up(&mut viewer, id, "clip", 4000, "after");
        assert_eq!(final_answer(&mut viewer, id).unwrap()["type"], "answer");
    }
    assert_eq!((draining.ran().len(), ready.ran().len()), (0, 4));
}

/// Guards against a wrong type that is taken for the default: a class with `Effect: 5` became one whose set-up may be
/// repeated.
#[test]
fn a_value_of_the_wrong_type_is_refused() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform_with_config(
        &[&edge],
        UNREACHED_DEADLINE_MS,
        &json!({"console": "127.0.0.1:0"}),
        &["viewer", "console"],
    );
    let mut file = config(&[&edge], UNREACHED_DEADLINE_MS);
    file["console"] = json!("127.0.0.1:0");
    for (path, value, problem) in [
        ("/settings/RequestClasses/1/Effect", json!(5), "settings.RequestClasses[1].Effect: not text"),
        ("/settings/Limits/Keepalive", json!("long"), "settings.Limits.Keepalive: not a number"),
        ("/settings/Limits/ConnectTimeout", json!("short"), "settings.Limits.ConnectTimeout: not a number"),
    ] {
        let mut wrong = file.clone();
        *pointer(&mut wrong, path) = value;
        program.files.write("config.json", &wrong.to_string());
        program.hang_up();
        program.wait_for_log(&format!("reload refused problem={problem}"));
    }
}

/// Returns the value at a path whose last key may be new.
fn pointer<'a>(file: &'a mut Value, path: &str) -> &'a mut Value {
    let (parent, key) = path.rsplit_once('/').unwrap();
    &mut file.pointer_mut(parent).unwrap()[key]
}

/// Guards against an operator's file that lost its list of servers: it was taken, and the broker had no server left.
#[test]
fn an_operators_file_without_a_key_changes_nothing() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let settings = toml::to_string(&json!({"settings": settings(UNREACHED_DEADLINE_MS)})).unwrap();
    let front = "[platform]\nlisten = \"127.0.0.1:0\"\n";
    let server =
        format!("[[server]]\nid = \"s-0\"\naddress = \"{}\"\ncell = 0\nweight = 2.0\n", edge.address);
    let whole = format!("{front}{server}{settings}");
    let files = tempdir::Dir::new();
    let path = files.write("operator.toml", &whole);
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").arg("--config").arg(path);
    let program = Program::start(command, files, &["viewer"]);
    reload_is_refused(&program, "operator.toml", &format!("{front}{settings}"), "server");
    let without_weight = whole.replace("weight = 2.0\n", "");
    reload_is_refused(&program, "operator.toml", &without_weight, "server[0].weight");
    let mut viewer = program.connect("viewer");
    send_set_up(&mut viewer, 1, "clip", 4000, "after");
    assert_eq!(final_answer(&mut viewer, 1).unwrap()["type"], "answer");
    program.files.write("operator.toml", &whole);
    program.hang_up();
    program.wait_for_log("reloaded");
}
