//! Reads a configuration from JSON: the platform's file, or what an operator's file has in common with it.

use std::net::SocketAddr;

use serde_json::Value;

use super::{Config, Read, wrong};
use crate::api::Micros;
use crate::records::Bounds;
use crate::roster::SettingNames;
use crate::wire;

/// The share of the memory for the popularity of titles that have no session: some 14,000 titles at 192 MiB.
const TITLE_MEMORY_DIVISOR: usize = 64;

/// The time after which a connection attempt to a server has failed, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Micros = Micros(250_000);

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

    fn milliseconds(&self, key: &str) -> Read<Option<Micros>> {
        let Some(part) = self.get(key) else { return Ok(None) };
        let ms = part.value.as_f64().filter(|ms| ms.is_finite());
        ms.map_or_else(|| wrong(&part.path, "not a number"), |ms| Ok(Some(Micros::from_ms(ms))))
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
    /// Reads a configuration from its JSON.
    pub fn read(value: &Value) -> Read<Config> {
        let root = Part { value, path: String::new() };
        let Some(settings) = root.get("settings") else { return wrong("settings", "required") };
        let mut parsed = wire::settings(settings.value).or_else(|e| match e.split_once(": ") {
            Some((field, problem)) => wrong(&settings.path(field), problem),
            None => wrong("settings", e),
        })?;
        let limits = settings.get("Limits");
        let limit = |key: &str, default: Micros| -> Read<Micros> {
            match &limits {
                Some(limits) => Ok(limits.milliseconds(key)?.unwrap_or(default)),
                None => Ok(default),
            }
        };
        let connect_timeout = limit("ConnectTimeout", DEFAULT_CONNECT_TIMEOUT)?;
        let idle = limit("Keepalive", Micros(0))?;
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
            connect_timeout,
            idle,
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
