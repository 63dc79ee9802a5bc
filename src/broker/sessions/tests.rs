//! Guards against counts and an index that diverge from the sessions in the table.

use super::*;
use crate::api::{Micros, Request, Text};
use crate::broker::Description;

const SESSIONS: u64 = 40;
const STEPS: u64 = 20_000;

fn server(number: u64) -> ServerId {
    ServerId::new(&format!("s-{number}"))
}

fn request(id: SessionId) -> Request {
    Request::new(id, Text::from("title"), Micros(1_000), 1, 0)
}

/// Returns the next number of a fixed pseudo-random sequence (high bits of a linear congruential generator).
fn next_number(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *state >> 33
}

fn apply_step(table: &mut SessionTable, kind: u64, id: SessionId, at: ServerId) {
    let attempt = Attempt { server: at.clone(), number: 0, sent_at: Micros(0), deadline: Micros(9) };
    match kind {
        0 if !table.contains(id) => {
            let offer = Description::from(vec![0; id.0 as usize]);
            table.insert(Session::new(Micros(0), request(id), offer));
        }
        1 if !table.contains(id) => table.insert(Session::named(Micros(0), request(id), at)),
        2 | 3 => table.start_attempt(id, attempt),
        4 => drop(table.end_attempt(id, Status::Reset)),
        5 | 6 => drop(table.establish(id)),
        7 => drop(table.remove(id)),
        8 => drop(table.remove_established(id)),
        _ => {}
    }
}

fn check_counts_and_index(table: &SessionTable) {
    let established = table.iter().filter(|s| matches!(s.stage, Stage::Established(_))).count();
    assert_eq!(
        (table.established_count(), table.unanswered_count()),
        (established, table.iter().count() - established)
    );
    assert_eq!(table.payload_bytes(), table.iter().map(Session::payload_bytes).sum::<usize>());
    for at in (0..5).map(server) {
        let there = table.iter().filter(|s| s.placement().is_some_and(|p| p.server == at));
        let ids: Vec<SessionId> = there.map(|s| s.request.id).collect();
        assert_eq!(table.has_established_at(&at), !ids.is_empty());
        assert_eq!(table.established_at(&at), ids);
    }
}

#[test]
fn counts_and_index_match_full_scan_after_every_change() {
    let (mut table, mut state) = (SessionTable::default(), 7);
    let mut max_established = 0;
    for _ in 0..STEPS {
        let (kind, id, at) =
            (next_number(&mut state) % 9, next_number(&mut state) % SESSIONS, next_number(&mut state) % 5);
        apply_step(&mut table, kind, SessionId(id), server(at));
        check_counts_and_index(&table);
        max_established = max_established.max(table.established_count());
    }
    assert!(max_established > 5, "the sequence sets sessions up");
}
