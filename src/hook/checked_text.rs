//! Functions of scripts whose result may be larger than all of their arguments together. The built-in ones check the
//! size only after they have made the result; these check it before. None of them looks into what a closure has captured,
//! as that may lead back to the closure.

use rhai::{Array, Dynamic, Engine, EvalAltResult, FnPtr, ImmutableString, Map, Position};

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// An upper estimate of the text of a value that is neither text nor a container, with separators.
const PLAIN_VALUE_BYTES: usize = 32;

/// Replaces the built-in functions in an engine by ones that produce texts of at most `max_bytes`.
pub(super) fn register(engine: &mut Engine, max_bytes: usize) {
    engine.register_fn("replace", move |text: &mut ImmutableString, find: &str, by: &str| {
        replace(text, find, by, max_bytes)
    });
    engine.register_fn("replace", move |text: &mut ImmutableString, find: &str, by: char| {
        replace(text, find, by.encode_utf8(&mut [0; 4]), max_bytes)
    });
    engine.register_fn("replace", move |text: &mut ImmutableString, find: char, by: &str| {
        replace(text, find.encode_utf8(&mut [0; 4]), by, max_bytes)
    });
    engine.register_fn("replace", move |text: &mut ImmutableString, find: char, by: char| {
        replace(text, find.encode_utf8(&mut [0; 4]), by.encode_utf8(&mut [0; 4]), max_bytes)
    });
    for name in ["print", "debug", "to_string", "to_debug"] {
        engine.register_fn(name, move |array: &mut Array| checked(array_text, array, max_bytes));
        engine.register_fn(name, move |map: &mut Map| checked(map_text, map, max_bytes));
        engine.register_fn(name, move |function: &mut FnPtr| ImmutableString::from(function.to_string()));
    }
    engine.register_fn("to_json", move |map: &mut Map| {
        if map.values().any(has_closure) {
            return Err(EvalAltResult::from("a closure that captures variables has no JSON").into());
        }
        checked(map_json, map, max_bytes)
    });
}

fn too_large<T>() -> ScriptResult<T> {
    let what = "Length of string".to_owned();
    Err(EvalAltResult::ErrorDataTooLarge(what, Position::NONE).into())
}

fn replace(text: &mut ImmutableString, find: &str, by: &str, max_bytes: usize) -> ScriptResult<()> {
    let matches = text.matches(find).count();
    let added = matches.saturating_mul(by.len().saturating_sub(find.len()));
    if text.len().saturating_add(added) > max_bytes {
        return too_large();
    }
    *text = text.replace(find, by).into();
    Ok(())
}

/// Renders a container, unless its text may be longer than `max_bytes`.
fn checked<T: Clone + Into<Dynamic>>(
    render: fn(&T) -> String,
    container: &mut T,
    max_bytes: usize,
) -> ScriptResult<ImmutableString> {
    let mut budget = max_bytes;
    if !fits(&container.clone().into(), &mut budget) {
        return too_large();
    }
    Ok(render(container).into())
}

/// Takes the text of a value off a budget of bytes. Returns whether it fits.
fn fits(value: &Dynamic, budget: &mut usize) -> bool {
    let own =
        value.as_immutable_string_ref().map_or(PLAIN_VALUE_BYTES, |text| text.len() + PLAIN_VALUE_BYTES);
    let Some(left) = budget.checked_sub(own) else { return false };
    *budget = left;
    if let Ok(array) = value.as_array_ref() {
        return array.iter().all(|entry| fits(entry, budget));
    }
    if let Ok(map) = value.as_map_ref() {
        return map.iter().all(|(key, entry)| {
            *budget = budget.saturating_sub(key.len());
            fits(entry, budget)
        });
    }
    true
}

/// Whether a value is, or has among its entries, a closure that has captured variables.
fn has_closure(value: &Dynamic) -> bool {
    if let Some(function) = value.read_lock::<FnPtr>() {
        return function.is_curried();
    }
    if let Ok(array) = value.as_array_ref() {
        return array.iter().any(has_closure);
    }
    value.as_map_ref().is_ok_and(|map| map.values().any(has_closure))
}

/// Renders a value as `throw` shows it, unless its text may be longer than `max_bytes`.
pub(super) fn value_text_within(value: &Dynamic, max_bytes: usize) -> Option<String> {
    let mut budget = max_bytes;
    if !fits(value, &mut budget) {
        return None;
    }
    let text = value.as_immutable_string_ref().map(|text| text.to_string());
    Some(text.unwrap_or_else(|_| value_text(value)))
}

fn value_text(value: &Dynamic) -> String {
    if let Ok(text) = value.as_immutable_string_ref() {
        return format!("{:?}", text.as_str());
    }
    if let Ok(array) = value.as_array_ref() {
        return array_text(&array);
    }
    if let Ok(map) = value.as_map_ref() {
        return map_text(&map);
    }
    value.to_string()
}

fn array_text(array: &Array) -> String {
    let entries: Vec<String> = array.iter().map(value_text).collect();
    format!("[{}]", entries.join(", "))
}

fn map_text(map: &Map) -> String {
    let entries: Vec<String> =
        map.iter().map(|(key, value)| format!("{:?}: {}", key.as_str(), value_text(value))).collect();
    format!("#{{{}}}", entries.join(", "))
}

fn map_json(map: &Map) -> String {
    rhai::format_map_as_json(map)
}
