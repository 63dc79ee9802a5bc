//! What the command line asks of watched files: whether they are good as they stand, and their seals.

use std::path::Path;

use super::judge::{self, Reading, Role};
use super::seal::{self, Comment};
use super::{Read, WatchConfig};
use crate::records::{Bounds, Finding, Findings};

/// How a file is read: by its path, up to so many bytes.
pub type Reader<'a> = &'a dyn Fn(&Path, u64) -> Read;

/// Checks the files that are watched; gives a few words on what they hold.
pub fn check(setup: &WatchConfig, bounds: &Bounds, read: Reader<'_>) -> Result<String, Findings> {
    // Whether a rename brought a file is not known here: where that would do, the rest is checked.
    let renamed = |_: Role| setup.unsealed;
    let reading = |path: &Path| -> Reading { read(path, setup.most).map(|(bytes, _)| bytes) };
    let (mut found, mut words) = (Vec::new(), String::new());
    if !setup.lists.is_empty() {
        let readings: Vec<Reading> = setup.lists.iter().map(|f| reading(&f.path)).collect();
        match judge::lists(&setup.lists, &readings, &renamed, bounds) {
            Err(refusal) => found.extend(refusal.findings),
            Ok(lists) => {
                if let Some(servers) = &lists.servers {
                    words += &format!(", {} servers", servers.servers.len());
                }
                if let Some(titles) = &lists.titles {
                    words += &format!(", {} titles", titles.len());
                }
                words += &format!(", digest {}", lists.digest.short());
            }
        }
    }
    if let Some((file, operations)) = &setup.script
        && let Err(refusal) = judge::script(file, &reading(&file.path), setup.unsealed, *operations)
    {
        found.extend(refusal.findings);
    }
    if found.is_empty() { Ok(words) } else { Err(Findings(found)) }
}

/// Seals files that belong together. A file that is no TOML at all was hardly finished: it is not sealed.
pub fn seal(names: &[String], files: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, Findings> {
    let mut found = Vec::new();
    for (name, bytes) in names.iter().zip(files) {
        let Ok(text) = std::str::from_utf8(bytes) else {
            found.push(Finding::whole(name, "not UTF-8"));
            continue;
        };
        let toml = Comment::of(name) == Comment::Hash;
        if toml && let Err(findings) = crate::records::Source::new(name, text).read::<toml::Table>() {
            found.extend(findings.0);
        }
    }
    if !found.is_empty() {
        return Err(Findings(found));
    }
    let files = names.iter().zip(files).map(|(name, bytes)| (bytes.as_slice(), Comment::of(name)));
    Ok(seal::close_all(files))
}
