use std::collections::BTreeMap;

use amberspindle::trace::{Event, Record};
use proptest::prelude::*;

use super::*;
use crate::counts::Column;

fn at(s: u64, event: Event) -> Record {
    Record { at_us: s * 1_000_000, event }
}

fn asked(id: u64, title: &str) -> Event {
    let (class, tenant) = ("live".to_owned(), "acme".to_owned());
    Event::Asked {
        id: format!("{id:016x}"),
        class,
        tenant,
        title: title.to_owned(),
        left_ms: 1,
        again: false,
    }
}

fn sent(id: u64, server: &str, heard_ms: i64) -> Event {
    let (id, server) = (format!("{id:016x}"), server.to_owned());
    Event::Sent { id, attempt: 0, server, zone: 1, rung: 1, top: 3, held_ms: 0, heard_ms, up_ms: -1 }
}

fn plays(id: u64, server: &str) -> Event {
    Event::Plays { id: format!("{id:016x}"), server: server.to_owned(), attempts: 1, took_ms: 5 }
}

#[test]
fn a_session_counts_for_its_server_class_and_tenant() {
    let (mut fold, mut sessions) = (Fold::new(1000), Sessions::default());
    let full =
        Event::Turned { id: format!("{:016x}", 1), server: "a".into(), how: "full".into(), took_ms: 1 };
    for event in [asked(1, "t"), sent(1, "a", -1), full, sent(1, "b", 40), plays(1, "b")] {
        fold.record(&mut sessions, &at(7, event));
    }
    let one = |rows: &Rows, name: &str, column| rows.get(name).map_or(0, |c| c.get(column));
    assert_eq!(one(&fold.servers, "a", Column::Full), 1);
    assert_eq!(one(&fold.servers, "b", Column::Plays), 1);
    assert_eq!(one(&fold.classes, "live", Column::Tries), 2);
    assert_eq!(one(&fold.tenants, "acme", Column::Offered), 1);
    assert_eq!(one(&fold.zones, "1", Column::Tries), 2);
    assert_eq!(fold.titles(9), [("t".to_owned(), 1, 1)]);
    let (second, row) = fold.times().next().map(|(s, row)| (s, row.clone())).unwrap_or_default();
    assert_eq!((second, row.age), (7, Age { heard: 1, sum_ms: 40, never: 1 }));
    assert_eq!(fold.by_server(&row), [1]);
}

#[test]
fn quantiles_are_those_of_exact_times_within_a_hundredth() {
    let (mut fold, mut sessions) = (Fold::new(1000), Sessions::default());
    let ages: Vec<i64> = (0..10_000).map(|n| n * n / 1000).collect();
    for (n, age) in ages.iter().enumerate() {
        fold.record(&mut sessions, &at(1, sent(n as u64, "a", *age)));
    }
    for quantile in [0.5, 0.9, 0.99, 1.0] {
        let exact = ages[((ages.len() - 1) as f64 * quantile) as usize] as f64;
        let seen = fold.heard_ms.value_at_quantile(quantile) as f64;
        assert!((seen - exact).abs() <= exact * 0.01 + 1.0, "{quantile}: {seen} for {exact}");
    }
}

#[test]
fn a_line_whose_request_is_not_in_the_log_counts_as_unknown() {
    let (mut fold, mut sessions) = (Fold::new(1000), Sessions::default());
    fold.record(&mut sessions, &at(7, plays(9, "b")));
    assert_eq!(fold.classes.get(UNKNOWN).map(|c| c.get(Column::Plays)), Some(1));
    assert_eq!(fold.total().get(Column::Plays), 1);
}

#[test]
fn a_day_of_seconds_names_and_open_sessions_stay_within_their_bounds() {
    let (mut fold, mut sessions) = (Fold::new(1000), Sessions::default());
    let requests = 100_000;
    for n in 0..requests {
        fold.record(&mut sessions, &at(n / 2, asked(n, &format!("t{n}"))));
        fold.record(&mut sessions, &at(n / 2, sent(n, &format!("s{n}"), 0)));
        fold.record(&mut sessions, &at(n / 2, plays(n, &format!("s{n}"))));
    }
    assert!(fold.rows.len() <= ROWS_MOST && fold.cells <= CELLS_MOST);
    assert!(sessions.open.len() <= OPEN_MOST && sessions.order.len() <= 2 * OPEN_MOST);
    assert_eq!(fold.servers.rows.len(), SERVERS_MOST + 1);
    assert_eq!(fold.total().get(Column::Plays), requests, "nothing is lost by longer rows");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::with_cases(64) })]

    /// Files read side by side give what one after the other gives, also where one is much longer.
    #[test]
    fn parts_add_up(seconds in proptest::collection::vec((0u64..20_000, 0u64..40), 1..300), split in 0usize..300) {
        let split = split.min(seconds.len());
        let part = |from: &[(u64, u64)]| {
            let (mut fold, mut sessions) = (Fold::new(1), Sessions::default());
            for (n, (s, server)) in from.iter().enumerate() {
                let n = n as u64;
                for event in [asked(n, "t"), sent(n, &format!("s{server}"), 3), plays(n, &format!("s{server}"))] {
                    fold.record(&mut sessions, &at(*s, event));
                }
            }
            fold
        };
        let (whole, parts) = (part(&seconds), part(&seconds[..split]).merge(part(&seconds[split..])));
        prop_assert_eq!(whole.total(), parts.total());
        prop_assert_eq!(whole.width(), parts.width());
        let rows = |f: &Fold| -> BTreeMap<u64, (Counts, u64)> {
            f.times().map(|(at, row)| (at, (row.counts, f.by_server(row).iter().sum()))).collect()
        };
        prop_assert_eq!(rows(&whole), rows(&parts));
        prop_assert_eq!(whole.heard_ms.len(), parts.heard_ms.len());
    }

    /// The sketch of titles against exact counts: none of the frequent ones is missed, none is counted too low, and
    /// none too high by more than its share.
    #[test]
    fn frequent_titles_are_found(seed in any::<u64>()) {
        let mut rng = proptest::test_runner::TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &[seed as u8; 32]);
        let (mut fold, mut sessions, mut exact) = (Fold::new(1), Sessions::default(), BTreeMap::<String, u64>::new());
        let all = 5_000u64;
        for n in 0..all {
            // One in u: a few titles have most of the requests, thousands have one each.
            let u = f64::from(rng.next_u32().max(1)) / f64::from(u32::MAX);
            let title = format!("t{}", ((1.0 / u) as u64).min(50_000));
            *exact.entry(title.clone()).or_default() += 1;
            fold.record(&mut sessions, &at(1, asked(n, &title)));
        }
        let found: BTreeMap<String, u64> = fold.titles(TITLES).into_iter().map(|(t, n, _)| (t, n)).collect();
        let slack = all / TITLES as u64;
        for (title, n) in exact.iter().filter(|(_, n)| **n > slack) {
            let seen = found.get(title).copied().unwrap_or(0);
            prop_assert!(seen >= *n && seen <= n + slack, "{title}: {seen} for {n}");
        }
    }
}
