//! What is seen from outside: requests as their clients saw them, attempts as the servers saw them, and what was done to
//! the processes. Nothing here is judged; [`super::checker`] does that.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::herd::wire::Id;

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The session stands.
    Plays,
    /// Trying again is harmless.
    Refused,
    /// It failed.
    Failed,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The class.
    pub class: usize,
    /// The broker.
    pub broker: usize,
    /// When its connection came up.
    pub connected: Instant,
    /// When its last byte was written, each time that it was sent.
    pub sent: Vec<Instant>,
    /// For so long its client waits.
    pub left: Duration,
    /// When its client gave it up.
    pub given_up: Option<Instant>,
    /// Its final answers.
    pub answers: Vec<(Instant, Answer)>,
    /// When its connection ended before the answer, the last time.
    pub ended: Option<Instant>,
    /// When its client was told that the session is over.
    pub over: Option<Instant>,
    /// When its client ended the session.
    pub left_at: Option<Instant>,
}

/// How an attempt ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered: the session stands.
    Answered,
    /// The server turned it away unseen.
    TurnedAway,
    /// The server failed it.
    Errored,
    /// The broker gave it up.
    GivenUp,
    /// Its connection ended.
    Closed,
}

/// An attempt that came whole to a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// When its first byte came.
    pub began: Instant,
    /// When it had come whole.
    pub taken: Instant,
    /// Its rung.
    pub rung: Option<u32>,
    /// When and how it ended.
    pub ended: Option<(Instant, AttemptEnd)>,
}

/// One process of a broker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The broker.
    pub broker: usize,
    /// When it was started, said yes, and was told to end.
    pub started: Instant,
    /// See there.
    pub ready: Option<Instant>,
    /// See there.
    pub told: Option<Instant>,
    /// When it had ended.
    pub ended: Option<Instant>,
    /// It was killed, as it was still there at the earliest kill.
    pub killed: bool,
    /// It ended though nobody told it, or not well.
    pub crashed: Option<String>,
    /// For how long in all it had been ready to run and had no CPU, each time that was looked at.
    pub waits: Vec<(Instant, Duration)>,
    /// The most memory that it held, in kB, and the most descriptors.
    pub peak_kb: u64,
    /// See there.
    pub peak_descriptors: usize,
}

/// A change of the list that forbids a server.
#[derive(Clone, Copy, Debug)]
pub struct Forbidden {
    /// The server.
    pub server: usize,
    /// When it counts as told at the latest.
    pub told_by: Instant,
    /// When the list called it ready again.
    pub until: Option<Instant>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Book {
    /// Requests, by id.
    pub requests: BTreeMap<Id, Request>,
    /// Attempts in the order in which they came, by id.
    pub attempts: BTreeMap<Id, Vec<Attempt>>,
    /// When a server ended a session that stood.
    pub session_ends: BTreeMap<Id, Instant>,
    /// Processes.
    pub runs: Vec<Run>,
    /// Drains and removals.
    pub forbidden: Vec<Forbidden>,
    /// What was brought about, for the timeline.
    pub acts: Vec<(Instant, String)>,
    /// Lines that can't be read.
    pub unreadable: Vec<String>,
    /// When the rig's own timers were late.
    pub stalls: Vec<(Instant, Instant)>,
}

/// The book, shared by the rig's threads.
#[derive(Clone, Debug, Default)]
pub struct SharedBook(Arc<Mutex<Book>>);

impl SharedBook {
    /// The book, for as long as the guard lives.
    pub fn lock(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what is brought about.
    pub fn act(&self, what: String) {
        self.lock().acts.push((Instant::now(), what));
    }

    /// Notes how an attempt ended, the newest one of a session at a server that is out.
    pub fn attempt_ended(&self, id: Id, server: usize, how: AttemptEnd) {
        let mut book = self.lock();
        let attempts = book.attempts.get_mut(&id).into_iter().flatten().rev();
        let open = |attempt: &&mut Attempt| attempt.server == server && attempt.ended.is_none();
        if let Some(attempt) = attempts.into_iter().find(open) {
            attempt.ended = Some((Instant::now(), how));
        }
    }
}
