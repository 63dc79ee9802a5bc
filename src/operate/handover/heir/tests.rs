use super::*;

const MAX_EARLY_ENDS: usize = 4096;

fn connected() -> (Successor, Vec<Action>) {
    let (mut successor, mut out) = (Successor::new(Micros(1), 7, MAX_EARLY_ENDS), Vec::new());
    successor.connected(&mut out);
    assert_eq!(out, [Action::Send(Message::TakeOver { version: VERSION, started: 7 })]);
    (successor, Vec::new())
}

#[test]
fn alone_it_serves_at_once_and_else_when_the_old_one_has_yielded() {
    let mut out = Vec::new();
    Successor::new(Micros(1), 7, MAX_EARLY_ENDS).no_predecessor(&mut out);
    assert_eq!(out, [Action::TakeWarmUpTurns, Action::Listen, Action::Serve]);
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Yielded, &mut out);
    successor.connection_ended(&mut out);
    successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(out, [Action::TakeWarmUpTurns, Action::Listen, Action::Serve], "once each, the turns first");
}

/// Guards against two processes that pace a cold server as if each were alone: one that hears nothing serves,
/// but takes no turn until the old one yields or is gone, however long that takes.
#[test]
fn beside_an_old_one_that_says_nothing_it_serves_without_turns() {
    for message in [Message::Other, Message::Unknown] {
        let (mut successor, mut out) = connected();
        successor.handle_message(message, &mut out);
        successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
        assert_eq!(out, [Action::Serve, Action::Listen]);
        out.clear();
        successor.tick(Micros(3_600_000_000), &mut out);
        assert_eq!(out, []);
        successor.connection_ended(&mut out);
        assert_eq!(out, [Action::TakeWarmUpTurns]);
    }
}

/// Seen with three versions within a second: the third asked the first, which gave way to the second already, and
/// served beside the second for good.
#[test]
fn one_that_meets_a_process_that_gives_way_to_another_asks_that_other() {
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Busy, &mut out);
    assert_eq!(out, [Action::Reconnect]);
    out.clear();
    successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(out, [Action::Serve], "it would meet itself");
    out.clear();
    successor.connected(&mut out);
    successor.handle_message(Message::Yielded, &mut out);
    assert_eq!(out[1..], [Action::TakeWarmUpTurns, Action::Listen]);
    let (mut successor, mut out) = connected();
    successor.connection_ended(&mut out);
    assert_eq!(out, [Action::Reconnect], "another may be there");
}

#[test]
fn one_that_meets_a_newer_one_leaves_unless_it_has_taken_anything() {
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Newer, &mut out);
    assert_eq!(out, [Action::Exit]);
    let (mut successor, mut out) = connected();
    successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    out.clear();
    successor.handle_message(Message::Newer, &mut out);
    assert_eq!(out, []);
}

#[test]
fn a_session_that_was_left_before_it_was_passed_is_ended() {
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Yielded, &mut out);
    out.clear();
    successor.client_left(Micros(2), 7, &mut out);
    let passed = |id| SessionTransfer { id, ..SessionTransfer::default() };
    successor.handle_message(Message::Session(passed(7)), &mut out);
    successor.handle_message(Message::Session(passed(8)), &mut out);
    let want = [
        Action::Send(Message::Left { id: 7 }),
        Action::AdoptEndedSession(passed(7)),
        Action::AdoptSession(passed(8)),
    ];
    assert_eq!(out, want);
    (0..10_000).for_each(|n| successor.client_left(Micros(3), n, &mut Vec::new()));
    assert!(successor.early_ends.len() <= MAX_EARLY_ENDS);
}

#[test]
fn as_many_ends_are_remembered_as_sessions_may_be_held() {
    const SESSIONS: usize = 49_152;
    let mut successor = Successor::new(Micros(1), 7, SESSIONS);
    successor.connected(&mut Vec::new());
    successor.handle_message(Message::Yielded, &mut Vec::new());
    (0..SESSIONS as u64).for_each(|id| successor.client_left(Micros(3), id, &mut Vec::new()));
    let mut out = Vec::new();
    let last = SessionTransfer { id: SESSIONS as u64 - 1, ..SessionTransfer::default() };
    successor.handle_message(Message::Session(last.clone()), &mut out);
    assert_eq!(out, [Action::AdoptEndedSession(last)]);
}
