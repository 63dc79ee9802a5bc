//! The module of one front: what it keeps, and which file decides on what it hears. Nothing is decided here.
//! Fullness is what is asked of a link or uplink over what it gives. Interface: `src/module/api.rs`.

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
mod rungs;
mod shares;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::api::*;
use super::state::*;
use super::uplinks::Uplink;
use super::waiting::{Constraints, Outlook, Outlooks, Turn};
use retries::LOOK_EVERY;
use retries::{SETUP_LEARNS, STOOD_STILL, USUAL_SETUP_S};
use room::UNKNOWN_FULL;
use shares::HALF_LIFE_S;
use timers::{DEADLINE_TIMER, LOOK_TIMER};

/// The decision module of one front.
#[derive(Debug)]
pub struct Brain {
    set: Settings,
    rng: fastrand::Rng,
    book: Book,
}

/// The same number at every front.
fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

fn decayed(weight: f64, span: Micros) -> f64 {
    weight * 0.5f64.powf(span.secs() / HALF_LIFE_S)
}

impl Brain {
    /// A module that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Brain {
        let racks = (0..set.racks.max(1)).map(|_| Gauge::new(set.rack_kb)).collect();
        let uplinks = (0..set.racks.max(1)).map(|_| Uplink::new(set.rack_kb)).collect();
        let worths = set.classes.iter().map(|c| c.worth);
        let mean_worth = (worths.sum::<f64>() / set.classes.len().max(1) as f64).max(1e-9);
        let tenants = vec![(0.0, Micros(0)); set.tenants.len()];
        let by_rack = vec![Vec::new(); set.racks.max(1) as usize];
        let (usual, setup_s) = (UNKNOWN_FULL, USUAL_SETUP_S);
        let book = Book { racks, uplinks, by_rack, usual, tenants, mean_worth, setup_s, ..Book::default() };
        Brain { rng: fastrand::Rng::with_seed(seed), set, book }
    }

    /// Takes one event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.book.now = now;
        self.book.born.get_or_insert(now);
        if self.book.ticking && now > self.book.look_due + STOOD_STILL {
            self.book.stood = Some(now);
        }
        if now >= self.book.usual_at + LOOK_EVERY {
            self.freshen();
        }
        match event {
            Event::ServerList { kind, servers } => self.members(kind, servers, out),
            Event::Request(req) => self.request(req, out),
            Event::ExistingSession { request, server } => self.open(request, &server),
            Event::SetUpDone { id, server, took, .. } => self.first(id, &server, took, out),
            Event::Note { id, server, note } => self.note(id, &server, note, out),
            Event::Outcome { id, server, status, closed, load, .. } => {
                self.outcome(id, &server, (status, closed, load), out);
            }
            Event::Withdrawing(id) => self.withdrawing(id),
            Event::ViewerLeft(id) => self.gone(id),
            Event::Timer(DEADLINE_TIMER) => self.answer_due(out),
            Event::Timer(_) => self.look(out),
            Event::FleetPosition { count, place } => {
                (self.set.broker_count, self.set.broker_index) = (count.max(1), place)
            }
            Event::Settings(set) => {
                self.book.tenants.resize(set.tenants.len(), (0.0, Micros(0)));
                self.set = *set;
                self.refile();
            }
            Event::WarmUpTurnsFrom(from) => self.book.turns_from = from,
            Event::ShutdownDeadline(at) => self.ends(at, out),
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
        if !self.book.ticking && !self.book.sessions.is_empty() {
            (self.book.ticking, self.book.look_due) = (true, now + LOOK_EVERY);
            out.push(Action::Timer { token: LOOK_TIMER, delay: LOOK_EVERY });
        }
    }

    /// Servers, sessions or titles that are remembered, whichever are the most.
    pub fn size(&self) -> usize {
        let book = &self.book;
        let sessions = book.sessions.len().max(book.deadlines.len());
        book.servers.len().max(book.names.len()).max(sessions).max(book.titles.len())
    }

    /// Searches for a server so far: how much work events have made.
    pub fn searches(&self) -> u64 {
        self.book.searches.get()
    }

    fn session(&mut self, req: Request, phase: Phase) -> Session {
        let class = &self.set.classes[req.class];
        let last = self.set.rung_kb.len().saturating_sub(1);
        let hi = req.top.0.min(class.top.0).min(last);
        let weight = class.worth * self.share_worth(req.tenant);
        let lo = class.floor.0.min(last);
        let (arrived, started) = (self.book.now, self.book.now);
        Session { lo, hi: hi.max(lo), phase, arrived, started, weight, req, ..Session::default() }
    }

    fn open(&mut self, req: Request, server: &ServerId) {
        let (id, Some(&i)) = (req.id, self.book.names.get(server)) else { return };
        if req.class >= self.set.classes.len() {
            return;
        }
        self.popular(&req);
        let mut session = self.session(req, Phase::Playing);
        (session.server, session.attempts, session.rung) = (i, 1, session.lo);
        self.forget(id);
        self.book.sessions.insert(id, session);
        self.book.servers[i].own.insert(id);
        self.sit(id);
    }

    fn first(&mut self, id: SessionId, server: &ServerId, took: Micros, out: &mut Vec<Action>) {
        self.book.setup_s += (took.secs() - self.book.setup_s) * SETUP_LEARNS;
        if let Some(s) = self.book.sessions.get_mut(&id).filter(|s| s.phase == Phase::Setup) {
            (s.phase, s.started) = (Phase::Playing, self.book.now);
        }
        if let Some(&i) = self.book.names.get(server) {
            self.answered(i, out);
            self.lives_since(i, self.book.now - took);
        }
    }

    /// Takes a session off its server's books.
    fn release(&mut self, id: SessionId) {
        let Some(s) = self.book.sessions.get(&id) else { return };
        let (i, rung) = (s.server, s.rung);
        if self.book.servers.get(i).is_some_and(|server| server.own.contains(&id)) {
            let kb = self.adds(i, id, rung);
            self.book.servers[i].own.remove(&id);
            self.book.shift(i, -kb);
        }
    }

    fn gone(&mut self, id: SessionId) {
        match self.book.sessions.get_mut(&id) {
            Some(s) if s.phase == Phase::Setup => s.phase = Phase::Done,
            Some(s) if s.phase == Phase::Held => self.forget(id),
            Some(_) | None => {}
        }
    }

    /// Drops all that is known of a session, but for its server's books.
    fn forget(&mut self, id: SessionId) {
        self.book.waiting.remove(id);
        self.stand(id);
        self.book.sessions.remove(&id);
    }

    /// Counts a session that is not held any more to the seats of its title.
    fn sit(&mut self, id: SessionId) {
        let Some(s) = self.book.sessions.get(&id) else { return };
        let (class, title) = (s.req.class, s.req.title.clone());
        self.book.seats.take(class, &title);
        self.block(class, &title);
    }

    /// Gives the seat of a session back, unless it is held and has none.
    fn stand(&mut self, id: SessionId) {
        let Some(s) = self.book.sessions.get(&id).filter(|s| s.phase != Phase::Held) else { return };
        let (class, title) = (s.req.class, s.req.title.clone());
        self.book.seats.free(class, &title);
        self.block(class, &title);
    }

    /// Notes with the held sessions whether their title has a free seat.
    fn block(&mut self, class: usize, title: &Text) {
        let blocked = self.book.seats.taken(class, title) > 0 && !self.seat_free(class, title);
        self.book.waiting.block(class, title, blocked);
    }

    /// What decides, besides the state of servers, whether a session can find one.
    fn constraints(&self, id: SessionId) -> Constraints {
        let s = &self.book.sessions[&id];
        let (class, cells) = (s.req.class, self.set.cells.max(1));
        let bound = s.ran.filter(|_| self.set.classes[class].idempotency != Idempotency::Safe);
        Constraints {
            class,
            home: s.req.home % cells,
            copies: s.req.copies.min(cells),
            lowest: s.lo,
            retry: s.attempts > 0,
            ran: bound.map(|(i, _)| i),
            expired: bound.is_some_and(|(_, sent)| self.window_over(class, sent)),
        }
    }

    /// Sorts the held sessions anew after a change of the settings.
    fn refile(&mut self) {
        for (class, title) in self.book.seats.all() {
            self.block(class, &title);
        }
        for id in self.book.waiting.ids() {
            let constraints = self.constraints(id);
            self.book.waiting.refile(id, constraints);
        }
    }

    fn popular(&mut self, req: &Request) {
        let now = self.book.now;
        let title =
            self.book.titles.entry(req.title.clone()).or_insert(Title { weight: 0.0, at: now, hint: 1.0 });
        title.weight = decayed(title.weight, now - title.at) + 1.0;
        title.at = now;
        title.hint = req.hint.unwrap_or(title.hint);
    }
}
