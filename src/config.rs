//! What a playback broker is told when it starts: on the platform by `LB_*`, elsewhere by an operator's file.

mod json;
mod operator;
mod sections;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::api::{Micros, Settings};
use crate::eureka;
use crate::quorum;
use crate::records::{Bounds, Finding, Findings};
use crate::roster::{ListedServer, SettingNames};
use crate::watch;
use crate::whip;

pub use sections::title;

type Read<T> = Result<T, Findings>;

fn wrong<T>(field: &str, problem: impl ToString) -> Read<T> {
    Err(Finding::setting(field, problem).into())
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
    /// Bytes of memory that it may hold.
    pub memory: usize,
    /// The module's settings.
    pub settings: Settings,
    /// How the settings name things.
    pub names: SettingNames,
    /// Connections to servers that don't come up within this have failed.
    pub connect_timeout: Micros,
    /// Servers close connections that were idle for so long.
    pub idle: Micros,
    /// The platform's front, if it is on.
    pub listen: Option<SocketAddr>,
    /// A listening socket that this process inherits in the place of `listen`.
    pub inherited: Option<i32>,
    /// The second address, where staff call, if there is one.
    pub console: Option<SocketAddr>,
    /// The notice board, if there is one.
    pub board: Option<SocketAddr>,
    /// The file as it was read, but for the notice board's events.
    pub raw: Value,
    /// The notice board's list at the start.
    pub known: Value,
    /// A fixed list of servers.
    pub servers: Vec<ListedServer>,
    /// What lists of servers and titles may hold.
    pub bounds: Bounds,
    /// Files that are watched, if any are.
    pub watch: Option<watch::WatchConfig>,
    /// The WHIP front, if it is on.
    pub whip: Option<Whip>,
    /// The registry, if there is one.
    pub eureka: Option<eureka::EurekaConfig>,
    /// The quorum, if this process is part of one.
    pub quorum: Option<quorum::QuorumConfig>,
    /// The operator's script, if there is one that is not watched.
    pub hook: Option<HookConfig>,
}

/// The operator's script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HookConfig {
    /// Its text.
    pub text: String,
    /// The number of operations that one call may do.
    pub operations: u64,
}

/// Whether the operator's script is compiled while a configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptCheck {
    /// The script is compiled.
    Compile,
    /// The caller compiles it, on a thread that serves nobody.
    Defer,
}

/// The WHIP front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whip {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The rest.
    pub setup: whip::WhipConfig,
}

impl Config {
    /// Settings in which another configuration differs and which only a new start can take in.
    pub fn fixed(&self, new: &Config) -> Vec<&'static str> {
        let listen = |config: &Config| config.whip.as_ref().map(|w| w.listen);
        [
            ("name", self.name != new.name),
            ("limits", (self.sockets, self.memory) != (new.sockets, new.memory)),
            ("listen", self.listen != new.listen),
            ("console", self.console != new.console),
            ("whip.listen", listen(self) != listen(new)),
            ("eureka", self.eureka != new.eureka),
            ("watch", self.watch != new.watch),
            ("quorum", self.quorum != new.quorum),
        ]
        .into_iter()
        .filter_map(|(field, differs)| differs.then_some(field))
        .collect()
    }

    /// Reads the configuration of the platform; `LB_NAME`, `LB_LISTEN` and `LB_CONSOLE` go before what the file
    /// says.
    pub fn platform(env: &BTreeMap<String, String>) -> Read<Config> {
        let Some(path) = env.get("LB_CONFIG") else { return wrong("LB_CONFIG", "not set") };
        let text =
            std::fs::read_to_string(path).or_else(|e| wrong("LB_CONFIG", format!("can't be read: {e}")))?;
        let mut value: Value =
            serde_json::from_str(&text).or_else(|e| wrong("LB_CONFIG", format!("not JSON: {e}")))?;
        if !value.is_object() {
            return wrong("LB_CONFIG", "not an object");
        }
        for (key, name) in [("name", "LB_NAME"), ("listen", "LB_LISTEN"), ("console", "LB_CONSOLE")] {
            if let Some(set) = env.get(name) {
                value[key] = json!(set);
            }
        }
        let mut config = Config::read(&value)?;
        if let Some(number) = env.get("LB_SOCKET_FD") {
            let read = number.trim().parse().ok().filter(|n| *n >= 0);
            config.inherited =
                Some(read.map_or_else(|| wrong("LB_SOCKET_FD", "not a descriptor's number"), Ok)?);
        }
        if config.listen.is_none() {
            return wrong("listen", "required");
        }
        if value.get("known").is_some_and(|known| !known.is_null()) {
            value["known"] = json!({});
        }
        config.raw = value;
        Ok(config)
    }
}
