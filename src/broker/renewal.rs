//! Replacement of a decision module that panicked.

use super::{Broker, Effect};
use crate::api::{Event, ListKind, Micros, Note, SessionId, Settings};

/// The number of brokers in the fleet, and the position of this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetPosition {
    /// The number of brokers; never 0.
    pub count: u32,
    /// The index of this broker, from 0.
    pub place: u32,
}

impl FleetPosition {
    /// Returns the event that tells the module this position.
    pub fn event(self) -> Event {
        Event::FleetPosition { count: self.count, place: self.place }
    }
}

/// The state that the module received through events since the start, replayed to its replacement.
#[derive(Debug, Default)]
pub(super) struct ReplayedState {
    /// The latest settings, if they changed.
    pub settings: Option<Box<Settings>>,
    /// The time from which this broker may use warm-up turns at cold servers.
    pub warm_up_turns_from: Option<Micros>,
    /// The position in the fleet.
    pub fleet_position: Option<FleetPosition>,
    /// The time by which every request must be answered, if the process is shutting down.
    pub shutdown_deadline: Option<Micros>,
}

impl ReplayedState {
    fn events(&self) -> impl Iterator<Item = Event> {
        let settings = self.settings.clone().map(Event::Settings);
        let warm_up_turns = self.warm_up_turns_from.map(Event::WarmUpTurnsFrom);
        let fleet_position = self.fleet_position.map(FleetPosition::event);
        let shutdown_deadline = self.shutdown_deadline.map(Event::ShutdownDeadline);
        settings.into_iter().chain(warm_up_turns).chain(fleet_position).chain(shutdown_deadline)
    }
}

impl Broker {
    /// Replaces a module that panicked by a new one. As after a restart, the new module starts without state, but
    /// established sessions continue: it is told the server list and these sessions. Unanswered requests are answered
    /// at once.
    pub(super) fn restart_module(&mut self, now: Micros, out: &mut Vec<Effect>) {
        out.push(Effect::Log("module panicked: starting a new one".to_owned()));
        self.seed = self.seed.wrapping_add(1);
        self.module = (self.make_module)(self.seed);
        self.alarms.drop_module_timers();
        self.events.clear();
        self.events.extend(self.replayed_state.events());
        self.events.push_back(Event::ServerList { kind: ListKind::Complete, servers: self.guard.servers() });
        for id in self.sessions.established_ids() {
            self.report_existing_session(id);
        }
        for id in self.sessions.unanswered_ids() {
            self.refuse(now, id, Micros(0), out);
        }
    }

    /// Reports an established session and, if known, its rung to the new module.
    fn report_existing_session(&mut self, id: SessionId) {
        let Some((request, server, rung)) = self.established_session(id) else { return };
        let note = rung.map(|rung| Event::Note { id, server: server.clone(), note: Note::Rung(rung) });
        self.events.push_back(Event::ExistingSession { request, server });
        self.events.extend(note);
    }
}
