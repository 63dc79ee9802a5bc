use super::*;
use crate::api::{Rung, Text};

const MEMORY_BYTES: usize = 64 * 1024;

fn waiting(id: u64) -> WaitingRequest {
    let request = Request::new(SessionId(id), Text::from("sofa"), Micros(5_000_000), 3, 4);
    WaitingRequest { request, offer: b"offer"[..].into() }
}

fn facts() -> RequestFacts {
    RequestFacts {
        class: String::new(),
        tenant: String::new(),
        title: Text::from("sofa"),
        viewer: Text::from(""),
        top: Rung(4),
        is_returning: false,
    }
}

fn queue() -> HookQueue {
    let mut queue = HookQueue::new(MEMORY_BYTES);
    queue.script_loaded(Micros(0));
    queue
}

/// Asks about a request; returns the number of the call if the request waits.
fn ask(queue: &mut HookQueue, now: u64, id: u64) -> Option<CallNumber> {
    match queue.ask(Micros(now), waiting(id), facts()) {
        Admission::Waits => queue.take_calls().pop().map(|(number, _)| number),
        Admission::GoesOn(_) => None,
    }
}

fn ids(requests: Vec<WaitingRequest>) -> Vec<u64> {
    requests.into_iter().map(|waiting| waiting.request.id.0).collect()
}

const PASS: Reply = Ok(Some(Decision::Pass(Rung(4))));

/// Guards against a script that stands still and holds requests: they go on, and later ones do not wait for it.
#[test]
fn requests_go_on_without_a_late_script_until_it_answers_again() {
    let mut queue = queue();
    let first = ask(&mut queue, 0, 1).unwrap();
    assert_eq!(queue.next_due(), Some(MAX_WAIT));
    assert!(queue.expire(Micros(MAX_WAIT.0 - 1)).unwrap().is_empty());
    assert_eq!(ids(queue.expire(MAX_WAIT).unwrap()), [1]);
    assert_eq!(ask(&mut queue, MAX_WAIT.0, 2), None);
    assert_eq!(queue.stats().skipped_requests, 2);
    assert!(queue.replied(MAX_WAIT, first, PASS).unwrap().is_none(), "the request went on");
    assert!(ask(&mut queue, MAX_WAIT.0, 3).is_some());
}

#[test]
fn a_script_that_never_answers_is_given_up() {
    let mut queue = queue();
    ask(&mut queue, 0, 1).unwrap();
    assert_eq!(ids(queue.expire(MAX_WAIT).unwrap()), [1]);
    assert_eq!(queue.next_due(), Some(MAX_SILENCE));
    assert!(queue.expire(MAX_SILENCE).is_err());
    assert!(queue.turn_off().is_empty());
    assert_eq!((queue.is_on(), queue.stats().failures, queue.next_due()), (false, 1, None));
}

/// Guards against a request that is decided twice, or after its client has left and asked again under the same id.
#[test]
fn a_reply_decides_only_the_request_that_it_was_asked_about() {
    let mut queue = queue();
    let first = ask(&mut queue, 0, 1).unwrap();
    assert!(queue.withdraw(SessionId(1)) && !queue.withdraw(SessionId(1)));
    let second = ask(&mut queue, 0, 1).unwrap();
    assert!(queue.replied(Micros(1), first, PASS).unwrap().is_none());
    assert!(queue.contains(SessionId(1)));
    let (decided, decision) = queue.replied(Micros(1), second, PASS).unwrap().unwrap();
    assert_eq!((decided.request.id, decision), (SessionId(1), Decision::Pass(Rung(4))));
    assert!(queue.replied(Micros(1), second, PASS).unwrap().is_none());
    assert_eq!((queue.waiting(), queue.next_due()), (0, None));
}

/// Guards against waiting requests without a bound: beyond the memory or the number of calls, they do not wait.
#[test]
fn waiting_requests_and_calls_are_bounded() {
    let mut queue = queue();
    let count = (0..10_000).filter(|id| ask(&mut queue, 0, *id).is_some()).count();
    assert!(count > 50 && count * waiting(0).bytes() <= MEMORY_BYTES, "{count}");
    assert_eq!(queue.stats().skipped_requests, 10_000 - count as u64);
    assert_eq!(queue.release_all().len(), count);
    (0..10_000).for_each(|id| queue.report_outcome(Micros(0), SessionId(id), "plays"));
    assert_eq!(queue.pending.len(), MAX_CALLS);
    assert_eq!(queue.stats().dropped_outcomes, 10_000 - (MAX_CALLS - count) as u64);
}

/// Guards against requests that are lost when a script is replaced, and against replies of the one before.
#[test]
fn a_new_script_is_asked_about_what_waited_for_the_one_before() {
    let mut queue = queue();
    let old = ask(&mut queue, 0, 1).unwrap();
    let waiting = queue.script_loaded(Micros(10));
    assert_eq!(ids(waiting), [1]);
    let new = ask(&mut queue, 10, 1).unwrap();
    assert!(queue.replied(Micros(11), old, Err(HookError("old".to_owned()))).unwrap().is_none());
    assert!(queue.replied(Micros(11), new, PASS).unwrap().is_some());
}
