//! Plays days and prints what was counted.

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
}

fn main() {
    let arguments = Arguments::parse();
    println!(
        "seed  served  short  tries/request  full  connections/session  most/mean  in time  refused  changes  p99 ms"
    );
    for seed in 1..=arguments.seeds {
        let mut plan = Plan::crowded(seed, arguments.brokers, arguments.boxes);
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
    }
}
