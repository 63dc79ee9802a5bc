//! An operator's script that loops or eats memory: requests keep their answers, and the process its memory.

mod support;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;
use support::crossing::*;
use support::*;

const DEADLINE_MS: f64 = 4000.0;
const MEMORY_MB: u64 = 96;
/// Functions of scripts that do not end.
const LOOP_OVER_LIST: &str = "fn misbehave() { let l = []; for n in 0..3500 { l.push(\"clip-\" + n); } \
    while l.len() > 0 { l = l.filter(|t| t != \"bad\"); } }";
const EAT_MEMORY: &str = "fn misbehave() { let t = \"x\"; t.pad(60000, \"x\"); let m = #{}; let n = 0; \
    loop { m[`k${n % 4000}`] = t + n; n += 1; } }";
/// Misbehaves at requests for the title `bad`.
const AT_BAD_TITLE: &str = "fn on_request(r) { if r.title == \"bad\" { misbehave(); } }";
const AT_EACH_OUTCOME: &str = "fn on_outcome(o) { misbehave(); }";

fn start(edge: &Edge, script: &str) -> Program {
    let mut settings = settings(DEADLINE_MS);
    settings["FamilyInfo"]["RackKb"] = json!(1_000_000.0);
    let settings = toml::to_string(&json!({"settings": settings})).unwrap();
    let text = format!(
        "console = \"127.0.0.1:0\"\n[limits]\nmemory_mb = {MEMORY_MB}\n[platform]\nlisten = \"127.0.0.1:0\"\n\
         [hook]\nscript = \"hook.rhai\"\n[[server]]\nid = \"s-0\"\naddress = \"{}\"\ncell = 0\n{settings}",
        edge.address
    );
    let files = tempdir::Dir::new();
    files.write("hook.rhai", script);
    let path = files.write("operator.toml", &text);
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").arg("--config").arg(path);
    Program::start(command, files, &["viewer", "console"])
}

/// Requests a session of a title and returns the type of the answer, and how long it took.
fn request(client: &mut TcpStream, id: u64, title: &str) -> (String, Duration) {
    let began = Instant::now();
    send_set_up_of(client, id, title);
    let answer = final_answer(client, id).unwrap();
    (answer["type"].as_str().unwrap().to_owned(), began.elapsed())
}

fn send_set_up_of(client: &mut TcpStream, id: u64, title: &str) {
    use std::io::Write;
    let set_up = json!({"type": "setup", "id": format!("{id:016x}"), "sdp": format!("offer-{id}"), "fields":
        {"class": "clip", "left": DEADLINE_MS, "key": title, "extras": "home:0;copies:3;top:1"}});
    client.write_all(format!("{set_up}\n").as_bytes()).unwrap();
}

fn allocated_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

/// Guards against a script that runs on the thread that serves: a loop over a list once held the whole broker for 16 s,
/// and a map of texts took it over its memory, from either of the script's functions.
#[test]
fn a_script_that_loops_or_eats_memory_costs_no_request_its_answer() {
    for function in [AT_BAD_TITLE, AT_EACH_OUTCOME] {
        for body in [LOOP_OVER_LIST, EAT_MEMORY] {
            let edge = Edge::start(EdgeBehaviour::Answers);
            let program = start(&edge, &format!("{function}\n{body}"));
            let (mut bad, mut usual) = (program.connect("viewer"), program.connect("viewer"));
            send_set_up_of(&mut bad, 1, "bad");
            for id in 2..=20 {
                let (answer, took) = request(&mut usual, id, "good");
                assert_eq!(answer, "answer");
                assert!(took < Duration::from_secs(1), "{took:?} {function} {body}");
            }
            assert_eq!(final_answer(&mut bad, 1).unwrap()["type"], "answer");
            program.wait_for_log("hook off reason=a call takes too");
            assert!(allocated_mb(&program) < MEMORY_MB / 2, "{} MB", allocated_mb(&program));
            let figures = program.call("vars\n");
            assert!(figures.contains("broker.hook_on=0\n"), "{figures}");
            assert!(figures.contains("broker.hook_failures=1\n"), "{figures}");
        }
    }
}

/// Guards against a script that is replaced while requests wait for it, and against one that stays off after SIGHUP.
#[test]
fn a_script_is_replaced_under_requests_that_wait_for_it() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start(&edge, &format!("{AT_BAD_TITLE}\n{LOOP_OVER_LIST}"));
    let mut client = program.connect("viewer");
    for round in 0..5 {
        send_set_up_of(&mut client, 10 * round + 1, "bad");
        let refuse = "fn on_request(r) { if r.title == \"shut\" { #{refuse: true, wait_ms: 10} } }";
        program.files.write("hook.rhai", refuse);
        program.hang_up();
        program.wait_for_nth_log("reloaded", 2 * round as usize);
        assert_eq!(final_answer(&mut client, 10 * round + 1).unwrap()["type"], "answer");
        assert_eq!(request(&mut client, 10 * round + 2, "shut").0, "release");
        assert_eq!(request(&mut client, 10 * round + 3, "open").0, "answer");
        let loops = format!("{AT_BAD_TITLE}\n{LOOP_OVER_LIST}");
        program.files.write("hook.rhai", &loops);
        program.hang_up();
        program.wait_for_nth_log("reloaded", 2 * round as usize + 1);
    }
    program.files.write("hook.rhai", "fn on_request(");
    program.hang_up();
    program.wait_for_log("reload refused problem=hook.script: can't be read");
    assert_eq!(request(&mut client, 100, "open").0, "answer");
}

/// Guards against a request that is answered after its client has left, or twice, as it waited for the script.
#[test]
fn a_request_that_is_withdrawn_while_it_waits_is_not_set_up() {
    use std::io::Write;
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = start(&edge, &format!("{AT_BAD_TITLE}\n{LOOP_OVER_LIST}"));
    let mut client = program.connect("viewer");
    send_set_up_of(&mut client, 1, "bad");
    let release = json!({"type": "release", "id": format!("{:016x}", 1), "fields": {}, "cause": 16});
    client.write_all(format!("{release}\n").as_bytes()).unwrap();
    assert_eq!(request(&mut client, 2, "good").0, "answer");
    program.wait_for_log("hook off");
    assert!(!edge.ran().iter().any(|offer| offer == "offer-1"), "{:?}", edge.ran());
    assert!(program.call("vars\n").contains("broker.open_requests=1\n"));
}
