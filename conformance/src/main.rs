//! The command line of the conformance suite.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;

use amberspindle_conformance::cases::{CASES, Endpoint};
use amberspindle_conformance::media::{Does, Media};
use amberspindle_conformance::report::{Format, Report};
use clap::{Parser, Subcommand};

/// Checks WHIP and WHEP endpoints, and stands in for media servers
#[derive(Debug, Parser)]
#[command(name = "amberspindle-conformance", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the cases against an endpoint; ends with a status other than 0 if one fails
    Check {
        /// http://IP:PORT/PATH
        url: String,
        /// Only the cases whose names hold this
        #[arg(long, default_value = "")]
        only: String,
        /// How the report is written
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Print the names of the cases and what they hold an endpoint to
    Cases,
    /// Stand in for media servers until the program is ended
    Media {
        /// Where each listens
        #[arg(required = true)]
        listen: Vec<SocketAddr>,
        /// What they do with set-ups
        #[arg(long, default_value = "answers")]
        does: Does,
    },
}

fn say(text: &str) {
    // Whoever reads it may have gone.
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Check { url, only, format } => {
            let Some(endpoint) = Endpoint::parse(&url) else {
                eprintln!("{url}: not of the form http://IP:PORT/PATH");
                return ExitCode::FAILURE;
            };
            let report = Report::run(&endpoint, &only);
            say(&report.write(format));
            if report.count("failed") == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Command::Cases => {
            CASES.iter().for_each(|case| say(&format!("{}: {}", case.name, case.source)));
            ExitCode::SUCCESS
        }
        Command::Media { listen, does } => {
            for address in listen {
                match Media::listen(address, does) {
                    Ok(media) => say(&format!("media server at {}", media.address)),
                    Err(error) => {
                        eprintln!("{address}: {error}");
                        return ExitCode::FAILURE;
                    }
                }
            }
            loop {
                std::thread::park();
            }
        }
    }
}
