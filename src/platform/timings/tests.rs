use super::*;
use crate::api::{Class, Idempotency};

fn ms(ms: u64) -> Micros {
    Micros(ms * 1000)
}

/// Settings with these deadlines, notes each `tell` and late by `see`, in milliseconds.
fn settings(deadlines: &[u64], tell: u64, see: u64) -> Settings {
    let mut settings = Settings::new(vec![1.0], vec![1.0]);
    settings.classes = deadlines.iter().map(|d| Class::new(ms(d / 3), ms(*d), Idempotency::Safe)).collect();
    (settings.load_note_interval, settings.note_delay) = (ms(tell), ms(see));
    settings
}

#[test]
fn a_client_may_stall_and_ask_under_an_old_name_for_as_long_as_the_longest_deadline() {
    for (deadlines, longest) in [(&[1_200][..], 2_000), (&[3_000, 5_000], 5_000), (&[1_200, 10_000], 10_000)]
    {
        let timings = Timings::new(&settings(deadlines, 3_000, 1_000), ms(30_000), ms(250));
        assert_eq!((timings.client_stalled, timings.renamed), (ms(longest), ms(longest)), "{deadlines:?}");
    }
}

/// Whatever notes and connections take, the end of a vanished server's sessions is told within 8 s of its last word.
#[test]
fn a_vanished_server_is_found_out_within_eight_seconds_in_any_deployment() {
    for connect in [100, 250, 700, 1_000, 2_000] {
        for (tell, see) in [(0, 0), (2_000, 400), (3_000, 1_000), (5_000, 1_400), (9_000, 2_000)] {
            let timings = Timings::new(&settings(&[3_000], tell, see), ms(30_000), ms(connect));
            let found = timings.quiet.max(timings.silent_most) + ms(connect) + ms(250);
            assert!(found < ms(8_000), "{connect} {tell} {see}: {found:?}");
            assert!(timings.quiet <= timings.silent_most && timings.quiet >= ms(1_000));
        }
    }
    // Where notes leave time enough, they are waited for.
    let timings = Timings::new(&settings(&[3_000], 2_000, 400), ms(30_000), ms(250));
    assert_eq!((timings.quiet, timings.silent_most), (ms(2_900), ms(6_000)));
}

#[test]
fn the_notice_board_may_take_as_long_as_an_edge_server_to_come_up() {
    for (connect, board) in [(100, 400), (250, 400), (700, 700), (2_000, 1_000)] {
        let timings = Timings::new(&settings(&[3_000], 3_000, 1_000), ms(30_000), ms(connect));
        assert_eq!(timings.board_connect, ms(board));
        // A board that fell silent speaks again before its events count as told, 4 s after it fell silent.
        assert!(board::SILENCE_TIMEOUT + board::RETRY_DELAY + timings.board_connect < ms(4_000));
    }
}

#[test]
fn idle_connections_are_used_for_most_of_the_time_that_servers_allow() {
    for (idle, spare) in [(2_500, 625), (6_000, 1_500), (30_000, 3_000), (120_000, 3_000)] {
        let timings = Timings::new(&settings(&[3_000], 3_000, 1_000), ms(idle), ms(250));
        assert_eq!(timings.idle_spare, ms(spare));
    }
}
