//! Counts the records of many brokers in bounded memory: rows by time, server, zone, class and tenant, sketches for
//! titles, histograms for times. Partial counts of files that were read side by side add up.

use std::collections::{BTreeMap, HashMap};

use amberspindle::trace::{Event, Record};
use hdrhistogram::Histogram;
use topk::FilteredSpaceSaving;

use crate::counts::Counts;

/// Rows of time that are kept; beyond that each covers twice as long.
const ROWS_MOST: usize = 4096;
/// Servers that are told apart, beyond that they count as [`OTHERS`].
const SERVERS_MOST: usize = 8192;
/// Zones, classes or tenants that are told apart.
const NAMES_MOST: usize = 512;
/// Titles that the sketch holds; of those that make up more than one in so many it misses none.
const TITLES: usize = 2048;
/// Counts of one server in one row of time that are kept.
const CELLS_MOST: usize = 1 << 20;
/// Sessions of one broker that are open at once; the oldest are forgotten beyond that.
const OPEN_MOST: usize = 1 << 16;
/// What is beyond a bound.
pub const OTHERS: &str = "(others)";
/// Where a session's request is not in the log.
pub const UNKNOWN: &str = "(unknown)";
/// Longest time that a histogram tells apart, ms.
const LONGEST_MS: u64 = 3_600_000;

/// A session whose end is still to come.
#[derive(Clone, Debug, Default)]
struct Open {
    class: String,
    tenant: String,
    title: String,
    server: String,
    zone: String,
}

/// Sessions of one broker that are not over.
#[derive(Debug, Default)]
pub struct Sessions {
    open: HashMap<String, Open>,
    order: std::collections::VecDeque<String>,
}

impl Sessions {
    fn begin(&mut self, id: &str, open: Open) {
        self.order.push_back(id.to_owned());
        self.open.insert(id.to_owned(), open);
        while self.open.len() > OPEN_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.open.remove(&oldest);
        }
        // What is over stands in the queue until it comes to the front.
        if self.order.len() > 2 * OPEN_MOST {
            self.order.retain(|id| self.open.contains_key(id));
        }
    }
}

/// Rows by name, of which there are at most so many.
#[derive(Clone, Debug)]
pub struct Rows {
    rows: BTreeMap<String, Counts>,
    most: usize,
}

impl Rows {
    fn new(most: usize) -> Rows {
        Rows { rows: BTreeMap::new(), most }
    }

    fn add(&mut self, name: &str, counts: &Counts) {
        if let Some(row) = self.rows.get_mut(name) {
            return row.add(counts);
        }
        let name = if self.rows.len() < self.most { name } else { OTHERS };
        self.rows.entry(name.to_owned()).or_default().add(counts);
    }

    /// The rows, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.rows.iter().map(|(name, counts)| (name.as_str(), counts))
    }

    /// One row.
    pub fn get(&self, name: &str) -> Option<&Counts> {
        self.rows.get(name)
    }
}

/// How old the last word was, and how many attempts went to servers never heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Age {
    /// Attempts at servers that had been heard.
    pub heard: u64,
    /// Their ages added up, ms.
    pub sum_ms: u64,
    /// Attempts at servers that had not.
    pub never: u64,
}

impl Age {
    fn add(&mut self, other: Age) {
        self.heard += other.heard;
        self.sum_ms += other.sum_ms;
        self.never += other.never;
    }
}

/// One row of time.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// What was counted.
    pub counts: Counts,
    /// Ages of the words that attempts rest on.
    pub age: Age,
    /// Sessions set up, by the number of the server.
    plays: HashMap<u32, u32>,
}

/// Everything that is counted.
pub struct Fold {
    cold_ms: u64,
    /// Seconds that a row of time covers.
    width: u64,
    rows: BTreeMap<u64, Row>,
    cells: usize,
    numbers: HashMap<String, u32>,
    /// By server.
    pub servers: Rows,
    /// By the zone of the server that was asked.
    pub zones: Rows,
    /// By class.
    pub classes: Rows,
    /// By tenant.
    pub tenants: Rows,
    /// Titles by requests, and by answers that a server is full.
    titles: [FilteredSpaceSaving<String>; 2],
    /// Age of the last word, ms.
    pub heard_ms: Histogram<u64>,
    /// From the request to the answer that it plays, ms.
    pub took_ms: Histogram<u64>,
    /// Sessions and lines that brokers left out.
    pub left_out: (u64, u64),
    /// Records.
    pub records: u64,
}

/// Of a fixed range: one that grows by itself does not do so for what it only saturates.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, 2)
        .unwrap_or_else(|_| unreachable!("the range and two digits are allowed"))
}

impl Fold {
    /// Nothing yet. A server counts as just started for `cold_ms`.
    pub fn new(cold_ms: u64) -> Fold {
        let sketch = || FilteredSpaceSaving::new(TITLES);
        Fold {
            cold_ms,
            width: 1,
            rows: BTreeMap::new(),
            cells: 0,
            numbers: HashMap::new(),
            servers: Rows::new(SERVERS_MOST),
            zones: Rows::new(NAMES_MOST),
            classes: Rows::new(NAMES_MOST),
            tenants: Rows::new(NAMES_MOST),
            titles: [sketch(), sketch()],
            heard_ms: histogram(),
            took_ms: histogram(),
            left_out: (0, 0),
            records: 0,
        }
    }

    /// Takes one record of a broker in, whose open sessions are kept beside.
    pub fn record(&mut self, sessions: &mut Sessions, record: &Record) {
        self.records += 1;
        let counts = Counts::of(&record.event, self.cold_ms);
        let mut age = Age::default();
        // What stands in a session's own line goes before what its earlier lines said.
        let (id, ends) = match &record.event {
            Event::Asked { id, class, tenant, title, .. } => {
                let (class, tenant, title) = (class.clone(), tenant.clone(), title.clone());
                self.titles[0].insert(title.clone(), 1);
                sessions.begin(id, Open { class, tenant, title, ..Open::default() });
                (Some(id), false)
            }
            Event::Sent { id, server, zone, heard_ms, .. } => {
                if let Some(open) = sessions.open.get_mut(id) {
                    (open.server, open.zone) = (server.clone(), zone.to_string());
                }
                match u64::try_from(*heard_ms) {
                    Ok(ms) => {
                        age = Age { heard: 1, sum_ms: ms, never: 0 };
                        self.heard_ms.saturating_record(ms.min(LONGEST_MS));
                    }
                    Err(_) => age.never = 1,
                }
                (Some(id), false)
            }
            Event::Plays { id, took_ms, .. } => {
                self.took_ms.saturating_record((*took_ms).min(LONGEST_MS));
                (Some(id), false)
            }
            Event::Turned { id, how, .. } => {
                if let (true, Some(open)) = (how == "full", sessions.open.get(id)) {
                    self.titles[1].insert(open.title.clone(), 1);
                }
                (Some(id), false)
            }
            Event::Rung { id, .. }
            | Event::Opened { id, .. }
            | Event::Released { id, .. }
            | Event::Withdrawn { id, .. }
            | Event::ReplyQueued { id, .. }
            | Event::ReplyWritten { id, .. }
            | Event::ReplyDropped { id } => (Some(id), false),
            Event::Refused { id, .. } | Event::Failed { id, .. } | Event::Over { id, .. } => (Some(id), true),
            Event::Dial { server, .. } => {
                self.servers.add(server, &counts);
                (None, false)
            }
            Event::Told { .. } => (None, false),
            Event::Dropped { lines, sessions } => {
                self.left_out.0 += lines;
                self.left_out.1 += sessions;
                (None, false)
            }
        };
        let mut played = None;
        if let Some(id) = id {
            let open = sessions.open.get(id);
            let field = |of: fn(&Open) -> &String| match open.map(of) {
                Some(name) if !name.is_empty() => name.as_str(),
                _ => UNKNOWN,
            };
            self.classes.add(field(|o| &o.class), &counts);
            self.tenants.add(field(|o| &o.tenant), &counts);
            if !matches!(record.event, Event::Asked { .. }) {
                let server = field(|o| &o.server);
                self.servers.add(server, &counts);
                self.zones.add(field(|o| &o.zone), &counts);
                played = matches!(record.event, Event::Plays { .. }).then(|| server.to_owned());
            }
            if ends {
                sessions.open.remove(id);
            }
        }
        let server = played.and_then(|server| self.number(&server));
        self.row(
            record.at_us / 1_000_000,
            &Row { counts, age, plays: server.map(|s| (s, 1)).into_iter().collect() },
        );
    }

    fn number(&mut self, server: &str) -> Option<u32> {
        if let Some(number) = self.numbers.get(server) {
            return Some(*number);
        }
        let number = u32::try_from(self.numbers.len()).ok().filter(|n| (*n as usize) < SERVERS_MOST)?;
        self.numbers.insert(server.to_owned(), number);
        Some(number)
    }

    fn row(&mut self, second: u64, more: &Row) {
        let row = self.rows.entry(second / self.width).or_default();
        row.counts.add(&more.counts);
        row.age.add(more.age);
        for (server, n) in &more.plays {
            let new = !row.plays.contains_key(server);
            if new && self.cells >= CELLS_MOST {
                continue;
            }
            self.cells += usize::from(new);
            *row.plays.entry(*server).or_default() += n;
        }
        while self.rows.len() > ROWS_MOST {
            self.widen();
        }
    }

    /// Each row covers twice as long from now on.
    fn widen(&mut self) {
        self.width *= 2;
        self.cells = 0;
        for (at, row) in std::mem::take(&mut self.rows) {
            self.row(at * (self.width / 2), &row);
        }
    }

    /// Adds what was counted of other brokers.
    pub fn merge(mut self, other: Fold) -> Fold {
        while self.width < other.width {
            self.widen();
        }
        let names: HashMap<u32, &String> = other.numbers.iter().map(|(name, n)| (*n, name)).collect();
        let numbers: HashMap<u32, u32> =
            names.iter().filter_map(|(n, name)| Some((*n, self.number(name)?))).collect();
        for (at, row) in &other.rows {
            let plays = row.plays.iter().filter_map(|(s, n)| Some((*numbers.get(s)?, *n))).collect();
            self.row(at * other.width, &Row { plays, ..row.clone() });
        }
        for (mine, theirs) in [
            (&mut self.servers, &other.servers),
            (&mut self.zones, &other.zones),
            (&mut self.classes, &other.classes),
            (&mut self.tenants, &other.tenants),
        ] {
            theirs.iter().for_each(|(name, counts)| mine.add(name, counts));
        }
        for (mine, theirs) in self.titles.iter_mut().zip(&other.titles) {
            // Sketches of one size add up.
            let _ = mine.merge(theirs);
        }
        // Histograms of one range take each other in.
        let _ = self.heard_ms.add(&other.heard_ms);
        let _ = self.took_ms.add(&other.took_ms);
        self.left_out.0 += other.left_out.0;
        self.left_out.1 += other.left_out.1;
        self.records += other.records;
        self
    }

    /// Seconds that a row of time covers.
    pub fn width(&self) -> u64 {
        self.width
    }

    /// Rows of time: the second of the Unix clock that each begins with, and the row.
    pub fn times(&self) -> impl Iterator<Item = (u64, &Row)> {
        self.rows.iter().map(|(at, row)| (at * self.width, row))
    }

    /// Sessions set up in a row, by server; those that had none count too.
    pub fn by_server(&self, row: &Row) -> Vec<u64> {
        let mut work: Vec<u64> = row.plays.values().map(|n| u64::from(*n)).collect();
        work.resize(self.numbers.len().max(work.len()), 0);
        work
    }

    /// The titles that were asked for most, with the requests and the answers that a server is full. The figures
    /// are at most a `1 / TITLES` of all too high.
    pub fn titles(&self, most: usize) -> Vec<(String, u64, u64)> {
        let mut asked: Vec<(String, u64)> =
            self.titles[0].iter().map(|(title, n)| (title.clone(), n.estimated_count())).collect();
        asked.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        asked.truncate(most);
        let full = |title: &String| self.titles[1].get(title).map_or(0, |n| n.estimated_count());
        asked
            .into_iter()
            .map(|(title, n)| {
                let full = full(&title);
                (title, n, full)
            })
            .collect()
    }

    /// All rows of time added up.
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.rows.values().for_each(|row| total.add(&row.counts));
        total
    }
}

#[cfg(test)]
mod tests;
