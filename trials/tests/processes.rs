//! A fixed set of trials of real processes, and mutants that they must find. Verdicts rest on what was brought about
//! and awaited, not on how long it took.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amberspindle::mutant::{self, Mutant};
use amberspindle::quorum::book::{Book, Change, Ended, Entry};
use amberspindle::quorum::{Duty, Epoch, Process, Reign};
use amberspindle_trials::run::{Options, PATIENCE, Report, run};
use amberspindle_trials::scenario;

/// Runs in which a mutant must be found.
const RUNS: usize = 3;

fn tried(name: &str, mutant: Option<&str>) -> Report {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_amberspindle-trials"));
    // A mutant may keep what is awaited from ever coming; what counts against it is found all the same.
    let patience = if mutant.is_some() { Duration::from_secs(20) } else { PATIENCE };
    let options = Options { program, seed: 1, mutant: mutant.map(str::to_owned), patience, keep: None };
    run(name, &scenario::named(name).unwrap(), &options).unwrap()
}

/// Does something with each, two at a time: a trial is several processes, and mostly waits.
fn each<T: Sync>(all: &[T], act: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while let Some(one) = all.get(next.fetch_add(1, Ordering::SeqCst)) {
                    act(one);
                }
            });
        }
    });
}

fn scenarios(ci: bool) -> Vec<(&'static str, scenario::Scenario)> {
    let named = scenario::ALL.iter().map(|(name, _)| (*name, scenario::named(name).unwrap()));
    named.filter(|(_, scenario)| scenario.ci == ci).collect()
}

#[test]
fn the_fixed_set_ends_with_nothing_wrong() {
    each(&scenarios(true), |(name, _)| {
        let report = tried(name, None);
        assert!(report.wrong.is_empty(), "{name}: {:#?}\n{:#?}", report.wrong, report.timeline);
        let (asked, answered, _) = report.viewers;
        assert!(report.acts > 0 && asked > 0 && answered > 0, "{name}: nothing was tried");
    });
}

/// A checker that can't fail shows nothing.
fn found(scenarios: &[(&str, scenario::Scenario)]) {
    let mutants: Vec<(&str, &str)> =
        scenarios.iter().flat_map(|(name, s)| s.finds.iter().map(|m| (*name, m.as_str()))).collect();
    // When things happen is the machine's: what one run does not bring about, another does.
    each(&mutants, |(name, mutant)| {
        let found = (0..RUNS).any(|_| {
            let report = tried(name, Some(mutant));
            report.wrong.iter().any(|w| !w.starts_with("not brought about"))
        });
        assert!(found, "{name} does not find {mutant}");
    });
}

#[test]
fn mutants_of_the_fixed_set_are_found() {
    found(&scenarios(true));
}

#[test]
#[ignore = "takes minutes: those of the scenarios that CI leaves out"]
fn the_other_mutants_are_found() {
    found(&scenarios(false));
}

/// This one needs an interleaving that processes rarely have: it is shown on the book itself.
#[test]
fn the_mutant_that_believes_a_deposed_leader_is_found() {
    let ends_a_lease = |wrong| {
        mutant::set_active(wrong);
        let mut book = Book::default();
        book.apply(&Entry::Lead { voter: 1, ballot: 1 });
        let (duty, length) = (Duty("idle".into()), amberspindle::api::Micros(1));
        let (reign, to) = (Reign(1), Process::default());
        book.apply(&Entry::Grant { reign, duty: duty.clone(), to, length });
        book.apply(&Entry::Lead { voter: 2, ballot: 2 });
        let end = Entry::End { reign, duty, epoch: Epoch(1), how: Ended::Expired };
        book.apply(&end) != Change::Void
    };
    assert!(!ends_a_lease(None));
    assert!(ends_a_lease(Some(Mutant::StaleReign)));
    mutant::set_active(None);
}
