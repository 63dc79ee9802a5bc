use super::*;

#[test]
fn expects_worst_recent_lateness_and_lets_it_decay() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.expected(Micros(5)), Micros(0));
    lateness.record(Micros(1_030_000), Micros(1_000_000));
    lateness.record(Micros(1_080_000), Micros(1_079_000));
    assert!(lateness.expected(Micros(1_080_000)) > Micros(28_000));
    assert_eq!(lateness.expected(Micros(2_030_000)), Micros(15_000));
    lateness.record(Micros(2_050_000), Micros(2_000_000));
    assert_eq!(lateness.expected(Micros(2_050_000)), Micros(50_000));
    assert!(lateness.expected(Micros(60_000_000)) < Micros(2));
}
