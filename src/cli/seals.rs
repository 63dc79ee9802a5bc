//! Closing marks of watched files.

use std::path::{Path, PathBuf};

use super::say;
use crate::config::{Config, ScriptCheck};
use crate::disk;
use crate::records::{Finding, Findings};
use crate::watch::check;

/// Seals files that belong together, or each set that an operator's file watches.
pub(super) fn seal(files: Vec<PathBuf>, config: Option<&Path>) -> Result<(), Findings> {
    let sets = match config {
        None => vec![files],
        Some(path) => {
            let Some(watch) = Config::operator(path, ScriptCheck::Compile)?.watch else {
                return Err(Finding {
                    file: path.display().to_string(),
                    ..Finding::setting("watch", "required")
                }
                .into());
            };
            let lists = watch.lists.iter().map(|f| f.path.clone()).collect();
            vec![lists, watch.script.iter().map(|(f, _)| f.path.clone()).collect()]
        }
    };
    for set in sets {
        let mut read = Vec::new();
        for path in &set {
            let bytes = disk::read(path, u64::MAX - 1);
            let (bytes, _) = bytes.map_err(|e| Finding::whole(&path.display().to_string(), e))?;
            read.push(bytes);
        }
        let names: Vec<String> = set.iter().map(|p| p.display().to_string()).collect();
        let sealed = check::seal(&names, &read)?;
        for ((path, bytes), name) in set.iter().zip(sealed).zip(&names) {
            disk::replace(path, &bytes)
                .map_err(|e| Finding::whole(name, format!("can't be replaced: {e}")))?;
            say(&format!("{name}: sealed"));
        }
    }
    Ok(())
}
