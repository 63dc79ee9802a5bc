//! Tables of what was counted: as text, CSV or JSON.

use std::io;

use clap::ValueEnum;
use hdrhistogram::Histogram;
use serde_json::{Map, Value};

use crate::counts::{Column, Counts, NAMES};
use crate::fold::{Age, Fold, Rows};
use crate::spread;

/// What a table shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum By {
    /// Rows of time, with how evenly sessions fell on servers and how old the words were that attempts rest on.
    Second,
    /// Servers.
    Server,
    /// Zones of the servers that were asked.
    Zone,
    /// The titles that were asked for most.
    Title,
    /// Classes.
    Class,
    /// Tenants.
    Tenant,
}

/// A table: names of columns, and rows.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The columns.
    pub columns: Vec<String>,
    /// The rows; numbers as numbers.
    pub rows: Vec<Vec<Value>>,
}

fn text(columns: &[&str]) -> Vec<String> {
    columns.iter().map(|c| (*c).to_owned()).collect()
}

fn rounded(number: Option<f64>) -> Value {
    number.map_or(Value::Null, |n| Value::from((n * 1000.0).round() / 1000.0))
}

fn numbers(counts: &Counts) -> impl Iterator<Item = Value> {
    counts.all().iter().map(|n| Value::from(*n))
}

/// One count over another; none over nothing.
pub(crate) fn ratio(a: u64, b: u64) -> Option<f64> {
    (b > 0).then(|| a as f64 / b as f64)
}

/// Rungs under the highest, at a set-up.
pub(crate) fn rungs_under_top(c: &Counts) -> Option<f64> {
    ratio(c.get(Column::Tops).saturating_sub(c.get(Column::Rungs)), c.get(Column::Tries))
}

/// Tries a request, and rungs under the highest.
fn derived(c: &Counts) -> [Value; 2] {
    [rounded(ratio(c.get(Column::Tries), c.get(Column::Offered))), rounded(rungs_under_top(c))]
}

fn named(what: &str, rows: &Rows) -> Table {
    let mut columns = text(&[what]);
    columns.extend(text(NAMES));
    columns.extend(text(&["tries_a_request", "rungs_under_top"]));
    let row = |(name, counts): (&str, &Counts)| {
        let mut row = vec![Value::from(name)];
        row.extend(numbers(counts));
        row.extend(derived(counts));
        row
    };
    Table { columns, rows: rows.iter().map(row).collect() }
}

fn seconds(fold: &Fold) -> Table {
    let mut columns = text(&["second", "unix_s"]);
    columns.extend(text(NAMES));
    columns.extend(text(&[
        "tries_a_request",
        "rungs_under_top",
        "gini",
        "max_over_mean",
        "age_ms",
        "never_heard",
    ]));
    let first = fold.times().next().map_or(0, |(at, _)| at);
    let rows = fold.times().map(|(at, row)| {
        let work = fold.by_server(row);
        let mut out = vec![Value::from(at - first), Value::from(at)];
        out.extend(numbers(&row.counts));
        out.extend(derived(&row.counts));
        out.extend([rounded(spread::gini(&work)), rounded(spread::max_over_mean(&work))]);
        let Age { heard, sum_ms, never } = row.age;
        out.extend([rounded(ratio(sum_ms, heard)), rounded(ratio(never, heard + never))]);
        out
    });
    Table { columns, rows: rows.collect() }
}

/// Titles that are shown.
const TITLES_SHOWN: usize = 100;

/// A table of what was counted.
pub fn by(fold: &Fold, what: By) -> Table {
    match what {
        By::Second => seconds(fold),
        By::Server => named("server", &fold.servers),
        By::Zone => named("zone", &fold.zones),
        By::Class => named("class", &fold.classes),
        By::Tenant => named("tenant", &fold.tenants),
        By::Title => {
            let rows = fold.titles(TITLES_SHOWN).into_iter();
            let rows = rows.map(|(title, asked, full)| vec![Value::from(title), asked.into(), full.into()]);
            Table { columns: text(&["title", "offered", "full"]), rows: rows.collect() }
        }
    }
}

/// The whole fleet in a few figures: name and value.
pub fn summary(fold: &Fold) -> Table {
    let total = fold.total();
    let get = |column| total.get(column);
    let dials = get(Column::DialSetUp) + get(Column::DialNotes) + get(Column::DialCheck);
    let known = fold.servers.iter().filter(|(name, _)| !name.starts_with('('));
    let work: Vec<u64> = known.map(|(_, counts)| counts.get(Column::Plays)).collect();
    let mut rows: Vec<(String, Value)> =
        NAMES.iter().zip(total.all()).map(|(name, n)| ((*name).to_owned(), Value::from(*n))).collect();
    let [tries, under] = derived(&total);
    rows.extend([
        ("servers".to_owned(), Value::from(work.len())),
        ("tries_a_request".to_owned(), tries),
        ("rungs_under_top".to_owned(), under),
        ("connections_a_session".to_owned(), rounded(ratio(dials, get(Column::Plays)))),
        ("gini".to_owned(), rounded(spread::gini(&work))),
        ("max_over_mean".to_owned(), rounded(spread::max_over_mean(&work))),
        ("never_heard".to_owned(), rounded(ratio(get(Column::Unheard), get(Column::Tries)))),
        ("sessions_left_out".to_owned(), Value::from(fold.left_out.1)),
        ("lines_left_out".to_owned(), Value::from(fold.left_out.0)),
    ]);
    for (name, histogram) in [("age_ms", &fold.heard_ms), ("took_ms", &fold.took_ms)] {
        rows.extend(quantiles(histogram).map(|(q, ms)| (format!("{name}_{q}"), ms)));
    }
    let rows = rows.into_iter().map(|(name, value)| vec![Value::from(name), value]).collect();
    Table { columns: text(&["what", "figure"]), rows }
}

fn quantiles(histogram: &Histogram<u64>) -> [(&'static str, Value); 4] {
    let at = |q| if histogram.is_empty() { Value::Null } else { Value::from(histogram.value_at_quantile(q)) };
    [("p50", at(0.5)), ("p90", at(0.9)), ("p99", at(0.99)), ("most", at(1.0))]
}

impl Table {
    fn cell(value: &Value) -> String {
        match value {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    /// As lines with aligned columns; columns that are 0 or empty throughout are left out.
    pub fn text(&self) -> String {
        let used = |i: &usize| {
            self.rows.iter().any(|row| !["", "0", "0.0"].contains(&Table::cell(&row[*i]).as_str()))
        };
        let shown: Vec<usize> = (0..self.columns.len()).filter(|i| *i == 0 || used(i)).collect();
        let mut lines = vec![shown.iter().map(|i| self.columns[*i].clone()).collect::<Vec<_>>()];
        lines.extend(self.rows.iter().map(|row| shown.iter().map(|i| Table::cell(&row[*i])).collect()));
        let widths: Vec<usize> =
            (0..shown.len()).map(|i| lines.iter().map(|l| l[i].chars().count()).max().unwrap_or(0)).collect();
        let mut out = String::new();
        for line in lines {
            let cells = line.iter().zip(&widths).enumerate();
            let cells: Vec<String> = cells
                .map(|(i, (c, w))| if i == 0 { format!("{c:<w$}") } else { format!("{c:>w$}") })
                .collect();
            out += cells.join("  ").trim_end();
            out.push('\n');
        }
        out
    }

    /// As comma-separated values, with a line of names.
    pub fn csv(&self, to: impl io::Write) -> Result<(), csv::Error> {
        let mut writer = csv::Writer::from_writer(to);
        writer.write_record(&self.columns)?;
        for row in &self.rows {
            writer.write_record(row.iter().map(Table::cell))?;
        }
        writer.flush()?;
        Ok(())
    }

    /// As a list of objects.
    pub fn json(&self) -> Value {
        let object = |row: &Vec<Value>| {
            let fields = self.columns.iter().cloned().zip(row.iter().cloned());
            Value::Object(fields.collect::<Map<String, Value>>())
        };
        Value::Array(self.rows.iter().map(object).collect())
    }
}
