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
pub(super) struct Told {
    /// The latest settings, if they changed.
    pub settings: Option<Box<Settings>>,
    /// From when on turns at cold servers are this front's.
    pub turns: Option<Micros>,
    /// The place among the fronts.
    pub fronts: Option<FleetPosition>,
    /// By when each request must have its answer, as the process ends.
    pub answer_by: Option<Micros>,
}

impl Told {
    fn events(&self) -> impl Iterator<Item = Event> {
        let settings = self.settings.clone().map(Event::Settings);
        let turns = self.turns.map(Event::WarmUpTurnsFrom);
        let fronts = self.fronts.map(FleetPosition::event);
        let ends = self.answer_by.map(Event::ShutdownDeadline);
        settings.into_iter().chain(turns).chain(fronts).chain(ends)
    }
}

impl Broker {
    /// A module that panicked is replaced by a new one, as after a restart, but what plays goes on playing: it
    /// is told the list and the sessions that stand. Set-ups that it held are answered at once.
    pub(super) fn renew_module(&mut self, now: Micros, out: &mut Vec<Effect>) {
        out.push(Effect::Log("module panicked: starting a new one".to_owned()));
        self.seed = self.seed.wrapping_add(1);
        self.module = (self.make)(self.seed);
        self.alarms.drop_module_timers();
        self.events.clear();
        self.events.extend(self.told.events());
        self.events.push_back(Event::ServerList { kind: ListKind::Complete, servers: self.guard.list() });
        for id in self.sessions.standing_ids() {
            self.tell_standing(id);
        }
        for id in self.sessions.unanswered_ids() {
            self.refuse(now, id, Micros(0), out);
        }
    }

    /// The new module hears of a session that stands, and of its rung if that is known.
    fn tell_standing(&mut self, id: SessionId) {
        let Some((request, server, rung)) = self.established_session(id) else { return };
        let note = rung.map(|rung| Event::Note { id, server: server.clone(), note: Note::Rung(rung) });
        self.events.push_back(Event::ExistingSession { request, server });
        self.events.extend(note);
    }
}
