//! The memory of one call of an operator's script, in a process that counts what it allocates. There is one test only, as
//! the allocations of others would count too.

use std::alloc::System;
use std::time::Duration;

use amberspindle::api::{Rung, Text};
use amberspindle::hook::{Call, CallLimits, RequestFacts, Script};
use amberspindle::memory;
use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const MEMORY_BYTES: usize = 8 * 1024 * 1024;
/// What one operation may add before the memory is checked.
const OPERATION_BYTES: usize = 1024 * 1024;

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

/// Guards against a call whose values are small one by one: texts in a map once took more memory than the process may.
#[test]
fn a_call_that_eats_memory_ends_within_its_memory() {
    let time = Duration::from_secs(60);
    memory::set_counter(|| ALLOCATOR.allocated());
    let limits = CallLimits { operations: 1_000_000, time, memory_bytes: MEMORY_BYTES };
    let text = "let t = \"x\"; t.pad(60000, \"x\");";
    for body in [
        "let m = #{}; for n in 0..4000 { m[`k${n}`] = t + n; }",
        "let l = []; for n in 0..4000 { l.push(t + n); }",
        "let l = []; for n in 0..4000 { l += [t + n]; }",
        "let l = []; loop { let i = []; i.pad(4000, 7); l.push(i); }",
    ] {
        let script = Script::new(&format!("fn on_request(r) {{ {text} {body} }}"), limits).unwrap();
        let before = ALLOCATOR.allocated();
        let error = script.call(&request()).unwrap_err();
        let is_expected = error.0.contains("too much memory") || error.0.contains("too large");
        assert!(is_expected, "{error}: {body}");
        let most = ALLOCATOR.max_allocated() - before;
        assert!(most <= MEMORY_BYTES + OPERATION_BYTES, "{most} bytes: {body}");
    }
}
