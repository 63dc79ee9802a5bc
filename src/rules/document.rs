//! The document of a version: limits and barred servers, as typed records.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::api::Micros;
use crate::records::{Findings, Source};

/// Longest document in bytes: it travels in one frame with others beside it.
pub const LONGEST: usize = 256 * 1024;

/// What a process does under a limit once it no longer knows whether its rules still count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum WhenUnsure {
    /// Goes on with the last it knows.
    Keep,
    /// Lets through what every version lets through: `least_per_s`.
    #[default]
    Strictest,
    /// Refuses.
    Refuse,
}

/// `[[limit]]`: requests of a tenant, or of one class of it, that each front lets through.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// The tenant, by a name of `settings.Tenants`; left out: all.
    #[garde(skip)]
    pub tenant: Option<String>,
    /// The class, by its name; left out: all.
    #[garde(skip)]
    pub class: Option<String>,
    /// Requests a second at each front; 0: none.
    #[garde(range(max = 1_000_000))]
    pub most_per_s: u32,
    /// No later version lets less through than this without first lowering it: what a process that knows no better
    /// lets through. 0 if left out.
    #[garde(skip)]
    #[serde(default)]
    pub least_per_s: u32,
    /// What refused clients are told to wait, in milliseconds; 1,000 if left out.
    #[garde(range(min = 1, max = 600_000))]
    #[serde(default = "second")]
    pub wait_ms: u32,
    /// What a process does that no longer knows whether this counts.
    #[garde(skip)]
    #[serde(default)]
    pub when_unsure: WhenUnsure,
    /// No two versions of it at once, not even for a moment: whoever is unsure, or waits for the next to be in force,
    /// refuses.
    #[garde(skip)]
    #[serde(default)]
    pub never_two: bool,
}

fn second() -> u32 {
    1_000
}

/// `[[server]]`: a server that gets nothing new, whatever lists say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Barred {
    /// Its name.
    #[garde(length(min = 1, max = 256))]
    pub barred: String,
}

/// A document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The limits.
    #[garde(dive)]
    #[serde(default)]
    pub limit: Vec<Limit>,
    /// Servers that are barred.
    #[garde(dive)]
    #[serde(default)]
    pub server: Vec<Barred>,
}

impl Limit {
    /// What it is for: two of the same stand against each other.
    pub fn of(&self) -> (Option<&str>, Option<&str>) {
        (self.tenant.as_deref(), self.class.as_deref())
    }

    /// Whether a request falls under it.
    pub fn covers(&self, tenant: &str, class: &str) -> bool {
        self.tenant.as_deref().is_none_or(|t| t == tenant) && self.class.as_deref().is_none_or(|c| c == class)
    }

    /// What refused clients are told to wait.
    pub fn wait(&self) -> Micros {
        Micros(u64::from(self.wait_ms) * 1_000)
    }

    /// Its name in findings and differences.
    pub fn name(&self) -> String {
        let part = |what: &Option<String>| what.clone().unwrap_or_else(|| "*".to_owned());
        format!("limit[{}/{}]", part(&self.tenant), part(&self.class))
    }
}

impl Rules {
    /// Reads a document and checks it whole.
    pub fn read(file: &str, text: &str) -> Result<Rules, Findings> {
        let source = Source::new(file, text);
        let rules: Rules = source.read()?;
        let mut wrong = rules.validate().map_or_else(
            |report| report.into_inner().into_iter().map(|(p, e)| (p.to_string(), e.to_string())).collect(),
            |()| Vec::new(),
        );
        if text.len() > LONGEST {
            wrong.push((String::new(), format!("{} bytes, {LONGEST} at most", text.len())));
        }
        for (i, limit) in rules.limit.iter().enumerate() {
            if let Some(first) = rules.limit[..i].iter().position(|other| other.of() == limit.of()) {
                wrong.push((format!("limit[{i}]"), format!("stands for the same as limit[{first}]")));
            }
            if limit.least_per_s > limit.most_per_s {
                let reason = format!("{} is above most_per_s, {}", limit.least_per_s, limit.most_per_s);
                wrong.push((format!("limit[{i}].least_per_s"), reason));
            }
        }
        for (i, server) in rules.server.iter().enumerate() {
            if rules.server[..i].contains(server) {
                wrong.push((format!("server[{i}].barred"), format!("{} is there already", server.barred)));
            }
        }
        if wrong.is_empty() { Ok(rules) } else { Err(Findings(source.findings(wrong))) }
    }

    /// What may not follow an earlier document: a limit below what processes that know no better let through.
    pub fn follows(&self, before: &Rules, file: &str, text: &str) -> Result<(), Findings> {
        let mut wrong = Vec::new();
        for (i, limit) in self.limit.iter().enumerate() {
            let least = before.limit.iter().find(|b| b.of() == limit.of()).map_or(0, |b| b.least_per_s);
            if limit.most_per_s < least {
                let reason = format!(
                    "{} is below least_per_s of the version before, {least}: lower that one first",
                    limit.most_per_s
                );
                wrong.push((format!("limit[{i}].most_per_s"), reason));
            }
        }
        if wrong.is_empty() { Ok(()) } else { Err(Findings(Source::new(file, text).findings(wrong))) }
    }

    /// Whether a server is barred.
    pub fn bars(&self, server: &str) -> bool {
        self.server.iter().any(|s| s.barred == server)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn found(text: &str) -> Vec<String> {
        let read = Rules::read("r.toml", text);
        read.map_or_else(|f| f.0.iter().map(ToString::to_string).collect(), |_| Vec::new())
    }

    #[test]
    fn what_cannot_be_is_told_by_field_and_line() {
        assert!(
            found("[[limit]]\ntenant = \"a\"\nmost_per_s = 5\n[[server]]\nbarred = \"box-1\"\n").is_empty()
        );
        assert_eq!(
            found("[[limit]]\nmost_per_s = 5\nleast_per_s = 6\n[[limit]]\nmost_per_s = 1\n"),
            [
                "r.toml:3: limit[0].least_per_s: 6 is above most_per_s, 5",
                "r.toml:4: limit[1]: stands for the same as limit[0]"
            ]
        );
        assert!(found("[[limit]]\nmost = 5\n").iter().any(|f| f.contains("limit[0].most: no such key")));
        assert!(
            found("[[limit]]\nmost_per_s = 5\nwhen_unsure = \"maybe\"\n")[0].contains("limit[0].when_unsure")
        );
    }

    #[test]
    fn no_version_lets_less_through_than_those_who_know_no_better() {
        let before = Rules::read("", "[[limit]]\nmost_per_s = 50\nleast_per_s = 20\n").unwrap();
        let text = "[[limit]]\nmost_per_s = 10\n";
        let after = Rules::read("r.toml", text).unwrap();
        let wrong = after.follows(&before, "r.toml", text).unwrap_err();
        assert!(
            wrong.to_string().starts_with("r.toml:2: limit[0].most_per_s: 10 is below least_per_s"),
            "{wrong}"
        );
        assert!(before.follows(&after, "", "").is_ok());
    }
}
