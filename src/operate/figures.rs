//! What is counted of requests, by class, from the start of the process.
//!
//! By hand, and not with a metrics crate: all of it lives on one thread and is four numbers for each class; the crates
//! bring atomics, label sets and an encoder of another form.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;

use crate::api::SessionId;

/// Requests that are remembered after their answer, for attempts that are written late.
const MAX_RECENT_REQUESTS: usize = 256;

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Fulfilled,
    /// Refused.
    Throttled,
    /// Failed.
    Faulted,
}

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub fulfilled: u64,
    /// Requests refused.
    pub throttled: u64,
    /// Requests failed.
    pub faulted: u64,
    /// Attempts written whole to servers.
    pub relayed: u64,
}

/// What is looked up at the moment of a reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not yet ended: those that wait for their answer, and sessions that play.
    pub open_requests: usize,
    /// Of these, the ones that wait for their answer.
    pub unanswered_requests: usize,
    /// Of these, the sessions that play.
    pub playing_sessions: usize,
    /// Clients' connections.
    pub client_connections: usize,
    /// Servers in the list.
    pub registry_entries: usize,
    /// Servers in the list that are avoided now.
    pub out_of_rotation: usize,
}

/// All counts.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By name: a class that goes and comes back goes on counting.
    classes: BTreeMap<String, ClassCounts>,
    /// The class under which each unanswered request was taken.
    unanswered: BTreeMap<SessionId, String>,
    /// The same of the last ones that were answered, the oldest first: a busy machine may write an attempt after its
    /// request's time was over.
    recent: VecDeque<(SessionId, String)>,
    files_accepted: u64,
    files_invalid: u64,
}

impl Metrics {
    /// Counts from 0 for these classes too, so that a class is told of before its first request.
    pub fn register_classes<'a>(&mut self, names: impl IntoIterator<Item = &'a String>) {
        for name in names {
            self.classes.entry(name.clone()).or_default();
        }
    }

    /// A request was taken.
    pub fn record_request(&mut self, id: SessionId, class: &str) {
        self.unanswered.insert(id, class.to_owned());
    }

    /// It got its final answer.
    pub fn record_answer(&mut self, id: SessionId, outcome: Outcome) {
        let Some(class) = self.unanswered.remove(&id) else { return };
        self.recent.push_back((id, class.clone()));
        self.recent.drain(..self.recent.len().saturating_sub(MAX_RECENT_REQUESTS));
        let counts = self.classes.entry(class).or_default();
        match outcome {
            Outcome::Fulfilled => counts.fulfilled += 1,
            Outcome::Throttled => counts.throttled += 1,
            Outcome::Faulted => counts.faulted += 1,
        }
    }

    /// Its client gave it up: it is owed no answer.
    pub fn record_withdrawal(&mut self, id: SessionId) {
        self.unanswered.remove(&id);
    }

    /// An attempt of it was written whole.
    pub fn record_attempt(&mut self, id: SessionId) {
        let recent = || self.recent.iter().rev().find(|(of, _)| *of == id).map(|(_, class)| class);
        if let Some(class) = self.unanswered.get(&id).or_else(recent) {
            self.classes.entry(class.clone()).or_default().relayed += 1;
        }
    }

    /// A file of settings was taken, or turned down.
    pub fn record_settings_file(&mut self, is_accepted: bool) {
        if is_accepted { self.files_accepted += 1 } else { self.files_invalid += 1 }
    }

    /// What is remembered of requests.
    pub fn tracked_entries(&self) -> usize {
        self.unanswered.len()
    }

    /// The lines that staff read.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, n: u64| {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "broker.{name}={n}");
        };
        for (class, counts) in &self.classes {
            let counters = [
                ("fulfilled", counts.fulfilled),
                ("throttled", counts.throttled),
                ("faulted", counts.faulted),
                ("relayed", counts.relayed),
            ];
            counters.iter().for_each(|(name, n)| line(&format!("operations.{class}.{name}"), *n));
        }
        line("open_requests", gauges.open_requests as u64);
        line("unanswered_requests", gauges.unanswered_requests as u64);
        line("playing_sessions", gauges.playing_sessions as u64);
        line("client_connections", gauges.client_connections as u64);
        line("registry_entries", gauges.registry_entries as u64);
        line("out_of_rotation", gauges.out_of_rotation as u64);
        line("cfg_accepted", self.files_accepted);
        line("cfg_invalid", self.files_invalid);
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_request_counts_once_under_the_class_that_it_was_taken_under() {
        let mut metrics = Metrics::default();
        metrics.register_classes(&["clip".to_owned(), "paid".to_owned()]);
        for n in 0..4 {
            metrics.record_request(SessionId(n), if n < 3 { "paid" } else { "gone" });
            metrics.record_attempt(SessionId(n));
        }
        metrics.record_answer(SessionId(0), Outcome::Fulfilled);
        metrics.record_answer(SessionId(0), Outcome::Faulted);
        metrics.record_answer(SessionId(1), Outcome::Throttled);
        metrics.record_withdrawal(SessionId(2));
        metrics.record_attempt(SessionId(2));
        metrics.record_answer(SessionId(2), Outcome::Faulted);
        metrics.record_answer(SessionId(3), Outcome::Faulted);
        // Seen on a busy machine: an attempt that was written after its request had failed counted as none.
        metrics.record_attempt(SessionId(3));
        metrics.record_settings_file(true);
        metrics.record_settings_file(false);
        metrics.record_settings_file(false);
        let gauges = Gauges {
            open_requests: 5,
            unanswered_requests: 1,
            playing_sessions: 4,
            client_connections: 3,
            registry_entries: 13,
            out_of_rotation: 2,
        };
        let expected = "broker.operations.clip.fulfilled=0\nbroker.operations.clip.throttled=0\n\
            broker.operations.clip.faulted=0\nbroker.operations.clip.relayed=0\n\
            broker.operations.gone.fulfilled=0\nbroker.operations.gone.throttled=0\n\
            broker.operations.gone.faulted=1\nbroker.operations.gone.relayed=2\n\
            broker.operations.paid.fulfilled=1\nbroker.operations.paid.throttled=1\n\
            broker.operations.paid.faulted=0\nbroker.operations.paid.relayed=3\n\
            broker.open_requests=5\nbroker.unanswered_requests=1\nbroker.playing_sessions=4\n\
            broker.client_connections=3\nbroker.registry_entries=13\nbroker.out_of_rotation=2\n\
            broker.cfg_accepted=1\nbroker.cfg_invalid=2\n";
        assert_eq!(metrics.render(gauges), expected);
        assert_eq!(metrics.tracked_entries(), 0);
    }
}
