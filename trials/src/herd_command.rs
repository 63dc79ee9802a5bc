//! The command `herd`.

use std::path::{Path, PathBuf};
use std::time::Duration;

use amberspindle_trials::herd::processes::Program;
use amberspindle_trials::herd::{Options, run};

/// What `herd` is told.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The seed of deployments, choices and failures
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many deployments: number 0, which is fixed, and others that are drawn
    #[arg(long, default_value_t = 8)]
    deployments: u64,
    /// The first deployment's number
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Brokers
    #[arg(long, default_value_t = 40)]
    processes: usize,
    /// For so long viewers ask, in each deployment
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Viewers for each broker
    #[arg(long, default_value_t = 20)]
    viewers: usize,
    /// The program; this executable's own broker, if it is left out
    #[arg(long, value_name = "FILE", conflicts_with = "mutant")]
    program: Option<PathBuf>,
    /// Run with a wrong way of the program
    #[arg(long)]
    mutant: Option<String>,
    /// Let brokers tell of requests in their logs, so many lines a second at most
    #[arg(long, value_name = "LINES", default_value_t = 0)]
    trace: u32,
    /// Keep the brokers' logs in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Write the reports into this file, as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

impl Arguments {
    /// Runs the deployments one after another and tells of each; whether nothing is wrong with any.
    pub fn run(self, own: &Path) -> bool {
        let program = Program { path: self.program, mutant: self.mutant, trace: self.trace };
        let options = Options {
            program,
            own: own.to_owned(),
            seed: self.seed,
            processes: self.processes,
            load: Duration::from_secs(self.seconds),
            viewers: self.viewers,
            keep: self.keep,
        };
        let mut reports = Vec::new();
        let mut good = true;
        for number in self.first..self.first + self.deployments {
            match run(&options, number) {
                Ok(report) => {
                    println!("{report}");
                    report.log.iter().for_each(|line| println!("    {line}"));
                    good &= report.verdict.good();
                    reports.push(report);
                }
                Err(error) => {
                    println!("deployment {number} of seed {}: {error}", self.seed);
                    good = false;
                }
            }
        }
        if let Some(path) = self.json {
            let written = serde_json::to_vec_pretty(&reports).map_err(std::io::Error::other);
            if let Err(error) = written.and_then(|bytes| std::fs::write(&path, bytes)) {
                println!("{}: {error}", path.display());
                good = false;
            }
        }
        good
    }
}
