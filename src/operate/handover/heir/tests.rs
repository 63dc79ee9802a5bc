use super::*;

const MOST_LEFT: usize = 4096;

fn linked() -> (Successor, Vec<Action>) {
    let (mut heir, mut out) = (Successor::new(Micros(1), 7, MOST_LEFT), Vec::new());
    heir.linked(&mut out);
    assert_eq!(out, [Action::Say(Message::TakeOver { version: VERSION, started: 7 })]);
    (heir, Vec::new())
}

#[test]
fn alone_it_serves_at_once_and_else_when_the_old_one_has_yielded() {
    let mut out = Vec::new();
    Successor::new(Micros(1), 7, MOST_LEFT).alone(&mut out);
    assert_eq!(out, [Action::TakeTurns, Action::Meet, Action::Serve]);
    let (mut heir, mut out) = linked();
    heir.heard(Message::Yielded, &mut out);
    heir.ended(&mut out);
    heir.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(out, [Action::TakeTurns, Action::Meet, Action::Serve], "once each, the turns first");
}

/// Guards against two processes that pace a cold server as if each were alone: one that hears nothing serves,
/// but takes no turn until the old one yields or is gone, however long that takes.
#[test]
fn beside_an_old_one_that_says_nothing_it_serves_without_turns() {
    for silent in [Message::Other, Message::Unknown] {
        let (mut heir, mut out) = linked();
        heir.heard(silent, &mut out);
        heir.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
        assert_eq!(out, [Action::Serve, Action::Meet]);
        out.clear();
        heir.tick(Micros(3_600_000_000), &mut out);
        assert_eq!(out, []);
        heir.ended(&mut out);
        assert_eq!(out, [Action::TakeTurns]);
    }
}

/// Seen with three versions within a second: the third asked the first, which gave way to the second already, and
/// served beside the second for good.
#[test]
fn one_that_meets_a_process_that_gives_way_to_another_asks_that_other() {
    let (mut heir, mut out) = linked();
    heir.heard(Message::Busy, &mut out);
    assert_eq!(out, [Action::AskAgain]);
    out.clear();
    heir.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(out, [Action::Serve], "it would meet itself");
    out.clear();
    heir.linked(&mut out);
    heir.heard(Message::Yielded, &mut out);
    assert_eq!(out[1..], [Action::TakeTurns, Action::Meet]);
    let (mut heir, mut out) = linked();
    heir.ended(&mut out);
    assert_eq!(out, [Action::AskAgain], "another may be there");
}

#[test]
fn one_that_meets_a_newer_one_leaves_unless_it_has_taken_anything() {
    let (mut heir, mut out) = linked();
    heir.heard(Message::Newer, &mut out);
    assert_eq!(out, [Action::Leave]);
    let (mut heir, mut out) = linked();
    heir.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    out.clear();
    heir.heard(Message::Newer, &mut out);
    assert_eq!(out, []);
}

#[test]
fn a_session_that_was_left_before_it_was_passed_is_ended() {
    let (mut heir, mut out) = linked();
    heir.heard(Message::Yielded, &mut out);
    out.clear();
    heir.left(Micros(2), 7, &mut out);
    let passed = |id| SessionTransfer { id, ..SessionTransfer::default() };
    heir.heard(Message::Session(passed(7)), &mut out);
    heir.heard(Message::Session(passed(8)), &mut out);
    let want = [Action::Say(Message::Left { id: 7 }), Action::TakeEnded(passed(7)), Action::Take(passed(8))];
    assert_eq!(out, want);
    (0..10_000).for_each(|n| heir.left(Micros(3), n, &mut Vec::new()));
    assert!(heir.left.len() <= MOST_LEFT);
}

#[test]
fn as_many_ends_are_remembered_as_sessions_may_be_held() {
    const SESSIONS: usize = 49_152;
    let mut heir = Successor::new(Micros(1), 7, SESSIONS);
    heir.linked(&mut Vec::new());
    heir.heard(Message::Yielded, &mut Vec::new());
    (0..SESSIONS as u64).for_each(|id| heir.left(Micros(3), id, &mut Vec::new()));
    let mut out = Vec::new();
    let last = SessionTransfer { id: SESSIONS as u64 - 1, ..SessionTransfer::default() };
    heir.heard(Message::Session(last.clone()), &mut out);
    assert_eq!(out, [Action::TakeEnded(last)]);
}
