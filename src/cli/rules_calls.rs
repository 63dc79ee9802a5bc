//! What the command line does with rules.

use std::path::{Path, PathBuf};

use clap::Subcommand;

use super::quorum_calls::quorum_of;
use super::say;
use crate::records::{Finding, Findings};
use crate::rules::document::{self, Rules};
use crate::rules::grade;
use crate::rules::version::{Fate, Proposal};
use crate::{disk, log, net};

#[derive(Debug, Subcommand)]
pub(super) enum AskRules {
    /// Say whether a document can be used
    Check {
        /// The document
        file: PathBuf,
    },
    /// Say what differs between the version in force and a document, with how far both may be acted on at once
    Diff {
        /// The document
        file: PathBuf,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Propose a document, and wait until it is in force
    Propose {
        /// The document
        file: PathBuf,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// The version that must be in force; left out: whichever is
        #[arg(long, value_name = "NUMBER")]
        parent: Option<u64>,
        /// What it is for
        #[arg(long, default_value = "")]
        note: String,
        /// Who proposes it
        #[arg(long, default_value = "operator")]
        author: String,
        /// Do not wait
        #[arg(long)]
        announce: bool,
    },
    /// The version in force and the announced one, with the document in force
    Show {
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// How it is written
        #[arg(long, value_name = "FORMAT", default_value = "text")]
        format: log::Format,
    },
    /// The last versions and what became of them
    History {
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Which process acts on which version
    Who {
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Propose the document of an earlier version again, as a new one, and wait until it is in force
    Rollback {
        /// The earlier version's number
        number: u64,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Print each change of what is announced or in force, until interrupted
    Watch {
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Withdraw the announced version
    Abort {
        /// Its number
        number: u64,
        /// An operator's file with a [quorum]
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

/// A document of rules that can be used, with its text.
fn document(path: &Path) -> Result<(Rules, String), Findings> {
    let name = path.display().to_string();
    let (bytes, _) = disk::read(path, document::LONGEST as u64).map_err(|e| Finding::whole(&name, e))?;
    let text = String::from_utf8(bytes).map_err(|_| Finding::whole(&name, "not UTF-8"))?;
    Ok((Rules::read(&name, &text)?, text))
}

/// Between looks of `rules watch`.
const LOOK_EVERY: std::time::Duration = std::time::Duration::from_millis(200);

pub(super) fn ask_rules(ask: AskRules) -> Result<(), Findings> {
    let failed = |why: String| Findings::from(Finding::whole("rules", why));
    match ask {
        AskRules::Check { file } => {
            let (rules, _) = document(&file)?;
            let (limits, barred) = (rules.limit.len(), rules.server.len());
            say(&format!("{}: {limits} limits, {barred} barred servers", file.display()));
        }
        AskRules::Diff { file, config } => {
            let (rules, _) = document(&file)?;
            let status = net::quorum::rules(&quorum_of(&config)?).map_err(failed)?;
            let old =
                status.ruled.force.as_ref().map_or(Ok(Rules::default()), |v| Rules::read("", &v.text))?;
            for change in grade::diff(&old, &rules) {
                let (grade, why) = change.kind.grade();
                say(&format!("{}: {} ({}: {why})", change.field, change.what, grade.name()));
            }
        }
        AskRules::Propose { file, config, parent, note, author, announce } => {
            let (_, text) = document(&file)?;
            let proposal = Proposal { text, parent, author, note, at_ms: 0 };
            let number = net::quorum::propose(&quorum_of(&config)?, &proposal, !announce).map_err(failed)?;
            say(&format!("version {number} is {}", if announce { "announced" } else { "in force" }));
        }
        AskRules::Show { config, format } => {
            let status = net::quorum::rules(&quorum_of(&config)?).map_err(failed)?;
            match format {
                log::Format::Json => say(&serde_json::to_string(&status).unwrap_or_default()),
                log::Format::Text => {
                    let vouched = if status.confirmed { "" } else { ", not vouched for by a majority" };
                    say(&format!("told by {}{vouched}", status.member));
                    for (state, version) in
                        [("in force", &status.ruled.force), ("announced", &status.ruled.announced)]
                    {
                        match version {
                            Some(v) => {
                                say(&format!("version {} {state}: by {}, {:?}", v.number, v.author, v.note))
                            }
                            None => say(&format!("no version {state}")),
                        }
                    }
                    if let Some(force) = &status.ruled.force {
                        say(force.text.trim_end());
                    }
                }
            }
        }
        AskRules::History { config } => {
            let status = net::quorum::rules(&quorum_of(&config)?).map_err(failed)?;
            for past in &status.ruled.past {
                let fate = match &past.fate {
                    Fate::Followed => "was in force".to_owned(),
                    Fate::Withdrawn(why) => format!("was withdrawn: {why}"),
                };
                let v = &past.version;
                say(&format!("version {} on {}, by {}, {:?}: {fate}", v.number, v.parent, v.author, v.note));
            }
        }
        AskRules::Who { config } => {
            let status = net::quorum::rules(&quorum_of(&config)?).map_err(failed)?;
            for who in &status.who {
                say(&format!(
                    "{} acts on version {}, has accepted {}, for {} ms at most",
                    who.name, who.told, who.accepted, who.left_ms
                ));
            }
        }
        AskRules::Rollback { number, config } => {
            let setup = quorum_of(&config)?;
            let status = net::quorum::rules(&setup).map_err(failed)?;
            let past = status.ruled.past.iter().find(|p| p.version.number == number);
            let found = past.filter(|p| p.fate == Fate::Followed && !p.version.text.is_empty());
            let version = found.map(|p| &p.version).ok_or_else(|| {
                failed(format!(
                    "version {number}: was not in force, or its document is no longer kept; see history"
                ))
            })?;
            let proposal = Proposal {
                text: version.text.clone(),
                author: "operator".into(),
                note: format!("back to version {number}"),
                ..Proposal::default()
            };
            let number = net::quorum::propose(&setup, &proposal, true).map_err(failed)?;
            say(&format!("version {number} is in force"));
        }
        AskRules::Watch { config } => {
            let setup = quorum_of(&config)?;
            let mut last = None;
            loop {
                // Voters that do not answer for a while are asked again.
                if let Ok(status) = net::quorum::rules(&setup) {
                    let now = (status.ruled.force(), status.ruled.announced());
                    if last.replace(now) != Some(now) {
                        say(&format!(
                            "told by {}: version {} in force, {} announced",
                            status.member, now.0, now.1
                        ));
                    }
                }
                std::thread::sleep(LOOK_EVERY);
            }
        }
        AskRules::Abort { number, config } => {
            net::quorum::abort(&quorum_of(&config)?, number).map_err(failed)?;
            say(&format!("version {number} is withdrawn"));
        }
    }
    Ok(())
}
