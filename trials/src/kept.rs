//! What a run leaves in its folder, and judging it once more from there.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::check::{self, Wrong};
use crate::history::{self, Line};
use crate::viewers::Asked;

/// What a run was, and what came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct About {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The wrong way that all processes went.
    pub mutant: Option<String>,
    /// The program: its version, and the digest of the file.
    pub build: String,
    /// Late lines of the record that the scenario brings about itself.
    pub late_lines: usize,
    /// Milliseconds for which two processes may act on different versions of a limit.
    pub skew_ms: u64,
    /// The longest time for which two did.
    pub overlap_ms: u64,
    /// Requests of viewers: asked, answered once, excused.
    pub viewers: (u64, u64, u64),
    /// Acts that were judged.
    pub acts: usize,
    /// What was wrong.
    pub wrong: Wrong,
}

/// What is judged, beside the record.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Told {
    /// What all processes logged.
    pub lines: Vec<Line>,
    /// What viewers asked for.
    pub asked: Vec<Asked>,
    /// The offers that each box was asked to set up.
    pub boxes: Vec<Vec<String>>,
}

/// The program's version and the digest of its file.
pub fn build(program: &Path) -> String {
    let digest = std::fs::read(program).map(|bytes| blake3::hash(&bytes).to_hex()[..16].to_owned());
    format!("{} {}", env!("CARGO_PKG_VERSION"), digest.unwrap_or_default())
}

impl Told {
    /// What is wrong with it, together with the record in the run's folder.
    pub fn judged(&self, folder: &Path, late_lines: usize, skew_ms: u64) -> Wrong {
        let mut wrong = check::all(&self.lines, &folder.join("record"), late_lines);
        wrong.extend(check::set_ups(&self.asked, &self.boxes));
        let overlap = check::overlap(&self.lines) / 1_000;
        if overlap > skew_ms {
            wrong.push(format!("limits: two that differ were acted on for {overlap} ms, {skew_ms} may be"));
        }
        wrong
    }
}

impl About {
    /// Leaves it all in the run's folder: `run` and `told` for `check` and `report`, the rest for people.
    pub fn keep(&self, folder: &Path, told: &Told) -> std::io::Result<()> {
        let log: Vec<String> = told.lines.iter().map(|l| format!("{}#{} {}", l.who, l.run, l.text)).collect();
        std::fs::write(folder.join("run"), serde_json::to_vec_pretty(self)?)?;
        std::fs::write(folder.join("told"), serde_json::to_vec(told)?)?;
        std::fs::write(folder.join("history"), log.join("\n"))?;
        std::fs::write(folder.join("timeline"), history::timeline(&told.lines).join("\n"))?;
        std::fs::write(folder.join("timeline.svg"), history::svg(&told.lines))
    }

    /// Reads a run's folder.
    pub fn read(folder: &Path) -> Result<(About, Told), String> {
        let read = |name: &str| {
            let path = folder.join(name);
            std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))
        };
        let failed = |name: &str, e: serde_json::Error| format!("{}: {e}", folder.join(name).display());
        let about = serde_json::from_slice(&read("run")?).map_err(|e| failed("run", e))?;
        let told = serde_json::from_slice(&read("told")?).map_err(|e| failed("told", e))?;
        Ok((about, told))
    }

    /// A line of a report.
    pub fn line(&self) -> String {
        let (asked, answered, excused) = self.viewers;
        let mutant = self.mutant.as_ref().map_or(String::new(), |m| format!(" as {m}"));
        let verdict = if self.wrong.is_empty() { "good" } else { "WRONG" };
        format!(
            "{} seed {}{mutant}: {} acts, viewers asked {asked}, answered {answered}, excused {excused}, limits that differ for {} ms: {verdict} (build {})",
            self.scenario, self.seed, self.acts, self.overlap_ms, self.build
        )
    }
}

/// The runs kept in a folder, or the one that it is.
pub fn runs(folder: &Path) -> Result<Vec<std::path::PathBuf>, String> {
    if folder.join("run").exists() {
        return Ok(vec![folder.to_owned()]);
    }
    let entries = std::fs::read_dir(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut found: Vec<_> = entries.flatten().map(|e| e.path()).filter(|p| p.join("run").exists()).collect();
    found.sort();
    if found.is_empty() { Err(format!("{}: no run is kept here", folder.display())) } else { Ok(found) }
}
