//! The command line.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use crate::config::Config;
use crate::quorum::{self, record, view::Status};
use crate::records::{self, Finding, Findings};
use crate::rules::document::{self, Rules};
use crate::rules::grade;
use crate::rules::version::{Fate, Proposal};
use crate::watch::check;
use crate::{disk, log, net};

/// A playback broker: it sets viewers' sessions up at streaming servers.
///
/// Without --config the configuration is the JSON file that LB_CONFIG names; LB_NAME and LB_LISTEN go before it.
#[derive(Debug, Parser)]
#[command(name = "amberspindle", version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT; SIGHUP reads the configuration anew
    Serve {
        /// An operator's file (TOML); see deploy/operator.toml
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// How the log is written
        #[arg(long, value_name = "FORMAT", default_value = "text")]
        log_format: log::Format,
        /// Tell of each request in the log, so many lines a second at most; 0: not at all
        #[arg(long, value_name = "LINES", default_value_t = 0)]
        trace: u32,
    },
    /// Say whether the configuration can work, and the files that it watches; one line for each finding
    Check {
        /// An operator's file
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Write the closing mark of watched files that are whole, all of one set together
    Seal {
        /// The files; those that belong together in one call
        #[arg(value_name = "FILE", required_unless_present = "config", conflicts_with = "config")]
        files: Vec<PathBuf>,
        /// All that this operator's file watches
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Print the JSON Schema of a kind of file
    Schema {
        /// Which
        #[arg(default_value = "operator")]
        of: Kind,
    },
    /// Ask the quorum that an operator's file names
    Quorum {
        #[command(subcommand)]
        ask: AskQuorum,
    },
    /// Check, propose and show the rules that the brokers of a quorum agree on
    Rules {
        #[command(subcommand)]
        ask: AskRules,
    },
    /// Print the version
    Version,
}

#[derive(Debug, Subcommand)]
enum AskRules {
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

#[derive(Debug, Subcommand)]
enum AskQuorum {
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

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Kind {
    Operator,
    Servers,
    Weights,
    Titles,
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    main_of(std::env::args_os())
}

/// Does what these arguments say; the first is the program's name.
pub fn main_of(arguments: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    match command(Arguments::parse_from(arguments).command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(findings) => {
            for finding in findings.0 {
                eprintln!("amberspindle: {finding}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Prints a line; whoever reads it may have gone.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}

fn command(command: Command) -> Result<(), Findings> {
    match command {
        Command::Serve { config: file, log_format, trace } => {
            let config = read(file.as_deref())?;
            log::start(log_format);
            net::run(&config, trace, move || read(file.as_deref())).map_err(|e| Finding::whole("", e).into())
        }
        Command::Check { config } => {
            let config = read(config.as_deref())?;
            let read = |path: &Path, most| disk::read(path, most);
            let watched = config.watch.as_ref().map(|setup| check::check(setup, &config.bounds, &read));
            let summary = watched.transpose()?.unwrap_or_default();
            say(&format!("{}: the configuration can work{summary}", config.name));
            Ok(())
        }
        Command::Seal { files, config } => seal(files, config.as_deref()),
        Command::Schema { of } => {
            let kind = of.to_possible_value().map(|v| v.get_name().to_owned()).unwrap_or_default();
            let schema = records::schema(&kind).unwrap_or_default();
            say(&format!("{schema:#}"));
            Ok(())
        }
        Command::Quorum { ask } => ask_quorum(ask),
        Command::Rules { ask } => ask_rules(ask),
        Command::Version => {
            say(concat!("amberspindle ", env!("CARGO_PKG_VERSION")));
            Ok(())
        }
    }
}

/// The quorum that a file names.
fn quorum_of(path: &Path) -> Result<quorum::Setup, Findings> {
    let required = || Finding {
        file: path.display().to_string(),
        ..Finding::setting("quorum", "required for this command")
    };
    Config::operator(path)?.quorum.ok_or_else(|| required().into())
}

fn ask_quorum(ask: AskQuorum) -> Result<(), Findings> {
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

/// A document of rules that can be used, with its text.
fn document(path: &Path) -> Result<(Rules, String), Findings> {
    let name = path.display().to_string();
    let (bytes, _) = disk::read(path, document::LONGEST as u64).map_err(|e| Finding::whole(&name, e))?;
    let text = String::from_utf8(bytes).map_err(|_| Finding::whole(&name, "not UTF-8"))?;
    Ok((Rules::read(&name, &text)?, text))
}

/// Between looks of `rules watch`.
const LOOK_EVERY: std::time::Duration = std::time::Duration::from_millis(200);

fn ask_rules(ask: AskRules) -> Result<(), Findings> {
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

/// Seals files that belong together, or each set that an operator's file watches.
fn seal(files: Vec<PathBuf>, config: Option<&Path>) -> Result<(), Findings> {
    let sets = match config {
        None => vec![files],
        Some(path) => {
            let Some(watch) = Config::operator(path)?.watch else {
                return Err(Finding {
                    file: path.display().to_string(),
                    ..Finding::setting("watch", "required")
                }
                .into());
            };
            let lists = watch.lists.iter().map(|f| f.path.clone()).collect();
            vec![lists, watch.script.iter().map(|(f, _)| f.path.clone()).collect()]
        }
    };
    for set in sets {
        let mut read = Vec::new();
        for path in &set {
            let bytes = disk::read(path, u64::MAX - 1);
            let (bytes, _) = bytes.map_err(|e| Finding::whole(&path.display().to_string(), e))?;
            read.push(bytes);
        }
        let names: Vec<String> = set.iter().map(|p| p.display().to_string()).collect();
        let sealed = check::seal(&names, &read)?;
        for ((path, bytes), name) in set.iter().zip(sealed).zip(&names) {
            disk::replace(path, &bytes)
                .map_err(|e| Finding::whole(name, format!("can't be replaced: {e}")))?;
            say(&format!("{name}: sealed"));
        }
    }
    Ok(())
}

/// Reads the operator's file, or what the platform says.
fn read(file: Option<&Path>) -> Result<Config, Findings> {
    if let Some(file) = file {
        return Config::operator(file);
    }
    let env: BTreeMap<String, String> = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect();
    Config::platform(&env)
}
