//! Lists that stand in files: servers, weights and titles.

use std::collections::BTreeMap;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::source::key;
use super::{Address, EdgeUrl, Findings, Source};
use crate::api;
use crate::roster::SettingNames;

/// Longest name of a server or a title: it travels in messages of 16 KiB at most.
const LONGEST_NAME: usize = 255;
/// A weight beyond this is a slip of the pen: links are that many times the unit.
const MOST_WEIGHT: f64 = 1e6;

/// What the settings allow in a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// The names that the settings give.
    pub names: SettingNames,
    /// Cells are counted from 0 up to this, which is none any more.
    pub cells: u32,
}

fn good_name(text: &str) -> garde::Result {
    if text.is_empty() {
        Err(garde::Error::new("empty"))
    } else if text.len() > LONGEST_NAME {
        Err(garde::Error::new(format!("longer than {LONGEST_NAME} bytes")))
    } else if text.chars().any(|c| c.is_control() || c.is_whitespace()) {
        Err(garde::Error::new("holds a space or a control character"))
    } else {
        Ok(())
    }
}

fn named(text: &str, what: &str, list: &[String]) -> garde::Result {
    if SettingNames::index(list, text).is_some() {
        return Ok(());
    }
    let known = if list.is_empty() { "none".to_owned() } else { list.join(", ") };
    Err(garde::Error::new(format!("no such {what}: {text}; the settings name {known}")))
}

fn good_weight(weight: f64) -> garde::Result {
    if weight.is_finite() && weight > 0.0 && weight <= MOST_WEIGHT {
        return Ok(());
    }
    Err(garde::Error::new(format!("{weight} is not above 0 and at most {MOST_WEIGHT}")))
}

fn good_cell(cell: u32, bounds: &Bounds) -> garde::Result {
    if cell < bounds.cells {
        return Ok(());
    }
    let cells = bounds.cells;
    Err(garde::Error::new(format!(
        "{cell} is beyond the last cell, {} (settings.FamilyInfo.Places = {cells})",
        cells.saturating_sub(1)
    )))
}

/// What a list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It takes sessions.
    #[default]
    Ready,
    /// It takes nothing new; what plays there plays on.
    Draining,
    /// It is gone; what played there has ended.
    Gone,
}

impl From<ServerState> for api::ServerState {
    fn from(state: ServerState) -> api::ServerState {
        match state {
            ServerState::Ready => api::ServerState::Ready,
            ServerState::Draining => api::ServerState::Draining,
            ServerState::Gone => api::ServerState::Gone,
        }
    }
}

/// An edge server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(context(Bounds as bounds))]
pub struct ServerRecord {
    /// Its name, the same as long as it is the same machine.
    #[garde(custom(|text: &String, _: &Bounds| good_name(text)))]
    pub id: String,
    /// Where it listens for the platform's messages; left out where there is a `url`.
    #[garde(inner(custom(|address: &Address, _: &Bounds| {
        if address.0.port() == 0 { Err(garde::Error::new("port 0")) } else { Ok(()) }
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<Address>,
    /// Where it takes WHIP or WHEP set-ups, in place of an address.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub url: Option<EdgeUrl>,
    /// A path with `{session}` in it where a DELETE ends a session whose answer was lost, if the server has one.
    #[garde(inner(custom(|path: &str, _: &Bounds| {
        let good = crate::http::uri::is_path(path) && path.contains("{session}");
        if good { Ok(()) } else { Err(garde::Error::new("no path with {session} in it")) }
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<String>,
    /// A path where the server tells of its load and of sessions that it ended, as server-sent events.
    #[garde(inner(custom(|path: &str, _: &Bounds| {
        if crate::http::uri::is_path(path) { Ok(()) } else { Err(garde::Error::new("no path")) }
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub events: Option<String>,
    /// The cell that it stands in, from 0; its rack is the cell modulo the number of racks.
    #[garde(custom(|c: &u32, bounds: &Bounds| good_cell(*c, bounds)))]
    pub cell: u32,
    /// Its kind, by a name of `settings.Kinds`; left out: the first.
    #[garde(inner(custom(|kind: &str, bounds: &Bounds| named(kind, "kind", &bounds.names.kinds))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Its zone, by a name of `settings.Azs`; left out: the first.
    #[garde(inner(custom(|zone: &str, bounds: &Bounds| named(zone, "zone", &bounds.names.zones))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its size in units of `LinkUnitKb`; left out: 1.
    #[garde(inner(custom(|w: &f64, _: &Bounds| good_weight(*w))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// What may go there; left out: ready.
    #[garde(skip)]
    #[serde(default)]
    pub state: ServerState,
    /// When its process started, in milliseconds of Unix time; 0: long ago. Left out: long ago in the first list,
    /// just now where a later list names it first.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

impl ServerRecord {
    /// Where it listens, whatever it speaks.
    pub fn place(&self) -> Option<std::net::SocketAddr> {
        self.address.map(|a| a.0).or(self.url.as_ref().map(|u| u.address))
    }
}

/// A file of servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(context(Bounds))]
pub struct ServersFile {
    /// A number that only grows: a list with a lower one than the list in use is refused as old. Left out: the
    /// order of writing alone counts.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The servers.
    #[garde(dive)]
    #[serde(default)]
    pub server: Vec<ServerRecord>,
}

/// A file of weights, which go before those in the list of servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightsFile {
    /// Weights by the servers' names.
    #[serde(default)]
    pub weights: BTreeMap<String, f64>,
}

/// A title that sessions can be set up for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(context(Bounds as bounds))]
pub struct TitleRecord {
    /// Its name in URLs.
    #[garde(custom(|text: &String, _: &Bounds| good_name(text)))]
    pub name: String,
    /// Its class, by a name of `settings.RequestClasses`.
    #[garde(custom(|class: &str, bounds: &Bounds| named(class, "class", &bounds.names.classes)))]
    pub class: String,
    /// Its tenant, by a name of `settings.Tenants`; left out: the first.
    #[garde(inner(custom(|tenant: &str, bounds: &Bounds| named(tenant, "tenant", &bounds.names.tenants))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// The first cell that holds it.
    #[garde(custom(|c: &u32, bounds: &Bounds| good_cell(*c, bounds)))]
    pub home: u32,
    /// So many cells in a row hold it.
    #[garde(custom(|copies: &u32, bounds: &Bounds| {
        if (1..=bounds.cells).contains(copies) { return Ok(()) }
        Err(garde::Error::new(format!("{copies} is not between 1 and {}, the number of cells", bounds.cells)))
    }))]
    pub copies: u32,
}

/// A file of titles.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(context(Bounds))]
pub struct TitlesFile {
    /// The titles.
    #[garde(dive)]
    #[serde(default)]
    pub title: Vec<TitleRecord>,
}

/// A path and what is wrong there.
pub(super) type Wrong = (String, String);

pub(super) fn reported(report: garde::Report) -> Vec<Wrong> {
    report.into_inner().into_iter().map(|(path, error)| (path.to_string(), error.to_string())).collect()
}

/// Servers that stand against each other: one name twice, or two at one address.
pub(super) fn servers_agree(servers: &[ServerRecord], wrong: &mut Vec<Wrong>) {
    let (mut ids, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for (i, server) in servers.iter().enumerate() {
        if let Some(first) = ids.insert(server.id.as_str(), i) {
            let other = &servers[first];
            let twice = format!("{} is there twice, first as server[{first}]", server.id);
            let reason = if other.cell == server.cell {
                twice
            } else {
                format!("{twice}, in cells {} and {}", other.cell, server.cell)
            };
            wrong.push((format!("server[{i}].id"), reason));
        }
        // One that is gone listens nowhere: another may have its address by now.
        if server.state == ServerState::Gone {
            continue;
        }
        let field = if server.url.is_some() { "url" } else { "address" };
        let Some(place) = server.place() else {
            wrong.push((format!("server[{i}].address"), "required, or a url".into()));
            continue;
        };
        for (key, path) in [("end", &server.end), ("events", &server.events)] {
            if path.is_some() && server.url.is_none() {
                wrong.push((format!("server[{i}].{key}"), "needs a url".into()));
            }
        }
        if server.address.is_some() && server.url.is_some() {
            wrong
                .push((format!("server[{i}].url"), "there is an address too: it is one or the other".into()));
        }
        if let Some(first) = addresses.insert(place, i) {
            let reason = format!("{place} is the address of {} too", servers[first].id);
            wrong.push((format!("server[{i}].{field}"), reason));
        }
    }
}

/// Titles that stand against each other.
pub(super) fn titles_agree(titles: &[TitleRecord], wrong: &mut Vec<Wrong>) {
    let mut names = BTreeMap::new();
    for (i, title) in titles.iter().enumerate() {
        if let Some(first) = names.insert(title.name.as_str(), i) {
            wrong.push((
                format!("title[{i}].name"),
                format!("{} is there twice, first as title[{first}]", title.name),
            ));
        }
    }
}

fn told(source: &Source<'_>, wrong: Vec<Wrong>) -> Result<(), Findings> {
    if wrong.is_empty() { Ok(()) } else { Err(Findings(source.findings(wrong))) }
}

impl ServersFile {
    /// Reads and checks a file of servers.
    pub fn read(source: &Source<'_>, bounds: &Bounds) -> Result<ServersFile, Findings> {
        let file: ServersFile = source.read()?;
        let mut wrong = file.validate_with(bounds).map_or_else(reported, |()| Vec::new());
        servers_agree(&file.server, &mut wrong);
        told(source, wrong)?;
        Ok(file)
    }
}

impl WeightsFile {
    /// Reads and checks a file of weights.
    pub fn read(source: &Source<'_>) -> Result<WeightsFile, Findings> {
        let file: WeightsFile = source.read()?;
        let bad = |(id, w): (&String, &f64)| {
            good_weight(*w).err().map(|e| (format!("weights.{}", key(id)), e.to_string()))
        };
        told(source, file.weights.iter().filter_map(bad).collect())?;
        Ok(file)
    }

    /// Weights of servers that a list doesn't name.
    pub fn strangers(&self, source: &Source<'_>, servers: &ServersFile, list: &str) -> Result<(), Findings> {
        let known: std::collections::BTreeSet<&str> = servers.server.iter().map(|s| s.id.as_str()).collect();
        let strange = self.weights.keys().filter(|id| !known.contains(id.as_str()));
        let wrong = |id: &String| (format!("weights.{}", key(id)), format!("{list} names no such server"));
        told(source, strange.map(wrong).collect())
    }
}

impl TitlesFile {
    /// Reads and checks a file of titles.
    pub fn read(source: &Source<'_>, bounds: &Bounds) -> Result<TitlesFile, Findings> {
        let file: TitlesFile = source.read()?;
        let mut wrong = file.validate_with(bounds).map_or_else(reported, |()| Vec::new());
        titles_agree(&file.title, &mut wrong);
        if file.title.is_empty() {
            wrong.push(("title".into(), "none, but the WHIP front needs one".into()));
        }
        told(source, wrong)?;
        Ok(file)
    }
}
