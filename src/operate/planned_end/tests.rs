use super::*;

const START: Micros = Micros(1_000_000_000);
const MICROS_PER_MS: u64 = 1_000;

fn platform_kills(successor_serves: bool) -> KillPolicy {
    KillPolicy::Platform { successor_serves }
}

fn busy() -> RemainingWork {
    RemainingWork { unanswered: 3, playing: 2, connections: 4, ..RemainingWork::default() }
}

/// Returns the steps of the plan and their times in milliseconds from the start, while the remaining work stays
/// the same.
fn steps(mut plan: ShutdownPlan, remaining: RemainingWork) -> Vec<(u64, Step)> {
    let mut taken = Vec::new();
    for ms in 0..20_000 {
        while let Some(step) = plan.next_step(START + Micros(ms * MICROS_PER_MS), remaining) {
            taken.push((ms, step));
        }
    }
    taken
}

/// Guards against a shutdown whose duration depends on the process's own work (report c7ba89).
#[test]
fn exits_before_the_earliest_kill_despite_steady_requests_and_sessions() {
    for (longest_deadline_ms, successor_serves, kill_ms) in [
        (600, false, 1_300),
        (1_200, false, 1_900),
        (5_000, false, 3_700),
        (5_000, true, 5_700),
        (10_000, true, 5_700),
    ] {
        let plan = ShutdownPlan::new(
            START,
            Micros(longest_deadline_ms * MICROS_PER_MS),
            platform_kills(successor_serves),
        );
        assert_eq!(plan.kill_at(), START + Micros(kill_ms * MICROS_PER_MS));
        let taken = steps(plan, RemainingWork { successor_serves, ..busy() });
        let doors_ms = kill_ms - 400;
        let expected = [
            (700.min(doors_ms), Step::LastCall),
            (doors_ms, Step::CloseDoors),
            (doors_ms, Step::Release),
            (kill_ms - 100, Step::Exit),
        ];
        assert_eq!(taken, expected);
    }
}

#[test]
fn exits_after_the_last_call_when_no_work_remains() {
    let taken = steps(
        ShutdownPlan::new(START, Micros(3_000 * MICROS_PER_MS), platform_kills(false)),
        RemainingWork::default(),
    );
    let expected = [(700, Step::LastCall), (700, Step::CloseDoors), (700, Step::Release), (750, Step::Exit)];
    assert_eq!(taken, expected);
}

#[test]
fn refuses_requests_only_at_the_deadline_while_a_successor_serves() {
    let remaining = RemainingWork { successor_serves: true, ..RemainingWork::default() };
    let taken =
        steps(ShutdownPlan::new(START, Micros(1_000 * MICROS_PER_MS), platform_kills(true)), remaining);
    assert_eq!(taken[1], (1_300, Step::CloseDoors));
}

#[test]
fn new_settings_bring_the_kill_forward_and_never_defer_it() {
    let mut plan = ShutdownPlan::new(START, Micros(2_000 * MICROS_PER_MS), platform_kills(false));
    plan.shorten(Micros(9_000 * MICROS_PER_MS));
    assert_eq!(plan.kill_at(), START + Micros(2_700 * MICROS_PER_MS));
    plan.shorten(Micros(500 * MICROS_PER_MS));
    assert_eq!(plan.kill_at(), START + Micros(1_200 * MICROS_PER_MS));
}

#[test]
fn uses_the_grace_time_of_process_managers_without_the_platform() {
    let mut plan = ShutdownPlan::new(START, Micros(2_000 * MICROS_PER_MS), KillPolicy::ProcessManager);
    plan.shorten(Micros(500 * MICROS_PER_MS));
    assert_eq!(plan.kill_at(), START + Micros(30_000 * MICROS_PER_MS));
}
