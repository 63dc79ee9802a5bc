//! Judges a book by the pages' rules with the figures of the settings. It knows nothing of the broker's code.

use std::time::{Duration, Instant};

use super::book::{Answer, Attempt, AttemptEnd, Book, Request};
use super::client::CROSSING;
use super::plan::Plan;
use crate::herd::wire::Id;

/// Every time limit on sockets is so much longer (the protocol page).
const SLACK: Duration = Duration::from_millis(50);
/// Nothing begins for a client that has been gone for so long.
const CLIENT_GONE: Duration = Duration::from_millis(100);
/// The end of a session is told within this, in any case.
const END_TOLD: Duration = Duration::from_secs(8);
/// A process is ready within this.
const READY: Duration = Duration::from_secs(10);
/// What a process that has just started need not have heard yet (operators' page on operating days).
const NEWCOMER: Duration = Duration::from_secs(2);
/// Two sockets that become readable within this are read in any order.
const ORDER: Duration = Duration::from_millis(2);

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which rule.
    pub rule: &'static str,
    /// The request, where it is about one.
    pub id: Option<Id>,
    /// What was seen.
    pub what: String,
}

/// Finds what is broken.
pub fn judge(plan: &Plan, book: &Book) -> Vec<Broken> {
    let mut judge = Judge { plan, book, broken: Vec::new() };
    for (id, request) in &book.requests {
        judge.request(*id, request);
    }
    judge.drains();
    judge.processes();
    for line in book.unreadable.iter().take(5) {
        judge.broken.push(Broken { rule: "unreadable", id: None, what: line.clone() });
    }
    judge.broken
}

struct Judge<'a> {
    plan: &'a Plan,
    book: &'a Book,
    broken: Vec<Broken>,
}

impl Judge<'_> {
    fn fault(&mut self, rule: &'static str, id: Id, what: String) {
        self.broken.push(Broken { rule, id: Some(id), what });
    }

    /// How late the rig itself was around a moment, and for how long brokers had no CPU then: nothing is proved within it.
    fn lag(&self, at: Instant) -> Duration {
        const AROUND: Duration = Duration::from_millis(200);
        let near = |(due, fired): &&(Instant, Instant)| *due <= at + AROUND && *fired + AROUND >= at;
        let rig = self.book.stalls.iter().filter(near).map(|(due, fired)| *fired - *due).max();
        let starved = self.book.runs.iter().map(|run| {
            let near = run.waits.iter().filter(|(seen, _)| *seen + AROUND >= at && *seen <= at + AROUND);
            let waits = near.map(|(_, waited)| *waited);
            waits.clone().max().unwrap_or_default() - waits.min().unwrap_or_default()
        });
        rig.unwrap_or_default() + starved.max().unwrap_or_default()
    }

    fn request(&mut self, id: Id, request: &Request) {
        let attempts = self.book.attempts.get(&id).map_or(&[][..], Vec::as_slice);
        let sent = request.sent[request.sent.len() - 1];
        if request.answers.len() > 1 {
            self.fault("second answer", id, format!("{} answers", request.answers.len()));
        }
        match request.answers.first() {
            Some((at, _)) => {
                let late = at.saturating_duration_since(sent + request.left);
                if late > SLACK + self.lag(*at) {
                    self.fault("late", id, format!("{} ms after its time", late.as_millis()));
                }
            }
            None if request.given_up.is_some() => {}
            None => {
                // What crossed an end was not taken, unless a server has seen it.
                let crossed =
                    request.ended.is_some_and(|ended| ended.saturating_duration_since(sent) <= CROSSING);
                if !crossed || !attempts.is_empty() {
                    let how = if request.ended.is_some() { "connection ended" } else { "no answer" };
                    self.fault("lost", id, how.to_owned());
                }
            }
        }
        self.attempts(id, request, attempts);
        // To a client that gave up, nothing is owed any more.
        if let Some(ended) = self.book.session_ends.get(&id)
            && request.given_up.is_none()
            && request.answers.first().is_some_and(|(_, answer)| *answer == Answer::Plays)
        {
            let gone = request.left_at.is_some_and(|left| left <= *ended + END_TOLD);
            if !gone && request.over.is_none_or(|over| over > *ended + END_TOLD + SLACK) {
                self.fault("end not told", id, "its server had ended it".to_owned());
            }
        }
    }

    fn attempts(&mut self, id: Id, request: &Request, attempts: &[Attempt]) {
        let class = &self.plan.deployment.classes[request.class];
        for (n, one) in attempts.iter().enumerate() {
            for next in &attempts[n + 1..] {
                let out_until = one.ended.map(|(at, _)| at);
                let tolerated = ORDER + self.lag(next.taken);
                let overlaps = out_until.is_none_or(|until| until > next.taken + tolerated);
                let over = |a: &Attempt| a.ended.is_some_and(|(at, _)| at <= a.taken + ORDER);
                if overlaps && !over(next) {
                    let what = format!("at s-{:04} and s-{:04}", one.server, next.server);
                    self.fault("two attempts out", id, what);
                }
            }
            let may_have_run = !matches!(one.ended, Some((_, AttemptEnd::TurnedAway)));
            if class.paid && may_have_run && n + 1 < attempts.len() {
                self.fault("paid twice", id, format!("{} attempts", attempts.len()));
            }
            if request.given_up.is_some_and(|at| one.began > at + CLIENT_GONE + SLACK + self.lag(one.began)) {
                self.fault("client gone", id, "an attempt began behind its client's end".to_owned());
            }
            if one.rung.is_some_and(|rung| rung < class.floor) {
                self.fault("floor", id, format!("rung {:?} under {}", one.rung, class.floor));
            }
        }
        if attempts.len() > self.plan.deployment.attempts as usize * request.sent.len() {
            self.fault("attempts", id, format!("{} attempts", attempts.len()));
        }
        if let Some((at, Answer::Refused)) = request.answers.first()
            && class.paid
            && attempts.iter().any(|a| a.taken < *at && !matches!(a.ended, Some((_, AttemptEnd::TurnedAway))))
        {
            self.fault("refused after a run", id, "a paid request that may have run".to_owned());
        }
    }

    fn drains(&mut self) {
        let grace = Duration::from_millis(self.plan.deployment.drain_grace_ms.into()) + SLACK;
        for forbidden in &self.book.forbidden {
            let newcomers = self.book.runs.iter().filter_map(|run| run.ready);
            let newcomers = newcomers
                .filter(|ready| *ready + NEWCOMER > forbidden.told_by && *ready < forbidden.told_by + grace);
            let told = newcomers.map(|ready| ready + NEWCOMER).fold(forbidden.told_by, Instant::max);
            for (id, attempts) in &self.book.attempts {
                let sent = attempts.iter().find(|a| {
                    let behind = a.began > told + grace + self.lag(a.began);
                    a.server == forbidden.server
                        && behind
                        && forbidden.until.is_none_or(|until| a.began < until)
                });
                if let Some(sent) = sent {
                    let late = (sent.began - told).as_millis();
                    let what = format!("at s-{:04}, {late} ms after it was told", forbidden.server);
                    self.broken.push(Broken { rule: "drain", id: Some(*id), what });
                }
            }
        }
    }

    fn processes(&mut self) {
        let limits = &self.plan.deployment;
        for run in &self.book.runs {
            let mut wrong = Vec::new();
            if run.killed {
                wrong.push(("killed", "still there at the earliest kill".to_owned()));
            }
            wrong.extend(run.crashed.iter().map(|how| ("crashed", how.clone())));
            if run.ready.is_none_or(|ready| ready > run.started + READY) && run.told.is_none() {
                wrong.push(("not ready", "for 10 s".to_owned()));
            }
            if run.peak_kb > u64::from(limits.memory_mb) * 1024 {
                wrong.push(("memory", format!("{} kB", run.peak_kb)));
            }
            if run.peak_descriptors > limits.sockets as usize {
                wrong.push(("descriptors", format!("{}", run.peak_descriptors)));
            }
            for (rule, what) in wrong {
                self.broken.push(Broken { rule, id: None, what: format!("broker {}: {what}", run.broker) });
            }
        }
    }
}
