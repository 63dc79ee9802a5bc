//! Judges what was seen: requests lost, answered late or twice, and paid sessions set up twice. It knows nothing of
//! the broker's code.

use std::time::{Duration, Instant};

use super::ledger::{Answer, Book, Request, SetUp};
use super::report::{Case, Counts, Hop, Verdict};
use super::starved::starved;
use super::wire::Id;

/// An answer may come so long after the viewer's time is up: each time limit on sockets is that much longer.
pub const GRACE: Duration = Duration::from_millis(50);

/// Judges a book; times are told since `begun`.
pub fn judge(book: &Book, begun: Instant) -> Verdict {
    let lag = book.stalls.iter().map(|(due, fired)| fired.saturating_duration_since(*due)).max();
    let mut verdict = Verdict { lag_ms: ms(lag.unwrap_or_default()), ..Verdict::default() };
    for (id, request) in &book.requests {
        let judge = Judge { book, begun, id: *id, request };
        judge.answer(&mut verdict);
        judge.twice(&mut verdict);
    }
    verdict.unreadable =
        book.unreadable.iter().map(|(process, line)| format!("p-{process}: {line}")).collect();
    verdict
}

struct Judge<'a> {
    book: &'a Book,
    begun: Instant,
    id: Id,
    request: &'a Request,
}

impl Judge<'_> {
    /// Whether there is one final answer, in time, and of a server's making.
    fn answer(&self, verdict: &mut Verdict) {
        let counts = &mut verdict.counts;
        counts.taken += 1;
        counts.crossed += usize::from(self.request.crossed);
        if self.request.answers.len() > 1 {
            verdict.second_answers.push(self.case(format!("{} answers", self.request.answers.len())));
        }
        match self.request.answers.first() {
            Some((_, answer)) if self.request.given_up.is_none() => {
                count(counts, answer);
                self.in_time(verdict);
            }
            _ if self.request.given_up.is_some() => counts.given_up += 1,
            _ if self.killed_under_it() => counts.at_killed += 1,
            _ => {
                let how = self.request.ended.as_ref().map_or("never answered", |(_, how)| how);
                verdict.lost.push(self.case(how.to_owned()));
            }
        }
        self.honest(verdict);
    }

    fn in_time(&self, verdict: &mut Verdict) {
        let Some((at, _)) = self.request.answers.first() else { return };
        let late = at.saturating_duration_since(self.request.due());
        verdict.max_lateness_ms = verdict.max_lateness_ms.max(ms(late));
        if late <= GRACE {
            return;
        }
        let starved = starved(self.book, self.request, *at);
        let (late_ms, starved_ms) = (ms(late), ms(starved));
        let case = self.case(format!("{late_ms:.1} ms after its time, without a CPU for {starved_ms:.1} ms"));
        let found = if late > GRACE + starved { &mut verdict.late } else { &mut verdict.late_starved };
        found.push(case);
    }

    /// Its process was killed while it could still be answered in time, and its connection ended with the process.
    fn killed_under_it(&self) -> bool {
        let killed = self.book.runs[self.request.process][self.request.run].killed;
        let ended = self.request.ended.as_ref().map(|(at, _)| *at);
        matches!((killed, ended), (Some(killed), Some(ended))
            if ended >= killed && killed <= self.request.due() + GRACE)
    }

    /// What is told of set-ups is what servers made of them.
    fn honest(&self, verdict: &mut Verdict) {
        let mut made = self.set_ups().iter().filter_map(|set_up| set_up.answer.as_ref());
        match self.request.answers.first() {
            Some((_, Answer::Plays(told))) if !made.any(|made| made == told) => {
                verdict.foreign.push(self.case("served with what no server made for it".to_owned()));
            }
            Some((at, Answer::Refused)) if self.request.paid && self.ran_before(*at) => {
                verdict.refused_after_run.push(self.case("refused though it may have run".to_owned()));
            }
            _ => {}
        }
    }

    /// Whether a set-up may have run before a time, while the viewer still waited.
    fn ran_before(&self, at: Instant) -> bool {
        self.request.given_up.is_none() && self.set_ups().iter().any(|set_up| set_up.ran && set_up.seen < at)
    }

    /// Whether a paid session was set up once more behind a set-up that may have run.
    fn twice(&self, verdict: &mut Verdict) {
        let set_ups = self.set_ups();
        let first = set_ups.iter().position(|set_up| set_up.ran);
        if self.request.paid && first.is_some_and(|first| first + 1 < set_ups.len()) {
            verdict.twice.push(self.case(format!("{} set-ups", set_ups.len())));
        }
    }

    fn set_ups(&self) -> &[SetUp] {
        self.book.set_ups.get(&self.id).map_or(&[], Vec::as_slice)
    }

    /// The request with its hops in the order of time.
    fn case(&self, what: String) -> Case {
        let request = self.request;
        let mut hops =
            vec![(request.connected, "connected".to_owned()), (request.written, "written".to_owned())];
        hops.push((request.due(), "time is up".to_owned()));
        hops.extend(self.set_ups().iter().map(|set_up| {
            let ran = if set_up.ran { "" } else { ", turned away" };
            (set_up.seen, format!("set-up at {}{ran}", set_up.server))
        }));
        hops.extend(request.given_up.map(|at| (at, "given up".to_owned())));
        hops.extend(request.answers.iter().map(|(at, answer)| (*at, answer.word().to_owned())));
        hops.extend(request.ended.iter().map(|(at, how)| (*at, format!("connection ended: {how}"))));
        hops.sort_by_key(|(at, _)| *at);
        let hop =
            |(at, what): (Instant, String)| Hop { at_ms: ms(at.saturating_duration_since(self.begun)), what };
        Case {
            id: format!("{:016x}", self.id),
            class: request.class.clone(),
            paid: request.paid,
            process: request.process,
            run: request.run,
            what,
            hops: hops.into_iter().map(hop).collect(),
        }
    }
}

fn count(counts: &mut Counts, answer: &Answer) {
    match answer {
        Answer::Plays(_) => counts.plays += 1,
        Answer::Refused => counts.refused += 1,
        Answer::Failed(_) => counts.failed += 1,
    }
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
