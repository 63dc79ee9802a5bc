//! What the command line asks a quorum.

use std::path::{Path, PathBuf};

use clap::Subcommand;

use super::say;
use crate::config::{Config, ScriptCheck};
use crate::quorum::view::Status;
use crate::quorum::{self, record};
use crate::records::{Finding, Findings};
use crate::{log, net};

#[derive(Debug, Subcommand)]
pub(super) enum AskQuorum {
    /// How things stand: who leads, who is there, who holds what
    Show {
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// How it is written
        #[arg(long, value_name = "FORMAT", default_value = "text")]
        format: log::Format,
    },
    /// Have a duty handed on to another process
    HandOn {
        /// Which
        duty: String,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Replace a voter, also one that is dead, by a spare, and wait until the new voters have a leader
    Replace {
        /// The voter that goes
        voter: String,
        /// The process that votes in its place; the same name for one that lost its folder
        #[arg(long, value_name = "NAME")]
        by: String,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Print the fleet's record, joined over all epochs; what does not count is summed up on standard error
    Record {
        /// An operator's file with a [quorum] that takes the duty record
        #[arg(long, value_name = "FILE", required_unless_present = "folder", conflicts_with = "folder")]
        config: Option<PathBuf>,
        /// The record's folder
        #[arg(long, value_name = "FOLDER")]
        folder: Option<PathBuf>,
    },
}

/// The quorum that a file names.
pub(super) fn quorum_of(path: &Path) -> Result<quorum::QuorumConfig, Findings> {
    let required = || Finding {
        file: path.display().to_string(),
        ..Finding::setting("quorum", "required for this command")
    };
    Config::operator(path, ScriptCheck::Compile)?.quorum.ok_or_else(|| required().into())
}

pub(super) fn ask_quorum(ask: AskQuorum) -> Result<(), Findings> {
    let failed = |why: String| Findings::from(Finding::whole("quorum", why));
    match ask {
        AskQuorum::Show { config, format } => {
            let status = net::quorum::show(&quorum_of(&config)?).map_err(failed)?;
            match format {
                log::Format::Json => say(&serde_json::to_string(&status).unwrap_or_default()),
                log::Format::Text => say(&status_text(&status)),
            }
            Ok(())
        }
        AskQuorum::HandOn { duty, config } => {
            net::quorum::hand_on(&quorum_of(&config)?, &duty).map_err(failed)?;
            say(&format!("{duty}: its holder is asked to hand it on"));
            Ok(())
        }
        AskQuorum::Replace { voter, by, config } => {
            let status = net::quorum::replace(&quorum_of(&config)?, &voter, &by).map_err(failed)?;
            say(&status_text(&status));
            Ok(())
        }
        AskQuorum::Record { config, folder } => {
            let folder = match (folder, config) {
                (Some(folder), _) => folder,
                (None, config) => {
                    let setup = quorum_of(&config.unwrap_or_default())?;
                    let required = Finding::setting("quorum.record", "required for this command");
                    setup.record.ok_or(required)?
                }
            };
            let joined = net::quorum::read_record(&folder).map_err(failed)?;
            for line in &joined.lines {
                say(&serde_json::to_string(line).unwrap_or_default());
            }
            eprintln!("{}", record::summary(&joined));
            Ok(())
        }
    }
}

/// A status as people read it.
fn status_text(status: &Status) -> String {
    let leader = status.leader.as_ref().map_or("none known", |l| l.0.as_str());
    let vouched = if status.confirmed { "" } else { ", not vouched for by a majority" };
    let mut lines = vec![format!(
        "told by {}: leader {leader}{vouched}, council {}, reign {}, version {}, {} entries",
        status.member, status.council, status.reign.0, status.version, status.entries
    )];
    lines.extend(status.barred.iter().map(|why| format!("{} has no vote: {why}", status.member)));
    for voter in &status.voters {
        let linked = if voter.linked { "" } else { " (no link)" };
        lines.push(format!("voter {}{linked}", voter.name));
    }
    for member in &status.members {
        let silent = member.silent_ms.map_or(String::new(), |ms| format!(", heard of {ms} ms ago"));
        lines.push(format!("member {} since version {}{silent}", member.name, member.since));
    }
    for duty in &status.duties {
        let left = duty.left_ms.map_or(String::new(), |ms| format!(", {ms} ms left"));
        lines.push(format!("duty {} held by {} under epoch {}{left}", duty.duty, duty.holder, duty.epoch.0));
    }
    lines.join("\n")
}
