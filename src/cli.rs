//! The command line.

mod quorum_calls;
mod rules_calls;
mod seals;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use crate::config::{Config, ScriptCheck};
use crate::records::{self, Finding, Findings};
use crate::watch::check;
use crate::{disk, log, net};
use quorum_calls::{AskQuorum, ask_quorum};
use rules_calls::{AskRules, ask_rules};
use seals::seal;

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
            let config = read(file.as_deref(), ScriptCheck::Compile)?;
            log::start(log_format);
            let read_again = move || read(file.as_deref(), ScriptCheck::Defer);
            net::run(&config, trace, read_again).map_err(|e| Finding::whole("", e).into())
        }
        Command::Check { config: file } => {
            let config = read(file.as_deref(), ScriptCheck::Compile)?;
            let text =
                file.as_deref().map(|path| (path.display().to_string(), std::fs::read_to_string(path)));
            if let Some((name, Ok(text))) = text {
                records::advice(&name, &text).iter().for_each(|remark| say(&format!("note: {remark}")));
            }
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

/// Reads the operator's file, or what the platform says.
fn read(file: Option<&Path>, check: ScriptCheck) -> Result<Config, Findings> {
    if let Some(file) = file {
        return Config::operator(file, check);
    }
    let env: BTreeMap<String, String> = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect();
    Config::platform(&env)
}
