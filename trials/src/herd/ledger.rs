//! What was seen from outside: requests as their viewers saw them, set-ups as the servers saw them, and when each
//! process ran. Nothing here is judged; [`super::checker`] does that.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::wire::Id;

/// One run of one process.
#[derive(Clone, Debug)]
pub struct Run {
    /// The system's number of the process.
    pub pid: u32,
    /// When it was started.
    pub started: Instant,
    /// When it was killed, just before the signal; none if it never was.
    pub killed: Option<Instant>,
    /// For how long in all it had been ready to run and had no CPU, each time that was looked at.
    pub waits: Vec<(Instant, Duration)>,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The session stands, with this description.
    Plays(String),
    /// Trying again is harmless.
    Refused,
    /// It failed, with this cause.
    Failed(u8),
}

impl Answer {
    /// A word for reports.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Plays(_) => "plays",
            Answer::Refused => "refused",
            Answer::Failed(_) => "failed",
        }
    }
}

/// A request that a process took: its last byte was written to a connection that the machine accepted.
#[derive(Clone, Debug)]
pub struct Request {
    /// The class's name.
    pub class: String,
    /// It is paid at set-up.
    pub paid: bool,
    /// The process.
    pub process: usize,
    /// Which run of it.
    pub run: usize,
    /// When its connection came up.
    pub connected: Instant,
    /// When its last byte was written.
    pub written: Instant,
    /// For so long its viewer waits.
    pub left: Duration,
    /// When its viewer gave it up.
    pub given_up: Option<Instant>,
    /// Its final answers: there should be one.
    pub answers: Vec<(Instant, Answer)>,
    /// When and how its connection ended before the answer.
    pub ended: Option<(Instant, String)>,
    /// It crossed a close of an idle connection and was written once more.
    pub crossed: bool,
}

impl Request {
    /// When the viewer's time is up.
    pub fn due(&self) -> Instant {
        self.written + self.left
    }
}

/// A set-up that came whole to a server.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The server.
    pub server: String,
    /// When its last byte was read.
    pub seen: Instant,
    /// It may have run: the server did not turn it away.
    pub ran: bool,
    /// The description that the server made for it, if it answered.
    pub answer: Option<String>,
}

/// All of it.
#[derive(Debug, Default)]
pub struct Book {
    /// Runs, by process.
    pub runs: Vec<Vec<Run>>,
    /// Requests that were taken.
    pub requests: BTreeMap<Id, Request>,
    /// Set-ups in the order in which they came, by request.
    pub set_ups: BTreeMap<Id, Vec<SetUp>>,
    /// Lines of processes that can't be read, with the process.
    pub unreadable: Vec<(usize, String)>,
    /// When the rig's own timers were late: from when they were due until they fired.
    pub stalls: Vec<(Instant, Instant)>,
}

impl Book {
    /// Processes that were started and not killed: the process, its run, and the system's number of it.
    pub fn alive(&self) -> Vec<(usize, usize, u32)> {
        let newest = |(process, runs): (usize, &Vec<Run>)| {
            let run = runs.last().filter(|run| run.killed.is_none())?;
            Some((process, runs.len() - 1, run.pid))
        };
        self.runs.iter().enumerate().filter_map(newest).collect()
    }
}

/// The book, shared by the threads of viewers, servers and processes.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Book>>);

impl Ledger {
    /// The book, for as long as the guard lives.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A process was started; gives the number of its run.
    pub fn started(&self, process: usize, pid: u32) -> usize {
        let mut book = self.book();
        if book.runs.len() <= process {
            book.runs.resize(process + 1, Vec::new());
        }
        book.runs[process].push(Run { pid, started: Instant::now(), killed: None, waits: Vec::new() });
        book.runs[process].len() - 1
    }

    /// A process is about to be killed.
    pub fn killing(&self, process: usize) {
        if let Some(run) = self.book().runs[process].last_mut() {
            run.killed = Some(Instant::now());
        }
    }

    /// The run of a process that a connection which has just come up belongs to.
    pub fn run_of(&self, process: usize) -> usize {
        self.book().runs[process].len() - 1
    }

    /// Whether a run of a process was killed.
    pub fn was_killed(&self, process: usize, run: usize) -> bool {
        self.book().runs[process][run].killed.is_some()
    }

    /// A final answer came.
    pub fn answered(&self, id: Id, at: Instant, answer: Answer) {
        if let Some(request) = self.book().requests.get_mut(&id) {
            request.answers.push((at, answer));
        }
    }

    /// Whether a request has its answer.
    pub fn has_answer(&self, id: Id) -> bool {
        self.book().requests.get(&id).is_some_and(|request| !request.answers.is_empty())
    }

    /// Whether a request was answered by a session.
    pub fn plays(&self, id: Id) -> bool {
        let plays = |request: &Request| matches!(request.answers.first(), Some((_, Answer::Plays(_))));
        self.book().requests.get(&id).is_some_and(plays)
    }

    /// The connection of a request ended before the answer.
    pub fn ended(&self, id: Id, at: Instant, how: &str) {
        if let Some(request) = self.book().requests.get_mut(&id) {
            request.ended = Some((at, how.to_owned()));
        }
    }

    /// The viewer of a request gives it up.
    pub fn gave_up(&self, id: Id) {
        if let Some(request) = self.book().requests.get_mut(&id) {
            request.given_up = Some(Instant::now());
        }
    }

    /// A set-up came whole to a server.
    pub fn set_up(&self, id: Id, set_up: SetUp) {
        self.book().set_ups.entry(id).or_default().push(set_up);
    }
}
