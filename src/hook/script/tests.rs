use std::time::{Duration, Instant};

use super::*;
use crate::api::Text;

const OPERATIONS: u64 = 10_000;
const PROCESS_MEMORY_BYTES: usize = 64 * 1024 * 1024;

fn limits() -> CallLimits {
    CallLimits::new(OPERATIONS, PROCESS_MEMORY_BYTES)
}

fn request() -> Call {
    Call::Request(RequestFacts {
        class: "clip".to_owned(),
        tenant: "home".to_owned(),
        title: Text::from("sofa"),
        viewer: Text::from(""),
        top: Rung(4),
        is_returning: false,
    })
}

fn ask(text: &str) -> Reply {
    Script::new(text, limits())?.call(&request())
}

#[test]
fn a_script_may_refuse_or_lower_the_top_and_no_more() {
    let pass = |rung| Ok(Some(Decision::Pass(Rung(rung))));
    assert_eq!(ask("fn on_request(r) { }"), pass(4));
    assert_eq!(ask("fn on_request(r) { #{top: 2} }"), pass(2));
    assert_eq!(ask("fn on_request(r) { #{top: 9} }"), pass(4));
    assert_eq!(ask("fn on_outcome(o) { }"), pass(4));
    let refuse = "fn on_request(r) { if r.title == \"sofa\" { #{refuse: true, wait_ms: 250} } }";
    assert_eq!(ask(refuse), Ok(Some(Decision::Refuse(Micros(250_000)))));
}

#[test]
fn a_script_that_fails_gives_an_error() {
    for text in [
        "fn on_request(r) { loop { } }",
        "fn on_request(r) { r.none.of_these }",
        "fn on_request(r) { 7 }",
        "fn on_request(r) { #{top: -1} }",
        "fn on_request(r) { eval(\"1\") }",
    ] {
        let Ok(script) = Script::new(text, limits()) else { continue };
        assert!(script.call(&request()).is_err(), "{text}");
    }
}

#[test]
fn scripts_without_a_hook_or_with_imports_are_turned_away() {
    assert!(Script::new("let x = 1;", limits()).is_err());
    assert!(Script::new("import \"files\" as f; fn on_request(r) { }", limits()).is_err());
    assert!(Script::new("fn on_request(", limits()).is_err());
    let long = format!("fn on_request(r) {{ }} // {}", "x".repeat(MAX_SCRIPT_BYTES));
    assert!(Script::new(&long, limits()).is_err());
}

/// Guards against a call that only counts operations: a built-in function over a list is one operation, however long it
/// takes and whatever it calls back.
#[test]
fn a_call_that_loops_over_a_list_ends_within_its_time() {
    let over_list = |step: &str| {
        format!(
            "fn on_request(r) {{ let l = []; for n in 0..2000 {{ l.push(`t-${{n}}`); }} \
             while l.len() > 0 {{ {step} }} }}"
        )
    };
    let time = Duration::from_millis(20);
    let limits = CallLimits { operations: 1_000_000, time, memory_bytes: usize::MAX };
    for text in [
        over_list("l = l.filter(|t| t != r.title);"),
        over_list("l = l.map(|t| t);"),
        over_list("l.sort(|a, b| 0);"),
        over_list("l.index_of(r.title);"),
    ] {
        let script = Script::new(&text, limits).unwrap();
        let began = Instant::now();
        assert_eq!(script.call(&request()), Err(HookError("a call takes too long".to_owned())), "{text}");
        assert!(began.elapsed() < Duration::from_secs(5), "{:?} {text}", began.elapsed());
    }
}

/// Guards against one operation whose result is larger than all of its arguments together.
#[test]
fn texts_are_checked_before_they_are_made() {
    let text =
        "let t = \"x\"; t.pad(60000, \"x\"); let l = []; for n in 0..100 { l.push(t); } let m = #{a: l};";
    for body in [
        "t.replace(\"x\", t);",
        "t.replace('x', t);",
        "let s = l.to_string();",
        "let s = `${l}`;",
        "print(l);",
        "let s = m.to_debug();",
        "let s = m.to_json();",
    ] {
        let reply = ask(&format!("fn on_request(r) {{ {text} {body} }}"));
        assert!(matches!(&reply, Err(error) if error.0.contains("too large")), "{reply:?}: {body}");
    }
    let small = "fn on_request(r) { let t = \"aXbX\"; t.replace(\"X\", \"-\"); t.replace('-', '+'); \
                 if `${[1, \"a\"]}${#{k: t}}` != \"[1, \\\"a\\\"]#{\\\"k\\\": \\\"a+b+\\\"}\" { throw \"text\" } }";
    assert_eq!(ask(small), Ok(Some(Decision::Pass(Rung(4)))));
}
