//! Whether a new configuration file is complete. A key that the file in force has and the new one lacks would fall back
//! to a default or switch something off without a word, so such a file is refused as a whole.

use serde_json::{Map, Value};

/// The keys that a class must have if all classes of the file in force have them, as it would have another meaning
/// without them.
const REQUIRED_CLASS_KEYS: [&str; 4] = ["Name", "Effect", "Slo", "Deadline"];
/// The path of the list of classes.
const CLASSES_PATH: &str = "settings.RequestClasses";
/// The path of the notice board's events. Their keys differ from event to event.
const EVENTS_PATH: &str = "known";
/// The keys that name an entry of a list, in the order in which they are looked for.
const IDENTITY_KEYS: [&str; 4] = ["Name", "name", "id", "url"];

/// Returns the path of a key that is in the file in force but not in the new one, if there is one. Entries of a list
/// may come and go, but an entry of the same name must keep its keys, and a list must not become empty.
pub fn missing_key(old: &Value, new: &Value) -> Option<String> {
    missing_in(old, new, "")
}

fn missing_in(old: &Value, new: &Value, path: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => missing_in_object(old, new, path),
        (Value::Array(old), Value::Array(new)) => missing_in_list(old, new, path),
        // A value of another type is refused where it is read.
        _ => None,
    }
}

fn missing_in_object(old: &Map<String, Value>, new: &Map<String, Value>, path: &str) -> Option<String> {
    let set = |object: &Map<String, Value>, key: &str| object.get(key).filter(|v| !v.is_null()).cloned();
    old.keys().find_map(|key| {
        let old_value = set(old, key)?;
        let key_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match set(new, key) {
            None => Some(key_path),
            Some(_) if key_path == EVENTS_PATH => None,
            Some(new_value) => missing_in(&old_value, &new_value, &key_path),
        }
    })
}

fn missing_in_list(old: &[Value], new: &[Value], path: &str) -> Option<String> {
    if new.is_empty() && !old.is_empty() {
        return Some(path.to_owned());
    }
    new.iter().enumerate().find_map(|(i, entry)| {
        let entry_path = format!("{path}[{i}]");
        let same = identity(entry).and_then(|name| old.iter().find(|o| identity(o) == Some(name)));
        match same {
            Some(same) => missing_in(same, entry, &entry_path),
            None if path == CLASSES_PATH => missing_class_key(old, entry, &entry_path),
            None => None,
        }
    })
}

/// Returns the name of an entry of a list.
fn identity(entry: &Value) -> Option<&str> {
    IDENTITY_KEYS.iter().find_map(|key| entry.get(*key)?.as_str())
}

/// Returns a required key that a new class lacks, if all classes of the file in force have it.
fn missing_class_key(old: &[Value], class: &Value, path: &str) -> Option<String> {
    let all_had = |key: &str| old.iter().all(|class| !class[key].is_null());
    let key = REQUIRED_CLASS_KEYS.iter().find(|key| class[**key].is_null() && all_had(key))?;
    Some(format!("{path}.{key}"))
}

#[cfg(test)]
mod tests;
