//! What all processes logged, in one list. Lines are `event field=value …`, as the program writes them.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One line of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// A timeline as text: who held what, by epoch, and how long nobody did.
pub fn timeline(lines: &[Line]) -> Vec<String> {
    let mut spans: BTreeMap<(String, u64), (String, u64, u64)> = BTreeMap::new();
    for line in lines {
        let duty = if line.event() == "record.wrote" { Some("record") } else { line.field("duty") };
        let acts = matches!(line.event(), "record.wrote" | "duty.acts");
        if let (true, Some(duty), Some(epoch), Some(at)) =
            (acts, duty, line.number("epoch"), line.number("at"))
        {
            let span = spans.entry((duty.to_owned(), epoch)).or_insert((line.who.clone(), at, at));
            (span.1, span.2) = (span.1.min(at), span.2.max(at));
        }
    }
    let mut told = Vec::new();
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    let start = spans.values().map(|(_, from, _)| *from).min().unwrap_or(0);
    for ((duty, epoch), (who, from, to)) in spans {
        let gap = last.insert(duty.clone(), to).map_or(String::new(), |end| {
            format!(", {} ms after the last act before", from.saturating_sub(end) / 1000)
        });
        let ms = |at: u64| (at - start) / 1000;
        told.push(format!("{duty} epoch {epoch}: {who} from {} to {} ms{gap}", ms(from), ms(to)));
    }
    told
}
