use super::*;
use crate::api::{Class, Idempotency};

fn ms(ms: u64) -> Micros {
    Micros(ms * 1000)
}

/// Settings with these deadlines, note interval and note delay, in milliseconds.
fn settings(deadlines: &[u64], note_interval: u64, note_delay: u64) -> Settings {
    let mut settings = Settings::new(vec![1.0], vec![1.0]);
    settings.classes = deadlines.iter().map(|d| Class::new(ms(d / 3), ms(*d), Idempotency::Safe)).collect();
    (settings.load_note_interval, settings.note_delay) = (ms(note_interval), ms(note_delay));
    settings
}

#[test]
fn stall_and_old_name_limits_follow_the_longest_deadline() {
    for (deadlines, longest) in [(&[1_200][..], 2_000), (&[3_000, 5_000], 5_000), (&[1_200, 10_000], 10_000)]
    {
        let timings = Timings::new(&settings(deadlines, 3_000, 1_000), ms(30_000), ms(250));
        assert_eq!(
            (timings.client_stall_timeout, timings.old_names_accepted),
            (ms(longest), ms(longest)),
            "{deadlines:?}"
        );
    }
}

/// For all note intervals and connect timeouts, the end of a vanished server's sessions is told within 8 s of
/// its last message.
#[test]
fn vanished_server_is_detected_within_eight_seconds_for_all_settings() {
    for connect in [100, 250, 700, 1_000, 2_000] {
        for (note_interval, note_delay) in
            [(0, 0), (2_000, 400), (3_000, 1_000), (5_000, 1_400), (9_000, 2_000)]
        {
            let timings =
                Timings::new(&settings(&[3_000], note_interval, note_delay), ms(30_000), ms(connect));
            let found = timings.note_timeout.max(timings.max_silence) + ms(connect) + ms(250);
            assert!(found < ms(8_000), "{connect} {note_interval} {note_delay}: {found:?}");
            assert!(timings.note_timeout <= timings.max_silence && timings.note_timeout >= ms(1_000));
        }
    }
    // Notes are waited for where the time allows.
    let timings = Timings::new(&settings(&[3_000], 2_000, 400), ms(30_000), ms(250));
    assert_eq!((timings.note_timeout, timings.max_silence), (ms(2_900), ms(6_000)));
}

#[test]
fn board_connect_timeout_follows_connect_timeout_within_bounds() {
    for (connect, board) in [(100, 400), (250, 400), (700, 700), (2_000, 1_000)] {
        let timings = Timings::new(&settings(&[3_000], 3_000, 1_000), ms(30_000), ms(connect));
        assert_eq!(timings.board_connect_timeout, ms(board));
        // A board that fell silent is heard again before its events count as told, 4 s after it fell silent.
        assert!(board::SILENCE_TIMEOUT + board::RETRY_DELAY + timings.board_connect_timeout < ms(4_000));
    }
}

#[test]
fn idle_margin_is_at_most_a_quarter_of_the_server_idle_timeout() {
    for (idle, spare) in [(2_500, 625), (6_000, 1_500), (30_000, 3_000), (120_000, 3_000)] {
        let timings = Timings::new(&settings(&[3_000], 3_000, 1_000), ms(idle), ms(250));
        assert_eq!(timings.idle_margin, ms(spare));
    }
}
