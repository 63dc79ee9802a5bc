//! Plays days and prints what was counted.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use amberspindle_lab::deployment::Deployment;
use amberspindle_lab::plan::Plan;
use amberspindle_lab::tally::Tally;
use amberspindle_lab::world::World;
use clap::Parser;

/// Plays crowded days of a fleet on a virtual clock and prints a line for each seed.
#[derive(Debug, Parser)]
#[command(name = "amberspindle-lab", version)]
struct Arguments {
    /// Brokers
    #[arg(long, default_value_t = 100)]
    brokers: usize,
    /// Media boxes
    #[arg(long, default_value_t = 60)]
    boxes: usize,
    /// Days, from seed 1 on
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Requests a second over all brokers; without it what fills most of the links in the crowd
    #[arg(long)]
    rate: Option<f64>,
    /// A file that describes the deployment; without it the laboratory's first one
    #[arg(long, conflicts_with = "drawn")]
    deployment: Option<PathBuf>,
    /// Draw a deployment from each day's seed
    #[arg(long)]
    drawn: bool,
}

/// Reads a deployment from a file; the error is for the command line.
fn read(path: &Path) -> Result<Deployment, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Deployment::read(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let named = match arguments.deployment.as_deref().map(read).transpose() {
        Ok(named) => named.unwrap_or_else(Deployment::video),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let mut kept = true;
    println!(
        "seed  served  short  tries/request  full  connections/session  most/mean  in time  refused  changes  p99 ms"
    );
    for seed in 1..=arguments.seeds {
        let deployment = if arguments.drawn { Deployment::drawn(seed) } else { named.clone() };
        let mut plan = Plan::of(deployment, seed, arguments.brokers, arguments.boxes).with_crowd();
        plan.rate = arguments.rate.unwrap_or(plan.rate);
        let mut world = World::new(plan);
        world.play();
        let t: &Tally = &world.tally;
        println!(
            "{seed:>4}  {:>6.3}  {:>5.0}  {:>13.3}  {:>4}  {:>19.3}  {:>9.2}  {:>7.3}  {:>7}  {:>7}  {:>6.0}",
            t.served(),
            t.short,
            t.tries_a_request(),
            t.full,
            t.connections_a_session(),
            t.max_over_mean(arguments.boxes),
            t.in_time as f64 / t.first.max(1) as f64,
            t.refused,
            t.changes,
            t.took_ms(0.99)
        );
        for broken in &world.rules.broken {
            println!("      broken: {} at {:?}: {}", broken.rule, broken.at, broken.what);
        }
        kept &= world.rules.broken.is_empty();
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
