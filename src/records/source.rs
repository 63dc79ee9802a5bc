//! The text of a TOML file, read into records, with the way back from a field to its line.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

use super::{Finding, Findings, MOST_FINDINGS};

/// One file's text.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The file's name, for findings.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// A step on the way to a field.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// How a key is written in a path: bare where TOML lets it be bare.
pub(super) fn key(name: &str) -> String {
    let bare = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-');
    if bare { name.to_owned() } else { format!("{name:?}") }
}

fn path_text(steps: &[Step]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            Step::Index(i) => text += &format!("[{i}]"),
            Step::Key(name) if text.is_empty() => text += &key(name),
            Step::Key(name) => text += &format!(".{}", key(name)),
        }
    }
    text
}

/// Takes a path such as `server[2].weight` or `weights."a.b"` apart.
fn steps(path: &str) -> Vec<Step> {
    let mut found = Vec::new();
    let mut rest = path;
    while !rest.is_empty() {
        if let Some(inner) = rest.strip_prefix('[') {
            let (index, behind) = inner.split_once(']').unwrap_or((inner, ""));
            found.extend(index.parse().ok().map(Step::Index));
            rest = behind;
        } else if rest.starts_with('"') {
            let end = rest.char_indices().skip(1).find(|(i, c)| *c == '"' && !rest[..*i].ends_with('\\'));
            let end = end.map_or(rest.len(), |(i, _)| i + 1);
            let name = serde_json::from_str(&rest[..end]).unwrap_or_else(|_| rest[..end].to_owned());
            found.push(Step::Key(name));
            rest = &rest[end..];
        } else {
            let end = rest.find(['.', '[']).unwrap_or(rest.len());
            if end > 0 {
                found.push(Step::Key(rest[..end].to_owned()));
            }
            rest = &rest[end..];
        }
        rest = rest.strip_prefix('.').unwrap_or(rest);
    }
    found
}

impl<'a> Source<'a> {
    /// A file's text.
    pub fn new(file: &'a str, text: &'a str) -> Source<'a> {
        Source { file, text }
    }

    /// The line of an offset, counted from 1.
    fn line(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().get(..offset).unwrap_or(self.text.as_bytes());
        before.iter().filter(|b| **b == b'\n').count() + 1
    }

    /// Findings on fields, each with its line as far as the field or what holds it stands in the file.
    pub fn findings(&self, of: impl IntoIterator<Item = (String, String)>) -> Vec<Finding> {
        let tree = DeTable::parse(self.text).ok();
        let mut found = Vec::new();
        for (field, reason) in of.into_iter().take(MOST_FINDINGS) {
            let at = tree.as_ref().and_then(|tree| find(tree.get_ref(), &steps(&field)));
            let line = at.map(|at| self.line(at));
            found.push(Finding { file: self.file.to_owned(), line, field, reason });
        }
        found
    }

    /// Reads the file into a record. What is wrong is told of several fields at once.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Findings> {
        // The plain way first: only a file that is wrong is read a second time for its lines.
        if let Ok(good) = toml::from_str(self.text) {
            return Ok(good);
        }
        let tree = match DeTable::parse(self.text) {
            Ok(tree) => tree,
            Err(error) => {
                let reason = format!("not TOML: {}", error.message().replace('\n', " "));
                let line = error.span().map(|span| self.line(span.start));
                return Err(Finding { line, ..Finding::whole(self.file, reason) }.into());
            }
        };
        let (mut found, mut left) = (Vec::new(), tree.clone());
        while found.len() < MOST_FINDINGS {
            let Err(error) = T::deserialize(toml::Deserializer::from(left.clone())) else { break };
            // What the whole file lacks has the whole file for its place.
            let span = error.span().filter(|span| *span != tree.span() && !span.is_empty());
            let (mut way, cut) = span.as_ref().map_or((Vec::new(), None), |s| way_to(tree.get_ref(), s));
            let message = error.message().lines().next().unwrap_or_default().to_owned();
            let quoted = |prefix: &str| -> Option<String> {
                message.strip_prefix(prefix)?.split('`').next().map(str::to_owned)
            };
            let reason = if let Some(name) = quoted("missing field `") {
                way.push(Step::Key(name));
                "required".to_owned()
            } else if quoted("unknown field `").is_some() {
                let known = message.split_once("expected").map_or("", |(_, known)| known);
                format!("no such key; known here:{}", known.replace(" one of", ""))
            } else {
                message
            };
            let (file, field) = (self.file.to_owned(), path_text(&way));
            let line = span.map(|span| self.line(span.start));
            // What was found wrong and left out is missed now, which is not worth a word.
            if found.iter().all(|f: &Finding| f.field != field) {
                found.push(Finding { file, line, field, reason });
            }
            // The rest may hold more that is wrong: it is read once more without what was found.
            if !cut.is_some_and(|cut| remove(left.get_mut(), &cut)) {
                break;
            }
        }
        found.sort_by_key(|f| f.line);
        Err(Findings(found))
    }
}

/// Where a field, or the innermost table that would hold it, stands.
fn find(table: &DeTable<'_>, way: &[Step]) -> Option<usize> {
    let (Step::Key(name), rest) = way.split_first()? else { return None };
    let (at, value) = table.iter().find(|(k, _)| k.get_ref() == name)?;
    Some(inside(value.get_ref(), rest).unwrap_or(at.span().start))
}

fn inside(value: &DeValue<'_>, way: &[Step]) -> Option<usize> {
    match (way.split_first()?, value) {
        ((Step::Key(_), _), DeValue::Table(table)) => find(table, way),
        ((Step::Index(i), rest), DeValue::Array(items)) => {
            let item = items.get(*i)?;
            Some(inside(item.get_ref(), rest).unwrap_or(item.span().start))
        }
        _ => None,
    }
}

/// The way to what a span lies in, and the span of what is left out when the file is read on: the entry itself,
/// or, where it is known but wrong, the whole item of a list that it belongs to.
fn way_to(table: &DeTable<'_>, span: &Range<usize>) -> (Vec<Step>, Option<Range<usize>>) {
    fn within(outer: &Range<usize>, span: &Range<usize>) -> bool {
        outer.start <= span.start && span.end <= outer.end
    }
    fn go(
        table: &DeTable<'_>,
        span: &Range<usize>,
        way: &mut Vec<Step>,
        cut: &mut Option<Range<usize>>,
    ) -> bool {
        for (name, value) in table.iter() {
            if within(&name.span(), span) || within(&value.span(), span) || holds(value.get_ref(), span) {
                let unknown = within(&name.span(), span);
                way.push(Step::Key(name.get_ref().to_string()));
                if unknown || !way.iter().any(|step| matches!(step, Step::Index(_))) {
                    *cut = Some(name.span());
                }
                if !unknown {
                    enter(value.get_ref(), span, way, cut);
                }
                return true;
            }
        }
        false
    }
    fn holds(value: &DeValue<'_>, span: &Range<usize>) -> bool {
        match value {
            DeValue::Array(items) => {
                items.iter().any(|i| within(&i.span(), span) || holds(i.get_ref(), span))
            }
            DeValue::Table(table) => table
                .iter()
                .any(|(k, v)| within(&k.span(), span) || within(&v.span(), span) || holds(v.get_ref(), span)),
            _ => false,
        }
    }
    fn enter(value: &DeValue<'_>, span: &Range<usize>, way: &mut Vec<Step>, cut: &mut Option<Range<usize>>) {
        match value {
            DeValue::Table(table) => {
                go(table, span, way, cut);
            }
            DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    if within(&item.span(), span) || holds(item.get_ref(), span) {
                        way.push(Step::Index(i));
                        *cut = Some(item.span());
                        return enter(item.get_ref(), span, way, cut);
                    }
                }
            }
            _ => {}
        }
    }
    let (mut way, mut cut) = (Vec::new(), None);
    go(table, span, &mut way, &mut cut);
    (way, cut)
}

/// Leaves out the key or the item that has this span; false if there is none.
fn remove(table: &mut DeTable<'_>, cut: &Range<usize>) -> bool {
    let name = table.iter().find(|(k, _)| k.span() == *cut).map(|(k, _)| k.clone());
    if let Some(name) = name {
        return table.remove(&name).is_some();
    }
    let names: Vec<_> = table.iter().map(|(k, _)| k.clone()).collect();
    names.into_iter().any(|name| table.get_mut(&name).is_some_and(|value| remove_in(value.get_mut(), cut)))
}

fn remove_in(value: &mut DeValue<'_>, cut: &Range<usize>) -> bool {
    match value {
        DeValue::Table(table) => remove(table, cut),
        DeValue::Array(items) => {
            let kept: Vec<_> = items.iter().filter(|i| i.span() != *cut).cloned().collect();
            if kept.len() < items.len() {
                *items = kept.into_iter().collect();
                return true;
            }
            items.iter_mut().any(|item| remove_in(item.get_mut(), cut))
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    struct Item {
        id: String,
        size: Option<f64>,
    }

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    struct File {
        item: Vec<Item>,
        part: Option<Item>,
    }

    #[test]
    fn several_faults_are_told_at_once_each_with_its_line_and_field() {
        let text = "[[item]]\nid = \"a\"\nsise = 2\n\n[[item]]\nsize = 1.0\n\n[[item]]\nid = 7\n\n[prat]\nid = \"p\"\n";
        let found = Source::new("f.toml", text).read::<File>().unwrap_err();
        let lines: Vec<String> = found.0.iter().map(Finding::to_string).collect();
        assert_eq!(
            lines,
            [
                "f.toml:3: item[0].sise: no such key; known here: `id` or `size`",
                "f.toml:5: item[1].id: required",
                "f.toml:9: item[2].id: invalid type: integer `7`, expected a string",
                "f.toml:11: prat: no such key; known here: `item` or `part`",
            ]
        );
        let found = Source::new("f.toml", "[part]\nid = 1\n").read::<File>().unwrap_err();
        let lines: Vec<String> = found.0.iter().map(Finding::to_string).collect();
        let wrong = "f.toml:2: part.id: invalid type: integer `1`, expected a string";
        assert_eq!(lines, ["f.toml: item: required", wrong]);
    }

    #[test]
    fn a_field_is_found_by_its_path_or_by_what_would_hold_it() {
        let text = "a = 1\n[\"b.c\"]\nd = [1,\n 2]\n";
        let of = |path: &str| Source::new("f", text).findings([(path.to_owned(), String::new())])[0].line;
        assert_eq!(of("a"), Some(1));
        assert_eq!(of("\"b.c\".d[1]"), Some(4));
        assert_eq!(of("\"b.c\".none"), Some(2));
        assert_eq!(of("none"), None);
        assert_eq!(path_text(&steps("\"b.c\".d[1]")), "\"b.c\".d[1]");
    }
}
