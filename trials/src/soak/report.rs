//! What came of a soak, with a timeline of each broken case.

use std::fmt;
use std::time::Instant;

use super::book::{Answer, Book};
use super::checker::Broken;
use super::ends::AfterTerm;
use super::plan::Plan;
use crate::herd::wire::Id;
use crate::history::Line;

/// Cases that a report tells in full.
const CASES_TOLD: usize = 6;
/// Log lines that one case quotes at most.
const LINES_QUOTED: usize = 12;

/// The report of one plan.
#[derive(Clone, Debug)]
pub struct Report {
    /// The plan in a line.
    pub plan: String,
    /// Requests that were asked, and how many were served, refused, failed and given up.
    pub requests: usize,
    /// See there.
    pub served: usize,
    /// See there.
    pub refused: usize,
    /// See there.
    pub failed: usize,
    /// See there.
    pub given_up: usize,
    /// Requests that crossed an end and were sent once more.
    pub sent_again: usize,
    /// Processes, and planned ends among them.
    pub processes: usize,
    /// See there.
    pub ends: usize,
    /// Requests on connections of processes that had been told to end, by second.
    pub after_term: AfterTerm,
    /// What is broken.
    pub broken: Vec<Broken>,
    /// The broken cases by time.
    pub cases: Vec<String>,
}

impl Report {
    /// Of a book.
    pub fn new(plan: &Plan, book: &Book, broken: Vec<Broken>, log: &[Line], begun: Instant) -> Report {
        let first = |answer| {
            let is =
                |request: &&super::book::Request| request.answers.first().is_some_and(|(_, a)| *a == answer);
            book.requests.values().filter(is).count()
        };
        let mut after_term = AfterTerm::default();
        after_term.count(book);
        let ids: Vec<Id> = broken.iter().filter_map(|b| b.id).take(CASES_TOLD).collect();
        Report {
            plan: plan.to_string(),
            requests: book.requests.len(),
            served: first(Answer::Plays),
            refused: first(Answer::Refused),
            failed: first(Answer::Failed),
            given_up: book.requests.values().filter(|r| r.given_up.is_some()).count(),
            sent_again: book.requests.values().filter(|r| r.sent.len() > 1).count(),
            processes: book.runs.len(),
            ends: book.runs.iter().filter(|run| run.told.or(run.ended).is_some()).count(),
            after_term,
            cases: ids.into_iter().map(|id| timeline(plan, book, log, id, begun)).collect(),
            broken,
        }
    }

    /// Whether nothing is broken.
    pub fn good(&self) -> bool {
        self.broken.is_empty()
    }

    /// How often each rule is broken.
    pub fn rules(&self) -> Vec<(&'static str, usize)> {
        let mut rules: Vec<&'static str> = self.broken.iter().map(|b| b.rule).collect();
        rules.sort_unstable();
        let mut counted: Vec<(&'static str, usize)> = Vec::new();
        for rule in rules {
            match counted.last_mut().filter(|(last, _)| *last == rule) {
                Some((_, n)) => *n += 1,
                None => counted.push((rule, 1)),
            }
        }
        counted
    }
}

/// All that happened to a request, in the order of time, with what was done to its broker meanwhile.
fn timeline(plan: &Plan, book: &Book, log: &[Line], id: Id, begun: Instant) -> String {
    let Some(request) = book.requests.get(&id) else { return format!("{id:016x}: no client asked it") };
    let class = &plan.deployment.classes[request.class];
    let mut hops: Vec<(Instant, String)> = request.sent.iter().map(|at| (*at, "sent".to_owned())).collect();
    let first = hops[0].0;
    hops.push((request.sent[request.sent.len() - 1] + request.left, "its time is up".to_owned()));
    hops.extend(request.answers.iter().map(|(at, answer)| (*at, format!("{answer:?}"))));
    for (at, what) in [
        (request.given_up, "given up by its client"),
        (request.ended, "its connection ended"),
        (request.over, "told that it is over"),
        (request.left_at, "ended by its client"),
    ] {
        hops.extend(at.map(|at| (at, what.to_owned())));
    }
    for attempt in book.attempts.get(&id).into_iter().flatten() {
        hops.push((attempt.taken, format!("taken at s-{:04}", attempt.server)));
        hops.extend(attempt.ended.map(|(at, how)| (at, format!("over at s-{:04}: {how:?}", attempt.server))));
    }
    let last = hops.iter().map(|(at, _)| *at).max().unwrap_or(first);
    let broker = format!("broker {}:", request.broker);
    let near = |(at, what): &&(Instant, String)| {
        *at + std::time::Duration::from_secs(4) >= first && *at <= last && (what.starts_with(&broker))
    };
    hops.extend(book.acts.iter().filter(near).cloned());
    hops.sort_by_key(|(at, _)| *at);
    let hop = |(at, what): &(Instant, String)| {
        format!("{:.3} {what}", at.saturating_duration_since(begun).as_secs_f64())
    };
    let hops: Vec<String> = hops.iter().map(hop).collect();
    let named = log.iter().filter(|line| line.text.contains(&format!("{id:016x}")));
    let lines: Vec<String> =
        named.take(LINES_QUOTED).map(|l| format!("\n      {}#{} {}", l.who, l.run, l.text)).collect();
    let paid = if class.paid { ", paid" } else { "" };
    format!(
        "{id:016x} class {}{paid}, {} ms, to broker {}: {}{}",
        class.name,
        request.left.as_millis(),
        request.broker,
        hops.join("; "),
        lines.concat()
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.plan)?;
        write!(
            f,
            "  {} requests: {} served, {} refused, {} failed, {} given up, {} sent again; {} processes, {} planned ends: ",
            self.requests,
            self.served,
            self.refused,
            self.failed,
            self.given_up,
            self.sent_again,
            self.processes,
            self.ends
        )?;
        let rules: Vec<String> = self.rules().iter().map(|(rule, n)| format!("{rule} {n}")).collect();
        f.write_str(&if rules.is_empty() {
            "good".to_owned()
        } else {
            format!("BROKEN: {}", rules.join(", "))
        })?;
        for broken in self.broken.iter().filter(|b| b.id.is_none()) {
            write!(f, "\n    {}: {}", broken.rule, broken.what)?;
        }
        self.cases.iter().try_for_each(|case| write!(f, "\n    {case}"))
    }
}
