//! Metrics of the console's `vars` call: counters of requests by class since the start of the process, and gauges.
//!
//! The counters are plain integers rather than those of a metrics crate: they live on one thread and are four numbers
//! for each class, while the crates add atomics, label sets and an encoder for another format.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;

use crate::api::{SessionId, TitleStats};
use crate::broker::UnconfirmedStats;
use crate::hook::HookStats;

/// The number of answered requests that are kept to count attempts whose write completes after the answer.
const MAX_RECENT_REQUESTS: usize = 256;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session was set up.
    Fulfilled,
    /// The request was refused.
    Throttled,
    /// The request failed.
    Faulted,
}

/// The counters of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// The number of requests whose session was set up.
    pub fulfilled: u64,
    /// The number of requests that were refused.
    pub throttled: u64,
    /// The number of requests that failed.
    pub faulted: u64,
    /// The number of attempts that were completely written to a server.
    pub relayed: u64,
}

/// Values that are read at the moment of a `vars` call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// The number of requests that have not ended: those that wait for their answer, and sessions that play.
    pub open_requests: usize,
    /// The number of open requests that wait for their answer.
    pub unanswered_requests: usize,
    /// The number of open requests whose session plays.
    pub playing_sessions: usize,
    /// The number of client connections.
    pub client_connections: usize,
    /// The number of servers in the list.
    pub registry_entries: usize,
    /// The number of servers in the list that currently get no requests.
    pub out_of_rotation: usize,
    /// The estimated memory for sessions, in bytes.
    pub session_bytes: usize,
    /// The number of sessions that were refused for lack of that memory.
    pub memory_refusals: u64,
    /// Sessions named as established that no server has confirmed.
    pub unconfirmed: UnconfirmedStats,
    /// The decision module's table of titles.
    pub titles: TitleStats,
    /// The operator's script.
    pub hook: HookStats,
}

/// The counters of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Counters by class name, so that a class that is removed and added again keeps its counts.
    classes: BTreeMap<String, ClassCounts>,
    /// The class under which each unanswered request was accepted.
    unanswered: BTreeMap<SessionId, String>,
    /// The classes of the requests answered last, oldest first: on a busy machine the write of an attempt may
    /// complete after its request has failed at its deadline.
    recent: VecDeque<(SessionId, String)>,
    files_accepted: u64,
    files_invalid: u64,
}

impl Metrics {
    /// Adds these classes with counters at 0, so that a class is reported before its first request.
    pub fn register_classes<'a>(&mut self, names: impl IntoIterator<Item = &'a String>) {
        for name in names {
            self.classes.entry(name.clone()).or_default();
        }
    }

    /// Records that a request was accepted.
    pub fn record_request(&mut self, id: SessionId, class: &str) {
        self.unanswered.insert(id, class.to_owned());
    }

    /// Counts the final answer to a request. Later answers to the same request are ignored.
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

    /// Records that the client withdrew a request. The request counts under no outcome.
    pub fn record_withdrawal(&mut self, id: SessionId) {
        self.unanswered.remove(&id);
    }

    /// Counts an attempt of a request that was completely written to a server.
    pub fn record_attempt(&mut self, id: SessionId) {
        let recent = || self.recent.iter().rev().find(|(request, _)| *request == id).map(|(_, class)| class);
        if let Some(class) = self.unanswered.get(&id).or_else(recent) {
            self.classes.entry(class.clone()).or_default().relayed += 1;
        }
    }

    /// Counts a configuration file that was accepted or rejected.
    pub fn record_settings_file(&mut self, is_accepted: bool) {
        if is_accepted { self.files_accepted += 1 } else { self.files_invalid += 1 }
    }

    /// Returns the number of requests that are tracked until their answer.
    pub fn tracked_entries(&self) -> usize {
        self.unanswered.len()
    }

    /// Renders the metrics as text, one `name=value` a line.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, n: u64| {
            // Writing to a String can't fail.
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
        line("session_bytes", gauges.session_bytes as u64);
        line("memory_refusals", gauges.memory_refusals);
        line("unconfirmed_sessions", gauges.unconfirmed.sessions as u64);
        line("unconfirmed_refused", gauges.unconfirmed.refused);
        line("unconfirmed_expired", gauges.unconfirmed.expired);
        line("titles", gauges.titles.titles as u64);
        line("idle_title_bytes", gauges.titles.idle_bytes as u64);
        line("titles_evicted", gauges.titles.evicted);
        line("hook_on", u64::from(gauges.hook.is_on));
        line("hook_waiting", gauges.hook.waiting as u64);
        line("hook_skipped_requests", gauges.hook.skipped_requests);
        line("hook_dropped_outcomes", gauges.hook.dropped_outcomes);
        line("hook_failures", gauges.hook.failures);
        line("cfg_accepted", self.files_accepted);
        line("cfg_invalid", self.files_invalid);
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_each_request_once_under_the_class_it_was_accepted_with() {
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
        // On a busy machine an attempt whose write completed after its request had failed was not counted.
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
            session_bytes: 6000,
            memory_refusals: 7,
            unconfirmed: UnconfirmedStats { sessions: 15, refused: 16, expired: 17 },
            titles: TitleStats { titles: 8, idle_bytes: 900, evicted: 10 },
            hook: HookStats {
                is_on: true,
                waiting: 11,
                skipped_requests: 12,
                dropped_outcomes: 13,
                failures: 14,
            },
        };
        let expected = "broker.operations.clip.fulfilled=0\nbroker.operations.clip.throttled=0\n\
            broker.operations.clip.faulted=0\nbroker.operations.clip.relayed=0\n\
            broker.operations.gone.fulfilled=0\nbroker.operations.gone.throttled=0\n\
            broker.operations.gone.faulted=1\nbroker.operations.gone.relayed=2\n\
            broker.operations.paid.fulfilled=1\nbroker.operations.paid.throttled=1\n\
            broker.operations.paid.faulted=0\nbroker.operations.paid.relayed=3\n\
            broker.open_requests=5\nbroker.unanswered_requests=1\nbroker.playing_sessions=4\n\
            broker.client_connections=3\nbroker.registry_entries=13\nbroker.out_of_rotation=2\n\
            broker.session_bytes=6000\nbroker.memory_refusals=7\n\
            broker.unconfirmed_sessions=15\nbroker.unconfirmed_refused=16\n\
            broker.unconfirmed_expired=17\nbroker.titles=8\n\
            broker.idle_title_bytes=900\nbroker.titles_evicted=10\nbroker.hook_on=1\n\
            broker.hook_waiting=11\nbroker.hook_skipped_requests=12\n\
            broker.hook_dropped_outcomes=13\nbroker.hook_failures=14\n\
            broker.cfg_accepted=1\nbroker.cfg_invalid=2\n";
        assert_eq!(metrics.render(gauges), expected);
        assert_eq!(metrics.tracked_entries(), 0);
    }
}
