//! The last good lists on disk: one record with a version and a checksum, written beside the old one and renamed
//! over it, so that a crash at any moment leaves the old record or the new one. The steps are plain calls on a
//! [`Disk`], so that the tests can fail and cut each of them.

use std::collections::BTreeMap;
use std::fmt;
use std::io;

use serde::{Deserialize, Serialize};

use super::judge::Role;
use crate::api::Micros;

/// What is asked of a folder that keeps records.
pub trait Disk {
    /// Reads a file whole; none if there is none.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes a file anew. Until it is synced a crash may leave any part of it.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Waits until a file's content would survive a crash.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Puts a file in another's place. Until the folder is synced a crash may undo it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Waits until the folder's names would survive a crash.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Names of the files in it.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// How the first line of a record begins.
const MARK: &str = "amberspindle-state";
/// The form of the record.
const VERSION: u32 = 1;

/// What is kept of lists that were taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SavedLists {
    /// The generation's number.
    pub generation: u64,
    /// When it was taken, in microseconds of Unix time.
    pub taken: u64,
    /// The texts of the files, by role.
    pub texts: BTreeMap<String, String>,
    /// When servers started, in microseconds of Unix time, for those of which it is known.
    pub started: BTreeMap<String, u64>,
}

impl SavedLists {
    /// When it was taken.
    pub fn taken(&self) -> Micros {
        Micros(self.taken)
    }

    /// The text of a file.
    pub fn text(&self, role: Role) -> Option<&str> {
        self.texts.get(role.name()).map(String::as_str)
    }
}

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateError {
    /// Its first line is none of ours.
    Foreign,
    /// A later program wrote it.
    Version(u32),
    /// It is shorter or longer than it tells, or its content is other than what was written.
    Damaged,
    /// The disk failed.
    Disk(io::ErrorKind),
}

impl fmt::Display for StateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StateError::Foreign => f.write_str("no record of this program"),
            StateError::Version(version) => {
                write!(f, "a record of version {version}, this program reads {VERSION}")
            }
            StateError::Damaged => f.write_str("damaged: its checksum does not match"),
            StateError::Disk(kind) => write!(f, "the disk failed: {kind}"),
        }
    }
}

impl std::error::Error for StateError {}

impl From<io::Error> for StateError {
    fn from(error: io::Error) -> StateError {
        StateError::Disk(error.kind())
    }
}

/// A record's bytes.
pub fn encode(kept: &SavedLists) -> Vec<u8> {
    // Plain maps of text and numbers always have a form in JSON.
    let body = serde_json::to_vec(kept).unwrap_or_default();
    let sum = blake3::hash(&body).to_hex();
    let mut bytes = format!("{MARK} {VERSION} bytes={} blake3={sum}\n", body.len()).into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a record.
pub fn decode(bytes: &[u8]) -> Result<SavedLists, StateError> {
    let end = bytes.iter().position(|b| *b == b'\n').ok_or(StateError::Foreign)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| StateError::Foreign)?;
    let mut parts = head.split(' ');
    if parts.next() != Some(MARK) {
        return Err(StateError::Foreign);
    }
    let version: u32 = parts.next().and_then(|v| v.parse().ok()).ok_or(StateError::Foreign)?;
    if version != VERSION {
        return Err(StateError::Version(version));
    }
    let body = &bytes[end + 1..];
    let length = parts.next().and_then(|p| p.strip_prefix("bytes=")).and_then(|n| n.parse::<usize>().ok());
    let sum = parts.next().and_then(|p| p.strip_prefix("blake3="));
    let whole = parts.next().is_none() && length == Some(body.len());
    if !whole || sum != Some(blake3::hash(body).to_hex().as_str()) {
        return Err(StateError::Damaged);
    }
    serde_json::from_slice(body).map_err(|_| StateError::Damaged)
}

/// Keeps one broker's record in a folder.
#[derive(Clone, Debug)]
pub struct Store {
    name: String,
    /// Tells apart what two processes write at once.
    process: u32,
}

impl Store {
    /// The record of a broker of this name.
    pub fn new(broker: &str, process: u32) -> Store {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' };
        Store { name: broker.chars().map(plain).collect(), process }
    }

    /// The record's file.
    pub fn file(&self) -> String {
        format!("{}.state", self.name)
    }

    fn aside(&self) -> String {
        format!("{}.damaged", self.name)
    }

    fn new_file(&self) -> String {
        format!("{}.{}.new", self.name, self.process)
    }

    /// Writes a record: a new file, synced, renamed over the old one, the folder synced.
    pub fn save(&self, disk: &mut impl Disk, kept: &SavedLists) -> Result<(), StateError> {
        let new = self.new_file();
        disk.write(&new, &encode(kept))?;
        disk.sync(&new)?;
        disk.rename(&new, &self.file())?;
        disk.sync_folder()?;
        Ok(())
    }

    /// Reads the record, if there is one. A damaged one is set aside and never used; so is what a crash left of
    /// one that was not finished.
    pub fn load(&self, disk: &mut impl Disk) -> Result<Option<SavedLists>, StateError> {
        let Some(bytes) = disk.read(&self.file())? else { return Ok(None) };
        match decode(&bytes) {
            Ok(kept) => Ok(Some(kept)),
            Err(error) => {
                // What a later program wrote stays for that program.
                if !matches!(error, StateError::Version(_)) {
                    disk.rename(&self.file(), &self.aside())?;
                    disk.sync_folder()?;
                }
                Err(error)
            }
        }
    }

    /// Removes what writers of this broker left that did not finish.
    pub fn tidy(&self, disk: &mut impl Disk) -> Result<(), StateError> {
        let start = format!("{}.", self.name);
        for name in disk.names()? {
            let unfinished = name.strip_prefix(&start).and_then(|rest| rest.strip_suffix(".new"));
            if unfinished.is_some_and(|pid| pid.parse::<u32>().is_ok_and(|pid| pid != self.process)) {
                disk.remove(&name)?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
