//! The session state machine around the decision module. It assigns each request to an edge server, tracks the
//! attempts and guarantees one final answer per request. It does no I/O and reads no clock: the caller passes the
//! current time and an [`Input`], and carries out the [`Effect`]s that it returns.

mod alarms;
mod answers;
mod attempts;
mod decide;
mod effect;
mod ending;
mod guard;
mod input;
mod late;
mod named_sessions;
mod queries;
mod renewal;
mod requests;
mod sessions;

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};

use decide::Trigger;
pub use decide::{DecisionModule, ModuleFactory};
pub use effect::{Description, Effect, Failure, SetUp};
pub use guard::{Guard, History};
pub use input::Input;
pub use named_sessions::UnconfirmedStats;
pub use queries::OpenRequest;

use crate::api::{
    Action, Event, Idempotency, ListKind, Micros, Note, Rung, ServerEntry, ServerId, SessionId, Settings,
};
use crate::brain::Brain;
use alarms::{Alarm, Alarms};
use answers::ServerOutcome;
use late::WithdrawnAttempts;
use renewal::{FleetPosition, ReplayedState};
use sessions::SessionTable;

/// The session state machine of one playback broker.
pub struct Broker {
    module: Box<dyn DecisionModule>,
    make_module: ModuleFactory,
    /// The seed of the running module.
    seed: u64,
    guard: Guard,
    /// Whether a set-up may be repeated, by class index.
    classes: Vec<Idempotency>,
    /// The maximum number of attempts for one session.
    max_attempts: u32,
    sessions: SessionTable,
    withdrawn_attempts: WithdrawnAttempts,
    alarms: Alarms,
    /// Events that the module has not handled yet.
    events: VecDeque<Event>,
    /// The memory limit for all sessions and their descriptions, in bytes.
    memory_limit_bytes: usize,
    /// The retry delay given to a client whose request exceeds the memory limit.
    full_retry_after: Micros,
    /// The number of sessions that were refused because of the memory limit.
    memory_refusals: u64,
    /// The number of named sessions that were refused, as too many were unconfirmed.
    unconfirmed_refused: u64,
    /// The number of unconfirmed sessions that were ended to make room.
    unconfirmed_expired: u64,
    replayed_state: ReplayedState,
}

impl Broker {
    /// Creates a broker with the built-in decision module and an empty server list.
    pub fn new(settings: Settings, seed: u64) -> Broker {
        let (classes, max_attempts) = (idempotency_by_class(&settings), settings.max_attempts);
        let make_module =
            move |seed| -> Box<dyn DecisionModule> { Box::new(Brain::new(settings.clone(), seed)) };
        Broker::with_module(classes, max_attempts, seed, Box::new(make_module))
    }

    /// Creates a broker around any decision module. `classes` says per class whether a set-up may be
    /// repeated, and `max_attempts` bounds the attempts for one session.
    pub fn with_module(
        classes: Vec<Idempotency>,
        max_attempts: u32,
        seed: u64,
        mut make_module: ModuleFactory,
    ) -> Broker {
        Broker {
            module: make_module(seed),
            make_module,
            seed,
            guard: Guard::default(),
            classes,
            max_attempts,
            sessions: SessionTable::default(),
            withdrawn_attempts: WithdrawnAttempts::default(),
            alarms: Alarms::default(),
            events: VecDeque::new(),
            memory_limit_bytes: usize::MAX,
            full_retry_after: Micros(0),
            memory_refusals: 0,
            unconfirmed_refused: 0,
            unconfirmed_expired: 0,
            replayed_state: ReplayedState::default(),
        }
    }

    /// Limits the memory for sessions and their descriptions. Requests beyond the limit are refused at once, with
    /// `retry_after` as the delay before the next try.
    pub fn with_memory_limit(mut self, memory_limit_bytes: usize, retry_after: Micros) -> Broker {
        self.memory_limit_bytes = memory_limit_bytes;
        self.full_retry_after = retry_after;
        self
    }

    /// Handles one input and appends the resulting effects to `out`, in order.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.apply_input(now, input, out);
        self.feed_module(now, out);
        while let Some(alarm) = self.alarms.pop_due(now) {
            self.handle_alarm(now, alarm, out);
            self.feed_module(now, out);
        }
    }

    fn apply_input(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Servers { kind, servers } => self.servers_listed(kind, servers),
            Input::FleetPosition(count, place) => self.fleet_position_changed(FleetPosition { count, place }),
            Input::Request(request, offer) => self.handle_request(now, request, offer, out),
            Input::ExistingSession(request, server) => {
                self.add_existing_session(now, request, server, out);
            }
            Input::NamedSession(request, server) => self.add_named_session(now, request, server, out),
            Input::ClientLeft(id) => self.client_left(id, out),
            Input::Established { id, server, answer } => {
                self.session_established(now, id, server, answer, out)
            }
            Input::Ended { id, server, status, load } => {
                self.server_ended(now, id, ServerOutcome { server, status, load }, out);
            }
            Input::Withdrawn { id, server } => self.attempt_withdrawn(now, id, &server),
            Input::Note { id, server, note } => self.handle_note(id, server, note),
            Input::Settings(settings) => self.settings_changed(settings),
            Input::HandedOver(id) => self.session_handed_over(id),
            Input::WarmUpTurnsFrom(from) => self.warm_up_turns_changed(from),
            Input::ShutdownDeadline(at) => self.set_shutdown_deadline(at),
            Input::ServerLost(server) => self.server_lost(now, server, out),
            Input::Shutdown => {
                self.answer_unanswered(now, out);
                self.release_established(now, out);
            }
            Input::Tick => {}
        }
    }

    fn servers_listed(&mut self, kind: ListKind, servers: Vec<ServerEntry>) {
        self.guard.update_servers(kind, &servers);
        self.events.push_back(Event::ServerList { kind, servers });
    }

    fn fleet_position_changed(&mut self, position: FleetPosition) {
        self.replayed_state.fleet_position = Some(position);
        self.events.push_back(position.event());
    }

    fn warm_up_turns_changed(&mut self, from: Micros) {
        self.replayed_state.warm_up_turns_from = Some(from);
        self.events.push_back(Event::WarmUpTurnsFrom(from));
    }

    fn settings_changed(&mut self, settings: Box<Settings>) {
        self.classes = idempotency_by_class(&settings);
        self.max_attempts = settings.max_attempts;
        self.full_retry_after = settings.max_retry_after;
        self.events.push_back(Event::Settings(settings.clone()));
        // The new settings contain a fleet position of their own; the latest reported one takes precedence.
        self.events.extend(self.replayed_state.fleet_position.map(FleetPosition::event));
        self.replayed_state.settings = Some(settings);
    }

    /// Handles a note; notes from servers other than the one that holds the session are ignored.
    fn handle_note(&mut self, id: SessionId, server: ServerId, note: Note) {
        if !self.is_established_at(id, &server) {
            return;
        }
        self.sessions.confirm(id);
        if let (Note::Rung(rung), Some(session)) = (note, self.sessions.get_mut(id)) {
            session.rung = Some(rung);
        }
        self.events.push_back(Event::Note { id, server, note });
    }

    fn handle_alarm(&mut self, now: Micros, alarm: Alarm, out: &mut Vec<Effect>) {
        match alarm {
            Alarm::ModuleTimer(token) => self.events.push_back(Event::Timer(token)),
            Alarm::AttemptDeadline(id, attempt) => self.attempt_deadline(now, id, attempt, out),
            Alarm::DeadlineBackstop(id) => self.deadline_backstop(now, id, out),
        }
    }

    /// Passes the queued events to the module until none is left.
    fn feed_module(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            let trigger = Trigger::of(&event);
            let outcome = catch_unwind(AssertUnwindSafe(|| self.module.decide(now, event, &mut actions)));
            if outcome.is_err() {
                self.restart_module(now, out);
                continue;
            }
            for action in actions {
                self.apply_action(now, action, trigger, out);
            }
        }
    }

    /// Carries out an action of the module, as far as the safety rules allow it.
    fn apply_action(&mut self, now: Micros, action: Action, trigger: Trigger, out: &mut Vec<Effect>) {
        match action {
            Action::Send { id, server, timeout } => self.send(now, id, server, timeout, out),
            Action::Refuse { id, retry_after } => self.refuse(now, id, retry_after, out),
            Action::Fail(id) => self.fail_by_module(now, id, trigger, out),
            Action::Cancel { id, attempt } => self.cancel_attempt(now, id, attempt, out),
            Action::Move(id) => self.move_session(id, out),
            Action::Rate { id, rung } => self.set_rung(id, rung, out),
            Action::Timer { token, delay } => self.alarms.schedule(now + delay, Alarm::ModuleTimer(token)),
            Action::Log(text) => out.push(Effect::Log(text)),
            // Probes and messages between brokers are not supported, the server list is pushed without a request,
            // and the few connections to servers close by themselves.
            Action::Probe(_) | Action::Tell { .. } | Action::Close(_) | Action::Watch(_) | Action::Fetch => {}
        }
    }

    /// Sets the rung of a session. A set-up carries its rung; if the set-up was already sent, the server is told
    /// of the change.
    fn set_rung(&mut self, id: SessionId, rung: Rung, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let changed = session.rung.replace(rung) != Some(rung);
        if let Some(server) = session.server().filter(|_| changed) {
            out.push(Effect::Rate(id, server.clone(), rung));
        }
    }
}

/// Returns for each class whether a set-up may be repeated.
fn idempotency_by_class(settings: &Settings) -> Vec<Idempotency> {
    settings.classes.iter().map(|class| class.idempotency).collect()
}
