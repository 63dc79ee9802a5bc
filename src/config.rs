//! What a playback broker is told when it starts: on the platform by `LB_*`, elsewhere by an operator's file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

use crate::api::{Micros, Settings};
use crate::eureka;
use crate::hook::Hook;
use crate::roster::Names;
use crate::whip::{self, Title};
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
    /// Bytes of memory that it may hold.
    pub memory: usize,
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
    /// The WHIP front, if it is on.
    pub whip: Option<Whip>,
    /// The registry, if there is one.
    pub eureka: Option<eureka::Setup>,
    /// The script, if there is one, and the operations it may do in a call.
    pub hook: Option<(String, u64)>,
}

/// The WHIP front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whip {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The rest.
    pub setup: whip::Setup,
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

    fn need(&self, key: &str) -> Read<&'a str> {
        self.text(key)?.map_or_else(|| wrong(&self.path(key), "required"), Ok)
    }

    fn items(&self) -> Read<Vec<Part<'a>>> {
        let Some(items) = self.value.as_array() else { return wrong(&self.path, "not a list") };
        let part = |(i, value)| Part { value, path: format!("{}[{i}]", self.path) };
        Ok(items.iter().enumerate().map(part).collect())
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

fn index(part: &Part<'_>, key: &str, list: &[String]) -> Read<usize> {
    let name = part.need(key)?;
    Names::index(list, name).map_or_else(|| wrong(&part.path(key), format!("no such name: {name}")), Ok)
}

/// A fixed list of servers, in the form that the notice board has.
fn servers(part: &Part<'_>, names: &Names) -> Read<Value> {
    let mut targets = Vec::new();
    for item in part.items()? {
        let cell = item.whole("cell")?.map_or_else(|| wrong(&item.path("cell"), "required"), Ok)?;
        let Some(address) = item.address("address")? else { return wrong(&item.path("address"), "required") };
        if item.get("kind").is_some() {
            index(&item, "kind", &names.kinds)?;
        }
        targets.push(json!({"uid": item.need("id")?, "endpoint": address.to_string(), "pod_group": cell,
            "model": item.text("kind")?, "state": "in_service",
            "capacity_hint": item.get("weight").map(|w| w.value.clone())}));
    }
    Ok(json!({"rev": 1, "notices": [{"rev": 1, "pool": {"all": true, "targets": targets}}]}))
}

fn read_whip(part: &Part<'_>, root: &Part<'_>, config: &Config) -> Read<Whip> {
    let Some(listen) = part.address("listen")? else { return wrong("whip.listen", "required") };
    let mut titles = BTreeMap::new();
    for item in root.get("title").map_or(Ok(Vec::new()), |t| t.items())? {
        let small = |key: &str| -> Read<u32> {
            let n = item.whole(key)?.and_then(|n| u32::try_from(n).ok());
            n.map_or_else(|| wrong(&item.path(key), "required, a small whole number"), Ok)
        };
        let tenant =
            if item.get("tenant").is_some() { index(&item, "tenant", &config.names.tenants)? } else { 0 };
        let class = index(&item, "class", &config.names.classes)?;
        let title = Title { home: small("home")?, copies: small("copies")?, class, tenant };
        if titles.insert(item.need("name")?.to_owned(), title).is_some() {
            return wrong(&item.path("name"), "there twice");
        }
    }
    if titles.is_empty() {
        return wrong("title", "none, but the WHIP front needs one");
    }
    let ms = |key: &str, or: u64| part.whole(key).map(|n| Micros(n.unwrap_or(or).saturating_mul(1000)));
    let setup = whip::Setup {
        titles,
        origin: part.text("origin")?.unwrap_or("*").to_owned(),
        reclaim: ms("reclaim_ms", 10_000)?,
        spent: ms("spent_ms", 24 * 3_600_000)?,
        most_bookings: part.whole("most_bookings")?.unwrap_or(100_000) as usize,
    };
    if setup.origin.is_empty() || setup.origin.bytes().any(|b| b.is_ascii_control()) {
        return wrong("whip.origin", "not an origin");
    }
    Ok(Whip { listen, setup })
}

fn read_eureka(part: &Part<'_>, config: &Config) -> Read<eureka::Setup> {
    let url = part.need("url")?;
    let form = "not of the form http://IP:PORT/PATH";
    let Some(rest) = url.strip_prefix("http://") else { return wrong("eureka.url", form) };
    let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address = address.parse().or_else(|_| wrong("eureka.url", form))?;
    let path = path.trim_end_matches('/');
    let path = if path.is_empty() { String::new() } else { format!("/{path}") };
    let plain = |key: &str, text: &str| -> Read<String> {
        let good = |b: u8| b.is_ascii_alphanumeric() || b"-._:~".contains(&b);
        let good = !text.is_empty() && text.bytes().all(good);
        if good { Ok(text.to_owned()) } else { wrong(&part.path(key), "letters, digits and -._:~ only") }
    };
    let register = match part.text("register")? {
        None => None,
        Some(app) => {
            let whip = config.whip.as_ref().map(|w| w.listen);
            let Some(address) = part.address("advertise")?.or(config.listen).or(whip) else {
                return wrong("eureka.advertise", "required");
            };
            let id = plain("register", &format!("{}:{}", config.name, address.port()))?;
            Some(eureka::Own { app: plain("register", app)?, id, address })
        }
    };
    let ms =
        |key: &str, or: u64| part.whole(key).map(|n| Micros(n.unwrap_or(or).max(100).saturating_mul(1000)));
    let (fetch, beat) = (ms("fetch_ms", 5_000)?, ms("heartbeat_ms", 30_000)?);
    Ok(eureka::Setup { address, path, servers: part.need("servers")?.to_owned(), register, fetch, beat })
}

impl Config {
    /// Settings in which another configuration differs and which only a new start can take in.
    pub fn fixed(&self, new: &Config) -> Vec<&'static str> {
        let listen = |config: &Config| config.whip.as_ref().map(|w| w.listen);
        [
            ("name", self.name != new.name),
            ("limits", (self.sockets, self.memory) != (new.sockets, new.memory)),
            ("settings", self.settings != new.settings || self.names != new.names),
            ("listen", self.listen != new.listen),
            ("whip.listen", listen(self) != listen(new)),
            ("eureka", self.eureka != new.eureka),
        ]
        .into_iter()
        .filter_map(|(field, differs)| differs.then_some(field))
        .collect()
    }

    /// Reads an operator's file. Paths in it start from its folder.
    pub fn operator(path: &Path) -> Read<Config> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).or_else(|e| wrong(&file, format!("can't be read: {e}")))?;
        let value: Value = toml::from_str(&text)
            .or_else(|e| wrong(&file, format!("not TOML: {}", e.message().replace('\n', " "))))?;
        let mut config = Config::read(&value)?;
        let root = Part { value: &value, path: String::new() };
        if let Some(platform) = root.get("platform") {
            config.listen = platform.address("listen")?;
        }
        if let Some(part) = root.get("server") {
            config.known = servers(&part, &config.names)?;
        }
        config.whip = root.get("whip").map(|part| read_whip(&part, &root, &config)).transpose()?;
        config.eureka = root.get("eureka").map(|part| read_eureka(&part, &config)).transpose()?;
        if let Some(part) = root.get("hook") {
            let script = path.parent().unwrap_or(Path::new("")).join(part.need("script")?);
            let text = std::fs::read_to_string(&script)
                .or_else(|e| wrong("hook.script", format!("can't be read: {e}")))?;
            let operations = part.whole("operations")?.unwrap_or(100_000);
            Hook::new(&text, operations).or_else(|e| wrong("hook.script", e))?;
            config.hook = Some((text, operations));
        }
        if config.listen.is_none() && config.whip.is_none() {
            return wrong("platform.listen", "required where there is no [whip]");
        }
        Ok(config)
    }

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
        let memory_mb = match root.get("limits").and_then(|limits| limits.get("memory_mb").map(|m| m.value)) {
            Some(mb) => mb.as_f64().filter(|mb| *mb >= 16.0),
            None => Some(192.0),
        };
        let Some(memory_mb) = memory_mb else {
            return wrong("limits.memory_mb", "not a number of 16 or more");
        };
        Ok(Config {
            name: root.text("name")?.unwrap_or("amberspindle").to_owned(),
            seed,
            sockets: sockets as usize,
            memory: (memory_mb * 1024.0 * 1024.0) as usize,
            names: names(settings.value),
            connect_timeout: limit("ConnectTimeout", 250.0),
            idle: limit("Keepalive", 0.0),
            settings: parsed,
            listen: root.address("listen")?,
            board: root.address("board")?,
            known: root.get("known").map_or(Value::Null, |k| k.value.clone()),
            whip: None,
            eureka: None,
            hook: None,
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
