use super::*;

const SECOND: u64 = 1_000_000;

#[test]
fn drain_fails_health_checks_at_once_and_closes_connections_after_the_reroute_time() {
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
    assert!(!closes(10 * SECOND + 399_000, 0, true), "the load balancer may still send new connections");
    assert!(
        closes(10 * SECOND + 400_000, 0, true) && !closes(10 * SECOND + 400_000, 10 * SECOND + 300_000, true)
    );
    assert!(!closes(10 * SECOND + 400_000, 10 * SECOND, false) && closes(11 * SECOND, 10 * SECOND, false));
}

/// Guards against the end of a drain that revokes a shutdown, and against drains in quick succession.
#[test]
fn ending_a_drain_does_not_revoke_a_shutdown() {
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

/// Guards against a process that reports ready although it knows no server, and against one that never does.
#[test]
fn not_ready_until_a_server_list_arrives_or_eight_seconds_have_passed() {
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
