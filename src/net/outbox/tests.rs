use super::*;

/// Returns the bytes that the next write is given.
fn next_write(outbox: &Outbox) -> Vec<u8> {
    let mut bytes = Vec::new();
    let write = |slices: &[IoSlice<'_>]| {
        slices.iter().for_each(|slice| bytes.extend_from_slice(slice));
        Ok(bytes.len())
    };
    outbox.write_queued(write).unwrap();
    bytes
}

#[test]
fn reports_set_up_as_unsent_until_its_first_byte_is_written() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.push(vec![2; 10], Some(SessionId(2)));
    assert_eq!(outbox.unsent_sessions(), [SessionId(1), SessionId(2)]);
    assert!(outbox.advance(1).sessions.is_empty());
    assert_eq!(outbox.unsent_sessions(), [SessionId(2)]);
    assert_eq!(outbox.advance(9).sessions, [SessionId(1)]);
    assert_eq!(outbox.unsent_sessions(), [SessionId(2)]);
    assert_eq!(outbox.advance(10).sessions, [SessionId(2)]);
    assert!(outbox.unsent_sessions().is_empty());
}

/// Guards against a set-up that is written on a connection that was already aborted.
#[test]
fn close_writes_queued_messages_and_abort_does_not() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.close("done");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), None);
    outbox.abort("bad-length");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), Some("done"));
    assert_eq!(futures_lite::future::block_on(outbox.aborted()), "done");
    assert_eq!(outbox.unsent_sessions(), [SessionId(1)]);
}

/// Guards against a set-up that is withdrawn at the last check, by the end of its connection, and written all the same in
/// the same turn of the writer.
#[test]
fn writes_nothing_after_an_abort() {
    let outbox = Outbox::default();
    outbox.push(b"set-up".to_vec(), Some(SessionId(1)));
    outbox.abort("withdrawn");
    let written = outbox.write_queued(|_| panic!("the set-up is written"));
    assert_eq!(written.unwrap_err().kind(), io::ErrorKind::ConnectionAborted);
    assert_eq!(outbox.unsent_sessions(), [SessionId(1)]);
}

#[test]
fn withdraws_set_up_only_before_its_first_byte_is_written() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    for n in 1..=3 {
        outbox.push(vec![n; 10], Some(SessionId(u64::from(n))));
    }
    outbox.advance(1);
    assert_eq!(outbox.set_ups_in_next_write(), [SessionId(2), SessionId(3)]);
    assert!(!outbox.withdraw(SessionId(1)), "its first byte is written");
    assert!(outbox.withdraw(SessionId(2)) && !outbox.withdraw(SessionId(2)));
    assert_eq!(outbox.advance(19).sessions, [SessionId(1), SessionId(3)]);
    assert!(outbox.is_empty());
}

/// Guards against a connection that never closes because it waits for a message that was withdrawn.
#[test]
fn close_is_due_once_the_last_queued_message_is_withdrawn() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    outbox.push(vec![1; 10], Some(SessionId(1)));
    outbox.close("done");
    assert_eq!(futures_lite::future::block_on(outbox.ready()), None);
    assert!(outbox.withdraw(SessionId(1)));
    assert_eq!(futures_lite::future::block_on(outbox.ready()), Some("done"));
}

/// Guards against a server that is sent further set-ups before it learns that a half written one is released.
#[test]
fn queues_release_behind_its_half_written_set_up_and_before_unwritten_set_ups() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    for n in 1..=3 {
        outbox.push(vec![n; 4], Some(SessionId(u64::from(n))));
    }
    outbox.advance(6);
    // The first is completely written, the second by half.
    outbox.push_release(vec![101], SessionId(1));
    outbox.push_release(vec![102], SessionId(2));
    assert_eq!(next_write(&outbox), [2, 2, 102, 101, 3, 3, 3, 3]);
    assert_eq!(outbox.set_ups_in_next_write(), [SessionId(3)]);
    assert_eq!(outbox.advance(4).sessions, [SessionId(2)]);
    assert!(outbox.withdraw(SessionId(3)) && outbox.is_empty());
}

#[test]
fn queues_release_behind_other_messages_and_counts_it_against_the_limit() {
    let outbox = Outbox::new(&QueueLimit::new(10, 1));
    outbox.push(vec![7; 4], None);
    outbox.push_release(vec![8; 4], SessionId(1));
    outbox.push(vec![9; 2], Some(SessionId(2)));
    assert_eq!(outbox.close_reason(), None);
    assert_eq!(next_write(&outbox), [7, 7, 7, 7, 8, 8, 8, 8, 9, 9]);
    outbox.push_release(vec![8; 4], SessionId(3));
    assert_eq!(outbox.close_reason(), Some("overflow"));
}

#[test]
fn returns_session_ends_that_were_not_written_completely() {
    let outbox = Outbox::new(&QueueLimit::new(100, 1));
    outbox.push_session_end(vec![1; 4]);
    outbox.push(vec![2; 4], None);
    outbox.push_session_end(vec![3; 4]);
    assert!(outbox.may_begin_answer_or_end());
    // The first is completely written, the second is no session end, the third is partly written.
    assert_eq!(outbox.advance(10), Completed::default());
    assert_eq!(outbox.take_session_ends(), [vec![3; 4]]);
}
