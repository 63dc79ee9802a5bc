//! What the quorum costs viewers: set-ups a second and their times with it off, on, and on with all peers cut off.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use super::on_rig;
use crate::run::Rig;
use crate::scenario::Step;
use crate::viewers::ask;

/// Clients that ask one broker at a time.
const CLIENTS: usize = 4;

/// Rounds of each of the three, in turn, so that what else the machine does falls on all alike.
pub fn viewers(program: &Path, rounds: usize, seconds: u64) -> Result<String, String> {
    on_rig(program, "viewers", "lease_ms = 1000\n", |rig| viewers_on(rig, rounds, seconds))
}

fn viewers_on(rig: &mut Rig<'_>, rounds: usize, seconds: u64) -> Result<String, String> {
    rig.begin_quietly()?;
    rig.step(&Step::Held { duty: "idle".into(), acts: 2 })?;
    let alone = rig.start_alone("alone")?;
    let on = rig.http("broker-1")?;
    let mut times: [(Vec<u64>, f64); 3] = Default::default();
    let mut tag = 0;
    for _ in 0..rounds {
        for (kind, address) in [alone, on, on].into_iter().enumerate() {
            if kind == 2 {
                rig.step(&Step::Cut { from: "broker-1".into(), to: "all".into(), both: true })?;
            }
            tag += 1;
            let begun = Instant::now();
            times[kind].0.extend(round(address, tag, Duration::from_secs(seconds)));
            times[kind].1 += begun.elapsed().as_secs_f64();
            if kind == 2 {
                rig.step(&Step::Heal {})?;
                rig.step(&Step::Held { duty: "idle".into(), acts: 2 })?;
            }
        }
    }
    let mut told =
        vec![format!("{rounds} rounds of {seconds} s, {CLIENTS} clients, a clip set up and ended each time")];
    let rate = |i: usize| times[i].0.len() as f64 / times[i].1;
    let quantile = |i: usize, part: f64| {
        let mut sorted = times[i].0.clone();
        sorted.sort_unstable();
        let at = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(at).copied().unwrap_or(0) as f64 / 1000.0
    };
    for (i, name) in ["no quorum", "quorum", "all peers cut off"].into_iter().enumerate() {
        told.push(format!(
            "{name}: {:.0} set-ups/s ({:.3} of the first), p50 {:.2} ms, p99 {:.2} ms ({:.3})",
            rate(i),
            rate(i) / rate(0),
            quantile(i, 0.5),
            quantile(i, 0.99),
            quantile(i, 0.99) / quantile(0, 0.99)
        ));
    }
    Ok(told.join("\n"))
}

/// Times in microseconds of set-ups that were answered once, by clients that ask without a pause.
fn round(address: SocketAddr, tag: usize, span: Duration) -> Vec<u64> {
    let until = Instant::now() + span;
    let client = |number: usize| {
        let mut times = Vec::new();
        while Instant::now() < until {
            let begun = Instant::now();
            if ask(address, &format!("measure-{tag}-{number}-{}", times.len()), false) == Some(1) {
                times.push(begun.elapsed().as_micros() as u64);
            }
        }
        times
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(move || client(n))).collect();
        clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect()
    })
}
