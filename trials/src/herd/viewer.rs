//! One viewer: what it wants, how it asks for that, and whether it comes again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, unbounded};
use async_io::Timer;
use fastrand::Rng;
use futures_lite::future;
use serde_json::json;

use super::connection::{Connection, Event};
use super::crowd::Crowd;
use super::deployment::Class;
use super::ledger::Request;
use super::settings::{TOP_RUNG, tenant};
use super::wire::{Id, line, release_line};

/// Past the end of a viewer's time an answer is waited for so long, to tell a late one from none.
const PATIENCE: Duration = Duration::from_secs(2);
/// A viewer comes again so often at most, then it turns to something else.
const TRIES: u32 = 5;
/// Part of the requests that go out on a connection of their own.
const ON_NEW: f64 = 0.2;
/// Part of the viewers that stay away for as long as a refusal says.
const HONOURS_WAIT: f64 = 0.7;
/// Part of the requests whose viewers give them up, if they are not answered by then.
const GIVES_UP: f64 = 0.1;
/// Titles that viewers ask for.
const TITLES: usize = 60;

/// What became of one try.
enum Outcome {
    Played,
    /// It may come again after so long.
    Again(Duration),
    /// It comes again at once, elsewhere.
    Elsewhere,
    Over,
}

/// A viewer.
pub(super) struct Viewer {
    crowd: Rc<Crowd>,
    number: usize,
    home: usize,
    rng: Rng,
}

/// What a viewer wants to watch.
struct Wish {
    class: Class,
    title: usize,
    top: u32,
}

impl Viewer {
    pub(super) fn new(crowd: Rc<Crowd>, number: usize, rng: Rng) -> Viewer {
        let home = number % crowd.setup.addresses.len();
        Viewer { crowd, number, home, rng }
    }

    /// Asks until viewers are no longer wanted.
    pub(super) async fn live(mut self) {
        while !self.crowd.ending.get() {
            self.turn().await;
            let think = Duration::from_millis(self.rng.u64(20..=200));
            self.rest(think).await;
        }
    }

    /// Rests, but no longer than viewers are wanted.
    async fn rest(&self, span: Duration) {
        const STEP: Duration = Duration::from_millis(100);
        let until = Instant::now() + span;
        while !self.crowd.ending.get() && Instant::now() < until {
            Timer::after(STEP.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Asks for something until it plays, or until it is out of mind.
    async fn turn(&mut self) {
        let wish = self.wish();
        let mut own = Some(self.home);
        for attempt in 0..TRIES {
            if self.crowd.ending.get() {
                return;
            }
            match self.attempt(&wish, own, attempt > 0).await {
                Outcome::Played | Outcome::Over => return,
                Outcome::Again(after) => self.rest(after).await,
                Outcome::Elsewhere => own = None,
            }
        }
    }

    fn wish(&mut self) -> Wish {
        let classes = &self.crowd.setup.deployment.classes;
        let class = classes[self.rng.usize(..classes.len())].clone();
        Wish { class, title: self.rng.usize(..TITLES), top: self.rng.u32(..=TOP_RUNG) }
    }

    async fn attempt(&mut self, wish: &Wish, own: Option<usize>, again: bool) -> Outcome {
        let Some(process) = self.crowd.choose(own, &mut self.rng) else {
            return Outcome::Again(Duration::from_millis(50));
        };
        let new = self.rng.f64() < ON_NEW;
        let Some(connection) = self.crowd.connect(process, new).await else { return Outcome::Elsewhere };
        let id = self.rng.u64(1..);
        let left = f64::from(wish.class.deadline_ms) * (0.8 + 0.2 * self.rng.f64());
        let left = Duration::from_millis(left as u64);
        let bytes = self.set_up_line(id, wish, left, again);
        let request = |connection: &Connection, written, crossed| Request {
            class: wish.class.name.clone(),
            paid: wish.class.paid,
            process,
            run: connection.run,
            connected: connection.connected,
            written,
            left,
            given_up: None,
            answers: Vec::new(),
            ended: None,
            crossed,
        };
        let (events, heard) = unbounded();
        let Some(written) = connection.write(&bytes) else { return Outcome::Elsewhere };
        let ledger = self.crowd.setup.ledger.clone();
        ledger.book().requests.insert(id, request(&connection, written, false));
        connection.expect(id, written, events.clone());
        let outcome = self.hear(id, &connection, left, &heard).await;
        if let Some(outcome) = outcome {
            return outcome;
        }
        // It crossed a close: it is sent once more, on a new connection.
        let connection = self.crowd.connect(process, true).await;
        let Some((connection, written)) = connection.and_then(|new| new.write(&bytes).map(|at| (new, at)))
        else {
            ledger.ended(id, Instant::now(), "could not be sent once more");
            return Outcome::Elsewhere;
        };
        ledger.book().requests.insert(id, request(&connection, written, true));
        connection.expect(id, written, events);
        self.hear(id, &connection, left, &heard).await.unwrap_or(Outcome::Elsewhere)
    }

    fn set_up_line(&self, id: Id, wish: &Wish, left: Duration, again: bool) -> Vec<u8> {
        let (cells, title) = (self.crowd.setup.cells, wish.title);
        let (home, copies) = (title % cells, (1 + title % 3).min(cells));
        let again = if again { ";again:1" } else { "" };
        let number = self.number;
        let extras = format!("home:{home};copies:{copies};top:{};viewer:{number:016x}{again}", wish.top);
        let mut fields = json!({"class": wish.class.name, "left": left.as_millis().to_string(),
            "key": format!("title-{title}"), "extras": extras});
        if self.crowd.setup.deployment.tenants > 0 {
            fields["tenant"] = json!(tenant(number as u32 % self.crowd.setup.deployment.tenants));
        }
        let offer = format!("v=0\r\no={id:016x}\r\nm=video 9");
        line(&json!({"type": "setup", "id": format!("{id:016x}"), "fields": fields, "sdp": offer}))
    }

    /// Waits for the answer; none if the request is to be sent once more.
    async fn hear(
        &mut self,
        id: Id,
        connection: &Rc<Connection>,
        left: Duration,
        heard: &Receiver<Event>,
    ) -> Option<Outcome> {
        let gives_up = self.rng.f64() < GIVES_UP;
        let most = if gives_up { left.mul_f64(self.rng.f64()) } else { left + PATIENCE };
        let Some(event) = next(heard, most).await else {
            if gives_up {
                self.crowd.setup.ledger.gave_up(id);
            }
            connection.forget(id);
            connection.write(&release_line(id));
            return Some(Outcome::Over);
        };
        if event != Event::Plays && event != Event::Crossed {
            connection.forget(id);
        }
        Some(match event {
            Event::Crossed => return None,
            Event::Plays => self.play(id, connection, heard).await,
            Event::Broken | Event::Over => Outcome::Elsewhere,
            Event::Failed => Outcome::Again(Duration::from_millis(self.rng.u64(5..=100))),
            Event::Refused(wait) => {
                let honours = self.rng.f64() < HONOURS_WAIT;
                let wait = wait.filter(|_| honours).unwrap_or(self.rng.u64(5..=50));
                Outcome::Again(Duration::from_millis(wait))
            }
        })
    }

    /// Plays for a while, then ends the session on any connection to its process.
    async fn play(&mut self, id: Id, connection: &Rc<Connection>, heard: &Receiver<Event>) -> Outcome {
        let (process, run) = (connection.process, connection.run);
        let until = Instant::now() + Duration::from_millis(self.rng.u64(100..=1_000));
        while let Some(event) = next(heard, until.saturating_duration_since(Instant::now())).await {
            match event {
                Event::Over => {
                    connection.forget(id);
                    return Outcome::Elsewhere;
                }
                Event::Broken if self.crowd.setup.ledger.was_killed(process, run) => {
                    return Outcome::Elsewhere;
                }
                // A session belongs to no connection. Another answer is the ledger's business.
                _ => {}
            }
        }
        connection.forget(id);
        if connection.write(&release_line(id)).is_none()
            && !self.crowd.setup.ledger.was_killed(process, run)
            && let Some(other) = self.crowd.connect(process, false).await
        {
            other.write(&release_line(id));
        }
        Outcome::Played
    }
}

/// What is heard next, within a time.
async fn next(heard: &Receiver<Event>, most: Duration) -> Option<Event> {
    let event = async { heard.recv().await.ok() };
    let late = async {
        Timer::after(most).await;
        None
    };
    future::or(event, late).await
}
