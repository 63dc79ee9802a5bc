//! What all processes logged, in one list. Lines are `event field=value …`, as the program writes them.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// One line of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The process's name.
    pub who: String,
    /// Which start of it, counted over the whole trial.
    pub run: usize,
    /// How the rig started it: `keep`, `lose`, `old`, `spoil` or `twin`.
    pub how: String,
    /// The line.
    pub text: String,
}

impl Line {
    /// The event.
    pub fn event(&self) -> &str {
        self.text.split(' ').next().unwrap_or_default()
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split(' ').skip(1);
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// The list, which grows while processes run.
#[derive(Clone, Default)]
pub struct History(Arc<(Mutex<Vec<Line>>, Condvar)>);

impl History {
    /// A line was logged.
    pub fn push(&self, line: Line) {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        self.0.1.notify_all();
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<Line> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until something is found in the list.
    pub fn wait<T>(&self, most: Duration, mut found: impl FnMut(&[Line]) -> Option<T>) -> Option<T> {
        let until = Instant::now() + most;
        let mut lines = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(found) = found(&lines) {
                return Some(found);
            }
            let left = until.checked_duration_since(Instant::now())?;
            let wait = self.0.1.wait_timeout(lines, left).unwrap_or_else(PoisonError::into_inner);
            lines = wait.0;
        }
    }
}

/// The last process that acted for a duty, with its run and epoch.
pub fn holder(lines: &[Line], duty: &str) -> Option<(String, usize, u64)> {
    let acts = lines.iter().filter(|l| acts_for(l, duty));
    let last = acts.max_by_key(|l| (l.number("epoch"), l.number("at")))?;
    Some((last.who.clone(), last.run, last.number("epoch")?))
}

/// Whether a line tells of an act for a duty.
pub fn acts_for(line: &Line, duty: &str) -> bool {
    match duty {
        "record" => line.event() == "record.wrote",
        _ => line.event() == "duty.acts" && line.field("duty") == Some(duty),
    }
}

/// The voter that leads under the highest reign that anybody told of.
pub fn leader(lines: &[Line]) -> Option<(u64, String)> {
    let led = lines.iter().filter(|l| l.event() == "quorum.leader");
    led.filter_map(|l| Some((l.number("reign")?, l.field("leader")?.to_owned()))).max()
}

/// A span in which a process acted for a duty.
struct Span {
    duty: String,
    epoch: u64,
    who: String,
    from: u64,
    to: u64,
}

/// Who acted for what, by duty and epoch.
fn spans(lines: &[Line]) -> Vec<Span> {
    let mut spans: BTreeMap<(String, u64), Span> = BTreeMap::new();
    for line in lines {
        let duty = if line.event() == "record.wrote" { Some("record") } else { line.field("duty") };
        let acts = matches!(line.event(), "record.wrote" | "duty.acts");
        if let (true, Some(duty), Some(epoch), Some(at)) =
            (acts, duty, line.number("epoch"), line.number("at"))
        {
            let (who, duty) = (line.who.clone(), duty.to_owned());
            let new = Span { duty: duty.clone(), epoch, who, from: at, to: at };
            let span = spans.entry((duty, epoch)).or_insert(new);
            (span.from, span.to) = (span.from.min(at), span.to.max(at));
        }
    }
    spans.into_values().collect()
}

// Pixels of a timeline's width, of a row's height and of the names before it.
const WIDE: u64 = 1_000;
const ROW: u64 = 22;
const NAMES: u64 = 110;

/// A timeline as a picture: a bar for each epoch in the row of the process that acted, and a mark for each step.
pub fn svg(lines: &[Line]) -> String {
    let spans = spans(lines);
    let steps = lines.iter().filter(|l| l.event() == "rig.step");
    let marks: Vec<(u64, &str)> =
        steps.filter_map(|l| Some((l.number("at")?, l.text.split_once(" what=")?.1))).collect();
    let from = spans.iter().map(|s| s.from).chain(marks.iter().map(|m| m.0)).min().unwrap_or(0);
    let to = spans.iter().map(|s| s.to).chain(marks.iter().map(|m| m.0)).max().unwrap_or(from).max(from + 1);
    let x = |at: u64| NAMES + (at - from) * WIDE / (to - from);
    let rows: Vec<(&str, &str)> = {
        let mut rows: Vec<_> = spans.iter().map(|s| (s.duty.as_str(), s.who.as_str())).collect();
        rows.sort_unstable();
        rows.dedup();
        rows
    };
    let (width, height) = (NAMES + WIDE + 20, (rows.len() as u64 + 2) * ROW);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"11\">\n"
    );
    for (at, what) in marks {
        let what: String = what.chars().filter(|c| !"<>&\"".contains(*c)).collect();
        svg += &format!(
            "<line x1=\"{0}\" y1=\"0\" x2=\"{0}\" y2=\"{height}\" stroke=\"#bbb\"><title>{what}</title></line>\n",
            x(at)
        );
    }
    for (row, (duty, who)) in rows.iter().enumerate() {
        let y = (row as u64 + 1) * ROW;
        svg += &format!("<text x=\"2\" y=\"{}\">{duty} {who}</text>\n", y + 14);
        for span in spans.iter().filter(|s| (s.duty.as_str(), s.who.as_str()) == (*duty, *who)) {
            let (left, wide) = (x(span.from), (x(span.to) - x(span.from)).max(2));
            let colour = if *duty == "record" { "#3b7dd8" } else { "#d8803b" };
            svg += &format!(
                "<rect x=\"{left}\" y=\"{y}\" width=\"{wide}\" height=\"{}\" fill=\"{colour}\"><title>epoch {}</title></rect>\n",
                ROW - 4,
                span.epoch
            );
        }
    }
    svg + "</svg>\n"
}

/// A timeline as text: who held what, by epoch, and how long nobody did.
pub fn timeline(lines: &[Line]) -> Vec<String> {
    let spans = spans(lines);
    let mut told = Vec::new();
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    let start = spans.iter().map(|s| s.from).min().unwrap_or(0);
    for Span { duty, epoch, who, from, to } in spans {
        let gap = last.insert(duty.clone(), to).map_or(String::new(), |end| {
            format!(", {} ms after the last act before", from.saturating_sub(end) / 1000)
        });
        let ms = |at: u64| (at - start) / 1000;
        told.push(format!("{duty} epoch {epoch}: {who} from {} to {} ms{gap}", ms(from), ms(to)));
    }
    told
}
