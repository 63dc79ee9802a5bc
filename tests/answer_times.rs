//! The module answers what waits before its deadline, on its own clock.

mod common;

use amberspindle::api::*;
use common::*;

/// Settings of a deployment whose turns are short and whose requests may be sent often.
fn short_turns() -> Settings {
    let mut s = settings();
    s.tick = ms(1);
    s.max_attempts = 8;
    s.classes[CLIP].idempotency = Idempotency::Unsafe;
    s
}

/// Turns away whatever was sent.
fn turn_away(front: &mut ModuleHarness, actions: &[Action]) -> Vec<Action> {
    let mut out = Vec::new();
    for action in actions {
        if let Action::Send { id, server, .. } = action {
            let (attempt, took, load) = (0, ms(1), Load::default());
            let (server, status) = (server.clone(), Status::Saturated);
            out.extend(front.tell(Event::Outcome {
                id: *id,
                attempt,
                server,
                status,
                took,
                closed: false,
                load,
            }));
        }
    }
    out
}

/// Plays one request of `left` ms whose servers are all full until it is answered; gives how long before its deadline
/// that is, and whether it was refused.
fn answered(left: u64) -> (Micros, bool) {
    let mut front = ModuleHarness::new(short_turns(), 3);
    let mut request = front.request(1, CLIP, "a");
    request.due = front.now + ms(left);
    let due = request.due;
    let mut out = front.tell(Event::Request(request));
    loop {
        let mut fresh = out.clone();
        while !sends(&fresh).is_empty() {
            fresh = turn_away(&mut front, &fresh);
            out.extend(fresh.iter().cloned());
        }
        if let Some(answer) = answers(&out, 1).first() {
            return (due - front.now, matches!(answer, Action::Refuse { .. }));
        }
        assert!(front.now < due, "left {left}: no answer in time");
        out = front.pass(ms(1));
    }
}

/// Answers that were tied to looks each 50 ms came as little as 7 ms before a deadline, or after it.
#[test]
fn requests_of_any_length_are_refused_in_time_though_servers_turn_them_away() {
    for left in (200..2_000).step_by(7) {
        let (before, refused) = answered(left);
        assert!(
            refused && before >= ms(left.min(200) / 4),
            "left {left}: {before:?} before, refused {refused}"
        );
    }
}

/// A look that comes late finds no time for another attempt, and answers.
#[test]
fn no_attempt_begins_where_its_answer_would_come_too_late() {
    let mut front = ModuleHarness::new(short_turns(), 0);
    front.ask(1, CLIP, "a");
    front.now = front.now + ms(3_980);
    front.list(vec![ServerEntry::new(server(0), ServerState::Ready, 0)]);
    let out = front.tell(Event::Timer(0));
    assert!(sends(&out).is_empty());
    assert!(matches!(answers(&out, 1)[..], [Action::Refuse { .. }]));
}

/// A front whose timers are handled late answers that much earlier.
#[test]
fn a_front_that_runs_late_leaves_more_time_for_its_answers() {
    let answered_at = |late: u64| {
        let mut front = ModuleHarness::new(short_turns(), 0);
        front.ask(1, CLIP, "a");
        let due = front.now + ms(4_000);
        while answers(&front.out, 1).is_empty() {
            front.now = front.now + ms(50 + late);
            front.tell(Event::Timer(0));
        }
        due - front.now
    };
    assert!(answered_at(0) >= ms(50));
    for late in [20, 100, 300] {
        assert!(answered_at(late) >= ms(50), "{late} ms late: {:?}", answered_at(late));
    }
}
