//! The decision module of one broker: it keeps the state and dispatches each event to the file that handles
//! it. No decisions are made here. Utilization is the demand on a link or uplink divided by the rate that it
//! delivers. The interface is in `src/module/api.rs`.

mod choice;
mod cold;
mod deadlines;
mod demand;
mod ending;
mod health;
mod held;
mod notes;
mod refusals;
mod retries;
mod room;
mod rung_plan;
mod rung_step;
mod rungs;
mod sessions;
mod shares;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::api::*;
use super::state::*;
use super::titles::TitleTable;
use super::uplinks::UplinkEstimate;
use super::waiting::{Availability, AvailabilityByConstraints, Constraints, QueuePosition};
use retries::CHECK_INTERVAL;
use retries::{INITIAL_SETUP_S, PROCESS_STALL, SETUP_TIME_WEIGHT};
use room::DEFAULT_UTILIZATION;
use rungs::MIN_CHANGE_INTERVAL;
use shares::POPULARITY_HALF_LIFE_S;
use timers::{CHECK_TIMER, DEADLINE_TIMER};

/// The decision module of one broker.
#[derive(Debug)]
pub struct Brain {
    settings: Settings,
    rng: fastrand::Rng,
    state: ModuleState,
}

/// Returns a hash that is the same at every broker.
fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns a value reduced by its age, with the half-life of popularity.
fn decayed(value: f64, age: Micros) -> f64 {
    value * 0.5f64.powf(age.secs() / POPULARITY_HALF_LIFE_S)
}

impl Brain {
    /// Creates a module that knows only its settings.
    pub fn new(settings: Settings, seed: u64) -> Brain {
        let uplinks = (0..settings.racks.max(1)).map(|_| Gauge::new(settings.rack_kb)).collect();
        let uplink_estimates =
            (0..settings.racks.max(1)).map(|_| UplinkEstimate::new(settings.rack_kb)).collect();
        let worths = settings.classes.iter().map(|c| c.worth);
        let mean_worth = (worths.sum::<f64>() / settings.classes.len().max(1) as f64).max(1e-9);
        let tenants = vec![(0.0, Micros(0)); settings.tenants.len()];
        let by_rack = vec![Vec::new(); settings.racks.max(1) as usize];
        let (mean_utilization, mean_setup_s) = (DEFAULT_UTILIZATION, INITIAL_SETUP_S);
        let titles = TitleTable::new(settings.idle_title_bytes);
        let state = ModuleState {
            titles,
            uplinks,
            uplink_estimates,
            by_rack,
            mean_utilization,
            tenants,
            mean_worth,
            mean_setup_s,
            ..ModuleState::default()
        };
        Brain { rng: fastrand::Rng::with_seed(seed), settings, state }
    }

    /// Handles one event and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.state.now = now;
        self.state.started_at.get_or_insert(now);
        if self.state.is_check_scheduled && now > self.state.next_check_at + PROCESS_STALL {
            self.state.resumed_at = Some(now);
        }
        if now >= self.state.mean_utilization_at + CHECK_INTERVAL {
            self.update_mean_utilization();
        }
        self.state.settle_rungs(MIN_CHANGE_INTERVAL);
        match event {
            Event::ServerList { kind, servers } => self.update_servers(kind, servers, out),
            Event::Request(request) => self.handle_request(request, out),
            Event::ExistingSession { request, server } => self.add_existing_session(request, &server),
            Event::SetUpDone { id, server, took, .. } => self.handle_set_up_done(id, &server, took, out),
            Event::Note { id, server, note } => self.handle_note(id, &server, note, out),
            Event::Outcome { id, server, status, closed, load, .. } => {
                self.handle_outcome(id, &server, (status, closed, load), out);
            }
            Event::Withdrawing(id) => self.handle_withdrawing(id),
            Event::ViewerLeft(id) => self.abandon(id),
            Event::Timer(DEADLINE_TIMER) => self.answer_due_requests(out),
            Event::Timer(_) => self.run_periodic_check(out),
            Event::FleetPosition { count, place } => {
                (self.settings.broker_count, self.settings.broker_index) = (count.max(1), place)
            }
            Event::Settings(settings) => {
                self.state.tenants.resize(settings.tenants.len(), (0.0, Micros(0)));
                self.state.titles.set_max_idle_bytes(settings.idle_title_bytes);
                self.settings = *settings;
                let classes = &self.settings.classes;
                self.state.update_sharing(|class| classes.get(class).is_some_and(|class| class.live));
                self.reindex_held();
            }
            Event::WarmUpTurnsFrom(from) => self.state.warm_up_turns_from = from,
            Event::ShutdownDeadline(at) => self.begin_shutdown(at, out),
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
        if !self.state.is_check_scheduled && !self.state.sessions.is_empty() {
            (self.state.is_check_scheduled, self.state.next_check_at) = (true, now + CHECK_INTERVAL);
            out.push(Action::Timer { token: CHECK_TIMER, delay: CHECK_INTERVAL });
        }
    }

    /// Returns the number of tracked servers, sessions or titles, whichever is largest.
    pub fn tracked_entries(&self) -> usize {
        let state = &self.state;
        let sessions = state.sessions.len().max(state.deadlines.len());
        let budgets = state.recent_requests.len().max(state.recent_retries.len());
        let others = state.titles.len().max(budgets);
        state.servers.len().max(state.server_indexes.len()).max(sessions).max(others)
    }

    /// Returns what the table of titles holds.
    pub fn title_stats(&self) -> TitleStats {
        self.state.titles.stats()
    }

    /// Returns the number of searches for a server so far, a measure of the work that events caused.
    pub fn search_count(&self) -> u64 {
        self.state.searches.get()
    }

    fn handle_set_up_done(&mut self, id: SessionId, server: &ServerId, took: Micros, out: &mut Vec<Action>) {
        self.state.mean_setup_s += (took.secs() - self.state.mean_setup_s) * SETUP_TIME_WEIGHT;
        if self.state.sessions.get(&id).is_some_and(|s| s.phase == Phase::Setup) {
            let now = self.state.now;
            self.state.update_session(id, |s| (s.phase, s.started_at) = (Phase::Playing, now));
        }
        if let Some(&i) = self.state.server_indexes.get(server) {
            self.record_answer(i, out);
            self.confirm_not_restarted(i, self.state.now - took);
        }
    }

    /// Returns what determines, besides the state of servers, whether a session can find a server.
    fn constraints(&self, id: SessionId) -> Constraints {
        let s = &self.state.sessions[&id];
        let (class, cells) = (s.request.class, self.settings.cells.max(1));
        let binding_run =
            s.possible_run.filter(|_| self.settings.classes[class].idempotency != Idempotency::Safe);
        Constraints {
            class,
            home: s.request.home % cells,
            copies: s.request.copies.min(cells),
            min_rung: s.min_rung,
            is_retry: s.attempts > 0,
            possible_run_server: binding_run.map(|(i, _)| i),
            is_key_window_over: binding_run.is_some_and(|(_, sent)| self.is_key_window_over(class, sent)),
        }
    }

    /// Updates the queue of held sessions after a change of the settings.
    fn reindex_held(&mut self) {
        for (class, title) in self.state.seats.all() {
            self.update_blocked(class, &title);
        }
        for id in self.state.held.ids() {
            let constraints = self.constraints(id);
            self.state.held.update_constraints(id, constraints);
        }
    }
}
