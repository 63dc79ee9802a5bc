//! How long a version of the rules takes from its announcement until it is in force, and the longest time for which
//! two processes acted on limits that differ.

use std::collections::BTreeMap;
use std::path::Path;

use super::{on_rig, quantiles};
use crate::check;
use crate::run::Rig;
use crate::scenario::Step;

/// So many changes of a limit with nothing wrong, then as many with one of five brokers cut off, each time another
/// moment before the change.
pub fn rules(program: &Path, times: usize) -> Result<String, String> {
    on_rig(program, "rules", "lease_ms = 1000\n", |rig| rules_on(rig, times))
}

fn rules_on(rig: &mut Rig<'_>, times: usize) -> Result<String, String> {
    rig.begin()?;
    rig.step(&Step::Held { duty: "idle".into(), acts: 2 })?;
    let mut told = vec![format!("five brokers, beats each 200 ms, skew_ms 2,000, {times} changes each")];
    let mut figure = 400;
    for cut in [false, true] {
        let from = rig.history.len();
        for _ in 0..times {
            // Each version has a figure of its own, tighter and looser in turn, well above what viewers ask for.
            figure += 1;
            let per_s = if figure % 2 == 0 { figure } else { 1_000_000 - figure };
            if cut {
                std::thread::sleep(std::time::Duration::from_millis(fastrand::u64(0..200)));
                rig.step(&Step::Cut { from: "broker-5".into(), to: "all".into(), both: true })?;
            }
            rig.step(&Step::Propose { per_s, never_two: false, announce: false, barred: None })?;
            if cut {
                rig.step(&Step::Heal {})?;
                rig.step(&Step::Ruled { who: "broker-5".into(), per_s })?;
            }
        }
        let lines = &rig.history.lines()[from..];
        let mut spans: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for line in lines {
            let (Some(number), Some(at)) = (line.number("number"), line.number("at")) else { continue };
            let span = spans.entry(number).or_insert((u64::MAX, u64::MAX));
            match line.event() {
                "log.announced" => span.0 = span.0.min(at),
                "log.enforced" => span.1 = span.1.min(at),
                _ => {}
            }
        }
        let whole = spans.into_values().filter(|(a, b)| *a < u64::MAX && *b < u64::MAX);
        let mut spans: Vec<u64> = whole.map(|(a, b)| b.saturating_sub(a)).collect();
        spans.sort_unstable();
        let how = if cut { "one of five cut off" } else { "nothing wrong" };
        let overlap = check::overlap(lines) / 1_000;
        told.push(format!(
            "{how}: announced to in force {}; limits that differ for {overlap} ms",
            quantiles(&spans)
        ));
    }
    Ok(told.join("\n"))
}
