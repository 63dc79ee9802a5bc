use super::*;

#[test]
fn connection_may_exceed_its_share_only_while_the_total_is_within_the_limit() {
    let limit = QueueLimit::new(100, 4);
    let [large, small] = [(), ()].map(|()| QueuedBytes::new(&limit));
    large.add(100);
    assert!(!large.exceeds_limit(), "no other connection needs it");
    small.add(25);
    assert!(large.exceeds_limit() && !small.exceeds_limit(), "each connection has its share at any time");
    small.add(1);
    assert!(small.exceeds_limit());
    large.sub(30);
    assert!(!large.exceeds_limit() && !small.exceeds_limit());
    drop(large);
    small.add(74);
    assert!(!small.exceeds_limit(), "the bytes of a closed connection no longer count");
}
