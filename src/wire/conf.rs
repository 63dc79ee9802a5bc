//! Reads JSON settings key by key, with errors that name the path.

use serde_json::Value;

use crate::api::Micros;

/// A value within the settings, with its path for error messages.
pub(super) struct JsonNode<'a> {
    pub(super) value: &'a Value,
    pub(super) path: String,
}

impl<'a> JsonNode<'a> {
    /// Returns an error that names the path of this value.
    pub(super) fn error<T>(&self, problem: &str) -> Result<T, String> {
        Err(format!("{}: {problem}", self.path))
    }

    /// Returns the value of a key, unless it is absent or null.
    pub(super) fn optional(&self, key: &str) -> Option<JsonNode<'a>> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        self.value.get(key).filter(|v| !v.is_null()).map(|value| JsonNode { value, path })
    }

    /// Returns the value of a key that must be present.
    pub(super) fn required(&self, key: &str) -> Result<JsonNode<'a>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.optional(key).ok_or_else(|| format!("{}{dot}{key}: required", self.path))
    }

    pub(super) fn number(&self) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(x) if x.is_finite() => Ok(x),
            _ => self.error("not a number"),
        }
    }

    pub(super) fn whole_number(&self) -> Result<u32, String> {
        match self.value.as_f64() {
            Some(x) if x >= 0.0 && x <= f64::from(u32::MAX) && x.fract() == 0.0 => Ok(x as u32),
            _ => self.error("not a whole number of 0 or more"),
        }
    }

    pub(super) fn items(&self) -> Result<Vec<JsonNode<'a>>, String> {
        let Some(array) = self.value.as_array() else {
            return self.error("not a list");
        };
        let item = |(i, value)| JsonNode { value, path: format!("{}[{i}]", self.path) };
        Ok(array.iter().enumerate().map(item).collect())
    }

    pub(super) fn numbers(&self) -> Result<Vec<f64>, String> {
        self.items()?.iter().map(JsonNode::number).collect()
    }

    pub(super) fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.optional(key).map_or(Ok(default), |c| c.number())
    }

    pub(super) fn time_or_zero(&self, key: &str) -> Result<Micros, String> {
        self.number_or(key, 0.0).map(Micros::from_ms)
    }

    pub(super) fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, String> {
        let Some(text) = self.optional(key) else { return Ok(default) };
        text.value.as_str().map_or_else(|| text.error("not text"), Ok)
    }

    pub(super) fn flag_or(&self, key: &str, default: bool) -> Result<bool, String> {
        let Some(flag) = self.optional(key) else { return Ok(default) };
        flag.value.as_bool().map_or_else(|| flag.error("not true or false"), Ok)
    }
}
