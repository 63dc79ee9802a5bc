use super::*;

const SECOND: u64 = 1_000_000;

#[test]
fn a_drain_says_no_at_once_and_lets_connections_go_once_the_front_sends_none() {
    let mut phase = Phase::default();
    assert!(
        phase.unready_reason(Micros(10 * SECOND)).is_none()
            && !phase.closes_connection(Micros(9 * SECOND), Micros(0), true)
    );
    assert!(phase.drain(Micros(10 * SECOND)) && !phase.drain(Micros(11 * SECOND)));
    assert_eq!(phase.unready_reason(Micros(10 * SECOND)), Some(Unready::Draining));
    let closes = |now: u64, last_used: u64, has_sent| {
        phase.closes_connection(Micros(now), Micros(last_used), has_sent)
    };
    assert!(!closes(10 * SECOND + 399_000, 0, true), "the front may still send");
    assert!(
        closes(10 * SECOND + 400_000, 0, true) && !closes(10 * SECOND + 400_000, 10 * SECOND + 300_000, true)
    );
    assert!(!closes(10 * SECOND + 400_000, 10 * SECOND, false) && closes(11 * SECOND, 10 * SECOND, false));
}

/// Guards against a drain's end that takes back an end of the process, and against quick turns.
#[test]
fn the_end_of_a_drain_takes_back_the_drain_and_nothing_else() {
    let mut phase = Phase::default();
    for n in 0..100 {
        assert!(phase.drain(Micros(n)) && phase.undrain() && !phase.undrain());
        assert!(
            phase.unready_reason(Micros(10 * SECOND)).is_none() && phase.closes_connections_from().is_none()
        );
    }
    phase.drain(Micros(SECOND));
    phase.begin_shutdown();
    assert!(phase.undrain());
    assert_eq!(phase.unready_reason(Micros(10 * SECOND)), Some(Unready::Ending));
}

/// Guards against a process that says it is ready though it knows no server, and against one that never says so.
#[test]
fn a_process_without_a_list_is_not_ready_until_one_comes_or_for_eight_seconds() {
    let mut phase = Phase::default();
    phase.await_server_list(Micros(SECOND));
    assert!(
        !phase.passes_health_check(Micros(9 * SECOND - 1)) && phase.passes_health_check(Micros(9 * SECOND))
    );
    assert_eq!(phase.unready_reason(Micros(2 * SECOND)), Some(Unready::NoServerList));
    phase.server_list_received();
    assert!(
        phase.passes_health_check(Micros(2 * SECOND)) && phase.unready_reason(Micros(2 * SECOND)).is_none()
    );
}
