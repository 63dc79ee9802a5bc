//! The line protocol: parses batches of events and prints actions. It decides nothing.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::io::BufRead;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;

use crate::api::*;

/// Input that does not follow the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// What should have stood there.
    pub expected: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}", self.line, self.expected)
    }
}

impl std::error::Error for WireError {}

/// An instance's number on the wire.
pub type Instance = u64;

/// What comes for one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// It starts without knowledge.
    Attach {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, or what is wrong with them.
        settings: Box<Result<Settings, String>>,
    },
    /// It has ended.
    Retire,
    /// An event for its module.
    Event(Event),
}

/// Events that come at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The time.
    pub now: Micros,
    /// The events in their order.
    pub events: Vec<(Instance, Incoming)>,
}

/// Reads batches; keeps the numbered lists of servers.
pub struct Reader<R> {
    input: R,
    line: u64,
    rosters: BTreeMap<u64, Vec<ServerEntry>>,
}

/// The parts of one line.
struct Fields<'a> {
    line: u64,
    parts: BTreeMap<&'a str, &'a str>,
}

type Parsed<T> = Result<T, WireError>;

impl<'a> Fields<'a> {
    /// Splits a line into its word and fields; `Conf` runs to the end of the line.
    fn split(text: &'a str, line: u64) -> Parsed<(&'a str, Fields<'a>)> {
        let (word, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut parts = BTreeMap::new();
        while !rest.is_empty() {
            let (name, value) = rest
                .split_once('=')
                .filter(|(name, _)| !name.is_empty() && !name.contains(' '))
                .ok_or_else(|| WireError { line, expected: "fields of the form name=value".into() })?;
            let (value, after) =
                if name == "Conf" { (value, "") } else { value.split_once(' ').unwrap_or((value, "")) };
            parts.insert(name, value);
            rest = after;
        }
        Ok((word, Fields { line, parts }))
    }

    fn fail<T>(&self, expected: String) -> Parsed<T> {
        Err(WireError { line: self.line, expected })
    }

    fn text(&self, name: &str) -> Parsed<&'a str> {
        self.parts.get(name).copied().map_or_else(|| self.fail(format!("a field {name}")), Ok)
    }

    fn read<T: std::str::FromStr>(&self, name: &str, what: &str) -> Parsed<T> {
        let text = self.text(name)?;
        text.parse().or_else(|_| self.fail(format!("{what} in {name}")))
    }

    fn optional<T: std::str::FromStr>(&self, name: &str, what: &str) -> Parsed<Option<T>> {
        if self.parts.contains_key(name) { self.read(name, what).map(Some) } else { Ok(None) }
    }

    fn whole(&self, name: &str) -> Parsed<u64> {
        self.read(name, "a whole number")
    }

    fn small(&self, name: &str) -> Parsed<u32> {
        self.read(name, "a small whole number")
    }

    fn number(&self, name: &str) -> Parsed<f64> {
        let x: f64 = self.read(name, "a number")?;
        if x.is_finite() { Ok(x) } else { self.fail(format!("a finite number in {name}")) }
    }

    fn time(&self, name: &str) -> Parsed<Micros> {
        self.number(name).map(Micros::from_ms)
    }

    fn flag(&self, name: &str) -> Parsed<bool> {
        match self.parts.get(name) {
            None | Some(&"0") => Ok(false),
            Some(&"1") => Ok(true),
            Some(_) => self.fail(format!("0 or 1 in {name}")),
        }
    }

    fn session(&self) -> Parsed<SessionId> {
        let text = self.text("Ticket")?;
        if text.len() == 16
            && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
            && let Ok(id) = u64::from_str_radix(text, 16)
        {
            return Ok(SessionId(id));
        }
        self.fail("16 hex digits in Ticket".into())
    }

    fn server(&self) -> Parsed<ServerId> {
        let text = self.text("Server")?;
        if text.is_empty() { self.fail("an address in Server".into()) } else { Ok(ServerId::new(text)) }
    }

    fn status(&self) -> Parsed<Status> {
        Ok(match self.text("Ending")? {
            "completed" => Status::Completed,
            "errored" => Status::Errored,
            "saturated" => Status::Saturated,
            "overdue" => Status::TimedOut,
            "refused_conn" => Status::ConnectFailed,
            "severed" => Status::Reset,
            "recalled" => Status::Cancelled,
            "superseded" => Status::Moot,
            _ => return self.fail("an outcome code in Ending".into()),
        })
    }

    fn load(&self) -> Parsed<Load> {
        let mut load = Load::default();
        let text = self.parts.get("Load").copied().unwrap_or("");
        for pair in text.split(',').filter(|p| !p.is_empty() && *p != "-") {
            let Some((name, value)) = pair.split_once(':') else {
                return self.fail("name:value pairs in Load".into());
            };
            let slot = match name {
                "rif" => &mut load.inflight,
                "q" => &mut load.queue,
                "busy" => &mut load.util,
                "lat_ms" => &mut load.latency_ms,
                "rate" => &mut load.rate,
                "fail_rate" => &mut load.fail_rate,
                "x0" => &mut load.link,
                "x1" => &mut load.uplink,
                _ => continue,
            };
            match value.parse::<f64>() {
                Ok(x) if x.is_finite() => *slot = Some(x),
                _ => return self.fail(format!("a number for {name} in Load")),
            }
        }
        Ok(load)
    }

    fn bytes(&self) -> Parsed<Vec<u8>> {
        match self.text("Octets")? {
            "-" => Ok(Vec::new()),
            text => BASE64.decode(text).or_else(|_| self.fail("base64 in Octets".into())),
        }
    }

    fn request(&self) -> Parsed<Request> {
        Ok(Request {
            id: self.session()?,
            class: self.small("Cls")? as usize,
            tenant: self.optional::<u32>("Realm", "a small whole number")?.unwrap_or(0) as usize,
            viewer: Text::from(self.parts.get("Item").copied().unwrap_or("")),
            title: Text::from(self.text("Title")?),
            due: self.time("Due")?,
            hint: self.optional::<f64>("WorkHint", "a number")?.filter(|h| h.is_finite() && *h > 0.0),
            home: self.small("Base")?,
            copies: self.small("CellsInRow")?,
            top: Rung(self.small("MaxRung")? as usize),
            retry: self.flag("IsRetry")?,
            moved: self.flag("WasMoved")?,
            again: self.flag("CameBack")?,
        })
    }

    fn entry(&self) -> Parsed<ServerEntry> {
        Ok(ServerEntry {
            id: self.server()?,
            state: match self.text("Condition")? {
                "healthy" => ServerState::Ready,
                "cordoned" => ServerState::Draining,
                "deregistered" => ServerState::Gone,
                _ => return self.fail("healthy, cordoned or deregistered in Condition".into()),
            },
            zone: self.small("RackZone")?,
            cell: self.optional("SlotNo", "a small whole number")?.unwrap_or(0),
            kind: self.optional::<u32>("Type", "a small whole number")?.unwrap_or(0) as usize,
            weight: self.optional("Size", "a number")?.filter(|w: &f64| w.is_finite()).unwrap_or(1.0),
            up_since: self
                .optional::<f64>("UpSince", "a number")?
                .map(Micros::from_ms)
                .filter(|at| *at > Micros(0)),
        })
    }
}

impl<R: BufRead> Reader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, rosters: BTreeMap::new() }
    }

    fn next_line(&mut self) -> Parsed<Option<String>> {
        let mut raw = Vec::new();
        self.line += 1;
        match self.input.read_until(b'\n', &mut raw) {
            Ok(0) => return Ok(None),
            Ok(_) => {}
            Err(e) => {
                return Err(WireError { line: self.line, expected: format!("readable input ({e})") });
            }
        }
        while matches!(raw.last(), Some(b'\n' | b'\r')) {
            raw.pop();
        }
        let line = self.line;
        String::from_utf8(raw).map(Some).map_err(|_| WireError { line, expected: "UTF-8 text".into() })
    }

    fn inside(&mut self, what: &str) -> Parsed<String> {
        match self.next_line()? {
            Some(text) => Ok(text),
            None => Err(WireError { line: self.line, expected: format!("{what}, not the end of input") }),
        }
    }

    /// The next batch, or none at the end of input.
    pub fn batch(&mut self) -> Parsed<Option<Batch>> {
        let text = loop {
            match self.next_line()? {
                None => return Ok(None),
                Some(text) if text.is_empty() => {}
                Some(text) => break text,
            }
        };
        let (word, fields) = Fields::split(&text, self.line)?;
        if word != "BATCH" {
            return fields.fail("BATCH".into());
        }
        let now = fields.time("Now")?;
        let mut events = Vec::new();
        loop {
            let text = self.inside("an event or EOF_BATCH")?;
            let (word, fields) = Fields::split(&text, self.line)?;
            match word {
                "EOF_BATCH" => return Ok(Some(Batch { now, events })),
                "POOL" => {
                    let (number, count) = (fields.whole("RosterId")?, fields.whole("NodesList")?);
                    let roster = self.roster(count)?;
                    self.rosters.insert(number, roster);
                }
                _ => {
                    let who = fields.whole("Who")?;
                    events.push((who, self.event(word, &fields)?));
                }
            }
        }
    }

    fn roster(&mut self, count: u64) -> Parsed<Vec<ServerEntry>> {
        let mut entries = Vec::new();
        for _ in 0..count {
            let text = self.inside("SERVER")?;
            let (word, fields) = Fields::split(&text, self.line)?;
            if word != "SERVER" {
                return fields.fail("SERVER".into());
            }
            entries.push(fields.entry()?);
        }
        Ok(entries)
    }

    fn event(&self, word: &str, f: &Fields<'_>) -> Parsed<Incoming> {
        let event = match word {
            "ATTACH" => {
                let seed = f.whole("Salt")?;
                return match serde_json::from_str::<Value>(f.text("Conf")?) {
                    Ok(conf) => Ok(Incoming::Attach { seed, settings: Box::new(settings(&conf)) }),
                    Err(_) => f.fail("a JSON object in Conf".into()),
                };
            }
            "RETIRE" => return Ok(Incoming::Retire),
            "ENDPOINTS" => {
                let kind = match f.text("Mode")? {
                    "D" => ListKind::Changes,
                    "F" => ListKind::Complete,
                    "C" => ListKind::Stale,
                    "X" => ListKind::Failed,
                    _ => return f.fail("D, F, C or X in Mode".into()),
                };
                let servers = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    match self.rosters.get(&f.whole("RosterId")?) {
                        Some(list) => list.clone(),
                        None => return f.fail("the number of an earlier POOL in RosterId".into()),
                    }
                };
                Event::Members { kind, servers }
            }
            "KNOCK" => Event::Request(f.request()?),
            "EXISTING" => Event::Open { request: f.request()?, server: f.server()? },
            "FIRST_BYTE" => Event::First {
                id: f.session()?,
                attempt: f.small("SendNo")?,
                server: f.server()?,
                took: f.time("TimeTaken")?,
            },
            "CHANGE" => {
                let value = f.number("X")?;
                let note = match f.whole("Kind")? {
                    1 => Note::Delivered(value),
                    2 => Note::Rung(Rung(value.max(0.0) as usize)),
                    3 => Note::Link(value),
                    4 => Note::Uplink(value),
                    _ => return f.fail("1 to 4 in Kind".into()),
                };
                Event::Note { id: f.session()?, server: f.server()?, note }
            }
            "RESPONSE" => Event::Outcome {
                id: f.session()?,
                attempt: f.small("SendNo")?,
                server: f.server()?,
                status: f.status()?,
                took: f.time("TimeTaken")?,
                closed: f.flag("Ended")?,
                load: f.load()?,
            },
            "CLIENT_GONE" => Event::Gone(f.session()?),
            "DEADLINE_HIT" => Event::Timer(f.whole("Mark")?),
            "PING_RESULT" => Event::Probed {
                server: f.server()?,
                status: f.status()?,
                took: f.time("TimeTaken")?,
                load: f.load()?,
            },
            "WHISPER" => Event::Peer { from: f.small("From")?, data: f.bytes()? },
            _ => return f.fail("the name of an event".into()),
        };
        Ok(Incoming::Event(event))
    }
}

fn ms(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1000, time.0 % 1000)
}

/// Appends an instance's action as one line.
pub fn print(who: Instance, action: &Action, out: &mut String) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(out, "FORWARD Who={who} Ticket={:016x} Server={server} Timeout={}", id.0, ms(*timeout))
        }
        Action::Cancel { id, attempt } => {
            writeln!(out, "WITHDRAW Who={who} Ticket={:016x} SendNo={attempt}", id.0)
        }
        Action::Refuse { id, retry_after } => {
            writeln!(out, "REJECT Who={who} Ticket={:016x} CoolDown={}", id.0, ms(*retry_after))
        }
        Action::Fail(id) => writeln!(out, "ABORT Who={who} Ticket={:016x}", id.0),
        Action::Move(id) => writeln!(out, "SHIFT Who={who} Ticket={:016x}", id.0),
        Action::Rate { id, rung } => {
            writeln!(out, "CHOOSE_RATE Who={who} Ticket={:016x} TierNo={}", id.0, rung.0)
        }
        Action::Timer { token, delay } => {
            writeln!(out, "TIMER Who={who} Mark={token} SleepFor={}", ms(*delay))
        }
        Action::Probe(server) => writeln!(out, "SAMPLE Who={who} Server={server}"),
        Action::Close(server) => writeln!(out, "FREE_LINKS Who={who} Server={server}"),
        Action::Tell { to, data } => {
            let octets = if data.is_empty() { "-".to_owned() } else { BASE64.encode(data) };
            let whom = to.map_or(-1, i64::from);
            writeln!(out, "BROADCAST_TO Who={who} Whom={whom} Octets={octets}")
        }
        Action::Watch(on) => writeln!(out, "STREAM_CHANGES Who={who} On={}", u8::from(*on)),
        Action::Fetch => writeln!(out, "PULL Who={who}"),
        Action::Log(text) => writeln!(out, "WRITE_LOG Who={who} What={}", one_line(text)),
    };
}

/// Appends the report that an instance's module has failed.
pub fn print_failure(who: Instance, text: &str, out: &mut String) {
    let _ = writeln!(out, "INTERNAL_ERROR Who={who} What={}", one_line(text));
}

/// Ends a reply.
pub fn print_end(out: &mut String) {
    out.push_str("READY\n");
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

/// A part of the settings, with its path for messages.
struct Conf<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Conf<'a> {
    fn bad<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{}: {what}", self.path))
    }

    fn find(&self, key: &str) -> Option<Conf<'a>> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        self.value.get(key).filter(|v| !v.is_null()).map(|value| Conf { value, path })
    }

    fn need(&self, key: &str) -> Result<Conf<'a>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.find(key).ok_or_else(|| format!("{}{dot}{key}: required", self.path))
    }

    fn number(&self) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(x) if x.is_finite() => Ok(x),
            _ => self.bad("not a number"),
        }
    }

    fn whole(&self) -> Result<u32, String> {
        match self.value.as_f64() {
            Some(x) if x >= 0.0 && x <= f64::from(u32::MAX) && x.fract() == 0.0 => Ok(x as u32),
            _ => self.bad("not a whole number of 0 or more"),
        }
    }

    fn items(&self) -> Result<Vec<Conf<'a>>, String> {
        let Some(array) = self.value.as_array() else {
            return self.bad("not a list");
        };
        let item = |(i, value)| Conf { value, path: format!("{}[{i}]", self.path) };
        Ok(array.iter().enumerate().map(item).collect())
    }

    fn numbers(&self) -> Result<Vec<f64>, String> {
        self.items()?.iter().map(Conf::number).collect()
    }

    fn number_or(&self, key: &str, or: f64) -> Result<f64, String> {
        self.find(key).map_or(Ok(or), |c| c.number())
    }

    fn time_or_zero(&self, key: &str) -> Result<Micros, String> {
        self.number_or(key, 0.0).map(Micros::from_ms)
    }

    fn text_or(&self, key: &str, or: &'a str) -> &'a str {
        self.find(key).and_then(|c| c.value.as_str()).unwrap_or(or)
    }
}

/// Reads an instance's settings; the error names the key that cannot work.
pub fn settings(conf: &Value) -> Result<Settings, String> {
    let root = Conf { value: conf, path: String::new() };
    if !conf.is_object() {
        return Err("Conf: not an object".into());
    }
    let family = root.need("FamilyInfo")?;
    let ladder = family.need("LadderKb")?;
    let worths = family.need("LadderWorth")?;
    let mut s = Settings::new(ladder.numbers()?, worths.numbers()?);
    if s.rung_kb.is_empty() {
        return ladder.bad("empty");
    }
    if s.rung_kb[0] <= 0.0 || s.rung_kb.windows(2).any(|w| w[1] <= w[0]) {
        return ladder.bad("not positive and rising");
    }
    if s.rung_worth.len() != s.rung_kb.len() {
        return worths.bad("not as long as LadderKb");
    }
    s.cells = family.need("Places")?.whole()?;
    s.racks = family.need("Racks")?.whole()?;
    for (key, count) in [("Places", s.cells), ("Racks", s.racks)] {
        if count == 0 {
            return family.need(key)?.bad("zero");
        }
    }
    s.link_unit_kb = family.need("LinkUnitKb")?.number()?;
    s.rack_kb = family.need("RackKb")?.number()?;
    for (key, kb) in [("LinkUnitKb", s.link_unit_kb), ("RackKb", s.rack_kb)] {
        if kb <= 0.0 {
            return family.need(key)?.bad("not above zero");
        }
    }
    if let Some(places) = family.find("PlacesByKind") {
        s.kind_streams = places.items()?.iter().map(Conf::whole).collect::<Result<_, _>>()?;
    }
    s.join = family.number_or("Join", 1.0)?;
    s.stall = family.number_or("StallCost", 1.0)?;
    s.switch_s = family.number_or("ChangeCostsS", 0.0)?;
    s.see = family.time_or_zero("See")?;
    s.tell = family.time_or_zero("ReportsEvery")?;
    s.guard = family.number_or("Guard", 0.0)?;
    s.classes = classes(&root, &family, s.rung_kb.len())?;
    fronts(&root, &mut s)?;
    limits(&root, &mut s)?;
    Ok(s)
}

fn classes(root: &Conf<'_>, family: &Conf<'_>, rungs: usize) -> Result<Vec<Class>, String> {
    let list = root.need("RequestClasses")?;
    let items = list.items()?;
    if items.is_empty() {
        return list.bad("empty");
    }
    let mut classes = Vec::new();
    for item in &items {
        let time = |key: &str| item.need(key)?.number().map(Micros::from_ms);
        let effect = match item.text_or("Effect", "read_like") {
            "read_like" => Effect::Safe,
            "non_idempotent" => Effect::Unsafe,
            "idempotency_key" => Effect::Keyed {
                scope: match item.text_or("KeyScope", "all") {
                    "all" => KeyScope::All,
                    "zone" | "same zone" => KeyScope::Zone,
                    "cell" | "same cell" => KeyScope::Cell,
                    _ => return item.need("KeyScope")?.bad("not all, zone or cell"),
                },
                window: time("Window")?,
            },
            _ => {
                return item.need("Effect")?.bad("not read_like, idempotency_key or non_idempotent");
            }
        };
        let deadline = item.need("Deadline")?;
        if deadline.number()? <= 0.0 {
            return deadline.bad("not above zero");
        }
        let mut class = Class::new(time("Slo")?, time("Deadline")?, effect);
        class.worth = item.number_or("Importance", 1.0)?;
        class.top = Rung(rungs - 1);
        classes.push(class);
    }
    let per_class = |key: &str| -> Result<Option<Vec<Conf<'_>>>, String> {
        let Some(list) = family.find(key) else {
            return Ok(None);
        };
        let values = list.items()?;
        if values.len() == items.len() { Ok(Some(values)) } else { list.bad("not one value for each class") }
    };
    for (class, value) in classes.iter_mut().zip(per_class("Live")?.into_iter().flatten()) {
        class.live = value.value.as_bool().map_or_else(|| value.bad("not true or false"), Ok)?;
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassScale")?.into_iter().flatten()) {
        class.scale = value.number()?;
        if class.scale <= 0.0 {
            return value.bad("not above zero");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassTop")?.into_iter().flatten()) {
        class.top = Rung((value.whole()? as usize).min(rungs - 1));
    }
    for (class, value) in classes.iter_mut().zip(per_class("FloorByClass")?.into_iter().flatten()) {
        class.floor = Rung(value.whole()? as usize);
        if class.floor > class.top {
            return value.bad("above the class's top");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassSeats")?.into_iter().flatten()) {
        class.seats = Some(value.whole()?).filter(|n| *n > 0);
    }
    Ok(classes)
}

fn fronts(root: &Conf<'_>, s: &mut Settings) -> Result<(), String> {
    let instances = root.need("Instances")?;
    s.fronts = instances.whole()?;
    if s.fronts == 0 {
        return instances.bad("zero");
    }
    s.me = root.find("SlotNo").map_or(Ok(0), |c| c.whole())?;
    s.zone = root.find("Locality").map_or(Ok(0), |c| c.whole())?;
    s.tick = root.time_or_zero("Period")?;
    s.over_share_worth = root.number_or("OverShareWorth", 1.0)?;
    if let Some(tenants) = root.find("Tenants") {
        for tenant in tenants.items()? {
            let quota_per_s = tenant.find("QuotaRps").map(|c| c.number()).transpose()?;
            s.tenants.push(Tenant { quota_per_s });
        }
    }
    s.discovery = match root.text_or("Discovery", "pushed") {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::OnRequest,
        _ => return root.need("Discovery")?.bad("not pushed or on_request"),
    };
    if let Some(fields) = root.find("Report").and_then(|r| r.find("Fields")) {
        s.uplink_reported = fields.items()?.iter().any(|f| f.value.as_str() == Some("x1"));
    }
    if let Some(fees) = root.find("Fees") {
        s.move_price = fees.number_or("Moves", 0.0)?;
        s.cross_zone_price = fees.number_or("CrossZone", 0.0)?;
        s.handshake_price = fees.number_or("Handshake", 0.0)?;
    }
    Ok(())
}

fn limits(root: &Conf<'_>, s: &mut Settings) -> Result<(), String> {
    let limits = root.need("Limits")?;
    let cap = limits.need("AttemptsCap")?;
    s.max_attempts = cap.whole()?;
    if s.max_attempts == 0 {
        return cap.bad("not above zero");
    }
    s.idle = limits.time_or_zero("Keepalive")?;
    if limits.find("RetryAfter").and_then(|c| c.value.as_bool()) == Some(true) {
        s.max_retry_after = limits.time_or_zero("MaxRetryAfter")?;
    }
    let rules = root.need("Rules")?;
    s.drain_grace = rules.time_or_zero("StopSendingWithin")?;
    s.cold = rules.time_or_zero("Cold")?;
    s.cold_from = rules.number_or("ColdFrom", 1.0)?;
    s.fall_multiple = rules.number_or("FallMultiple", 1.0)?;
    s.fall = rules.time_or_zero("Fall")?;
    if let Some(ratio) = rules.find("RepeatRatio") {
        s.budget = Some(RetryBudget {
            floor: rules.number_or("ExtraFloor", 0.0)?,
            ratio: ratio.number()?,
            span: Micros::from_ms(rules.need("BudgetSpan")?.number()?),
        });
    }
    Ok(())
}
