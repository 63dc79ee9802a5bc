//! What a playback broker is told when it starts: on the platform by `LB_*`, elsewhere by an operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

use crate::api::{Micros, Settings};
use crate::eureka;
use crate::hook::Hook;
use crate::quorum;
use crate::records::{
    Bounds, EurekaRecord, Finding, Findings, HookRecord, OperatorFile, QuorumRecord, Source, TitleRecord,
    WatchRecord, WhipRecord,
};
use crate::roster::{ListedServer, SettingNames, ShrinkLimit};
use crate::watch;
use crate::watch::judge::{self, Role, WatchedFile};
use crate::whip::{self, Title};
use crate::wire;

type Read<T> = Result<T, Findings>;

/// The share of the memory for the popularity of titles that have no session: some 14,000 titles at 192 MiB.
const TITLE_MEMORY_DIVISOR: usize = 64;

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
    /// The platform's file as it was read, but for the notice board's list; nothing for an operator's file.
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
    /// The script, if there is one, and the operations it may do in a call.
    pub hook: Option<(String, u64)>,
}

/// The WHIP front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whip {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The rest.
    pub setup: whip::WhipConfig,
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

/// A title as the WHIP front takes it.
pub fn title(record: &TitleRecord, names: &SettingNames) -> (String, Title) {
    let tenant = record.tenant.as_ref().and_then(|t| names.tenant(t)).unwrap_or(0);
    let class = names.class(&record.class).unwrap_or(0);
    (record.name.clone(), Title { home: record.home, copies: record.copies, class, tenant })
}

fn ms(told: Option<u64>, or: u64) -> Micros {
    Micros(told.unwrap_or(or).saturating_mul(1000))
}

fn whip(record: &WhipRecord, file: &OperatorFile, names: &SettingNames) -> Whip {
    let setup = whip::WhipConfig {
        titles: file.title.iter().map(|title| self::title(title, names)).collect(),
        origin: record.origin.clone().unwrap_or_else(|| "*".to_owned()),
        reclaim: ms(record.reclaim_ms, 10_000),
        spent: ms(record.spent_ms, 24 * 3_600_000),
        most_bookings: record.most_bookings.unwrap_or(100_000) as usize,
        ice: record.ice_server.iter().map(|server| server.link()).collect(),
    };
    Whip { listen: record.listen.0, setup }
}

fn read_eureka(record: &EurekaRecord, config: &Config) -> Read<eureka::EurekaConfig> {
    let form = "not of the form http://IP:PORT/PATH";
    let Some(rest) = record.url.strip_prefix("http://") else { return wrong("eureka.url", form) };
    let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address = address.parse().or_else(|_| wrong("eureka.url", form))?;
    let path = path.trim_end_matches('/');
    let path = if path.is_empty() { String::new() } else { format!("/{path}") };
    let plain = |field: &str, text: &str| -> Read<String> {
        let good = |b: u8| b.is_ascii_alphanumeric() || b"-._:~".contains(&b);
        let good = !text.is_empty() && text.bytes().all(good);
        if good { Ok(text.to_owned()) } else { wrong(field, "letters, digits and -._:~ only") }
    };
    let register = match &record.register {
        None => None,
        Some(app) => {
            let whip = config.whip.as_ref().map(|w| w.listen);
            let Some(address) = record.advertise.map(|a| a.0).or(config.listen).or(whip) else {
                return wrong("eureka.advertise", "required");
            };
            let id = plain("eureka.register", &format!("{}:{}", config.name, address.port()))?;
            Some(eureka::Registration { app: plain("eureka.register", app)?, id, address })
        }
    };
    let period = |told: Option<u64>, or: u64| ms(Some(told.unwrap_or(or).max(100)), or);
    let (fetch, beat) = (period(record.fetch_ms, 5_000), period(record.heartbeat_ms, 30_000));
    Ok(eureka::EurekaConfig { address, path, servers: record.servers.clone(), register, fetch, beat })
}

/// What is watched; paths start from the folder of the operator's file.
fn watched(record: &WatchRecord, hook: Option<&HookRecord>, base: &Path) -> Read<watch::WatchConfig> {
    let file = |role: Role, name: &String| WatchedFile { role, name: name.clone(), path: base.join(name) };
    let lists: Vec<WatchedFile> =
        [(Role::Servers, &record.servers), (Role::Weights, &record.weights), (Role::Titles, &record.titles)]
            .into_iter()
            .filter_map(|(role, name)| name.as_ref().map(|name| file(role, name)))
            .collect();
    for (i, one) in lists.iter().enumerate() {
        if let Some(other) = lists[..i].iter().find(|other| other.path == one.path) {
            let field = format!("watch.{}", one.role.name());
            return wrong(&field, format!("{} is watch.{} too", one.name, other.role.name()));
        }
    }
    if record.unsealed && lists.len() > 1 {
        let reason = "only where one list is watched: without seals nothing ties several files together";
        return wrong("watch.unsealed", reason);
    }
    let script = hook.map(|h| (file(Role::Script, &h.script), h.operations.unwrap_or(OPERATIONS)));
    Ok(watch::WatchConfig {
        lists,
        script,
        base: base.to_owned(),
        unsealed: record.unsealed,
        notify: record.notify.unwrap_or(true),
        poll: ms(record.poll_ms, 2_000),
        most: record.most_kb.unwrap_or(16 * 1024) * 1024,
        plausible: ShrinkLimit {
            max_dropped_fraction: record.most_dropped.unwrap_or(0.5),
            hold: ms(record.hold_ms, 60_000),
        },
        state: record.state.as_ref().map(|dir| base.join(dir)),
    })
}

/// How long a process may go by its rules by its own clock, so that no clock within `drift` of the true one makes
/// that longer than this span, nor the leader's count of it, which is longer by the same part.
fn fresh(skew: Micros, drift: f64) -> Micros {
    Micros((skew.0 as f64 / (1.0 + drift).powi(2)).floor() as u64)
}

/// What the file says of the quorum; paths start from its folder.
fn read_quorum(record: &QuorumRecord, name: &str, base: &Path) -> quorum::QuorumConfig {
    let lease = record.lease_ms.unwrap_or(2_000);
    let name = quorum::Name(name.to_owned());
    let voter = |v: &crate::records::VoterRecord| quorum::Voter {
        name: quorum::Name(v.name.clone()),
        address: v.address.0,
    };
    let of = |spare| record.voter.iter().filter(move |v| v.spare == spare);
    let voters: Vec<quorum::Voter> = of(false).map(voter).collect();
    let spares: Vec<quorum::Voter> = of(true).map(voter).collect();
    let own = voters.iter().chain(&spares).find(|v| v.name == name).map(|v| v.address);
    quorum::QuorumConfig {
        cluster: record.cluster.clone(),
        listen: own.map(|own| record.listen.map_or(own, |a| a.0)),
        folder: record.folder.as_ref().map(|dir| base.join(dir)),
        lease: ms(Some(lease), lease),
        beat: ms(record.beat_ms, (lease / 5).max(20)),
        election: ms(record.election_ms, 150),
        drift: record.drift.unwrap_or(0.01),
        stuck: ms(record.stuck_ms, lease * 10),
        gone: ms(record.gone_ms, lease * 3),
        fresh: fresh(ms(None, record.skew()), record.drift.unwrap_or(0.01)),
        fronts: record.fronts.then(|| ms(record.settle_ms, 10_000)),
        duties: record.duty.iter().map(|d| (quorum::Duty(d.name.clone()), d.weight.unwrap_or(1))).collect(),
        record: record.record.as_ref().map(|dir| base.join(dir)),
        name,
        voters,
        spares,
    }
}

/// Operations that one call of a script may do.
const OPERATIONS: u64 = 100_000;

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

    /// Reads an operator's file. Paths in it start from its folder. All that is wrong is told, not only the first.
    pub fn operator(path: &Path) -> Read<Config> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| Finding::whole(&name, format!("can't be read: {e}")))?;
        let base = path.parent().unwrap_or(Path::new(""));
        Config::operator_text(&name, &text, base)
    }

    /// Reads the text of an operator's file.
    pub fn operator_text(name: &str, text: &str, base: &Path) -> Read<Config> {
        let source = Source::new(name, text);
        let file: OperatorFile = source.read()?;
        // A finding of a part that was read on its own gets its line.
        let placed = |findings: Findings| -> Findings {
            let fields = findings.0.into_iter().map(|f| (f.field, f.reason));
            Findings(source.findings(fields))
        };
        let limits = file.limits.clone().unwrap_or_default();
        let value = json!({
            "name": file.name, "seed": file.seed, "settings": file.settings, "board": file.board.map(|a| a.0), "console": file.console.map(|a| a.0),
            "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        });
        let settings = Config::read(&value).map_err(placed);
        let mut config = match settings {
            Ok(config) => config,
            // Lists can't be checked without the settings, the rest can.
            Err(mut findings) => {
                if let Err(more) = file.check(&source, &Bounds::default()) {
                    let known = |f: &Finding| findings.0.iter().any(|have| have.field == f.field);
                    let of_lists =
                        |f: &Finding| f.field.starts_with("server[") || f.field.starts_with("title[");
                    let more: Vec<Finding> =
                        more.0.into_iter().filter(|f| !known(f) && !of_lists(f)).collect();
                    findings.0.extend(more);
                }
                return Err(findings);
            }
        };
        file.check(&source, &config.bounds)?;
        config.listen = file.platform.as_ref().map(|p| p.listen.0);
        config.servers = file.server.iter().map(|s| judge::listed(s, None, &config.names)).collect();
        config.whip = file.whip.as_ref().map(|record| whip(record, &file, &config.names));
        let eureka = file.eureka.as_ref().map(|record| read_eureka(record, &config)).transpose();
        config.eureka = eureka.map_err(placed)?;
        let watch = file.watch.as_ref().map(|record| watched(record, file.hook.as_ref(), base)).transpose();
        config.watch = watch.map_err(placed)?;
        config.quorum = file.quorum.as_ref().map(|record| read_quorum(record, &config.name, base));
        if let (Some(hook), None) = (&file.hook, &config.watch) {
            let refused = |e: String| placed(Finding::setting("hook.script", e).into());
            let script = std::fs::read_to_string(base.join(&hook.script))
                .map_err(|e| refused(format!("{}: can't be read: {e}", hook.script)))?;
            let operations = hook.operations.unwrap_or(OPERATIONS);
            Hook::new(&script, operations).map_err(|e| refused(e.to_string()))?;
            config.hook = Some((script, operations));
        }
        Ok(config)
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
        value["known"] = Value::Null;
        config.raw = value;
        Ok(config)
    }

    /// Reads a configuration from its JSON.
    pub fn read(value: &Value) -> Read<Config> {
        let root = Part { value, path: String::new() };
        let Some(settings) = root.get("settings") else { return wrong("settings", "required") };
        let mut parsed = wire::settings(settings.value).or_else(|e| match e.split_once(": ") {
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
        let memory_mb = match root.get("limits").and_then(|limits| limits.get("memory_mb").map(|m| m.value)) {
            Some(mb) => mb.as_f64().filter(|mb| *mb >= 16.0),
            None => Some(192.0),
        };
        let Some(memory_mb) = memory_mb else {
            return wrong("limits.memory_mb", "not a number of 16 or more");
        };
        let names = names(settings.value);
        for (i, name) in names.classes.iter().enumerate() {
            let field = format!("settings.RequestClasses[{i}].Name");
            if name.is_empty() {
                return wrong(&field, "required");
            }
            if names.classes[..i].contains(name) {
                return wrong(&field, format!("{name} comes twice"));
            }
        }
        let memory = (memory_mb * 1024.0 * 1024.0) as usize;
        parsed.idle_title_bytes = memory / TITLE_MEMORY_DIVISOR;
        Ok(Config {
            name: root.text("name")?.unwrap_or("amberspindle").to_owned(),
            seed,
            sockets: sockets as usize,
            memory,
            bounds: Bounds { names: names.clone(), cells: parsed.cells },
            names,
            connect_timeout: limit("ConnectTimeout", 250.0),
            idle: limit("Keepalive", 0.0),
            settings: parsed,
            listen: root.address("listen")?,
            inherited: None,
            console: root.address("console")?,
            board: root.address("board")?,
            raw: Value::Null,
            known: root.get("known").map_or(Value::Null, |k| k.value.clone()),
            servers: Vec::new(),
            watch: None,
            whip: None,
            eureka: None,
            hook: None,
            quorum: None,
        })
    }
}

fn names(settings: &Value) -> SettingNames {
    let list = |key: &str| -> Vec<String> {
        let items = settings.get(key).and_then(Value::as_array).into_iter().flatten();
        let name = |v: &Value| v.as_str().or_else(|| v.get("Name")?.as_str()).unwrap_or("").to_owned();
        items.map(name).collect()
    };
    SettingNames {
        classes: list("RequestClasses"),
        tenants: list("Tenants"),
        zones: list("Azs"),
        kinds: list("Kinds"),
        ..SettingNames::default()
    }
}
