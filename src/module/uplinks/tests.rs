use super::*;

fn seconds(s: u64) -> Micros {
    Micros(s * 1_000_000)
}

#[test]
fn keeps_configured_capacity_until_first_shortfall() {
    let uplink = UplinkEstimate::new(1000.0);
    assert_eq!(uplink.capacity_kb(seconds(0)), 1000.0);
    assert_eq!(uplink.capacity_kb(seconds(1000)), 1000.0);
}

#[test]
fn converges_to_delivered_rate_after_repeated_shortfalls() {
    let mut uplink = UplinkEstimate::new(1000.0);
    for s in 1..=20 {
        uplink.record_shortfall(900.0, 0.8, seconds(s));
    }
    let estimate = uplink.capacity_kb(seconds(20));
    // Between two shortfalls a second apart, a little of the missing capacity recovers.
    assert!((720.0..780.0).contains(&estimate), "{estimate}");
}

#[test]
fn halves_missing_capacity_per_half_life_without_reports() {
    let mut uplink = UplinkEstimate::new(1000.0);
    uplink.record_shortfall(1000.0, 0.5, seconds(1));
    let missing = |at: u64| 1000.0 - uplink.capacity_kb(seconds(at));
    let first = missing(1);
    assert!(first > 0.0);
    assert!((missing(13) - first / 2.0).abs() < 1e-6);
    assert!((missing(25) - first / 4.0).abs() < 1e-6);
}

#[test]
fn never_estimates_below_minimum_share_of_configured_capacity() {
    let mut uplink = UplinkEstimate::new(1000.0);
    for s in 1..=100 {
        uplink.record_shortfall(10.0, 0.01, seconds(s));
    }
    assert!(uplink.capacity_kb(seconds(100)) >= 200.0);
}

#[test]
fn raises_estimate_above_configured_capacity_when_more_is_delivered() {
    let mut uplink = UplinkEstimate::new(1000.0);
    uplink.record_shortfall(1500.0, 0.9, seconds(1));
    assert!(uplink.capacity_kb(seconds(1)) > 1000.0);
}
