//! What became of requests by the second after SIGTERM, on connections that the process held already then.

use std::fmt;

use super::book::{Answer, Book};

/// Seconds that are told apart; what comes later counts to the last.
const SECONDS: usize = 7;

/// Requests of one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// By what became of them.
    pub served: usize,
    /// See there.
    pub refused: usize,
    /// See there.
    pub failed: usize,
    /// Their connection ended, or nothing came.
    pub unanswered: usize,
}

/// All ends of some trials together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AfterTerm(pub [Second; SECONDS]);

impl AfterTerm {
    /// Counts the requests of a book.
    pub fn count(&mut self, book: &Book) {
        for request in book.requests.values() {
            let at = request.sent[0];
            let of = |run: &&super::book::Run| {
                let within = |told| request.connected <= told && told <= at;
                run.broker == request.broker
                    && run.told.is_some_and(within)
                    && run.ended.is_none_or(|end| at <= end)
            };
            let Some(told) = book.runs.iter().find(of).and_then(|run| run.told) else { continue };
            let second = &mut self.0[((at - told).as_secs() as usize).min(SECONDS - 1)];
            let count = match request.answers.first() {
                Some((_, Answer::Plays)) => &mut second.served,
                Some((_, Answer::Refused)) => &mut second.refused,
                Some((_, Answer::Failed)) => &mut second.failed,
                None => &mut second.unanswered,
            };
            *count += 1;
        }
    }

    /// Adds others.
    pub fn add(&mut self, other: &AfterTerm) {
        for (one, more) in self.0.iter_mut().zip(&other.0) {
            one.served += more.served;
            one.refused += more.refused;
            one.failed += more.failed;
            one.unanswered += more.unanswered;
        }
    }
}

impl fmt::Display for AfterTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let told = |s: &Second| format!("{}/{}/{}/{}", s.served, s.refused, s.failed, s.unanswered);
        let seconds: Vec<String> = self.0.iter().map(told).collect();
        write!(f, "served/refused/failed/unanswered by second: {}", seconds.join(" "))
    }
}
