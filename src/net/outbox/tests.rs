use super::*;

/// What the next write is given.
fn gathered(outbox: &Outbox) -> Vec<u8> {
    let mut left = Vec::new();
    let write = |slices: &[IoSlice<'_>]| {
        slices.iter().for_each(|slice| left.extend_from_slice(slice));
        Ok(left.len())
    };
    outbox.gather(write).unwrap();
    left
}

#[test]
fn a_set_up_counts_as_unsent_only_while_not_a_byte_of_it_is_written() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.push(vec![2; 10], Some(SessionId(2)));
    assert_eq!(outbox.unsent(), [SessionId(1), SessionId(2)]);
    assert!(outbox.written(1).sessions.is_empty());
    assert_eq!(outbox.unsent(), [SessionId(2)]);
    assert_eq!(outbox.written(9).sessions, [SessionId(1)]);
    assert_eq!(outbox.unsent(), [SessionId(2)]);
    assert_eq!(outbox.written(10).sessions, [SessionId(2)]);
    assert!(outbox.unsent().is_empty());
}

/// Guards against a set-up that is written on a connection that is already given up.
#[test]
fn what_is_queued_is_written_before_a_close_and_not_before_a_cut() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.close("done");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), None);
    outbox.cut("bad-length");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), Some("done"));
    assert_eq!(futures_lite::future::block_on(outbox.was_cut()), "done");
    assert_eq!(outbox.unsent(), [SessionId(1)]);
}

#[test]
fn a_set_up_is_taken_back_only_while_not_a_byte_of_it_is_written() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    for n in 1..=3 {
        outbox.push(vec![n; 10], Some(SessionId(u64::from(n))));
    }
    outbox.written(1);
    assert_eq!(outbox.about_to_leave(), [SessionId(2), SessionId(3)]);
    assert!(!outbox.withdraw(SessionId(1)), "it has begun");
    assert!(outbox.withdraw(SessionId(2)) && !outbox.withdraw(SessionId(2)));
    assert_eq!(outbox.written(19).sessions, [SessionId(1), SessionId(3)]);
    assert!(outbox.empty());
}

/// Guards against a connection that waits for ever for what was taken back before it closes.
#[test]
fn a_close_that_waited_for_what_is_taken_back_is_due() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.close("done");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), None);
    assert!(outbox.withdraw(SessionId(1)));
    assert_eq!(futures_lite::future::block_on(outbox.ready()), Some("done"));
}

/// Guards against a server that is asked to set up for others before it hears that a half written set-up is over.
#[test]
fn a_release_follows_its_half_written_set_up_and_overtakes_set_ups_that_wait() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    for n in 1..=3 {
        outbox.push(vec![n; 4], Some(SessionId(u64::from(n))));
    }
    outbox.written(6);
    // The first was written whole, the second by half.
    outbox.push_release(vec![101], SessionId(1));
    outbox.push_release(vec![102], SessionId(2));
    assert_eq!(gathered(&outbox), [2, 2, 102, 101, 3, 3, 3, 3]);
    assert_eq!(outbox.about_to_leave(), [SessionId(3)]);
    assert_eq!(outbox.written(4).sessions, [SessionId(2)]);
    assert!(outbox.withdraw(SessionId(3)) && outbox.empty());
}

#[test]
fn a_release_waits_behind_what_is_no_set_up_and_counts_to_the_bound() {
    let outbox = Outbox::new(&Allowance::new(10, 1));
    outbox.push(vec![7; 4], None);
    outbox.push_release(vec![8; 4], SessionId(1));
    outbox.push(vec![9; 2], Some(SessionId(2)));
    assert_eq!(outbox.reason(), None);
    assert_eq!(gathered(&outbox), [7, 7, 7, 7, 8, 8, 8, 8, 9, 9]);
    outbox.push_release(vec![8; 4], SessionId(3));
    assert_eq!(outbox.reason(), Some("overflow"));
}

#[test]
fn ends_of_sessions_that_were_not_written_whole_are_given_back() {
    let outbox = Outbox::new(&Allowance::new(100, 1));
    outbox.push_end(vec![1; 4]);
    outbox.push(vec![2; 4], None);
    outbox.push_end(vec![3; 4]);
    assert!(outbox.has_words_to_keep());
    // The first was written whole, the second is no end, of the third a part was written.
    assert_eq!(outbox.written(10), Written::default());
    assert_eq!(outbox.take_ends(), [vec![3; 4]]);
}
