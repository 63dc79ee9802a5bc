//! Typed records of the files that operators write: what a file may hold, and findings that name the file, the
//! line and the field of what it may not. Nothing of a file is used before all of it was found good.

mod advice;
mod lists;
mod operator;
mod settings;
mod source;

pub use advice::advice;
pub use lists::{Bounds, ServerRecord, ServerState, ServersFile, TitleRecord, TitlesFile, WeightsFile};
pub use operator::{
    DutyRecord, EurekaRecord, HookRecord, IceRecord, LimitsRecord, OperatorFile, PlatformRecord,
    QuorumRecord, VoterRecord, WatchRecord, WhipRecord,
};
pub use settings::SettingsRecord;
pub use source::Source;

use std::fmt;
use std::net::SocketAddr;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, de};

/// Findings of one file that are told; a file that is wrong throughout is not worth a longer list.
pub const MOST_FINDINGS: usize = 20;

/// Something that can't be used, and where it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file as its reader named it; empty where there is none.
    pub file: String,
    /// The line, counted from 1.
    pub line: Option<usize>,
    /// The field by its path, such as `server[2].weight`; empty where the whole file is meant.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Finding {
    /// A finding on a whole file.
    pub fn whole(file: &str, reason: impl ToString) -> Finding {
        Finding { file: file.to_owned(), reason: reason.to_string(), ..Finding::default() }
    }

    /// A finding on a setting that stands in no file with lines.
    pub fn setting(field: &str, reason: impl ToString) -> Finding {
        Finding { field: field.to_owned(), reason: reason.to_string(), ..Finding::default() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.file.is_empty(), self.line) {
            (true, _) => {}
            (false, Some(line)) => write!(f, "{}:{line}: ", self.file)?,
            (false, None) => write!(f, "{}: ", self.file)?,
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.reason)
    }
}

/// Why a configuration or a list is refused: one finding or more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Findings {
        Findings(vec![finding])
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// An address of the form `IP:PORT`. Names are not looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Address(pub SocketAddr);

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Address, D::Error> {
        let text = String::deserialize(deserializer)?;
        let address = text.parse();
        address.map(Address).map_err(|_| de::Error::custom("not an address of the form IP:PORT"))
    }
}

impl JsonSchema for Address {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "description": "IP:PORT; names are not looked up"})
    }
}

/// Where a server takes WHIP or WHEP set-ups: `http://IP:PORT/PATH`, with `{title}`, `{rung}`, `{class}` and
/// `{session}` in the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeUrl {
    /// Where it listens.
    pub address: SocketAddr,
    /// The path, with what stands for the set-up's words.
    pub path: String,
}

/// What a path may hold in braces.
const PLACES: [&str; 4] = ["title", "rung", "class", "session"];

impl EdgeUrl {
    fn parse(text: &str) -> Option<EdgeUrl> {
        let rest = text.strip_prefix("http://")?;
        let (address, path) = rest.split_at(rest.find('/')?);
        let words = |piece: &str| piece.split_once('}').is_some_and(|(word, _)| PLACES.contains(&word));
        let mut pieces = path.split('{');
        let first = pieces.next()?;
        let good = !first.contains('}') && pieces.all(words) && crate::http::uri::is_path(path);
        Some(EdgeUrl { address: address.parse().ok()?, path: path.to_owned() }).filter(|_| good)
    }
}

impl<'de> Deserialize<'de> for EdgeUrl {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EdgeUrl, D::Error> {
        let text = String::deserialize(deserializer)?;
        let form =
            "not of the form http://IP:PORT/PATH, with {title}, {rung}, {class} or {session} in the path";
        EdgeUrl::parse(&text).ok_or_else(|| de::Error::custom(form))
    }
}

impl Serialize for EdgeUrl {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("http://{}{}", self.address, self.path))
    }
}

impl JsonSchema for EdgeUrl {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "EdgeUrl".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "pattern": "^http://[^/]+/",
            "description": "http://IP:PORT/PATH, with {title}, {rung}, {class} or {session} in the path"})
    }
}

/// The JSON Schema of a kind of file: `operator`, `servers`, `weights` or `titles`.
pub fn schema(of: &str) -> Option<serde_json::Value> {
    let schema = match of {
        "operator" => schemars::schema_for!(OperatorFile),
        "servers" => schemars::schema_for!(ServersFile),
        "weights" => schemars::schema_for!(WeightsFile),
        "titles" => schemars::schema_for!(TitlesFile),
        _ => return None,
    };
    Some(schema.into())
}
