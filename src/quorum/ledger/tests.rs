use super::*;
use crate::quorum::{Incarnation, Voter};

fn setup() -> QuorumConfig {
    let voter = |n: u16| Voter { name: Name(format!("v{n}")), address: ([127, 0, 0, 1], n).into() };
    QuorumConfig {
        cluster: "c".into(),
        name: Name("v1".into()),
        listen: None,
        folder: None,
        voters: (1..=3).map(voter).collect(),
        spares: Vec::new(),
        lease: Micros(1000),
        beat: Micros(200),
        election: Micros(300),
        drift: 0.1,
        stuck: Micros(5000),
        gone: Micros(3000),
        fresh: Micros(1_900_000),
        fronts: None,
        duties: Vec::new(),
        record: None,
    }
}

fn process(name: &str, run: u64) -> Process {
    Process { name: Name(name.into()), incarnation: Incarnation(run) }
}

fn duty() -> Duty {
    Duty("idle".into())
}

fn beat(of: &Process, seq: u64) -> Heartbeat {
    let (wants, gives, progress) = (vec![(duty(), 1)], Vec::new(), Vec::new());
    let (version, draining, counts) = (0, false, Counts::default());
    let (council, offer, rules) = (1, None, Default::default());
    Heartbeat {
        process: of.clone(),
        seq,
        version,
        wants,
        gives,
        progress,
        draining,
        counts,
        council,
        offer,
        rules,
    }
}

/// A book under the reign of voter 1 in which a process may hold the duty.
fn book(holder: Option<&Process>) -> Book {
    let mut book = Book::default();
    book.apply(&Entry::Lead { voter: 1, ballot: 1 });
    if let Some(to) = holder {
        let (reign, to, length) = (Reign(1), to.clone(), Micros(1000));
        book.apply(&Entry::Grant { reign, duty: duty(), to, length });
    }
    book
}

fn ledger(book: &Book, now: u64) -> Ledger {
    Ledger::new(&setup(), &Council::first(&setup()), 1, 1, book.reign, BootTime(now), book)
}

/// One beat, vouched for by a majority.
fn answered(ledger: &mut Ledger, now: u64, beat: Heartbeat, book: &Book) -> HeartbeatReply {
    assert!(ledger.beat(BootTime(now), Via::Own, beat, book).is_none(), "it waits for a majority");
    let confirm = ledger.ask(BootTime(now)).unwrap();
    let mut told = ledger.confirmed(BootTime(now), 2, confirm, book);
    assert_eq!(told.len(), 1);
    told.remove(0).1
}

fn ends(entries: &[Entry]) -> Vec<Ended> {
    entries.iter().filter_map(|e| if let Entry::End { how, .. } = e { Some(*how) } else { None }).collect()
}

#[test]
fn no_beat_is_answered_before_a_majority_vouches_for_what_was_asked_after_it() {
    let a = process("a", 1);
    let book = book(Some(&a));
    let mut ledger = ledger(&book, 0);
    ledger.beat(BootTime(10), Via::Own, beat(&a, 1), &book);
    let first = ledger.ask(BootTime(10)).unwrap();
    // A beat that came while the question was out is not vouched for by its answer.
    ledger.beat(BootTime(20), Via::Conn(4), beat(&process("b", 1), 1), &book);
    assert_eq!(ledger.ask(BootTime(20)), None, "one question at a time");
    let told = ledger.confirmed(BootTime(30), 3, first, &book);
    assert_eq!(told.iter().map(|(via, _)| *via).collect::<Vec<_>>(), [Via::Own]);
    assert_eq!(told[0].1.holds.len(), 1);
    let second = ledger.ask(BootTime(30)).unwrap();
    assert!(ledger.confirmed(BootTime(40), 3, first, &book).is_empty(), "the first again");
    assert_eq!(ledger.confirmed(BootTime(40), 3, second, &book)[0].0, Via::Conn(4));
}

#[test]
fn a_question_that_was_lost_is_asked_anew_with_all_beats_that_wait() {
    let book = book(None);
    let mut ledger = ledger(&book, 0);
    ledger.beat(BootTime(10), Via::Own, beat(&process("a", 1), 1), &book);
    let lost = ledger.ask(BootTime(10)).unwrap();
    ledger.beat(BootTime(200), Via::Conn(1), beat(&process("b", 1), 1), &book);
    assert_eq!(ledger.ask(BootTime(200)), None);
    let again = ledger.ask(BootTime(310)).unwrap();
    assert!(ledger.confirmed(BootTime(320), 2, lost, &book).is_empty(), "too late for that one");
    assert_eq!(ledger.confirmed(BootTime(330), 2, again, &book).len(), 2);
}

#[test]
fn a_new_leader_waits_a_full_length_and_its_part_for_drift() {
    let a = process("a", 1);
    let book = book(Some(&a));
    let mut ledger = ledger(&book, 5000);
    assert!(ends(&ledger.decide(BootTime(6099), &book)).is_empty());
    assert_eq!(ends(&ledger.decide(BootTime(6100), &book)), [Ended::Expired]);
    // Once its end is proposed it is not renewed, whoever comes back.
    assert!(answered(&mut ledger, 6101, beat(&a, 9), &book).holds.is_empty());
    assert!(ends(&ledger.decide(BootTime(6102), &book)).is_empty(), "proposed once");
    assert_eq!(ends(&ledger.decide(BootTime(1_006_200), &book)), [Ended::Expired], "it came to nothing");
}

#[test]
fn an_answered_beat_puts_the_end_off_by_a_full_length_from_the_answer() {
    let a = process("a", 1);
    let book = book(Some(&a));
    let mut ledger = ledger(&book, 0);
    answered(&mut ledger, 900, beat(&a, 1), &book);
    assert!(ends(&ledger.decide(BootTime(1999), &book)).is_empty());
    assert_eq!(ends(&ledger.decide(BootTime(2000), &book)), [Ended::Expired]);
}

#[test]
fn a_lease_belongs_to_one_run_of_a_process() {
    let (old, new) = (process("a", 1), process("a", 2));
    let book = book(Some(&old));
    let mut ledger = ledger(&book, 0);
    assert!(answered(&mut ledger, 10, beat(&new, 1), &book).holds.is_empty());
    let told = ledger.beat(BootTime(20), Via::Own, beat(&old, 7), &book).unwrap();
    assert!(told.twin && told.holds.is_empty(), "it is told at once that another came later");
    assert_eq!(ends(&ledger.decide(BootTime(1100), &book)), [Ended::Expired], "and its lease runs out");
}

#[test]
fn what_is_given_back_ends_at_once_and_only_by_its_holder() {
    let (a, b) = (process("a", 1), process("b", 1));
    let book = book(Some(&a));
    let mut ledger = ledger(&book, 0);
    let gives = vec![(duty(), Epoch(1))];
    ledger.beat(BootTime(10), Via::Own, Heartbeat { gives: gives.clone(), ..beat(&b, 1) }, &book);
    assert!(ends(&ledger.decide(BootTime(11), &book)).is_empty(), "not its own");
    ledger.beat(BootTime(12), Via::Own, Heartbeat { gives, ..beat(&a, 1) }, &book);
    assert_eq!(ends(&ledger.decide(BootTime(13), &book)), [Ended::Released]);
}

#[test]
fn a_holder_that_is_heard_of_but_makes_no_progress_loses_its_duty() {
    let a = process("a", 1);
    let book = book(Some(&a));
    let mut ledger = ledger(&book, 0);
    let mut at = |now: u64, count: u64| {
        let progress = vec![(duty(), Epoch(1), count)];
        answered(&mut ledger, now, Heartbeat { progress, ..beat(&a, now) }, &book).holds.len()
    };
    assert_eq!((at(100, 1), at(5000, 2), at(9900, 2)), (1, 1, 1));
    assert_eq!(at(10_000, 2), 0, "no progress for 5,000");
    assert_eq!(ends(&ledger.decide(BootTime(11_000), &book)), [Ended::Stuck]);
}

#[test]
fn one_of_all_that_want_it_gets_a_duty_and_those_that_drain_do_not() {
    let book = book(None);
    let mut ledger = ledger(&book, 0);
    for i in 0..30 {
        let draining = i % 2 == 0;
        ledger.beat(
            BootTime(300),
            Via::Own,
            Heartbeat { draining, ..beat(&process(&format!("m{i}"), 1), 1) },
            &book,
        );
    }
    assert!(ledger.clone().decide(BootTime(399), &book).is_empty(), "all are heard first");
    let entries = ledger.decide(BootTime(400), &book);
    let grants: Vec<&Process> = entries
        .iter()
        .filter_map(|e| if let Entry::Grant { to, .. } = e { Some(to) } else { None })
        .collect();
    assert_eq!(grants.len(), 1);
    let number: u32 = grants[0].name.0[1..].parse().unwrap();
    assert_eq!(number % 2, 1);
    assert!(
        ledger.decide(BootTime(401), &book).iter().all(|e| !matches!(e, Entry::Grant { .. })),
        "asked once"
    );
}

#[test]
fn duties_spread_by_weight_and_one_that_lost_leases_waits_longer() {
    let names: Vec<Name> = (0..4).map(|i| Name(format!("m{i}"))).collect();
    let share = |weights: [f64; 4]| {
        let mut got = [0; 4];
        for d in 0..2000 {
            let duty = Duty(format!("d{d}"));
            let scores: Vec<f64> = (0..4).map(|i| rendezvous(&duty, &names[i], weights[i])).collect();
            let best = (0..4).max_by(|a, b| scores[*a].total_cmp(&scores[*b])).unwrap();
            got[best] += 1;
        }
        got
    };
    assert!(share([1.0; 4]).iter().all(|n| (400..600).contains(n)));
    let by_weight = share([3.0, 1.0, 1.0, 1.0]);
    assert!((900..1100).contains(&by_weight[0]), "{by_weight:?}");
    let mut book = book(None);
    let favourite = {
        let mut ledger = ledger(&book, 0);
        for i in 0..4 {
            ledger.beat(BootTime(400), Via::Own, beat(&process(&format!("m{i}"), 1), 1), &book);
        }
        ledger.choose(BootTime(400), &duty(), &book).unwrap()
    };
    for epoch in 1..=10 {
        let (duty, holder) = (duty(), favourite.clone());
        book.past.push_back(super::super::book::Past {
            duty,
            holder,
            epoch: Epoch(epoch),
            how: Ended::Expired,
        });
    }
    let mut ledger = ledger(&book, 0);
    for i in 0..4 {
        ledger.beat(BootTime(400), Via::Own, beat(&process(&format!("m{i}"), 1), 1), &book);
    }
    assert_ne!(ledger.choose(BootTime(400), &duty(), &book).unwrap(), favourite);
    let mut alone = Ledger::new(&setup(), &Council::first(&setup()), 1, 1, book.reign, BootTime(0), &book);
    alone.beat(BootTime(400), Via::Own, beat(&favourite, 1), &book);
    assert_eq!(alone.choose(BootTime(400), &duty(), &book), Some(favourite), "but not for good");
}

#[test]
fn members_come_after_two_beats_and_go_after_a_long_silence() {
    let (a, mut book) = (process("a", 1), book(None));
    let mut ledger = ledger(&book, 0);
    let joins = |entries: Vec<Entry>| {
        entries.into_iter().filter(|e| matches!(e, Entry::Join { .. })).collect::<Vec<_>>()
    };
    ledger.beat(BootTime(10), Via::Own, beat(&a, 1), &book);
    assert!(joins(ledger.decide(BootTime(11), &book)).is_empty());
    ledger.beat(BootTime(210), Via::Own, beat(&a, 2), &book);
    let join = joins(ledger.decide(BootTime(211), &book)).remove(0);
    let change = book.apply(&join);
    assert_eq!(change, Change::Joined(a.clone()));
    ledger.changed(&change);
    let leaves = |entries: Vec<Entry>| entries.iter().filter(|e| matches!(e, Entry::Leave { .. })).count();
    assert_eq!(leaves(ledger.decide(BootTime(3209), &book)), 0);
    assert_eq!(leaves(ledger.decide(BootTime(3210), &book)), 1);
}

#[test]
fn a_duty_that_is_to_be_handed_on_is_asked_back_and_goes_elsewhere_first() {
    let (a, b) = (process("a", 1), process("b", 1));
    let mut book = book(Some(&a));
    let mut ledger = ledger(&book, 0);
    assert!(!ledger.hand_on(BootTime(5), &Duty("record".into()), &book), "nobody holds it");
    assert!(ledger.hand_on(BootTime(5), &duty(), &book));
    assert_eq!(answered(&mut ledger, 500, beat(&a, 1), &book).back, [duty()]);
    answered(&mut ledger, 500, beat(&b, 1), &book);
    let (reign, how) = (book.reign, Ended::Released);
    let change = book.apply(&Entry::End { reign, duty: duty(), epoch: Epoch(1), how });
    ledger.changed(&change);
    assert_eq!(ledger.choose(BootTime(600), &duty(), &book), Some(b));
}
