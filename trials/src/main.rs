//! `amberspindle-trials`: lists and runs scenarios, and is the broker of its own trials.

mod herd_command;
mod soak_command;

use std::path::PathBuf;
use std::process::ExitCode;

use amberspindle_trials::kept::{About, Told, runs};
use amberspindle_trials::measure;
use amberspindle_trials::run::{Options, PATIENCE, folder_of, run};
use amberspindle_trials::scenario;
use clap::{Parser, Subcommand};

/// Trials of several broker processes with faults between them.
#[derive(Debug, Parser)]
#[command(name = "amberspindle-trials", version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Name the scenarios, and what each brings about
    List,
    /// Run scenarios; ends with 0 if nothing is wrong
    Run {
        /// Which; `all` for all
        #[arg(required = true)]
        names: Vec<String>,
        /// The seed of noise and choices
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run with a wrong way of the program
        #[arg(long)]
        mutant: Option<String>,
        /// Keep each run's folder in this one: history, timeline, journals
        #[arg(long, value_name = "FOLDER")]
        keep: Option<PathBuf>,
    },
    /// Judge kept runs once more, from what they left; ends with 0 if nothing is wrong
    Check {
        /// A run's folder, or the folder that `--keep` named
        folder: PathBuf,
    },
    /// Tell what kept runs were and what came of each
    Report {
        /// A run's folder, or the folder that `--keep` named
        folder: PathBuf,
    },
    /// Measure the time without a holder over many hand-overs
    Measure {
        /// What happens to the holder each time
        how: measure::How,
        /// How often
        #[arg(long, default_value_t = 200)]
        times: usize,
    },
    /// Measure what a quorum of so many processes costs each of them, quiet and without its leader
    Load {
        /// Processes; three of them vote
        brokers: usize,
        /// For so long each
        #[arg(long, default_value_t = 20)]
        seconds: u64,
    },
    /// Count hand-overs for which there is no cause, with all cores busy
    Quiet {
        /// For so long
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Measure set-ups with the quorum off, on, and on with all peers cut off
    Viewers {
        /// Rounds of the three
        #[arg(long, default_value_t = 10)]
        rounds: usize,
        /// For so long each
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
    /// Measure how long changes of a limit take to be in force, and for how long two limits were acted on
    Rules {
        /// How often, with nothing wrong and with one broker cut off
        #[arg(long, default_value_t = 200)]
        times: usize,
    },
    /// Measure grants a second, and how a voter catches up that missed so many entries
    Log {
        /// Entries
        #[arg(long, default_value_t = 100_000)]
        missed: u64,
    },
    /// Kill seven in ten of many brokers under load; ends with 0 if no request was lost, late or set up twice
    Herd(herd_command::Arguments),
    /// Run short dense trials of planned ends among faults, one a seed; ends with 0 if no rule is broken
    Soak(soak_command::Arguments),
    /// Run all scenarios with one seed after another, so many times
    Repeat {
        /// How often
        #[arg(long, default_value_t = 10)]
        times: u64,
    },
}

fn main() -> ExitCode {
    let mut arguments: Vec<std::ffi::OsString> = std::env::args_os().collect();
    // The program under trial is this executable with one word before its own arguments.
    if arguments.get(1).is_some_and(|word| word == "broker") {
        arguments.remove(1);
        // Whatever becomes of the rig, its brokers do not outlive it.
        let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
        return amberspindle::cli::main_of(arguments);
    }
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("amberspindle-trials: {error}");
            return ExitCode::FAILURE;
        }
    };
    let all = || scenario::ALL.iter().map(|(name, _)| (*name).to_owned()).collect::<Vec<_>>();
    let good = match Arguments::parse_from(arguments).command {
        Command::List => {
            for name in all() {
                let about = scenario::named(&name).map_or_else(|e| e, |s| s.about);
                println!("{name}: {about}");
            }
            true
        }
        Command::Run { names, seed, mutant, keep } => {
            let names = if names == ["all"] { all() } else { names };
            let mut options = Options { program, seed, mutant, patience: PATIENCE, keep: None };
            names.iter().fold(true, |good, name| {
                options.keep = keep.as_ref().map(|keep| folder_of(keep, name, seed));
                one(name, &options) && good
            })
        }
        Command::Check { folder } => of_kept(&folder, |path, about, told| {
            let wrong = told.judged(path, about.late_lines, about.skew_ms);
            println!("{}: {}", path.display(), if wrong.is_empty() { "good" } else { "WRONG" });
            wrong.iter().take(20).for_each(|wrong| println!("  wrong: {wrong}"));
            wrong.is_empty()
        }),
        Command::Report { folder } => of_kept(&folder, |_, about, told| {
            println!("{}", about.line());
            let timeline = amberspindle_trials::history::timeline(&told.lines);
            timeline.iter().take(40).for_each(|line| println!("  {line}"));
            about.wrong.iter().take(20).for_each(|wrong| println!("  wrong: {wrong}"));
            true
        }),
        Command::Herd(arguments) => arguments.run(&program),
        Command::Measure { how, times } => measured(measure::hand_overs(&program, how, times)),
        Command::Load { brokers, seconds } => measured(measure::load(&program, brokers, seconds)),
        Command::Quiet { seconds } => measured(measure::quiet(&program, seconds)),
        Command::Viewers { rounds, seconds } => measured(measure::viewers(&program, rounds, seconds)),
        Command::Rules { times } => measured(measure::rules(&program, times)),
        Command::Log { missed } => measured(measure::log(missed)),
        Command::Soak(arguments) => arguments.run(&program),
        Command::Repeat { times } => {
            let mut options = Options { program, seed: 0, mutant: None, patience: PATIENCE, keep: None };
            (1..=times).fold(true, |good, seed| {
                options.seed = seed;
                all().iter().fold(good, |good, name| one(name, &options) && good)
            })
        }
    };
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints what was measured; whether it was.
fn measured(done: Result<String, String>) -> bool {
    let good = done.is_ok();
    println!("{}", done.unwrap_or_else(|error| error));
    good
}

/// Does something with each kept run; whether all is well.
fn of_kept(folder: &std::path::Path, act: impl Fn(&std::path::Path, &About, &Told) -> bool) -> bool {
    let runs = runs(folder).and_then(|runs| {
        runs.into_iter().map(|path| About::read(&path).map(|(about, told)| (path, about, told))).collect()
    });
    let runs: Vec<_> = match runs {
        Ok(runs) => runs,
        Err(error) => {
            println!("{error}");
            return false;
        }
    };
    runs.iter().fold(true, |good, (path, about, told)| act(path, about, told) && good)
}

/// Runs one and tells of it; whether all is well.
fn one(name: &str, options: &Options) -> bool {
    let report = scenario::named(name).and_then(|s| run(name, &s, options));
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            println!("{name}: {error}");
            return false;
        }
    };
    let (asked, answered, excused) = report.viewers;
    println!(
        "{name}: {} acts, viewers asked {asked}, answered {answered}, excused {excused}, limits that differ for {} ms: {}",
        report.acts,
        report.overlap_ms,
        if report.wrong.is_empty() { "good" } else { "WRONG" }
    );
    for line in report.timeline.iter().take(40) {
        println!("  {line}");
    }
    for wrong in report.wrong.iter().take(20) {
        println!("  wrong: {wrong}");
    }
    report.wrong.is_empty()
}
