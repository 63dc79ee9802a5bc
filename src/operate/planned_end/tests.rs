use super::*;

const T: Micros = Micros(1_000_000_000);
const MS: u64 = 1_000;

fn platform(successor_serves: bool) -> KillPolicy {
    KillPolicy::Platform { successor_serves }
}

fn busy() -> RemainingWork {
    RemainingWork { unanswered: 3, playing: 2, connections: 4, ..RemainingWork::default() }
}

/// Each step that the plan takes while the same is left all the time, in milliseconds from the start.
fn steps(mut end: ShutdownPlan, left: RemainingWork) -> Vec<(u64, Step)> {
    let mut taken = Vec::new();
    for ms in 0..20_000 {
        while let Some(step) = end.next(T + Micros(ms * MS), left) {
            taken.push((ms, step));
        }
    }
    taken
}

/// Guards against an end that is bounded by the process's own work (report c7ba89).
#[test]
fn steady_requests_and_sessions_keep_no_process_past_its_earliest_kill() {
    for (longest_ms, heir, kill_ms) in [
        (600, false, 1_300),
        (1_200, false, 1_900),
        (5_000, false, 3_700),
        (5_000, true, 5_700),
        (10_000, true, 5_700),
    ] {
        let end = ShutdownPlan::new(T, Micros(longest_ms * MS), platform(heir));
        assert_eq!(end.kill_at(), T + Micros(kill_ms * MS));
        let taken = steps(end, RemainingWork { successor_serves: heir, ..busy() });
        let doors = kill_ms - 400;
        let wanted = [
            (700.min(doors), Step::LastCall),
            (doors, Step::CloseDoors),
            (doors, Step::Release),
            (kill_ms - 100, Step::Exit),
        ];
        assert_eq!(taken, wanted);
    }
}

#[test]
fn a_process_with_nothing_left_ends_behind_the_last_call() {
    let taken = steps(ShutdownPlan::new(T, Micros(3_000 * MS), platform(false)), RemainingWork::default());
    let wanted = [(700, Step::LastCall), (700, Step::CloseDoors), (700, Step::Release), (750, Step::Exit)];
    assert_eq!(taken, wanted);
}

#[test]
fn an_heir_keeps_the_doors_open_until_it_has_all_or_time_is_up() {
    let left = RemainingWork { successor_serves: true, ..RemainingWork::default() };
    let taken = steps(ShutdownPlan::new(T, Micros(1_000 * MS), platform(true)), left);
    assert_eq!(taken[1], (1_300, Step::CloseDoors));
}

#[test]
fn new_settings_shorten_the_time_and_never_lengthen_it() {
    let mut end = ShutdownPlan::new(T, Micros(2_000 * MS), platform(false));
    end.shorten(Micros(9_000 * MS));
    assert_eq!(end.kill_at(), T + Micros(2_700 * MS));
    end.shorten(Micros(500 * MS));
    assert_eq!(end.kill_at(), T + Micros(1_200 * MS));
}

#[test]
fn without_the_platform_sessions_play_on_for_as_long_as_process_managers_wait() {
    let mut end = ShutdownPlan::new(T, Micros(2_000 * MS), KillPolicy::ProcessManager);
    end.shorten(Micros(500 * MS));
    assert_eq!(end.kill_at(), T + Micros(30_000 * MS));
}
