//! The command line.

use std::io::{self, Write as _};
use std::path::PathBuf;
use std::process::ExitCode;

use amberspindle_fleetlog::fold::Fold;
use amberspindle_fleetlog::table::{self, By, Table};
use amberspindle_fleetlog::{follow, page, read};
use clap::{Args, Parser, Subcommand, ValueEnum};

/// Reads the logs of many brokers that were started with --trace.
///
/// A PATH is a file, the log of one broker, or a folder of such files.
#[derive(Debug, Parser)]
#[command(name = "amberspindle-fleetlog", version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Follow one session through every broker that touched it
    Follow {
        /// The session, 16 hex digits
        id: String,
        /// Logs
        #[arg(required = true)]
        paths: Vec<PathBuf>,
    },
    /// The whole fleet in a few figures
    Summary(Counted),
    /// A table: by second, server, zone, title, class or tenant
    By {
        /// Which
        what: By,
        #[command(flatten)]
        counted: Counted,
    },
    /// One HTML page with plots and all tables
    Html {
        /// The page to write
        #[arg(long, value_name = "FILE", default_value = "fleet.html")]
        out: PathBuf,
        #[command(flatten)]
        counted: Counted,
    },
}

#[derive(Debug, Args)]
struct Counted {
    /// Logs
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// How tables are written
    #[arg(long, default_value = "text")]
    format: Format,
    /// A server counts as just started for so many milliseconds
    #[arg(long, value_name = "MS", default_value_t = 12_000)]
    cold_ms: u64,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Csv,
    Json,
}

fn main() -> ExitCode {
    match command(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        // Whoever reads the output may have seen enough.
        Err(Failed::Write(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("amberspindle-fleetlog: {error}");
            ExitCode::FAILURE
        }
    }
}

enum Failed {
    Write(io::Error),
    Other(String),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::Write(error) => write!(f, "the output can't be written: {error}"),
            Failed::Other(problem) => f.write_str(problem),
        }
    }
}

fn other(problem: impl std::fmt::Display) -> Failed {
    Failed::Other(problem.to_string())
}

/// Counts, and says what could not be.
fn count(counted: &Counted) -> Result<Fold, Failed> {
    let files = read::files(&counted.paths).map_err(other)?;
    let (fold, met) = read::count(&files, counted.cold_ms).map_err(other)?;
    if fold.records == 0 {
        return Err(other(format!(
            "no records in {} files: were the brokers started with `serve --trace LINES`?",
            files.len()
        )));
    }
    if met.unreadable + met.cut > 0 {
        eprintln!(
            "amberspindle-fleetlog: {} lines can't be read, {} files end within a line",
            met.unreadable, met.cut
        );
    }
    if fold.left_out != (0, 0) {
        let (lines, sessions) = fold.left_out;
        eprintln!(
            "amberspindle-fleetlog: brokers left {sessions} sessions and {lines} lines out: counts are too low"
        );
    }
    Ok(fold)
}

fn print(table: &Table, format: Format) -> Result<(), Failed> {
    let mut out = io::stdout().lock();
    match format {
        Format::Text => out.write_all(table.text().as_bytes()).map_err(Failed::Write),
        Format::Json => writeln!(out, "{:#}", table.json()).map_err(Failed::Write),
        Format::Csv => table.csv(out).map_err(|e| match e.into_kind() {
            csv::ErrorKind::Io(error) => Failed::Write(error),
            kind => other(format!("{kind:?}")),
        }),
    }
}

fn command(command: Command) -> Result<(), Failed> {
    match command {
        Command::Follow { id, paths } => {
            let id = follow::id(&id).map_err(other)?;
            let steps = follow::follow(&read::files(&paths).map_err(other)?, &id).map_err(other)?;
            let Some(first) = steps.iter().find_map(|step| step.at_us) else {
                return Err(other(format!("{id}: no broker tells of it")));
            };
            let mut out = io::stdout().lock();
            for step in steps {
                let at = step
                    .at_us
                    .map_or_else(String::new, |at| format!("{:.3}", at.saturating_sub(first) as f64 / 1e6));
                writeln!(out, "{at:>9}  {:<8} {}", step.broker, step.line).map_err(Failed::Write)?;
            }
            Ok(())
        }
        Command::Summary(counted) => print(&table::summary(&count(&counted)?), counted.format),
        Command::By { what, counted } => print(&table::by(&count(&counted)?, what), counted.format),
        Command::Html { out, counted } => {
            let fold = count(&counted)?;
            let page = page::page(&fold, "A fleet of playback brokers").map_err(other)?;
            std::fs::write(&out, page).map_err(|e| other(format!("{}: {e}", out.display())))
        }
    }
}
