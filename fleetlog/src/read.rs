//! Lines of logs, from files that may be cut at any byte, as those of brokers that were killed are.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use amberspindle::trace::Record;
use memchr::memmem;
use rayon::prelude::*;

use crate::fold::{Fold, Sessions};

/// A line that is longer is no line of a broker's: it is passed over.
const LINE_MOST: usize = 64 * 1024;
/// What each line of a record holds.
const MARK: &[u8] = b"at_us";

/// What was met besides records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    /// Lines that are something else's.
    pub other: u64,
    /// Lines that look like a record and can't be read.
    pub unreadable: u64,
    /// Files that end within a line.
    pub cut: u64,
}

impl Met {
    fn add(self, other: Met) -> Met {
        Met {
            other: self.other + other.other,
            unreadable: self.unreadable + other.unreadable,
            cut: self.cut + other.cut,
        }
    }
}

/// Reads all whole lines, bounded in length, and gives each that may be a record. The last one counts only if its
/// line feed came.
pub fn lines(mut from: impl BufRead, mut each: impl FnMut(&str, &mut Met)) -> io::Result<Met> {
    let (mut met, mut line, mut long) = (Met::default(), Vec::new(), false);
    loop {
        let (used, ended) = {
            let bytes = match from.fill_buf() {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                bytes => bytes?,
            };
            if bytes.is_empty() {
                met.cut += u64::from(!line.is_empty() || long);
                return Ok(met);
            }
            let end = memchr::memchr(b'\n', bytes);
            let part = &bytes[..end.unwrap_or(bytes.len())];
            long |= line.len() + part.len() > LINE_MOST;
            if long {
                line.clear();
            } else {
                line.extend_from_slice(part);
            }
            (part.len() + usize::from(end.is_some()), end.is_some())
        };
        from.consume(used);
        if ended {
            if !long && memmem::find(&line, MARK).is_some() {
                each(&String::from_utf8_lossy(&line), &mut met);
            } else {
                met.other += 1;
            }
            line.clear();
            long = false;
        }
    }
}

/// Reads records, and counts what could be none.
pub fn records(from: impl BufRead, mut each: impl FnMut(Record)) -> io::Result<Met> {
    lines(from, |line, met| match Record::read(line) {
        Some(record) => each(record),
        None => met.unreadable += 1,
    })
}

/// A file that can't be read, and why.
#[derive(Debug)]
pub struct Unread {
    /// The file.
    pub path: PathBuf,
    /// Why.
    pub error: io::Error,
}

impl std::fmt::Display for Unread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.error)
    }
}

/// The files that are named, and those in the folders that are, by name; hidden ones are left out.
pub fn files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Unread> {
    let mut found = Vec::new();
    for path in paths {
        let unread = |error| Unread { path: path.clone(), error };
        if !path.metadata().map_err(unread)?.is_dir() {
            found.push(path.clone());
            continue;
        }
        for entry in path.read_dir().map_err(unread)? {
            let entry = entry.map_err(unread)?.path();
            let hidden = entry.file_name().is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
            if entry.is_file() && !hidden {
                found.push(entry);
            }
        }
    }
    found.sort();
    found.dedup();
    Ok(found)
}

/// The name of the broker whose log a file is: the file's, without what follows the last dot.
pub fn broker(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Opens a file for reading.
pub fn open(path: &Path) -> Result<BufReader<File>, Unread> {
    File::open(path)
        .map(|file| BufReader::with_capacity(128 * 1024, file))
        .map_err(|error| Unread { path: path.to_owned(), error })
}

/// Counts all files, each the log of one broker, side by side. Each core keeps one set of counts.
pub fn count(files: &[PathBuf], cold_ms: u64) -> Result<(Fold, Met), Unread> {
    let nothing = || (Fold::new(cold_ms), Met::default());
    files
        .par_iter()
        .try_fold(nothing, |(mut fold, met), path| {
            let mut sessions = Sessions::default();
            let more = records(open(path)?, |record| fold.record(&mut sessions, &record))
                .map_err(|error| Unread { path: path.clone(), error })?;
            Ok((fold, met.add(more)))
        })
        .try_reduce(nothing, |(a, met), (b, more)| Ok((a.merge(b), met.add(more))))
}
