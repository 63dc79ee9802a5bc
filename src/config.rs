//! What a playback broker is told when it starts: on the platform by `LB_*`, elsewhere by an operator's file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::api::{Micros, Settings};
use crate::platform::Names;
use crate::wire;

/// A setting that cannot work, by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The setting.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for ConfigError {}

type Read<T> = Result<T, ConfigError>;

fn wrong<T>(field: &str, problem: impl ToString) -> Read<T> {
    Err(ConfigError { field: field.to_owned(), problem: problem.to_string() })
}

/// All of it.
#[derive(Clone, Debug)]
pub struct Config {
    /// The broker's name.
    pub name: String,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// The module's settings.
    pub settings: Settings,
    /// How the settings name things.
    pub names: Names,
    /// Connections to servers that don't come up within this have failed.
    pub connect_timeout: Micros,
    /// Servers close connections that were idle for so long.
    pub idle: Micros,
    /// The platform's front, if it is on.
    pub listen: Option<SocketAddr>,
    /// The notice board, if there is one.
    pub board: Option<SocketAddr>,
    /// The list at the start.
    pub known: Value,
}

/// Gives access to a part of a file by path, for messages that name the field.
struct Part<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Part<'a> {
    fn path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&self, key: &str) -> Option<Part<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(Part { value, path: self.path(key) })
    }

    fn text(&self, key: &str) -> Read<Option<&'a str>> {
        let Some(part) = self.get(key) else { return Ok(None) };
        part.value.as_str().map_or_else(|| wrong(&part.path, "not text"), |t| Ok(Some(t)))
    }

    fn address(&self, key: &str) -> Read<Option<SocketAddr>> {
        let Some(text) = self.text(key)? else { return Ok(None) };
        text.parse().map(Some).or_else(|_| wrong(&self.path(key), "not an address of the form IP:PORT"))
    }

    fn whole(&self, key: &str) -> Read<Option<u64>> {
        let Some(part) = self.get(key) else { return Ok(None) };
        part.value
            .as_u64()
            .map_or_else(|| wrong(&part.path, "not a whole number of 0 or more"), |n| Ok(Some(n)))
    }
}

impl Config {
    /// Reads the configuration of the platform; `LB_NAME` and `LB_LISTEN` repeat what the file says.
    pub fn platform(env: &BTreeMap<String, String>) -> Read<Config> {
        let Some(path) = env.get("LB_CONFIG") else { return wrong("LB_CONFIG", "not set") };
        let text =
            std::fs::read_to_string(path).or_else(|e| wrong("LB_CONFIG", format!("can't be read: {e}")))?;
        let mut value: Value =
            serde_json::from_str(&text).or_else(|e| wrong("LB_CONFIG", format!("not JSON: {e}")))?;
        if !value.is_object() {
            return wrong("LB_CONFIG", "not an object");
        }
        for (key, name) in [("name", "LB_NAME"), ("listen", "LB_LISTEN")] {
            if let Some(set) = env.get(name) {
                value[key] = json!(set);
            }
        }
        let config = Config::read(&value)?;
        if config.listen.is_none() {
            return wrong("listen", "required");
        }
        Ok(config)
    }

    /// Reads a configuration from its JSON.
    pub fn read(value: &Value) -> Read<Config> {
        let root = Part { value, path: String::new() };
        let Some(settings) = root.get("settings") else { return wrong("settings", "required") };
        let parsed = wire::settings(settings.value).or_else(|e| match e.split_once(": ") {
            Some((field, problem)) => wrong(&settings.path(field), problem),
            None => wrong("settings", e),
        })?;
        let limits = settings.value.get("Limits");
        let limit = |key: &str, or: f64| {
            Micros::from_ms(limits.and_then(|l| l.get(key)).and_then(Value::as_f64).unwrap_or(or))
        };
        let seed = match root.text("seed")? {
            None => fastrand::u64(..),
            Some(text) => {
                u64::from_str_radix(text, 16).or_else(|_| wrong("seed", "not up to 16 hex digits"))?
            }
        };
        let sockets = match root.get("limits") {
            Some(limits) => limits.whole("sockets")?.unwrap_or(1024),
            None => 1024,
        };
        if sockets < 32 {
            return wrong("limits.sockets", "fewer than 32");
        }
        Ok(Config {
            name: root.text("name")?.unwrap_or("amberspindle").to_owned(),
            seed,
            sockets: sockets as usize,
            names: names(settings.value),
            connect_timeout: limit("ConnectTimeout", 250.0),
            idle: limit("Keepalive", 0.0),
            settings: parsed,
            listen: root.address("listen")?,
            board: root.address("board")?,
            known: root.get("known").map_or(Value::Null, |k| k.value.clone()),
        })
    }
}

fn names(settings: &Value) -> Names {
    let list = |key: &str| -> Vec<String> {
        let items = settings.get(key).and_then(Value::as_array).into_iter().flatten();
        let name = |v: &Value| v.as_str().or_else(|| v.get("Name")?.as_str()).unwrap_or("").to_owned();
        items.map(name).collect()
    };
    Names {
        classes: list("RequestClasses"),
        tenants: list("Tenants"),
        zones: list("Azs"),
        kinds: list("Kinds"),
    }
}
