//! Measurements. Here the time without a holder, over many hand-overs: from the moment at which something happens to the holder to the
//! moment at which the next one holds the duty.

mod load;
mod log;
mod rules;
mod viewers;

use std::path::Path;
use std::time::Duration;

pub use load::{load, quiet};
pub use log::log;
pub use rules::rules;
pub use viewers::viewers;

use crate::history::Line;
use crate::run::{Options, PATIENCE, Rig, boot_now};
use crate::scenario::{Scenario, Step};
use clap::ValueEnum;

/// What happens to the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum How {
    /// It is told to end.
    Term,
    /// It is killed.
    Kill,
    /// It is stopped, and continued once another holds the duty.
    Stop,
    /// It is cut off from all, until another holds the duty.
    Cut,
    /// The leader, which is no holder, is killed: the time until another leads.
    Leader,
}

/// The last that took the duty, and when.
fn taken(lines: &[Line]) -> Option<(u64, u64, String)> {
    let took = lines.iter().filter(|l| l.event() == "duty.took" && l.field("duty") == Some("idle"));
    took.filter_map(|l| Some((l.number("epoch")?, l.number("at")?, l.who.clone()))).max()
}

/// A scenario without steps, with these settings.
fn scenario(settings: &str) -> Result<Scenario, String> {
    toml::from_str(&format!("about = \"\"\nstep = []\n{settings}")).map_err(|e| e.to_string())
}

/// Measures on a rig with these settings, of which nothing is started yet; its folder goes with it.
fn on_rig<T>(
    program: &Path,
    name: &str,
    settings: &str,
    act: impl FnOnce(&mut Rig<'_>) -> Result<T, String>,
) -> Result<T, String> {
    let scenario = scenario(settings)?;
    let options =
        Options { program: program.to_owned(), seed: 1, mutant: None, patience: PATIENCE, keep: None };
    let folder = std::env::temp_dir().join(format!("amberspindle-{name}-{}", std::process::id()));
    let _scratch = crate::process::Scratch(folder.clone(), false);
    act(&mut Rig::new(&scenario, &options, folder)?)
}

/// Measures so many hand-overs with leases of a second; gives a line of text.
pub fn hand_overs(program: &Path, how: How, times: usize) -> Result<String, String> {
    let name = format!("measure-{how:?}");
    on_rig(program, &name, "takers = [4, 5]\n", |rig| hand_overs_on(rig, how, times))
}

fn hand_overs_on(rig: &mut Rig<'_>, how: How, times: usize) -> Result<String, String> {
    rig.begin()?;
    let mut spans = Vec::new();
    for _ in 0..times {
        rig.step(&Step::Held { duty: "idle".into(), acts: 2 })?;
        if how == How::Leader {
            spans.push(rig.lead_over()?);
            continue;
        }
        let (epoch, _, who) = taken(&rig.history.lines()).ok_or("nobody holds the duty")?;
        let (begun, back) = (boot_now(), who.clone());
        match how {
            How::Term => rig.step(&Step::Term { who })?,
            How::Kill => rig.step(&Step::Kill { who })?,
            How::Stop => rig.step(&Step::Stop { who })?,
            How::Cut | How::Leader => rig.step(&Step::Cut { from: who, to: "all".into(), both: true })?,
        }
        let next = |lines: &[Line]| taken(lines).filter(|(of, ..)| *of > epoch).map(|(_, at, _)| at);
        let at = rig.history.wait(PATIENCE, next).ok_or("nobody took the duty")?;
        spans.push(at.saturating_sub(begun));
        match how {
            How::Term | How::Kill => rig.step(&Step::Start { who: back, folder: "keep".into() })?,
            How::Stop => rig.step(&Step::Continue { who: back })?,
            How::Cut | How::Leader => rig.step(&Step::Heal {})?,
        }
        // The next blow falls at any moment between two beats.
        std::thread::sleep(Duration::from_millis(fastrand::u64(0..400)));
    }
    spans.sort_unstable();
    Ok(format!("{how:?}: {} times, {}", spans.len(), quantiles(&spans)))
}

/// Figures of spans in microseconds that are sorted.
fn quantiles(spans: &[u64]) -> String {
    let part = |p: f64| {
        let at = ((spans.len() as f64 * p) as usize).min(spans.len().saturating_sub(1));
        spans.get(at).copied().unwrap_or(0) / 1000
    };
    format!("p50 {} ms, p99 {} ms, most {} ms", part(0.5), part(0.99), part(1.0))
}

impl Rig<'_> {
    /// Kills the leader; the time until another leads.
    fn lead_over(&mut self) -> Result<u64, String> {
        let (reign, who) = crate::history::leader(&self.history.lines()).ok_or("nobody leads")?;
        let begun = boot_now();
        self.step(&Step::Kill { who: who.clone() })?;
        let next =
            |lines: &[Line]| crate::history::leader(lines).filter(|(of, _)| *of > reign).map(|_| boot_now());
        let at = self.history.wait(PATIENCE, next).ok_or("nobody led")?;
        self.step(&Step::Start { who, folder: "keep".into() })?;
        Ok(at.saturating_sub(begun))
    }
}
