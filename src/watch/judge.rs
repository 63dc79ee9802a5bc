//! Whether files, as they were read, make a list: whole, of one generation, and good in every field. Pure: the
//! broker, `check` and the tests ask the same function.

use std::fmt;
use std::path::PathBuf;

use super::seal::{self, Comment, SealError};
use crate::api::{Micros, ServerEntry, ServerId};
use crate::hook::{CallLimits, Script};
use crate::records::{
    Bounds, Finding, Findings, ServerRecord, ServersFile, Source, TitleRecord, TitlesFile, WeightsFile,
};
use crate::roster::{Candidate, Digest, ListedServer, Paths, SettingNames};

/// What a watched file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// The list of servers.
    Servers,
    /// Weights.
    Weights,
    /// Titles.
    Titles,
    /// The script of `[hook]`.
    Script,
}

impl Role {
    /// Its key in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Role::Servers => "servers",
            Role::Weights => "weights",
            Role::Titles => "titles",
            Role::Script => "script",
        }
    }
}

/// A file that is watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedFile {
    /// What it holds.
    pub role: Role,
    /// As the operator named it.
    pub name: String,
    /// Where it is.
    pub path: PathBuf,
}

impl WatchedFile {
    /// How comments begin in it.
    pub fn comment(&self) -> Comment {
        if self.role == Role::Script { Comment::Slashes } else { Comment::Hash }
    }
}

/// What can't be read, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It is not there.
    Missing,
    /// A folder stands in its place.
    Folder,
    /// A FIFO, a socket or a device stands in its place.
    Special,
    /// It is longer than is read.
    TooLong(u64),
    /// No right to read it.
    Denied,
    /// Links go in a circle.
    Circle,
    /// It changed while it was read.
    Changing,
    /// Reading it failed otherwise.
    Failed,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Missing => f.write_str("not there"),
            ReadError::Folder => f.write_str("a folder, not a file"),
            ReadError::Special => f.write_str("no plain file: a FIFO, a socket or a device"),
            ReadError::TooLong(most) => write!(f, "longer than {} KiB (watch.most_kb)", most / 1024),
            ReadError::Denied => f.write_str("no right to read it"),
            ReadError::Circle => f.write_str("its links go in a circle"),
            ReadError::Changing => f.write_str("changed while it was read"),
            ReadError::Failed => f.write_str("can't be read"),
        }
    }
}

impl std::error::Error for ReadError {}

/// What became of reading a file.
pub type Reading = Result<Vec<u8>, ReadError>;

/// Lists that belong together and were found good.
#[derive(Clone, Debug, PartialEq)]
pub struct Lists {
    /// Of the content of all files.
    pub digest: Digest,
    /// The servers, if their file is watched.
    pub servers: Option<Candidate>,
    /// The titles, if their file is watched.
    pub titles: Option<Vec<TitleRecord>>,
    /// The texts that they were read from, without seals.
    pub texts: Vec<(Role, String)>,
}

/// Why files are not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What was found.
    pub findings: Vec<Finding>,
    /// It may be that a writer has not finished: what is missing now may be there in a moment.
    pub unfinished: bool,
}

impl Refusal {
    fn unfinished(finding: Finding) -> Refusal {
        Refusal { findings: vec![finding], unfinished: true }
    }
}

impl From<Findings> for Refusal {
    fn from(findings: Findings) -> Refusal {
        Refusal { findings: findings.0, unfinished: false }
    }
}

/// The text of a file and its digest; whether it is sealed, and with which others.
struct Text {
    text: String,
    digest: Digest,
    set: Option<Digest>,
}

/// How to mend a file that is not sealed.
fn advice(files: &[WatchedFile]) -> String {
    let names: Vec<String> = files.iter().map(|f| f.name.clone()).collect();
    format!("once it is whole: amberspindle seal {}", names.join(" "))
}

fn text(
    file: &WatchedFile,
    files: &[WatchedFile],
    reading: &Reading,
    renamed: bool,
) -> Result<Text, Refusal> {
    let bytes = match reading {
        Ok(bytes) => bytes,
        Err(unread) => {
            let finding = Finding::whole(&file.name, unread);
            let unfinished = matches!(unread, ReadError::Changing | ReadError::Missing);
            return Err(Refusal { findings: vec![finding], unfinished });
        }
    };
    let utf8 = |bytes: &[u8]| match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.to_owned()),
        Err(error) => {
            let line = bytes[..error.valid_up_to()].iter().filter(|b| **b == b'\n').count() + 1;
            Err(Refusal::from(Findings::from(Finding {
                line: Some(line),
                ..Finding::whole(&file.name, "not UTF-8")
            })))
        }
    };
    match seal::open(bytes, file.comment()) {
        Ok((text, seal)) => Ok(Text { text: utf8(text)?, digest: seal.digest, set: Some(seal.set) }),
        Err(SealError::None) if renamed => {
            Ok(Text { text: utf8(bytes)?, digest: seal::digest(bytes), set: None })
        }
        // What is no text can't have been sealed: that is told first.
        Err(error) => match utf8(bytes) {
            Err(refusal) if error == SealError::None => Err(refusal),
            _ => Err(Refusal::unfinished(Finding::whole(&file.name, format!("{error}; {}", advice(files))))),
        },
    }
}

/// All texts of one set. `renamed` tells of a file whether a rename is known to have brought it, which stands in
/// for a seal where the operator allows that.
fn texts(
    files: &[WatchedFile],
    readings: &[Reading],
    renamed: &dyn Fn(Role) -> bool,
) -> Result<Vec<Text>, Refusal> {
    let (mut texts, mut refused) = (Vec::new(), Vec::new());
    for (file, reading) in files.iter().zip(readings) {
        match text(file, files, reading, renamed(file.role)) {
            Ok(text) => texts.push(text),
            Err(refusal) => refused.push(refusal),
        }
    }
    if !refused.is_empty() {
        let unfinished = refused.iter().all(|r| r.unfinished);
        return Err(Refusal { findings: refused.into_iter().flat_map(|r| r.findings).collect(), unfinished });
    }
    // Files that are sealed must have been sealed together, with these contents and no others.
    let together = seal::set(texts.iter().map(|t| t.digest));
    let any = texts.iter().any(|t| t.set.is_some());
    for (file, text) in files.iter().zip(&texts) {
        let reason = match text.set {
            Some(set) if set == together => continue,
            None if !any => continue,
            Some(_) => "sealed with other files or other contents than these",
            None => "not sealed, though others of its set are",
        };
        let names: Vec<&str> = files.iter().map(|f| f.name.as_str()).collect();
        let reason = format!("{reason}; seal them together: amberspindle seal {}", names.join(" "));
        return Err(Refusal::unfinished(Finding::whole(&file.name, reason)));
    }
    Ok(texts)
}

/// Judges the lists.
pub fn lists(
    files: &[WatchedFile],
    readings: &[Reading],
    renamed: &dyn Fn(Role) -> bool,
    bounds: &Bounds,
) -> Result<Lists, Refusal> {
    let texts = texts(files, readings, renamed)?;
    let texts = files.iter().zip(texts).map(|(file, text)| (file.role, text.text)).collect();
    good(files, texts, bounds).map_err(Refusal::from)
}

/// Checks whole texts in every field.
pub fn good(files: &[WatchedFile], texts: Vec<(Role, String)>, bounds: &Bounds) -> Result<Lists, Findings> {
    let source = |role: Role| -> Option<Source<'_>> {
        let (_, text) = texts.iter().find(|(r, _)| *r == role)?;
        let name = files.iter().find(|f| f.role == role).map_or(role.name(), |f| f.name.as_str());
        Some(Source::new(name, text))
    };
    let mut wrong = Vec::new();
    let mut kept = |findings: Findings| wrong.extend(findings.0);
    let servers = source(Role::Servers).map(|s| (s, ServersFile::read(&s, bounds)));
    let weights = source(Role::Weights).map(|s| (s, WeightsFile::read(&s)));
    let titles = source(Role::Titles).map(|s| TitlesFile::read(&s, bounds));
    if let (Some((list, Ok(servers))), Some((at, Ok(weights)))) = (&servers, &weights) {
        weights.strangers(at, servers, list.file).unwrap_or_else(&mut kept);
    }
    let servers = servers.and_then(|(_, read)| read.map_err(&mut kept).ok());
    let weights = weights.and_then(|(_, read)| read.map_err(&mut kept).ok());
    let titles = titles.and_then(|read| read.map_err(&mut kept).ok());
    if !wrong.is_empty() {
        wrong.truncate(crate::records::MOST_FINDINGS);
        return Err(Findings(wrong));
    }
    let digest = seal::set(texts.iter().map(|(_, text)| seal::digest(text.as_bytes())));
    let servers = servers.map(|file| {
        let weight = |id: &str| weights.as_ref().and_then(|w| w.weights.get(id)).copied();
        let lines = file.server.iter().map(|record| listed(record, weight(&record.id), &bounds.names));
        Candidate { digest, revision: file.revision, servers: lines.collect() }
    });
    Ok(Lists { digest, servers, titles: titles.map(|t| t.title), texts })
}

/// Judges the script.
pub fn script(
    file: &WatchedFile,
    reading: &Reading,
    renamed: bool,
    operations: u64,
) -> Result<(Digest, String), Refusal> {
    let files = std::slice::from_ref(file);
    let text = texts(files, std::slice::from_ref(reading), &|_| renamed)?.remove(0);
    // It is compiled only.
    let limits = CallLimits::new(operations, usize::MAX);
    Script::new(&text.text, limits).map_err(|e| Findings::from(Finding::whole(&file.name, e)))?;
    Ok((text.digest, text.text))
}

/// A record as the node takes it.
pub fn listed(record: &ServerRecord, weight: Option<f64>, names: &SettingNames) -> ListedServer {
    let index = |list: &[String], name: &Option<String>| {
        name.as_ref().and_then(|name| SettingNames::index(list, name)).unwrap_or(0)
    };
    let mut entry = ServerEntry::new(ServerId::new(&record.id), record.state.into(), record.cell);
    entry.kind = index(&names.kinds, &record.kind);
    entry.zone = index(&names.zones, &record.zone) as u32;
    entry.weight = weight.or(record.weight).unwrap_or(1.0);
    entry.up_since = record.started_ms.map(|ms| Micros(ms.saturating_mul(1000)));
    let (end, events) =
        (|| record.end.as_deref().map(Into::into), || record.events.as_deref().map(Into::into));
    let paths = record.url.as_ref().map(|url| Paths {
        set_up: url.path.as_str().into(),
        end: end(),
        events: events(),
    });
    // One that is gone may have no place.
    let address = record.place().unwrap_or((std::net::Ipv4Addr::UNSPECIFIED, 0).into());
    ListedServer { entry, address, paths }
}
