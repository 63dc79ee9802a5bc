//! Parses the fields of one line of events.

use std::collections::BTreeMap;

use super::*;

/// The fields of one line, by name.
pub(super) struct Fields<'a> {
    pub(super) line: u64,
    pub(super) values: BTreeMap<&'a str, &'a str>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its keyword and fields; `Conf` extends to the end of the line.
    pub(super) fn split(text: &'a str, line: u64) -> Parsed<(&'a str, Fields<'a>)> {
        let (keyword, mut remaining) = text.split_once(' ').unwrap_or((text, ""));
        let mut values = BTreeMap::new();
        while !remaining.is_empty() {
            let (name, value) = remaining
                .split_once('=')
                .filter(|(name, _)| !name.is_empty() && !name.contains(' '))
                .ok_or_else(|| WireError { line, expected: "fields of the form name=value".into() })?;
            let (value, after) =
                if name == "Conf" { (value, "") } else { value.split_once(' ').unwrap_or((value, "")) };
            values.insert(name, value);
            remaining = after;
        }
        Ok((keyword, Fields { line, values }))
    }

    /// Returns an error for this line.
    pub(super) fn error<T>(&self, expected: String) -> Parsed<T> {
        Err(WireError { line: self.line, expected })
    }

    pub(super) fn text(&self, name: &str) -> Parsed<&'a str> {
        self.values.get(name).copied().map_or_else(|| self.error(format!("a field {name}")), Ok)
    }

    pub(super) fn parse<T: std::str::FromStr>(&self, name: &str, expected: &str) -> Parsed<T> {
        let text = self.text(name)?;
        text.parse().or_else(|_| self.error(format!("{expected} in {name}")))
    }

    pub(super) fn optional<T: std::str::FromStr>(&self, name: &str, expected: &str) -> Parsed<Option<T>> {
        if self.values.contains_key(name) { self.parse(name, expected).map(Some) } else { Ok(None) }
    }

    pub(super) fn whole_number(&self, name: &str) -> Parsed<u64> {
        self.parse(name, "a whole number")
    }

    pub(super) fn small_number(&self, name: &str) -> Parsed<u32> {
        self.parse(name, "a small whole number")
    }

    pub(super) fn number(&self, name: &str) -> Parsed<f64> {
        let x: f64 = self.parse(name, "a number")?;
        if x.is_finite() { Ok(x) } else { self.error(format!("a finite number in {name}")) }
    }

    pub(super) fn time(&self, name: &str) -> Parsed<Micros> {
        self.number(name).map(Micros::from_ms)
    }

    pub(super) fn flag(&self, name: &str) -> Parsed<bool> {
        match self.values.get(name) {
            None | Some(&"0") => Ok(false),
            Some(&"1") => Ok(true),
            Some(_) => self.error(format!("0 or 1 in {name}")),
        }
    }

    pub(super) fn session_id(&self) -> Parsed<SessionId> {
        let text = self.text("Ticket")?;
        if text.len() == 16
            && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
            && let Ok(id) = u64::from_str_radix(text, 16)
        {
            return Ok(SessionId(id));
        }
        self.error("16 hex digits in Ticket".into())
    }

    pub(super) fn server_id(&self) -> Parsed<ServerId> {
        let text = self.text("Server")?;
        if text.is_empty() { self.error("an address in Server".into()) } else { Ok(ServerId::new(text)) }
    }

    pub(super) fn status(&self) -> Parsed<Status> {
        Ok(match self.text("Ending")? {
            "completed" => Status::Completed,
            "errored" => Status::Errored,
            "saturated" => Status::Saturated,
            "overdue" => Status::TimedOut,
            "refused_conn" => Status::ConnectFailed,
            "severed" => Status::Reset,
            "recalled" => Status::Cancelled,
            "superseded" => Status::Moot,
            _ => return self.error("an outcome code in Ending".into()),
        })
    }

    pub(super) fn load(&self) -> Parsed<Load> {
        let mut load = Load::default();
        let text = self.values.get("Load").copied().unwrap_or("");
        for pair in text.split(',').filter(|p| !p.is_empty() && *p != "-") {
            let Some((name, value)) = pair.split_once(':') else {
                return self.error("name:value pairs in Load".into());
            };
            let target = match name {
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
                Ok(x) if x.is_finite() => *target = Some(x),
                _ => return self.error(format!("a number for {name} in Load")),
            }
        }
        Ok(load)
    }

    pub(super) fn bytes(&self) -> Parsed<Vec<u8>> {
        match self.text("Octets")? {
            "-" => Ok(Vec::new()),
            text => BASE64.decode(text).or_else(|_| self.error("base64 in Octets".into())),
        }
    }

    pub(super) fn request(&self) -> Parsed<Request> {
        Ok(Request {
            id: self.session_id()?,
            class: self.small_number("Cls")? as usize,
            tenant: self.optional::<u32>("Realm", "a small whole number")?.unwrap_or(0) as usize,
            viewer: Text::from(self.values.get("Item").copied().unwrap_or("")),
            title: Text::from(self.text("Title")?),
            due: self.time("Due")?,
            duration_hint_s: self
                .optional::<f64>("WorkHint", "a number")?
                .filter(|h| h.is_finite() && *h > 0.0),
            home: self.small_number("Base")?,
            copies: self.small_number("CellsInRow")?,
            top: Rung(self.small_number("MaxRung")? as usize),
            retry: self.flag("IsRetry")?,
            moved: self.flag("WasMoved")?,
            is_returning: self.flag("CameBack")?,
        })
    }

    pub(super) fn server_entry(&self) -> Parsed<ServerEntry> {
        Ok(ServerEntry {
            id: self.server_id()?,
            state: match self.text("Condition")? {
                "healthy" => ServerState::Ready,
                "cordoned" => ServerState::Draining,
                "deregistered" => ServerState::Gone,
                _ => return self.error("healthy, cordoned or deregistered in Condition".into()),
            },
            zone: self.small_number("RackZone")?,
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
