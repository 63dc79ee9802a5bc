//! `amberspindle-trials`: lists and runs scenarios, and is the broker of its own trials.

use std::path::PathBuf;
use std::process::ExitCode;

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
    /// Measure the time without a holder over many hand-overs
    Measure {
        /// What happens to the holder each time
        how: measure::How,
        /// How often
        #[arg(long, default_value_t = 200)]
        times: usize,
    },
    /// Run all scenarios with one seed after another, so many times
    Soak {
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
        Command::Measure { how, times } => match measure::hand_overs(&program, how, times) {
            Ok(text) => {
                println!("{text}");
                true
            }
            Err(error) => {
                println!("{error}");
                false
            }
        },
        Command::Soak { times } => {
            let mut options = Options { program, seed: 0, mutant: None, patience: PATIENCE, keep: None };
            (1..=times).fold(true, |good, seed| {
                options.seed = seed;
                all().iter().fold(good, |good, name| one(name, &options) && good)
            })
        }
    };
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
        "{name}: {} acts, viewers asked {asked}, answered {answered}, excused {excused}: {}",
        report.acts,
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
