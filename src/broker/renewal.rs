//! A decision module that panicked gives way to a new one.

use super::{Broker, Effect};
use crate::api::{Event, ListKind, Micros, Note, SessionId, Settings};

/// The number of fronts, and which of them this one is.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetPosition {
    /// How many; not 0.
    pub count: u32,
    /// This one's number, from 0.
    pub place: u32,
}

impl FleetPosition {
    /// The same as the module hears it.
    pub fn event(self) -> Event {
        Event::FleetPosition { count: self.count, place: self.place }
    }
}

/// What was told since the start, and is told again to a module that takes the place of another.
#[derive(Debug, Default)]
pub(super) struct ReplayedState {
    /// The latest settings, if they changed.
    pub settings: Option<Box<Settings>>,
    /// From when on turns at cold servers are this front's.
    pub warm_up_turns_from: Option<Micros>,
    /// The place among the fronts.
    pub fleet_position: Option<FleetPosition>,
    /// By when each request must have its answer, as the process ends.
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
    /// A module that panicked is replaced by a new one, as after a restart, but what plays goes on playing: it
    /// is told the list and the sessions that stand. Set-ups that it held are answered at once.
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

    /// The new module hears of a session that stands, and of its rung if that is known.
    fn report_existing_session(&mut self, id: SessionId) {
        let Some((request, server, rung)) = self.established_session(id) else { return };
        let note = rung.map(|rung| Event::Note { id, server: server.clone(), note: Note::Rung(rung) });
        self.events.push_back(Event::ExistingSession { request, server });
        self.events.extend(note);
    }
}
