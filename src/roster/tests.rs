use super::*;
use crate::api::ServerEntry;

const SHRINK_LIMIT: ShrinkLimit = ShrinkLimit { max_dropped_fraction: 0.5, hold: Micros(60_000_000) };

fn at_seconds(seconds: u64) -> Micros {
    Micros(1_000_000_000 + seconds * 1_000_000)
}

fn listed_server(id: &str, port: u16) -> ListedServer {
    let entry = ServerEntry::new(ServerId::new(id), ServerState::Ready, 0);
    ListedServer::new(entry, ([127, 0, 0, 1], port).into())
}

fn with_state(mut listed: ListedServer, state: ServerState) -> ListedServer {
    listed.entry.state = state;
    listed
}

/// Returns a candidate whose digest consists of its number.
fn candidate(number: u8, servers: Vec<ListedServer>) -> Candidate {
    Candidate { digest: Digest([number; 32]), revision: None, servers }
}

fn taken(outcome: OfferOutcome) -> GenerationChange {
    match outcome {
        OfferOutcome::Taken(taken) => taken,
        other => panic!("not taken: {other:?}"),
    }
}

fn states(news: &ListUpdate) -> Vec<(&str, ServerState)> {
    news.servers.iter().map(|l| (&*l.entry.id.0, l.entry.state)).collect()
}

/// Returns a roster that accepted these servers at 0 s.
fn roster(servers: Vec<ListedServer>) -> Roster {
    let mut roster = Roster::new(SHRINK_LIMIT);
    let first = taken(roster.offer(at_seconds(0), candidate(1, servers)));
    assert_eq!((first.generation, first.update.kind), (1, ListKind::Complete));
    roster
}

fn complete_list(servers: Vec<ListedServer>) -> ListUpdate {
    ListUpdate { kind: ListKind::Complete, servers }
}

#[test]
fn generation_reports_each_change_once() {
    let mut roster = roster(vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]);
    let mut heavy = listed_server("b", 2);
    heavy.entry.weight = 2.0;
    let list =
        vec![listed_server("a", 1), heavy.clone(), with_state(listed_server("c", 3), ServerState::Draining)];
    let second = taken(roster.offer(at_seconds(1), candidate(2, list.clone())));
    assert_eq!((second.generation, second.added, second.changed, second.removed), (2, 0, 2, 0));
    assert_eq!(second.update.kind, ListKind::Changes);
    assert_eq!(states(&second.update), [("b", ServerState::Ready), ("c", ServerState::Draining)]);
    assert_eq!(roster.offer(at_seconds(2), candidate(2, list.clone())), OfferOutcome::Same);
    assert_eq!(
        roster.offer(at_seconds(2), candidate(3, list)),
        OfferOutcome::Same,
        "a different file with the same list"
    );
    assert_eq!(roster.current().number, 2);
}

#[test]
fn dropped_server_drains_until_its_sessions_end() {
    let mut roster = roster(vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]);
    let second =
        taken(roster.offer(at_seconds(1), candidate(2, vec![listed_server("a", 1), listed_server("c", 3)])));
    assert_eq!(states(&second.update), [("b", ServerState::Draining)]);
    assert_eq!((second.servers, second.removed, roster.leaving()), (2, 1, 1));
    assert_eq!(roster.remove_departed(at_seconds(5), |_| false), None, "late answers may still arrive");
    assert_eq!(roster.next_due(), Some(at_seconds(31)));
    assert_eq!(roster.remove_departed(at_seconds(31), |_| true), None, "it still has sessions");
    let parted = roster.remove_departed(at_seconds(61), |_| false).unwrap();
    assert_eq!(states(&parted), [("b", ServerState::Gone)]);
    assert_eq!((roster.leaving(), roster.next_due(), roster.current().servers.len()), (0, None, 2));
}

#[test]
fn dropped_server_returning_at_same_address_counts_as_the_same() {
    let mut roster = roster(vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]);
    roster.offer(at_seconds(1), candidate(2, vec![listed_server("a", 1), listed_server("c", 3)]));
    let third = taken(roster.offer(
        at_seconds(2),
        candidate(3, vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]),
    ));
    assert_eq!(states(&third.update), [("b", ServerState::Ready)]);
    assert_eq!(
        (third.update.servers[0].entry.up_since, roster.leaving()),
        (None, 0),
        "it was warm all along"
    );
}

/// Guards against a server that is removed for good although the list names it: one list dropped it, and the next one
/// listed it as draining.
#[test]
fn dropped_server_relisted_as_draining_is_not_removed() {
    let mut roster = roster(vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]);
    roster.offer(at_seconds(1), candidate(2, vec![listed_server("a", 1), listed_server("c", 3)]));
    let list = vec![
        listed_server("a", 1),
        with_state(listed_server("b", 2), ServerState::Draining),
        listed_server("c", 3),
    ];
    assert_eq!(roster.offer(at_seconds(2), candidate(3, list)), OfferOutcome::Same, "it is already draining");
    assert_eq!((roster.leaving(), roster.remove_departed(at_seconds(99), |_| false)), (0, None));
}

/// A new edge server may have the address of one that has gone, and an id may return at another address.
#[test]
fn changed_address_or_id_makes_a_new_server() {
    let mut roster = roster(vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]);
    let moved = taken(roster.offer(
        at_seconds(1),
        candidate(2, vec![listed_server("a", 9), listed_server("b", 2), listed_server("c", 3)]),
    ));
    assert_eq!(
        (moved.added, moved.update.servers[0].entry.up_since),
        (1, Some(at_seconds(1))),
        "it counts as cold"
    );
    let list = vec![listed_server("a", 9), listed_server("b", 2), listed_server("d", 3)];
    let renamed = taken(roster.offer(at_seconds(2), candidate(3, list)));
    assert_eq!(states(&renamed.update), [("c", ServerState::Gone), ("d", ServerState::Ready)]);
    assert_eq!(renamed.update.servers[1].entry.up_since, Some(at_seconds(2)));
    // Two servers that exchange their addresses are both new.
    let swapped = vec![listed_server("a", 2), listed_server("b", 9), listed_server("d", 3)];
    let swapped = taken(roster.offer(at_seconds(3), candidate(4, swapped)));
    let starts: Vec<_> = swapped.update.servers.iter().map(|l| l.entry.up_since).collect();
    assert_eq!(starts, [Some(at_seconds(3)), Some(at_seconds(3))]);
}

#[test]
fn listed_start_time_overrides_inferred_start_time() {
    let mut roster = roster(vec![listed_server("a", 1)]);
    let told = |id: &str, port, at| {
        let mut line = listed_server(id, port);
        line.entry.up_since = Some(at);
        line
    };
    let list = vec![
        listed_server("a", 1),
        told("b", 2, at_seconds(0)),
        told("c", 3, Micros(0)),
        listed_server("d", 4),
    ];
    let second = taken(roster.offer(at_seconds(5), candidate(2, list)));
    let starts: Vec<_> = second.update.servers.iter().map(|l| l.entry.up_since).collect();
    assert_eq!(starts, [Some(at_seconds(0)), None, Some(at_seconds(5))]);
}

#[test]
fn holds_list_that_drops_too_many_servers_until_hold_time_passes() {
    let all: Vec<ListedServer> = (1..=4).map(|n| listed_server(&format!("s{n}"), n)).collect();
    let mut roster = roster(all.clone());
    let half = candidate(2, all[..2].to_vec());
    assert!(
        matches!(roster.clone().offer(at_seconds(1), half), OfferOutcome::Taken(_)),
        "half the servers is not above the limit"
    );
    let few = candidate(3, all[..1].to_vec());
    let held = OfferOutcome::Held { until: at_seconds(61), dropped: 3, total: 4, is_first_report: true };
    assert_eq!(roster.offer(at_seconds(1), few.clone()), held);
    let again = OfferOutcome::Held { until: at_seconds(61), dropped: 3, total: 4, is_first_report: false };
    assert_eq!(roster.offer(at_seconds(30), few.clone()), again, "the same content keeps its hold time");
    assert_eq!((roster.tick(at_seconds(60)), roster.next_due()), (None, Some(at_seconds(61))));
    // A different list starts a new hold time.
    let other = candidate(4, all[1..2].to_vec());
    assert_eq!(
        roster.offer(at_seconds(40), other),
        OfferOutcome::Held { until: at_seconds(100), dropped: 3, total: 4, is_first_report: true }
    );
    roster.discard_held();
    assert_eq!(
        (roster.tick(at_seconds(200)), roster.next_due()),
        (None, None),
        "a discarded list is not accepted"
    );
    assert!(
        matches!(roster.offer(at_seconds(201), few), OfferOutcome::Held { until, .. } if until == at_seconds(261))
    );
    let late = taken(roster.tick(at_seconds(261)).unwrap());
    assert_eq!((late.generation, late.servers, late.removed), (2, 1, 3));
}

#[test]
fn rejects_older_revision_and_keeps_current_list() {
    let mut roster = Roster::new(SHRINK_LIMIT);
    let revised =
        |n: u8, revision| Candidate { revision, ..candidate(n, vec![listed_server("a", u16::from(n))]) };
    taken(roster.offer(at_seconds(0), revised(1, Some(7))));
    assert_eq!(
        roster.offer(at_seconds(1), revised(2, Some(6))),
        OfferOutcome::Older { revision: 6, in_use: 7 }
    );
    assert_eq!(roster.current().number, 1);
    taken(roster.offer(at_seconds(2), revised(3, Some(7))));
    taken(roster.offer(at_seconds(3), revised(4, None)));
}

#[test]
fn higher_ranked_source_keeps_the_list_after_its_first_update() {
    let mut roster = Roster::new(SHRINK_LIMIT);
    taken(roster.apply_update(
        at_seconds(0),
        Source::Fixed,
        complete_list(vec![listed_server("a", 1), listed_server("b", 2)]),
    ));
    let watched =
        taken(roster.offer(at_seconds(1), candidate(1, vec![listed_server("a", 1), listed_server("c", 3)])));
    assert_eq!(watched.source, Source::Watched);
    let shadow =
        roster.apply_update(at_seconds(2), Source::Fixed, complete_list(vec![listed_server("x", 8)]));
    assert_eq!(shadow, OfferOutcome::Shadowed(Source::Watched));
    // The registry does not know the servers from the files, so these drain instead of being removed.
    let registry = taken(roster.apply_update(
        at_seconds(3),
        Source::Registry,
        complete_list(vec![listed_server("c", 3), listed_server("d", 4)]),
    ));
    let told = states(&registry.update);
    assert!(
        told.contains(&("a", ServerState::Draining)) && told.contains(&("d", ServerState::Ready)),
        "{told:?}"
    );
    assert_eq!(
        roster.offer(at_seconds(4), candidate(2, vec![listed_server("a", 1)])),
        OfferOutcome::Shadowed(Source::Registry)
    );
    // A server that the registry's own next list omits is gone.
    let next = taken(roster.apply_update(
        at_seconds(5),
        Source::Registry,
        complete_list(vec![listed_server("d", 4)]),
    ));
    assert!(states(&next.update).contains(&("c", ServerState::Gone)));
}

#[test]
fn applies_partial_update_and_reports_each_change_once() {
    let mut roster = Roster::new(SHRINK_LIMIT);
    taken(roster.apply_update(
        at_seconds(0),
        Source::Board,
        complete_list(vec![listed_server("a", 1), listed_server("b", 2)]),
    ));
    let changes = |servers| ListUpdate { kind: ListKind::Changes, servers };
    let gone = changes(vec![with_state(listed_server("b", 2), ServerState::Gone), listed_server("a", 1)]);
    let taken = taken(roster.apply_update(at_seconds(1), Source::Board, gone.clone()));
    assert_eq!(states(&taken.update), [("b", ServerState::Gone)]);
    assert_eq!(roster.apply_update(at_seconds(2), Source::Board, gone), OfferOutcome::Same);
}

#[test]
fn restored_list_continues_generation_number_and_start_times() {
    let mut roster = Roster::new(SHRINK_LIMIT);
    let started = BTreeMap::from([("b".to_owned(), at_seconds(0))]);
    let list = vec![listed_server("a", 1), listed_server("b", 2)];
    let restored = taken(roster.restore(at_seconds(9), 41, candidate(1, list.clone()), &started));
    assert_eq!((restored.generation, restored.update.kind), (41, ListKind::Complete));
    assert_eq!(restored.update.servers[1].entry.up_since, Some(at_seconds(0)));
    assert_eq!(roster.offer(at_seconds(10), candidate(1, list)), OfferOutcome::Same);
    let next = taken(roster.offer(
        at_seconds(11),
        candidate(2, vec![listed_server("a", 1), listed_server("b", 2), listed_server("c", 3)]),
    ));
    assert_eq!((next.generation, next.update.servers.len()), (42, 1));
    assert_eq!(next.update.servers[0].entry.up_since, Some(at_seconds(11)), "new since the saved list");
}

/// For any sequence of updates from the sources, the updates for the node add up to the list in the roster, each change
/// is reported once, and only listed servers are kept as leaving. The generated lists never have two servers at one
/// address.
#[test]
fn reported_updates_add_up_to_the_list() {
    use proptest::prelude::*;
    let step = (0u8..4, proptest::collection::btree_map(0u8..6, (0u16..8, 0u8..3), 0..6), 0u64..50);
    let steps = proptest::collection::vec(step, 1..40);
    proptest!(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() },
        |(steps in steps)| {
        let mut roster = Roster::new(SHRINK_LIMIT);
        let mut told: BTreeMap<ServerId, ListedServer> = BTreeMap::new();
        let mut now = 0;
        for (i, (kind, lines, wait)) in steps.into_iter().enumerate() {
            now += wait;
            let state = |n: u8| [ServerState::Ready, ServerState::Draining, ServerState::Gone][n as usize];
            let mut ports = BTreeSet::new();
            let servers: Vec<ListedServer> = lines.into_iter()
                .filter(|(_, (port, _))| ports.insert(*port))
                .map(|(id, (port, st))| with_state(listed_server(&format!("s{id}"), 1 + port), state(st)))
                .collect();
            let news = match kind {
                0 => match roster.offer(at_seconds(now), Candidate { digest: Digest([i as u8; 32]), revision: None, servers }) {
                    OfferOutcome::Taken(t) => Some(t.update),
                    _ => None,
                },
                1 => match roster.tick(at_seconds(now)) { Some(OfferOutcome::Taken(t)) => Some(t.update), _ => None },
                2 => roster.remove_departed(at_seconds(now), |id| id.0.ends_with('3')),
                _ => match roster.apply_update(at_seconds(now), Source::Fixed, ListUpdate { kind: ListKind::Changes, servers }) {
                    OfferOutcome::Taken(t) => Some(t.update),
                    _ => None,
                },
            };
            let Some(news) = news else { continue };
            if news.kind == ListKind::Complete {
                told.clear();
            }
            let mut ids = BTreeSet::new();
            for l in news.servers {
                prop_assert!(ids.insert(l.entry.id.clone()), "reported twice in one generation");
                if l.entry.state == ServerState::Gone {
                    told.remove(&l.entry.id);
                } else {
                    prop_assert!(told.get(&l.entry.id) != Some(&l), "reported although nothing changed");
                    told.insert(l.entry.id.clone(), l);
                }
            }
            let held: BTreeMap<ServerId, ListedServer> =
                roster.current().servers.iter().map(|(id, l)| (id.clone(), l.clone())).collect();
            prop_assert_eq!(&told, &held);
            prop_assert!(roster.leaving.keys().all(|id| held.contains_key(id)));
        }
    });
}
