//! The core: requests, attempts and outcomes round the decision module. It knows no wire, no socket and no
//! clock: it is fed a time and an [`Input`] and gives [`Effect`]s.

mod alarms;
mod answers;
mod attempts;
mod decide;
mod effect;
mod ending;
mod guard;
mod input;
mod late;
mod queries;
mod renewal;
mod requests;
mod sessions;

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

use decide::Prompt;
pub use decide::{Decide, Make};
pub use effect::{Description, Effect, Failure, SetUp};
pub use guard::{Guard, History};
pub use input::Input;
pub use queries::OpenRequest;

use crate::api::{
    Action, Event, Idempotency, ListKind, Micros, Note, Rung, ServerEntry, ServerId, SessionId, Settings,
};
use crate::brain::Brain;
use alarms::{Alarm, Alarms};
use answers::ServerOutcome;
use late::Late;
use renewal::{FleetPosition, Told};
use sessions::SessionTable;

/// The core of one playback broker.
pub struct Broker {
    module: Box<dyn Decide>,
    make: Make,
    /// Seed of the module that runs.
    seed: u64,
    guard: Guard,
    /// What a repeated set-up does, by class.
    classes: Vec<Idempotency>,
    /// Attempts for one session at most.
    max_attempts: u32,
    sessions: SessionTable,
    late: Late,
    alarms: Alarms,
    /// Events that the module is still to hear.
    events: VecDeque<Event>,
    /// Bytes that sessions and their descriptions may take in all.
    room_bytes: usize,
    /// How long a client is told to stay away that there is no room for.
    full_retry_after: Micros,
    told: Told,
}

impl Broker {
    /// A core that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Broker {
        let (classes, max_attempts) = (repeats(&settings), settings.max_attempts);
        let make = move |seed| -> Box<dyn Decide> { Box::new(Brain::new(settings.clone(), seed)) };
        Broker::with(classes, max_attempts, seed, Box::new(make))
    }

    /// A core round any module: what a repeat does in each class, and the cap on attempts.
    pub fn with(classes: Vec<Idempotency>, max_attempts: u32, seed: u64, mut make: Make) -> Broker {
        Broker {
            module: make(seed),
            make,
            seed,
            guard: Guard::default(),
            classes,
            max_attempts,
            sessions: SessionTable::default(),
            late: Late::default(),
            alarms: Alarms::default(),
            events: VecDeque::new(),
            room_bytes: usize::MAX,
            full_retry_after: Micros(0),
            told: Told::default(),
        }
    }

    /// With so many bytes for sessions and their descriptions; what comes beyond that is refused at once, and told
    /// to stay away for so long.
    pub fn bounded(mut self, room_bytes: usize, retry_after: Micros) -> Broker {
        self.room_bytes = room_bytes;
        self.full_retry_after = retry_after;
        self
    }

    /// Takes one input in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.take_in(now, input, out);
        self.feed_module(now, out);
        while let Some(alarm) = self.alarms.pop_due(now) {
            self.alarm(now, alarm, out);
            self.feed_module(now, out);
        }
    }

    fn take_in(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Servers { kind, servers } => self.servers_listed(kind, servers),
            Input::FleetPosition(count, place) => self.fronts_changed(FleetPosition { count, place }),
            Input::Request(request, offer) => self.request(now, request, offer, out),
            Input::ExistingSession(request, server) => self.open(request, server, out),
            Input::ClientLeft(id) => self.left(id, out),
            Input::Established { id, server, answer } => self.stood(now, id, server, answer, out),
            Input::Ended { id, server, status, load } => {
                self.over(now, id, ServerOutcome { server, status, load }, out);
            }
            Input::Withdrawn { id, server } => self.withdrawn(now, id, &server),
            Input::Note { id, server, note } => self.noted(id, server, note),
            Input::Settings(settings) => self.settings_changed(settings),
            Input::HandedOver(id) => self.passed(id),
            Input::WarmUpTurnsFrom(from) => self.turns_changed(from),
            Input::ShutdownDeadline(at) => self.ends(at),
            Input::ServerLost(server) => self.server_lost(now, server, out),
            Input::Shutdown => {
                self.answer_all(now, out);
                self.release_standing(now, out);
            }
            Input::Tick => {}
        }
    }

    fn servers_listed(&mut self, kind: ListKind, servers: Vec<ServerEntry>) {
        self.guard.listed(kind, &servers);
        self.events.push_back(Event::ServerList { kind, servers });
    }

    fn fronts_changed(&mut self, fronts: FleetPosition) {
        self.told.fronts = Some(fronts);
        self.events.push_back(fronts.event());
    }

    fn turns_changed(&mut self, from: Micros) {
        self.told.turns = Some(from);
        self.events.push_back(Event::WarmUpTurnsFrom(from));
    }

    fn settings_changed(&mut self, settings: Box<Settings>) {
        self.classes = repeats(&settings);
        self.max_attempts = settings.max_attempts;
        self.full_retry_after = settings.max_retry_after;
        self.events.push_back(Event::Settings(settings.clone()));
        // The new settings carry a place among the fronts of their own.
        self.events.extend(self.told.fronts.map(FleetPosition::event));
        self.told.settings = Some(settings);
    }

    /// A note counts only if it comes from where the session stands.
    fn noted(&mut self, id: SessionId, server: ServerId, note: Note) {
        if !self.is_established_at(id, &server) {
            return;
        }
        if let (Note::Rung(rung), Some(session)) = (note, self.sessions.get_mut(id)) {
            session.rung = Some(rung);
        }
        self.events.push_back(Event::Note { id, server, note });
    }

    fn alarm(&mut self, now: Micros, alarm: Alarm, out: &mut Vec<Effect>) {
        match alarm {
            Alarm::ModuleTimer(token) => self.events.push_back(Event::Timer(token)),
            Alarm::AttemptDeadline(id, attempt) => self.attempt_deadline(now, id, attempt, out),
            Alarm::DeadlineBackstop(id) => self.deadline_backstop(now, id, out),
        }
    }

    /// Feeds the module until it has nothing more to hear.
    fn feed_module(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            let prompt = Prompt::of(&event);
            let fed = catch_unwind(AssertUnwindSafe(|| self.module.decide(now, event, &mut actions)));
            if fed.is_err() {
                self.renew_module(now, out);
                continue;
            }
            for action in actions {
                self.act(now, action, prompt, out);
            }
        }
    }

    /// Does what the module decided, as far as the hard rules allow it.
    fn act(&mut self, now: Micros, action: Action, prompt: Prompt, out: &mut Vec<Effect>) {
        match action {
            Action::Send { id, server, timeout } => self.send(now, id, server, timeout, out),
            Action::Refuse { id, retry_after } => self.refuse(now, id, retry_after, out),
            Action::Fail(id) => self.fail_by_module(now, id, prompt, out),
            Action::Cancel { id, attempt } => self.cancel_attempt(now, id, attempt, out),
            Action::Move(id) => self.move_session(id, out),
            Action::Rate { id, rung } => self.set_rung(id, rung, out),
            Action::Timer { token, delay } => self.alarms.schedule(now + delay, Alarm::ModuleTimer(token)),
            Action::Log(text) => out.push(Effect::Log(text)),
            // Probes and messages between brokers are ruled out; the list comes unasked; connections to
            // servers are few and close by themselves.
            Action::Probe(_) | Action::Tell { .. } | Action::Close(_) | Action::Watch(_) | Action::Fetch => {}
        }
    }

    /// Sets a rung. A set-up carries its rung; a server that has had it already is told of the change.
    fn set_rung(&mut self, id: SessionId, rung: Rung, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let changed = session.rung.replace(rung) != Some(rung);
        if let Some(server) = session.server().filter(|_| changed) {
            out.push(Effect::Rate(id, server.clone(), rung));
        }
    }
}

/// What a repeated set-up does, by class.
fn repeats(settings: &Settings) -> Vec<Idempotency> {
    settings.classes.iter().map(|class| class.idempotency).collect()
}
