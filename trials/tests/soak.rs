//! Soaks in their short form, with fixed seeds: no rule is broken, and each wrong way is found.

use std::path::PathBuf;

use amberspindle_trials::herd::processes::Program;
use amberspindle_trials::soak::plan::Plan;
use amberspindle_trials::soak::plan::rows::ROWS;
use amberspindle_trials::soak::report::Report;
use amberspindle_trials::soak::{Options, run};

fn options(mutant: Option<&str>) -> Options {
    let program = Program { path: None, mutant: mutant.map(str::to_owned), trace: 0 };
    Options { program, own: PathBuf::from(env!("CARGO_BIN_EXE_amberspindle-trials")) }
}

fn soak(seed: u64, mutant: Option<&str>) -> Report {
    let report = run(&options(mutant), &Plan::draw(seed)).unwrap();
    println!("{report}");
    report
}

/// One with sockets of the brokers' own, one with inherited ones.
#[test]
fn drawn_trials_break_no_rule() {
    for seed in [1, 12] {
        let report = soak(seed, None);
        assert!(report.requests > 500 && report.ends > 1, "too little was tried: {report}");
        assert!(report.good(), "{report}");
    }
}

#[test]
fn planned_ends_under_steady_traffic_break_no_rule() {
    let rows = ROWS.iter().filter(|row| row.name.ends_with(" 1.2 s"));
    for row in rows {
        let report = run(&options(None), &row.plan(1)).unwrap();
        println!("{report}");
        assert!(report.ends == 3 && report.good(), "{}: {report}", row.name);
    }
}

#[test]
fn a_process_that_takes_the_time_of_its_work_is_found() {
    let report = soak(1, Some("late-doors"));
    assert!(report.rules().iter().any(|(rule, _)| *rule == "killed"), "{report}");
}

#[test]
fn a_plan_is_drawn_from_its_seed_alone() {
    for seed in 0..200 {
        let (one, other) = (Plan::draw(seed), Plan::draw(seed));
        assert_eq!((one.to_string(), one.acts), (other.to_string(), other.acts));
        assert!((1..=5).contains(&one.brokers) && (8..=24).contains(&one.servers));
    }
}
