//! The command `soak`.

use std::ops::Range;
use std::path::{Path, PathBuf};

use amberspindle_trials::herd::processes::Program;
use amberspindle_trials::soak::ends::AfterTerm;
use amberspindle_trials::soak::plan::Plan;
use amberspindle_trials::soak::plan::rows::{ROWS, Row};
use amberspindle_trials::soak::{Options, run};

/// What `soak` is told.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one trial each
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The program; this executable's own broker, if it is left out
    #[arg(long, value_name = "FILE", conflicts_with = "mutant")]
    program: Option<PathBuf>,
    /// Run with a wrong way of the program
    #[arg(long)]
    mutant: Option<String>,
    /// Play the fixed plans of planned ends instead, each with all seeds
    #[arg(long)]
    ends: bool,
    /// Let brokers tell of requests in their logs, so many lines a second at most
    #[arg(long, value_name = "LINES", default_value_t = 0)]
    trace: u32,
}

impl Arguments {
    /// Runs the trials one after another and tells of each; whether nothing is broken in any.
    pub fn run(self, own: &Path) -> bool {
        let program = Program { path: self.program, mutant: self.mutant, trace: self.trace };
        let options = Options { program, own: own.to_owned() };
        if self.ends {
            return play_rows(&options, self.seed..self.seed + self.seeds);
        }
        let mut broken = Vec::new();
        for seed in self.seed..self.seed + self.seeds {
            match run(&options, &Plan::draw(seed)) {
                Ok(report) => {
                    println!("{report}");
                    broken.extend((!report.good()).then_some(seed));
                }
                Err(error) => {
                    println!("seed {seed}: {error}");
                    broken.push(seed);
                }
            }
        }
        println!("{} seeds, broken: {broken:?}", self.seeds);
        broken.is_empty()
    }
}

/// Plays the fixed plans side by side, each with one seed after another; whether nothing is broken in any.
fn play_rows(options: &Options, seeds: Range<u64>) -> bool {
    let play = |row: &'static Row| {
        let (options, seeds) = (options.clone(), seeds.clone());
        std::thread::spawn(move || play_row(&options, row, seeds))
    };
    let rows: Vec<_> = ROWS.iter().map(play).collect();
    // Each is waited for, whatever came of the others.
    let good: Vec<bool> = rows.into_iter().map(|row| row.join().unwrap_or(false)).collect();
    good.into_iter().all(|good| good)
}

fn play_row(options: &Options, row: &Row, seeds: Range<u64>) -> bool {
    let (mut requests, mut ends, mut sent_again, mut trials) = (0, 0, 0, 0);
    let (mut rules, mut after_term) = (std::collections::BTreeMap::new(), AfterTerm::default());
    for seed in seeds {
        match run(options, &row.plan(seed)) {
            Ok(report) => {
                trials += 1;
                requests += report.requests;
                ends += report.ends;
                sent_again += report.sent_again;
                after_term.add(&report.after_term);
                report.rules().into_iter().for_each(|(rule, n)| *rules.entry(rule).or_insert(0) += n);
            }
            Err(error) => {
                println!("{}, seed {seed}: {error}", row.name);
                rules.insert("not played", 1);
            }
        }
    }
    println!(
        "{}: {trials} seeds, {ends} ends, {requests} requests, {sent_again} sent again; broken: {rules:?}; {after_term}",
        row.name
    );
    rules.is_empty()
}
