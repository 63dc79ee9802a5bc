//! A herd: many brokers as processes of their own under load, seven in ten of them killed at once, and a checker that
//! sees only what their clients and servers see.

pub mod address;
pub mod board;
pub mod checker;
pub mod connection;
pub mod crowd;
pub mod deployment;
pub mod ledger;
mod plan;
pub mod processes;
pub mod report;
pub mod servers;
pub mod settings;
mod stage;
mod stand_ins;
pub mod starved;
mod viewer;
pub mod wire;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use deployment::Deployment;
use processes::Program;
use report::Report;

/// What a herd's run is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// How the program is run.
    pub program: Program,
    /// This executable.
    pub own: PathBuf,
    /// The seed of deployments and choices.
    pub seed: u64,
    /// How many brokers.
    pub processes: usize,
    /// For so long viewers ask.
    pub load: Duration,
    /// Viewers for each broker.
    pub viewers: usize,
    /// Where the brokers' logs go, if they are kept.
    pub keep: Option<PathBuf>,
}

/// Runs the deployment of a number.
pub fn run(options: &Options, number: u64) -> io::Result<Report> {
    stage::run(options, number, Deployment::numbered(options.seed, number))
}
