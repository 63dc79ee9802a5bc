//! Eureka's registry API as a source of the list of servers. A state machine: it names the next call, and is
//! told how the call went; the driver opens connections and keeps the time.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use serde_json::{Value, json};

use crate::api::{ListKind, Micros, ServerEntry, ServerId, ServerState, Text};
use crate::http::{client, uri};
use crate::roster::{ListUpdate, ListedServer, Paths, SettingNames};

/// How a broker takes part in a registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EurekaConfig {
    /// Where the registry listens.
    pub address: SocketAddr,
    /// Path that its resources lie under, such as `/eureka`.
    pub path: String,
    /// The application that the edge servers are registered as.
    pub servers: String,
    /// The application that this broker registers as; none: it doesn't.
    pub register: Option<Registration>,
    /// Time between fetches.
    pub fetch: Micros,
    /// Time between heartbeats.
    pub beat: Micros,
}

/// What a broker registers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its application.
    pub app: String,
    /// Its instance id.
    pub id: String,
    /// Where its clients connect.
    pub address: SocketAddr,
}

/// A call to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Register.
    Register,
    /// Renew the lease.
    Beat,
    /// Fetch all applications.
    Full,
    /// Fetch what has changed.
    Delta,
    /// Deregister.
    Deregister,
}

/// How a call went: status and body, or none if the registry was not reached.
pub type Reply<'a> = Option<(u16, &'a [u8])>;

/// Longest answer that is read.
pub const LONGEST: usize = 16 * 1024 * 1024;
/// After a call that failed the same one is made again no sooner than this.
const RETRY: Micros = Micros(1_000_000);

/// Takes part in one registry.
#[derive(Debug)]
pub struct Eureka {
    setup: EurekaConfig,
    names: SettingNames,
    registered: bool,
    beat_at: Micros,
    fetch_at: Micros,
    /// Instances by id, of all applications: the registry's hash counts them all. None: a full fetch is due.
    known: Option<BTreeMap<String, Instance>>,
}

#[derive(Clone, Debug, PartialEq)]
struct Instance {
    status: String,
    listed: Option<ListedServer>,
}

impl Eureka {
    /// Knows nothing of the registry yet.
    pub fn new(setup: EurekaConfig, names: SettingNames) -> Eureka {
        let (beat_at, fetch_at) = (Micros(0), Micros(0));
        Eureka { setup, names, registered: false, beat_at, fetch_at, known: None }
    }

    /// Where the registry listens.
    pub fn address(&self) -> SocketAddr {
        self.setup.address
    }

    /// Whether it has to deregister when it stops.
    pub fn registered(&self) -> bool {
        self.registered
    }

    /// The call that is due, or when the next one is.
    pub fn next(&self, now: Micros) -> Result<Call, Micros> {
        let beat = self.setup.register.is_some().then_some(self.beat_at);
        if beat.is_some_and(|at| at <= now) {
            return Ok(if self.registered { Call::Beat } else { Call::Register });
        }
        if self.fetch_at <= now {
            return Ok(if self.known.is_some() { Call::Delta } else { Call::Full });
        }
        Err(beat.map_or(self.fetch_at, |at| at.min(self.fetch_at)))
    }

    /// The bytes of a call.
    pub fn request(&self, call: Call) -> Vec<u8> {
        let (host, root) = (self.setup.address.to_string(), &self.setup.path);
        let headers = [("Accept", "application/json"), ("Connection", "close")];
        let own = |o: &Registration| format!("{root}/apps/{}/{}", o.app, o.id);
        let plain = |method: &str, path: &str| client::encode_request(method, &host, path, &headers, None);
        match (call, &self.setup.register) {
            (Call::Register, Some(o)) => {
                let body = registration(o).to_string();
                let path = format!("{root}/apps/{}", o.app);
                client::encode_request(
                    "POST",
                    &host,
                    &path,
                    &headers,
                    Some(("application/json", body.as_bytes())),
                )
            }
            (Call::Beat, Some(o)) => plain("PUT", &own(o)),
            (Call::Deregister, Some(o)) => plain("DELETE", &own(o)),
            (Call::Delta, _) => plain("GET", &format!("{root}/apps/delta")),
            _ => plain("GET", &format!("{root}/apps")),
        }
    }

    /// Takes a call's result in; gives what it tells of the list. Whatever fails, the list that is held stays.
    pub fn replied(&mut self, now: Micros, call: Call, reply: Reply<'_>) -> Option<ListUpdate> {
        let status = reply.map(|r| r.0);
        let good = status.is_some_and(|s| (200..300).contains(&s));
        match call {
            Call::Register => {
                self.registered = good;
                self.beat_at = now + if good { self.setup.beat } else { RETRY };
                None
            }
            Call::Beat => {
                // The registry has forgotten this broker: it registers anew at once.
                self.registered = status != Some(404);
                self.beat_at = match status {
                    Some(404) => now,
                    _ if good => now + self.setup.beat,
                    _ => now + RETRY.min(self.setup.beat),
                };
                None
            }
            Call::Deregister => {
                self.registered = false;
                None
            }
            Call::Full | Call::Delta => {
                let body: Option<Value> =
                    reply.filter(|_| good).and_then(|(_, b)| serde_json::from_slice(b).ok());
                let applications = body.as_ref().and_then(|b| b.get("applications"));
                let Some(applications) = applications else {
                    // A delta that can't be had is made up for by the full list.
                    if call == Call::Delta && status.is_some() {
                        self.known = None;
                    }
                    self.fetch_at = now + RETRY.min(self.setup.fetch);
                    return None;
                };
                self.fetch_at = now + self.setup.fetch;
                if call == Call::Full { Some(self.full(applications)) } else { self.delta(now, applications) }
            }
        }
    }

    fn full(&mut self, applications: &Value) -> ListUpdate {
        let mut known = BTreeMap::new();
        for (app, value) in instances(applications) {
            if let Some((id, instance)) = self.instance(app, value) {
                known.insert(id, instance);
            }
        }
        let servers = known.values().filter_map(|i| i.listed.clone()).collect();
        self.known = Some(known);
        ListUpdate { kind: ListKind::Complete, servers }
    }

    fn delta(&mut self, now: Micros, applications: &Value) -> Option<ListUpdate> {
        let mut known = self.known.take()?;
        let mut servers = Vec::new();
        for (app, value) in instances(applications) {
            let Some((id, instance)) = self.instance(app, value) else { continue };
            if value.get("actionType").and_then(Value::as_str) == Some("DELETED") {
                if let Some(mut listed) = known.remove(&id).and_then(|i| i.listed) {
                    listed.entry.state = ServerState::Gone;
                    servers.push(listed);
                }
            } else if known.get(&id) != Some(&instance) {
                servers.extend(instance.listed.clone());
                known.insert(id, instance);
            }
        }
        // The registry's count of instances by status shows whether a change was missed.
        let told = applications.get("apps__hashcode").and_then(Value::as_str);
        if told.is_some_and(|told| told != hashcode(&known)) {
            self.fetch_at = now;
        } else {
            self.known = Some(known);
        }
        if servers.is_empty() { None } else { Some(ListUpdate { kind: ListKind::Changes, servers }) }
    }

    fn instance(&self, app: &str, value: &Value) -> Option<(String, Instance)> {
        let text = |key: &str| value.get(key).and_then(Value::as_str);
        let id = text("instanceId").or_else(|| text("hostName"))?;
        let status = text("status").unwrap_or("UNKNOWN");
        let ours = app.eq_ignore_ascii_case(&self.setup.servers);
        let listed = if ours { self.listed(id, status, value) } else { None };
        Some((id.to_owned(), Instance { status: status.to_owned(), listed }))
    }

    fn listed(&self, id: &str, status: &str, value: &Value) -> Option<ListedServer> {
        let number =
            |v: Option<&Value>| v.and_then(|v| v.as_f64().or_else(|| v.as_str()?.trim().parse().ok()));
        let metadata = |key: &str| value.get("metadata").and_then(|m| m.get(key));
        let host: IpAddr = value.get("ipAddr").and_then(Value::as_str)?.parse().ok()?;
        let port = number(value.get("port").and_then(|p| p.get("$").or(Some(p))))?;
        let state = match status {
            "UP" => ServerState::Ready,
            "DOWN" => ServerState::Gone,
            // Starting, out of service or unknown: nothing new goes there.
            _ => ServerState::Draining,
        };
        let whole = |key: &str| number(metadata(key)).filter(|n| *n >= 0.0).map(|n| n as u32);
        // Where the cell is not told nothing can be sent there: no title would be known to lie on it.
        let mut entry = ServerEntry::new(ServerId::new(id), state, whole("cell")?);
        entry.zone = whole("zone").unwrap_or(0);
        let kind = metadata("kind").and_then(Value::as_str);
        entry.kind = kind.and_then(|k| SettingNames::index(&self.names.kinds, k)).unwrap_or(0);
        entry.weight = number(metadata("weight")).filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
        let up = number(value.get("leaseInfo").and_then(|l| l.get("serviceUpTimestamp")));
        entry.up_since = up.filter(|ms| *ms > 0.0).map(Micros::from_ms);
        let port = (1.0..=65535.0).contains(&port).then_some(port as u16)?;
        let path =
            |key: &str| metadata(key).and_then(Value::as_str).filter(|p| uri::is_path(p)).map(Text::from);
        let paths =
            path("whep").map(|set_up| Paths { set_up, end: path("whep_end"), events: path("whep_events") });
        Some(ListedServer { entry, address: SocketAddr::new(host, port), paths })
    }
}

/// All instances with their application's name. A list of one may come as the one itself.
fn instances(applications: &Value) -> Vec<(&str, &Value)> {
    fn list<'a>(of: &'a Value, key: &str) -> Vec<&'a Value> {
        match of.get(key) {
            Some(Value::Array(items)) => items.iter().collect(),
            Some(one @ Value::Object(_)) => vec![one],
            _ => Vec::new(),
        }
    }
    let mut found = Vec::new();
    for app in list(applications, "application") {
        let name = app.get("name").and_then(Value::as_str).unwrap_or("");
        found.extend(list(app, "instance").into_iter().map(|i| (name, i)));
    }
    found
}

/// The registry's hash: the number of instances of each status.
fn hashcode(known: &BTreeMap<String, Instance>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for instance in known.values() {
        *counts.entry(&instance.status).or_default() += 1;
    }
    counts.iter().map(|(status, n)| format!("{status}_{n}_")).collect()
}

fn registration(own: &Registration) -> Value {
    let (host, port) = (own.address.ip().to_string(), own.address.port());
    json!({"instance": {
        "instanceId": own.id, "hostName": host, "app": own.app, "ipAddr": host, "status": "UP",
        "vipAddress": own.app.to_ascii_lowercase(), "port": {"$": port, "@enabled": "true"},
        "securePort": {"$": 443, "@enabled": "false"},
        "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
    }})
}
