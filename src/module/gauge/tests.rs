use super::*;

#[test]
fn keeps_memory_bounded_and_sum_exact_without_reports() {
    let mut gauge = Gauge::new(100.0);
    (0..1000).for_each(|n| gauge.add_own_change(Micros(n), 1.0));
    assert!(gauge.own_changes.len() <= MAX_OWN_CHANGES);
    assert!((gauge.own_change() - 10.0).abs() < 1e-9);
}
