//! The command line.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use amberspindle::config::{Config, ConfigError};
use amberspindle::net;

const HELP: &str = "\
amberspindle: a playback broker

usage: amberspindle serve [--config FILE]      serve until SIGTERM or SIGINT;
                                             SIGHUP reads the configuration anew
       amberspindle check [--config FILE]      say whether the configuration can work
       amberspindle version                    print the version
       amberspindle help                       print this

options: --config FILE          an operator's file (TOML); see deploy/operator.toml

Without --config the configuration is the JSON file that LB_CONFIG names; LB_NAME and LB_LISTEN go before it.";

fn main() -> ExitCode {
    match command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("amberspindle: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    if arguments.contains(["-V", "--version"]) {
        return version();
    }
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    let file: Option<PathBuf> = arguments.opt_value_from_str("--config").map_err(|e| e.to_string())?;
    let rest = arguments.finish();
    if let Some(extra) = rest.first() {
        return Err(format!("{}: not understood; see 'amberspindle help'", extra.to_string_lossy()));
    }
    match command.as_deref() {
        Some("serve") => {
            let config = read(file.as_deref()).map_err(|e| e.to_string())?;
            net::run(&config, move || read(file.as_deref())).map_err(|e| e.to_string())
        }
        Some("check") => read(file.as_deref())
            .map_err(|e| e.to_string())
            .map(|config| println!("{}: the configuration can work", config.name)),
        Some("version") => version(),
        Some("help") | None => {
            println!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("{other}: no such command; see 'amberspindle help'")),
    }
}

fn version() -> Result<(), String> {
    println!("amberspindle {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

/// Reads the operator's file, or what the platform says.
fn read(file: Option<&Path>) -> Result<Config, ConfigError> {
    if let Some(file) = file {
        return Config::operator(file);
    }
    let env: BTreeMap<String, String> = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect();
    Config::platform(&env)
}
