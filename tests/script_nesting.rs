//! Scripts whose values nest, on a real broker: whatever they nest, each request gets its answer and the process goes on.

mod support;

use std::io::Write;
use std::time::Duration;

use amberspindle::api::{Rung, Text};
use amberspindle::hook::{Call, CallLimits, Decision, RequestFacts, Script};
use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
const VIEWERS: usize = 4;
const SMALL_STACK_BYTES: usize = 4 * 1024 * 1024;

/// A broker with a script whose `on_request` does `body` for the title `walk` only.
fn broker(edge: &Edge, body: &str) -> Program {
    let files = [("hook.rhai", script(body))];
    let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n[hook]\nscript = \"hook.rhai\"\noperations = 1000000\n\
         [limits]\nsockets = 256\nmemory_mb = 192\n"
        .to_owned();
    for title in ["walk", "guide"] {
        text += &format!("[[title]]\nname = \"{title}\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n");
    }
    text += &format!("[[server]]\nid = \"s-0\"\naddress = \"{}\"\ncell = 0\n", edge.address);
    let files: Vec<(&str, &str)> = files.iter().map(|(name, text)| (*name, text.as_str())).collect();
    Program::operator(&text, UNREACHED_DEADLINE_MS, &files, &["http"])
}

fn script(body: &str) -> String {
    format!(
        "fn nest() {{ {body} }}\nfn on_request(request) {{ if request.title == \"walk\" {{ nest(); }} }}\n"
    )
}

fn resident_mb(program: &Program) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

fn assert_hook_is_on(program: &Program) {
    let log = program.log.0.lock().unwrap();
    let off: Vec<&String> = log.iter().filter(|line| line.contains("hook off")).collect();
    assert!(off.is_empty(), "{off:?}");
}

/// Guards against a chain of closures that is dropped by recursion, longer than any call within its time makes it.
#[test]
fn a_long_chain_of_closures_is_dropped_on_a_small_stack() {
    let limits =
        CallLimits { operations: 10_000_000, time: Duration::from_secs(600), memory_bytes: usize::MAX };
    let call = move || {
        let script = Script::new(
            "fn on_request(r) { let f = 0; for n in 0..50000 { let g = [[[[f]]]]; f = || g; } }",
            limits,
        );
        script.unwrap().call(&Call::Request(RequestFacts {
            class: "clip".to_owned(),
            tenant: "home".to_owned(),
            title: Text::from("sofa"),
            viewer: Text::from(""),
            top: Rung(1),
            is_returning: false,
        }))
    };
    let thread = std::thread::Builder::new().stack_size(SMALL_STACK_BYTES).spawn(call).unwrap();
    assert_eq!(thread.join().unwrap(), Ok(Some(Decision::Pass(Rung(1)))));
}

/// Guards against a plug-in that ends the process: a chain of closures that captured one another was dropped, or walked, by
/// recursion and overflowed the stack (review/9).
#[test]
fn nested_values_of_a_script_cost_no_request_its_answer() {
    const CHAIN: &str = "let f = 0; for n in 0..1500 { let g = f; f = || g; }";
    const CYCLE: &str = "let f = 0; let g = || f; f = g;";
    let bodies = [
        "let f = 0; loop { let g = f; f = || g; }".to_owned(),
        "let f = 0; loop { let g = [[[[[[[f]]]]]]]; f = || g; }".to_owned(),
        "let f = 0; loop { let g = #{a: #{a: [[[[[[f]]]]]]}}; f = || g; }".to_owned(),
        "let l = #{}; loop { l = #{a: [l]}; }".to_owned(),
        format!("{CHAIN} switch f {{ 1 => 2, _ => 3 }}"),
        format!("{CHAIN} throw [f];"),
        format!("{CYCLE} throw #{{a: g}};"),
        format!("{CYCLE} switch g {{ 1 => 2, _ => 3 }}"),
        format!("{CYCLE} debug([g]); print(g); let t = `${{g}}`; #{{a: g}}.to_json();"),
    ];
    let edge = Edge::start(EdgeBehaviour::Answers);
    for body in bodies {
        let mut program = broker(&edge, &body);
        let ask_for = |title: &str| {
            let mut stream = program.connect("http");
            stream.write_all(&http("POST", &format!("/whep/{title}"), Some(OFFER))).unwrap();
            stream
        };
        let mut streams: Vec<_> = (0..VIEWERS).map(|_| ask_for("guide")).collect();
        streams.push(ask_for("walk"));
        for mut stream in streams {
            assert_eq!(reply(&mut stream).map(|reply| reply.status), Some(201), "{body}");
        }
        assert!(!program.has_ended(), "{body}");
    }
}

/// Guards against memory that is lost at each call: a closure that captures a variable which holds the closure keeps
/// itself, and all that the variable holds besides.
#[test]
fn closures_that_hold_themselves_are_freed_after_the_call() {
    let body = "let t = \"x\"; t.pad(60000, \"x\"); \
                for n in 0..40 { let text = t + n; let own = 0; let f = || own + text; own = f; }";
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = broker(&edge, body);
    for _ in 0..60 {
        assert_eq!(ask(&program, "POST", "/whep/walk", Some(OFFER)).status, 201);
    }
    assert!(resident_mb(&program) < 96, "{} MB", resident_mb(&program));
    assert_hook_is_on(&program);
}

/// What usual scripts do with closures still works: they read and change the variables around them.
#[test]
fn closures_share_the_variables_that_they_capture() {
    let body = "let sum = 0; [1, 2, 3].for_each(|| sum += this); if sum != 6 { throw `sum ${sum}` } \
                let sign = -1; let l = [3, 1, 2]; l.sort(|a, b| (a - b) * sign); if l != [3, 2, 1] { throw l } \
                let a = 1; let f = |x| { let g = |y| x + y + a; g.call(2) }; \
                if f.call(3) != 6 { throw f.call(3) }";
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = broker(&edge, body);
    assert_eq!(ask(&program, "POST", "/whep/walk", Some(OFFER)).status, 201);
    assert_eq!(ask(&program, "POST", "/whep/guide", Some(OFFER)).status, 201);
    assert_hook_is_on(&program);
}
