use super::*;

const MAX_EARLY_ENDS: usize = 4096;

fn connected() -> (Successor, Vec<Action>) {
    let (mut successor, mut out) = (Successor::new(Micros(1), 7, MAX_EARLY_ENDS), Vec::new());
    successor.connected(&mut out);
    assert_eq!(out, [Action::Send(Message::TakeOver { version: VERSION, started: 7 })]);
    (successor, Vec::new())
}

#[test]
fn serves_at_once_without_a_predecessor_and_otherwise_after_it_has_yielded() {
    let mut out = Vec::new();
    Successor::new(Micros(1), 7, MAX_EARLY_ENDS).no_predecessor(&mut out);
    assert_eq!(out, [Action::TakeWarmUpTurns, Action::Listen, Action::Serve]);
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Yielded, &mut out);
    successor.connection_ended(&mut out);
    successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(
        out,
        [Action::TakeWarmUpTurns, Action::Listen, Action::Serve],
        "each action once, warm-up turns first"
    );
}

/// Guards against two processes that each warm up a cold server as if they were alone: without an answer the
/// successor serves, but takes no warm-up turn until the predecessor yields or is gone, however long that takes.
#[test]
fn serves_without_warm_up_turns_beside_a_predecessor_that_does_not_yield() {
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

/// Guards against two processes that serve side by side for good. When three versions started within a second, the
/// third asked the first, which had already yielded to the second, and then served beside the second.
#[test]
fn reconnects_when_the_predecessor_yields_to_another_process() {
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Busy, &mut out);
    assert_eq!(out, [Action::Reconnect]);
    out.clear();
    successor.tick(Micros(1) + PREDECESSOR_TIMEOUT, &mut out);
    assert_eq!(out, [Action::Serve], "it would connect to itself");
    out.clear();
    successor.connected(&mut out);
    successor.handle_message(Message::Yielded, &mut out);
    assert_eq!(out[1..], [Action::TakeWarmUpTurns, Action::Listen]);
    let (mut successor, mut out) = connected();
    successor.connection_ended(&mut out);
    assert_eq!(out, [Action::Reconnect], "another process may listen by now");
}

#[test]
fn exits_when_a_newer_process_serves_unless_it_serves_itself() {
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
fn ends_a_session_whose_client_left_before_the_hand_over() {
    let (mut successor, mut out) = connected();
    successor.handle_message(Message::Yielded, &mut out);
    out.clear();
    successor.client_left(Micros(2), 7, &mut out);
    let session = |id| SessionTransfer { id, ..SessionTransfer::default() };
    successor.handle_message(Message::Session(session(7)), &mut out);
    successor.handle_message(Message::Session(session(8)), &mut out);
    let expected = [
        Action::Send(Message::Left { id: 7 }),
        Action::AdoptEndedSession(session(7)),
        Action::AdoptSession(session(8)),
    ];
    assert_eq!(out, expected);
    (0..10_000).for_each(|n| successor.client_left(Micros(3), n, &mut Vec::new()));
    assert!(successor.early_ends.len() <= MAX_EARLY_ENDS);
}

#[test]
fn remembers_as_many_early_ends_as_sessions_may_be_held() {
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
