use super::*;

const LIMIT_BYTES: usize = 10 * (ENTRY_BYTES + 4);

fn title(n: u64) -> Text {
    Text::from(format!("{n:04}"))
}

fn expiring(at: u64) -> TitleUsage {
    TitleUsage { recent_requests: 1.0, updated_at: Micros(0), expires_at: Micros(at), duration_hint_s: 1.0 }
}

/// Guards against growth by titles that are requested and withdrawn: the least popular ones go first.
#[test]
fn keeps_the_most_popular_idle_titles_within_the_limit() {
    let mut table = TitleTable::new(LIMIT_BYTES);
    for n in 0..1000 {
        let shared = table.add_session(&title(n), expiring(1000 - n));
        table.remove_session(&shared);
    }
    assert_eq!(table.stats(), TitleStats { titles: 10, idle_bytes: LIMIT_BYTES, evicted: 990 });
    assert!((0..10).all(|n| table.usage(Micros(0), &title(n)).is_some()));
    table.set_max_idle_bytes(LIMIT_BYTES / 2);
    assert_eq!(table.len(), 5);
}

/// A title with a session is neither evicted nor expired, as its session may still wait for a server.
#[test]
fn keeps_titles_with_a_session_over_the_limit_and_past_their_expiry() {
    let mut table = TitleTable::new(0);
    let first = table.add_session(&title(1), expiring(5));
    let second = table.add_session(&Text::from(&*first), expiring(5));
    assert!(std::sync::Arc::ptr_eq(&first, &second), "sessions share the text of their title");
    table.remove_expired(Micros(9));
    table.remove_session(&second);
    assert_eq!(table.by_popularity(Micros(9), |_| true).count(), 1);
    assert_eq!(table.by_popularity(Micros(9), |_| false).count(), 0, "it no longer counts as popular");
    table.remove_session(&first);
    assert_eq!(table.stats(), TitleStats { titles: 0, idle_bytes: 0, evicted: 1 });
}

#[test]
fn removes_idle_titles_when_they_expire() {
    let mut table = TitleTable::new(LIMIT_BYTES);
    let shared = table.add_session(&title(1), expiring(5));
    table.remove_session(&shared);
    table.remove_expired(Micros(4));
    assert_eq!(table.len(), 1);
    table.remove_expired(Micros(5));
    assert_eq!(table.stats(), TitleStats::default());
}
