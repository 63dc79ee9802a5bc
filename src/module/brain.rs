//! Every decision of a front: which server and rung, when to hold or cut. Interface: `src/module/api.rs`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::api::*;
use super::state::*;

// Fullness is what is asked of a link or uplink over what it gives.

/// Fullness up to which the top rung plays: true rates wander by hundredths and shortfall costs a multiple.
const MARK: f64 = 0.82;
/// Fullness that each lower rung may use above the mark.
const STEP: f64 = 0.05;
/// Fullness that no rung may use.
const CEILING: f64 = 0.97;
/// The level of steps that are worth nothing or cost.
const LEVEL_LEAST: f64 = -3.0;
/// Fullness by which a raise stays under its limit, so that the next note does not undo it.
const RAISE_SLACK: f64 = 0.03;
/// Switches that a raise must pay for within the horizon: its own, and likely that of a later cut.
const RAISE_SWITCH: f64 = 2.0;
/// Own parts of the room that a front's raises take: some fronts' sessions are at their top already, or may
/// not change yet. In a front's first ten seconds none has changed, and one part is enough.
const RAISE_TIMES: f64 = 2.0;
/// A playing session's step is cut at its limit, which lies so many times as far from the mark as that of a
/// newcomer: steps of more worth are given up late, as each change costs a switch.
const CUT_SPREAD: f64 = 3.0;
/// No step's limit for playing sessions lies above this: a link that gives less than is asked costs all
/// sessions there several points of worth for each that is missing, and a cut costs one of them one switch.
const CUT_MOST: f64 = 1.0;
/// Fullness over its limit at which playing sessions are cut unasked; small swings cost no switches.
const CUT_BAND: f64 = 0.12;
/// Delivered share under which sessions lose worth (the service's own bound).
const SHORT: f64 = 0.98;
/// Fullness by which a shortfall must exceed what the figures say to count as news.
const UNEXPLAINED: f64 = 0.05;
/// Weight of a new set-up in the usual time of one.
const SETUP_LEARNS: f64 = 0.1;
/// Least time between changes of a playing session's rung (the design's limit).
const CHANGE_EVERY: Micros = Micros(10_000_000);
/// Seconds over which a change must pay for its switch: about what the limit above makes it last.
const HORIZON_S: f64 = 10.0;
/// Half-life of popularity, seconds (the design's).
const HALF_LIFE_S: f64 = 10.0;
/// Seconds that a set-up is taken to need before any was seen.
const USUAL_SETUP_S: f64 = 0.1;
/// Fullness taken for a server when nothing is known of any.
const UNKNOWN_FULL: f64 = 0.6;
/// Time between looks at held sessions, time limits and raises.
const LOOK_EVERY: Micros = Micros(50_000);
/// A look that comes so much later than asked tells that this front itself stood still.
const STOOD_STILL: Micros = Micros(150_000);
/// Part of a class's aim that a session may be held for its group's turn; the rest is for the set-up.
const HOLD_PART: f64 = 0.4;
/// Part of what is left of the aim that one attempt may take.
const TRY_PART: f64 = 0.5;
/// An attempt gets at least this multiple of the usual set-up time.
const TRY_TIMES: f64 = 3.0;
/// First span of distrust; it doubles with each further failure.
const DISTRUST: Micros = Micros(3_000_000);
/// Time-outs of one server that lie closer together are no accident.
const MISSES_APART: Micros = Micros(5_000_000);
/// Longest span of distrust without a fresh sign of trouble.
const DISTRUST_MOST: Micros = Micros(16_000_000);
/// First span for which a server that turned a set-up away is left alone; it doubles up to eight times.
const PACKED: Micros = Micros(300_000);
/// Delivered share under which a server counts as standing still rather than short.
const STANDSTILL: f64 = 0.3;
/// Part of the cold pace that all fronts use: set-ups weigh unequally and fronts are not in step.
const COLD_PART: f64 = 0.7;
/// Up to so many fronts have their cold turns one after the other; those of more are longer by as much.
const TURN_FRONTS: u64 = 4;
/// The longest cold turn, in windows of the rule: beyond that longer ones are used hardly more often.
const LONG_TURN: u64 = 2;
/// Fullness that a crossing of zones counts for when holders are compared.
const CROSS_ZONE_FULL: f64 = 0.15;
/// Fullness that a new connection counts for when holders are compared, for each point of its price: of many
/// fronts each sees little of any server, and would pay for nearly as many connections as it has sessions.
const HANDSHAKE_FULL: f64 = 2.0;
/// Fullness up to which luck decides between holders, so that fronts that know little do not go as one.
const LUCK: f64 = 0.05;

/// What of a link and of the uplink is a front's to give or take: for a unit, a limit and a step's rate.
type Left<'a> = &'a dyn Fn(&Unit, f64, f64) -> [f64; 2];

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
        let worths = set.classes.iter().map(|c| c.worth);
        let mean_worth = (worths.sum::<f64>() / set.classes.len().max(1) as f64).max(1e-9);
        let tenants = vec![(0.0, Micros(0)); set.tenants.len()];
        let by_rack = vec![Vec::new(); set.racks.max(1) as usize];
        let (usual, setup_s) = (UNKNOWN_FULL, USUAL_SETUP_S);
        let book = Book { racks, by_rack, usual, tenants, mean_worth, setup_s, ..Book::default() };
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
            Event::Members { kind, servers } => self.members(kind, servers, out),
            Event::Request(req) => self.request(req, out),
            Event::Open { request, server } => self.open(request, &server),
            Event::First { id, server, took, .. } => self.first(id, &server, took, out),
            Event::Note { id, server, note } => self.note(id, &server, note, out),
            Event::Outcome { id, server, status, closed, load, .. } => {
                self.outcome(id, &server, (status, closed, load), out);
            }
            Event::Gone(id) => self.gone(id),
            Event::Timer(_) => self.look(out),
            Event::Fronts { count, place } => (self.set.fronts, self.set.me) = (count.max(1), place),
            Event::Settings(set) => {
                self.book.tenants.resize(set.tenants.len(), (0.0, Micros(0)));
                self.set = *set;
            }
            Event::Turns(from) => self.book.turns_from = from,
            Event::Probed { .. } | Event::Peer { .. } => {}
        }
        if !self.book.ticking && !self.book.sessions.is_empty() {
            (self.book.ticking, self.book.look_due) = (true, now + LOOK_EVERY);
            out.push(Action::Timer { token: 0, delay: LOOK_EVERY });
        }
    }

    /// Servers, sessions or titles that are remembered, whichever are the most.
    pub fn size(&self) -> usize {
        let book = &self.book;
        book.servers.len().max(book.names.len()).max(book.sessions.len()).max(book.titles.len())
    }

    // ---- The fleet: list, health, cold pace ----

    fn members(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        let asks = self.set.discovery == Discovery::OnRequest;
        if asks && matches!(kind, ListKind::Failed | ListKind::Stale) {
            out.push(Action::Watch(true));
        }
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.id.clone()).collect();
            let left = |s: &&mut Server| s.entry.state != ServerState::Gone && !named.contains(&s.entry.id);
            for server in self.book.servers.iter_mut().filter(left) {
                (server.entry.state, server.gone_at) = (ServerState::Gone, self.book.now);
            }
        }
        entries.into_iter().for_each(|entry| self.listed(entry));
        self.book.index(self.set.cells.max(1));
        self.freshen();
    }

    fn listed(&mut self, entry: ServerEntry) {
        let cold_until = entry.up_since.map_or(Micros(0), |at| at + self.set.cold);
        if !self.book.names.contains_key(&entry.id) {
            if entry.state == ServerState::Gone {
                return;
            }
            let (link, entry) = (Gauge::default(), entry.clone());
            self.book.place(Server { link, entry, cold_until, ..Server::default() });
        }
        let Some(&i) = self.book.names.get(&entry.id) else { return };
        let server = &mut self.book.servers[i];
        if entry.up_since > server.entry.up_since {
            // A new start: what was known of the old process says nothing about this one.
            (server.cold_until, server.link.told) = (cold_until, entry.up_since.map(|at| (0.0, at)));
            server.warm_from = cold_until;
            if entry.up_since.is_some_and(|at| at > server.failed_at) {
                (server.distrust_until, server.fails) = (Micros(0), 0);
            }
        }
        server.rack = (entry.cell % self.set.racks.max(1)) as usize;
        server.link.kb = (self.set.link_unit_kb * entry.weight).max(1.0);
        (server.entry, server.gone_at) = (entry, self.book.now);
    }

    /// Health: a time-out, a broken or refused connection, or a standstill draws distrust whatever the list
    /// says. Also catches a server the list does not know to be lost. May hurt when one slow answer takes a
    /// good server out for some seconds; the span starts short and a success ends it.
    fn distrust(&mut self, i: usize, why: &str, out: &mut Vec<Action>) {
        let now = self.book.now;
        let server = &mut self.book.servers[i];
        if server.distrust_until <= now {
            out.push(Action::Log(format!("distrust {}: {why}", server.entry.id)));
        }
        let span = Micros(DISTRUST.0 << server.fails.min(4)).min(DISTRUST_MOST);
        server.fails += 1;
        (server.distrust_until, server.failed_at) = (server.distrust_until.max(now + span), now);
        // It may restart cold before the list tells.
        if server.cold_until != Micros::MAX {
            (server.warm_from, server.cold_until) = (server.cold_until, Micros::MAX);
        }
    }

    /// Whether a time-out is an accident: the first in a while, of a server that shows room and has answered
    /// since the set-up was sent. May hurt when a server fails slowly: one more time-out tells.
    fn missed_one(&mut self, i: usize, id: SessionId) -> bool {
        let (now, sent) = (self.book.now, self.book.sessions.get(&id).map(|s| s.started));
        if self.link_full(i) > MARK {
            return false;
        }
        let server = &mut self.book.servers[i];
        let first = server.missed_at.is_none_or(|at| now - at > MISSES_APART);
        server.missed_at = Some(now);
        first && sent.is_some_and(|sent| server.answered_at > sent)
    }

    /// It answers what was sent before its last failure: it has not restarted since. Without this, one answer
    /// that goes missing leaves a warm server to the pace of a cold one for a whole warm-up.
    fn lives_since(&mut self, i: usize, sent: Micros) {
        let server = &mut self.book.servers[i];
        if server.failed_at > Micros(0) && sent < server.failed_at {
            server.cold_until = server.cold_until.min(server.warm_from);
        }
    }

    /// A server that turns set-ups away is left alone, longer each time until it takes one. Answers a full
    /// link where servers guard it, full places, and a drain the list does not tell yet.
    fn packed(&mut self, i: usize) {
        let now = self.book.now;
        let server = &mut self.book.servers[i];
        if self.set.guard > 0.0 && server.link.told.is_none_or(|(full, _)| full < self.set.guard) {
            server.link.tell(self.set.guard, now);
        }
        server.packed_until = now + Micros(PACKED.0 << server.packed.min(3));
        server.packed += 1;
    }

    fn trusted(&self, i: usize) -> bool {
        self.book.servers[i].distrust_until <= self.book.now
    }

    /// Whether a server that the list calls ready gets nothing for now.
    pub fn distrusts(&self, now: Micros, server: &ServerId) -> bool {
        self.book.names.get(server).is_some_and(|&i| self.book.servers[i].distrust_until > now)
    }

    fn answered(&mut self, i: usize, out: &mut Vec<Action>) {
        let (now, cold) = (self.book.now, self.set.cold);
        let server = &mut self.book.servers[i];
        (server.fails, server.packed, server.answered_at) = (0, 0, now);
        if server.distrust_until > now {
            server.distrust_until = now;
            out.push(Action::Log(format!("trust {} again", server.entry.id)));
        }
        if server.cold_until == Micros::MAX {
            server.cold_until = now + cold;
        }
    }

    /// Cold pace: a just started server takes one set-up in a turn, and each turn is one front's. They follow
    /// from the clock, the server and the front's number, so that all fronts know them without a word, also
    /// for a start that only some heard of; a turn that began before this front did was another's. Of many
    /// fronts each sees little traffic: their turns are longer and overlap, but begin so much less often that
    /// no window meets more of them. May hurt where few fronts ask: turns of others stay unused.
    fn cold_allows(&self, i: usize) -> bool {
        let server = &self.book.servers[i];
        if server.cold_until <= self.book.now || self.set.cold == Micros(0) || self.set.fall == Micros(0) {
            return true;
        }
        let places = self.set.kind_streams.get(server.entry.kind).copied().unwrap_or(1).max(1);
        let pace = f64::from(places) / self.set.cold.secs() * self.set.cold_from * self.set.fall_multiple;
        let (fall, now) = (self.set.fall.0, self.book.now.0);
        let turn = Micros::from_secs(1.0 / (pace * COLD_PART).max(1e-3)).0.max(1);
        let fronts = u64::from(self.set.fronts.max(1));
        let long = (turn * fronts / TURN_FRONTS).min(LONG_TURN * fall).max(turn);
        // A window meets the turns that begin within it or within a turn's length before.
        let step = (turn * (fall + long - turn)).div_ceil(fall);
        let first = (u64::from(self.set.me) + fronts - hash(&server.entry.id) % fronts) % fronts * step;
        let since = (now + (fronts * step - first)) % (fronts * step);
        let begun = Micros(now.saturating_sub(since));
        since < long
            && self.book.born.is_some_and(|born| begun >= born.max(self.book.turns_from))
            && server.sent_at.is_none_or(|at| at < begun)
    }

    // ---- Room ----

    /// Fullness of a server's link now. One not heard of is taken to be as full as the others, and an old
    /// figure counts the less the older it is.
    fn link_full(&self, i: usize) -> f64 {
        let gauge = &self.book.servers[i].link;
        let base = gauge.told.map_or(self.book.usual, |(full, at)| {
            let old = self.book.now - at - (self.set.tell + self.set.see);
            self.book.usual + (full - self.book.usual) * decayed(1.0, old)
        });
        (base + gauge.drift()).max(0.0)
    }

    /// The usual fullness, from the figures that are not old.
    fn freshen(&mut self) {
        let (now, within) = (self.book.now, self.set.tell + self.set.see + CHANGE_EVERY);
        let fresh = |s: &&Server| s.entry.state == ServerState::Ready && s.link.fresh(now, within);
        let told = self.book.servers.iter().filter(fresh).filter_map(|s| s.link.told);
        let (n, sum) = told.fold((1.0, UNKNOWN_FULL), |(n, sum), (full, _)| (n + 1.0, sum + full.min(1.0)));
        (self.book.usual, self.book.usual_at) = (sum / n, now);
    }

    /// Fullness of a rack's uplink: as told, else what its servers' links carry over what it may give.
    fn rack_full(&self, rack: usize) -> f64 {
        let gauge = &self.book.racks[rack];
        match gauge.told {
            Some((full, _)) if self.set.uplink_reported => {
                // What this front did since, others did alike: as many of them as it made changes.
                let alike = (1 + gauge.flows.len()).min(self.set.fronts.max(1) as usize);
                (full + gauge.drift() * alike as f64).max(0.0)
            }
            _ => self.rack_asked(rack) / gauge.kb,
        }
    }

    fn rack_asked(&self, rack: usize) -> f64 {
        let up = |i: &&usize| self.book.servers[**i].entry.state != ServerState::Gone && self.trusted(**i);
        let asked = |i: &usize| self.link_full(*i).min(1.2) * self.book.servers[*i].link.kb;
        self.book.by_rack[rack].iter().filter(up).map(asked).sum()
    }

    /// Fullness of what binds a server, link or uplink, with so much more asked of it.
    fn full_after(&self, i: usize, kb: f64) -> f64 {
        let rack = self.book.servers[i].rack;
        (self.link_full(i) + kb / self.book.servers[i].link.kb)
            .max(self.rack_full(rack) + kb / self.book.racks[rack].kb)
    }

    /// Viewers of this front that share the stream of a live session, itself left out.
    fn sharers(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let live = self.set.classes[self.book.sessions[&id].req.class].live;
        if live { self.book.alike(i, id, rung) } else { 0 }
    }

    /// What a session adds to a server at a rung.
    fn adds(&self, i: usize, id: SessionId, rung: usize) -> f64 {
        let (n, class) = (self.sharers(i, id, rung), self.book.sessions[&id].req.class);
        self.set.stream_kb(class, n + 1, rung) - self.set.stream_kb(class, n, rung)
    }

    // ---- Holder ----

    /// Servers that a session may be sent to now.
    fn candidates(&self, id: SessionId) -> Vec<usize> {
        let s = &self.book.sessions[&id];
        let cells = self.set.cells.max(1);
        let home = u64::from(s.req.home % cells);
        let (end, size) = (home + u64::from(s.req.copies.min(cells)), u64::from(cells));
        let held = self.book.by_cell.range(home..end.min(size));
        let mut found: Vec<usize> = held
            .chain(self.book.by_cell.range(0..end.saturating_sub(size)))
            .flat_map(|(_, there)| there.iter().copied())
            .filter(|i| self.book.servers[*i].entry.state == ServerState::Ready)
            .filter(|i| self.may_repeat(s, *i) && self.cold_allows(*i))
            .filter(|i| self.book.servers[*i].packed_until <= self.book.now)
            .collect();
        // Distrusted servers wait, and further attempts go elsewhere, while there is another.
        for good in
            [&|i: &usize| self.trusted(*i), &|i: &usize| !s.tried.contains(i)] as [&dyn Fn(&_) -> _; 2]
        {
            if found.iter().any(good) {
                found.retain(good);
            }
        }
        found
    }

    /// The first rule about repeats: where a session whose attempt may have run can still go.
    fn may_repeat(&self, s: &Session, i: usize) -> bool {
        let Some((ran, sent)) = s.ran else { return true };
        match self.set.classes[s.req.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, window } => {
                let (a, b) = (&self.book.servers[ran].entry, &self.book.servers[i].entry);
                let same = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => a.zone == b.zone,
                    KeyScope::Cell => a.cell == b.cell,
                };
                same && self.book.now < sent + window
            }
        }
    }

    /// The holder: the server of the front's running stream, if the title is live, else that with most room.
    fn holder(&self, id: SessionId) -> Option<usize> {
        let s = &self.book.sessions[&id];
        let (found, live) = (self.candidates(id), self.set.classes[s.req.class].live);
        if live {
            let streams = found.iter().filter(|i| self.trusted(**i)).flat_map(|i| {
                let rungs = s.lo..=s.hi;
                rungs.map(move |r| (self.sharers(*i, id, r), *i, r))
            });
            let most = streams.filter(|(n, _, _)| *n > 0).max_by_key(|(n, i, r)| (*n, *r, usize::MAX - *i));
            if let Some((_, i, r)) = most
                && self.full_after(i, self.adds(i, id, r)) <= 1.0
            {
                return Some(i);
            }
        }
        // Between equals the title decides where viewers share streams, so that those of all fronts gather,
        // and chance elsewhere, so that they spread.
        let luck = |i: usize| {
            let server = &self.book.servers[i].entry.id;
            LUCK * (if live { hash((&s.req.title, server)) } else { hash((id, server)) } as f64
                / u64::MAX as f64)
        };
        let rank = |i: usize| {
            let server = &self.book.servers[i];
            let crosses = self.set.cross_zone_price > 0.0 && server.entry.zone != self.set.zone;
            let places = self.set.kind_streams.get(server.entry.kind).map_or(f64::MAX, |n| f64::from(*n));
            // Others hold as many, as far as the own ones tell: one or two say nothing.
            let own = server.own.len();
            let crowd = (own * own.min(self.set.fronts as usize)) as f64 / places.max(1.0);
            let full = self.full_after(i, self.adds(i, id, s.lo)).max(crowd)
                + luck(i)
                + if crosses { CROSS_ZONE_FULL } else { 0.0 }
                + if server.linked(self.book.now, self.set.idle) {
                    0.0
                } else {
                    HANDSHAKE_FULL * self.set.handshake_price
                };
            // Among distrusted servers the one whose distrust ends first.
            if self.trusted(i) { full } else { 10.0 + (server.distrust_until - self.book.now).secs() }
        };
        found.into_iter().map(|i| (rank(i), i)).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    // ---- The rung rule ----

    /// How many rungs under the top a step up to `rung` counts, by its worth for each kB. For the usual worth
    /// on the ladder's last step it is 0, and a step of the ladder lower counts about 1 more; a heavier
    /// class, a shared stream or the price of the switch count like steps.
    fn level(&self, unit: &Unit, rung: usize, switch: f64) -> f64 {
        let (w, kb, last) = (&self.set.rung_worth, &self.set.rung_kb, self.set.rung_kb.len() - 1);
        let per_kb = |r: usize| (w[r] - w[r - 1]) / (kb[r] - kb[r - 1]);
        if last == 0 || rung == 0 {
            return last as f64;
        }
        let reference = per_kb(last).max(1e-9);
        let ratio = if last > 1 { (per_kb(1) / reference).powf(1.0 / (last - 1) as f64) } else { 2.0 };
        let gain = unit.weight * (w[rung] - w[rung - 1] + switch * self.set.switch_s / HORIZON_S * w[rung]);
        let density = gain / self.book.mean_worth / self.step_kb(unit, rung).max(1e-9);
        ((density / reference).max(1e-6).ln() / ratio.max(1.1).ln()).clamp(LEVEL_LEAST, 2.0 * last as f64)
    }

    fn limit(level: f64) -> f64 {
        (MARK + STEP * level).clamp(MARK + LEVEL_LEAST * STEP, CEILING)
    }

    fn units(&self, servers: &[usize], newcomer: Option<SessionId>) -> Vec<Unit> {
        let mut units: Vec<Unit> = Vec::new();
        let mut shared: BTreeMap<(usize, usize, usize, &Text), usize> = BTreeMap::new();
        let own = servers.iter().flat_map(|i| &self.book.servers[*i].own);
        for (&id, s) in own.map(|id| (id, &self.book.sessions[id])).filter(|(_, s)| s.phase != Phase::Done) {
            let (server, class, rung, new) = (s.server, s.req.class, s.rung, newcomer == Some(id));
            let rested = s.changed.is_none_or(|at| self.book.now >= at + CHANGE_EVERY);
            let free = new || rested && s.phase == Phase::Playing;
            let (ids, lo, hi, weight, playing) = (vec![id], s.lo, s.hi, s.weight, !new);
            if self.set.classes[class].live {
                let next = units.len();
                let k = *shared.entry((server, class, rung, &s.req.title)).or_insert(next);
                if let Some(u) = units.get_mut(k) {
                    u.ids.push(id);
                    (u.lo, u.hi, u.weight) = (u.lo.max(lo), u.hi.min(hi), u.weight + weight);
                    (u.free, u.playing) = (u.free && free, u.playing || playing);
                    continue;
                }
            }
            units.push(Unit { ids, server, class, rung, lo, hi, weight, free, playing });
        }
        units
    }

    /// This front's part of what is asked of one link, or of a rack's uplink.
    fn own_part(&self, units: &[Unit], link: Option<usize>, full: f64, kb: f64) -> f64 {
        let mine = units.iter().filter(|u| link.is_none_or(|i| u.server == i));
        let own: f64 = mine.map(|u| self.set.stream_kb(u.class, u.ids.len(), u.rung)).sum();
        (own / (full * kb).max(1.0)).clamp(0.0, 1.0)
    }

    /// Rate of a unit's step up to a rung.
    fn step_kb(&self, u: &Unit, rung: usize) -> f64 {
        let n = u.ids.len();
        self.set.stream_kb(u.class, n, rung) - self.set.stream_kb(u.class, n, rung.saturating_sub(1))
    }

    /// Steps down or up, those worth least or most for each kB first; several steps make one change. `left`
    /// tells what of a link and of the uplink is still this front's to give or take at a limit. A step larger
    /// than that is made at odds: fronts that hold a session each would else never do their part.
    fn plan(&mut self, units: &[Unit], up: bool, mut band: f64, left: Left) -> Vec<usize> {
        let mut target: Vec<usize> = units.iter().map(|u| u.rung).collect();
        let (mut gone, mut gone_all) = (BTreeMap::<usize, f64>::new(), 0.0);
        loop {
            let step = |k: usize| {
                let (u, rung) = (&units[k], target[k] + usize::from(up));
                // A change is paid for once, however many steps it has.
                let pays = u.playing && target[k] == u.rung;
                let switch = f64::from(u8::from(pays)) * if up { -RAISE_SWITCH } else { 1.0 };
                let (level, kb) = (self.level(u, rung, switch), self.step_kb(u, rung));
                let left = |limit: f64| {
                    let [link, uplink] = left(u, limit, kb);
                    let (link, uplink) = (link - gone.get(&u.server).unwrap_or(&0.0), uplink - gone_all);
                    if up { link.min(uplink) } else { link.max(uplink) }
                };
                let limit = Brain::limit(level);
                let late = (MARK + CUT_SPREAD * (limit - MARK)).min(CUT_MOST);
                let limit = if up || !u.playing { limit } else { late };
                let over = left(limit + if u.playing { band } else { 0.0 }) > 0.0;
                (if up { level } else { -level }, k, left(limit), kb, over && (!up || level > LEVEL_LEAST))
            };
            let free =
                |k: &usize| units[*k].free && target[*k] != if up { units[*k].hi } else { units[*k].lo };
            let steps = (0..units.len()).filter(free).map(step).filter(|s| s.4);
            let Some((_, k, left, kb, _)) = steps.max_by(|a, b| a.0.total_cmp(&b.0)) else { return target };
            let whole = !units[k].playing || self.rng.f64() * kb < left;
            target[k] = if up { target[k] + usize::from(whole) } else { target[k] - usize::from(whole) };
            let kb = if whole { kb } else { left };
            *gone.entry(units[k].server).or_default() += kb;
            gone_all += kb;
            band = if units[k].playing { 0.0 } else { band };
        }
    }

    /// Cuts: while a link or the uplink is fuller than the limit of the step that is worth least for each kB,
    /// that step goes. Of what was too much before, each front takes away its own part; of what a newcomer
    /// adds, all. Answers weaker links and uplinks too, whatever the cause.
    fn settle(&mut self, rack: usize, newcomer: Option<(SessionId, f64)>, out: &mut Vec<Action>) {
        let units = self.units(&self.book.by_rack[rack], newcomer.map(|(id, _)| id));
        let joins = newcomer.map_or((usize::MAX, 0.0), |(id, kb)| (self.book.sessions[&id].server, kb));
        let excess = |full: f64, kb: f64, i: Option<usize>| {
            let added = if i.is_none_or(|i| i == joins.0) { joins.1 } else { 0.0 };
            let (rest, part) = (full - added / kb, self.own_part(&units, i, full, kb));
            move |limit: f64| added + (rest - limit) * kb * if rest > limit { part } else { 1.0 }
        };
        let link = |i: usize| (i, excess(self.link_full(i), self.book.servers[i].link.kb, Some(i)));
        let links: BTreeMap<usize, _> = units.iter().map(|u| link(u.server)).collect();
        let uplink = excess(self.rack_full(rack), self.book.racks[rack].kb, None);
        let to = self.plan(&units, false, CUT_BAND, &|u, limit, _| [links[&u.server](limit), uplink(limit)]);
        self.change(&units, &to, newcomer.map(|(id, _)| id), out);
    }

    /// Raises, on fresh figures only and only while the room after it is this front's to take.
    fn raise(&mut self, i: usize, out: &mut Vec<Action>) {
        let fresh = self.set.tell + self.set.see + self.set.see;
        if !self.book.servers[i].link.fresh(self.book.now, fresh) || !self.trusted(i) {
            return;
        }
        let rack = self.book.servers[i].rack;
        let units = self.units(&[i], None);
        let young = self.book.born.is_none_or(|born| self.book.now < born + CHANGE_EVERY);
        let times = if young { 1.0 } else { RAISE_TIMES };
        let room = |full: f64, of: f64| {
            let part = self.own_part(&units, None, full, of) * times;
            move |limit: f64, kb: f64| {
                let room = (limit - RAISE_SLACK - full) * of;
                if room < kb { 0.0 } else { room * part }
            }
        };
        let link = room(self.link_full(i), self.book.servers[i].link.kb);
        let uplink = room(self.rack_full(rack), self.book.racks[rack].kb);
        let to = self.plan(&units, true, 0.0, &|_, limit, kb| [link(limit, kb), uplink(limit, kb)]);
        self.change(&units, &to, None, out);
    }

    fn change(&mut self, units: &[Unit], to: &[usize], newcomer: Option<SessionId>, out: &mut Vec<Action>) {
        for (unit, &rung) in units.iter().zip(to).filter(|(unit, rung)| unit.rung != **rung) {
            let (n, there) = (unit.ids.len(), self.sharers(unit.server, unit.ids[0], rung));
            let after =
                self.set.stream_kb(unit.class, there + n, rung) - self.set.stream_kb(unit.class, there, rung);
            self.book.shift(unit.server, after - self.set.stream_kb(unit.class, n, unit.rung));
            for &id in &unit.ids {
                let Some(s) = self.book.sessions.get_mut(&id) else { continue };
                s.rung = rung;
                if newcomer != Some(id) {
                    s.changed = Some(self.book.now);
                    out.push(Action::Rate { id, rung: Rung(rung) });
                }
            }
        }
    }

    // ---- Shares and groups ----

    /// Groups of titles, the most popular first, with each group's streams in use and its share of all.
    /// C_m = C·√(f_m·L_m)/Σ√(f_i·L_i); a group ends where expected batch sizes differ by more than one.
    fn groups(&self, roomy: usize) -> Vec<(BTreeSet<Text>, f64, f64)> {
        let used = self.book.streams(|class| self.set.classes[class].live);
        let streams: usize = used.values().map(BTreeSet::len).sum();
        let viewers = self.book.sessions.len() as f64;
        let popular = |t: &Title| decayed(t.weight, self.book.now - t.at).max(1e-6);
        let known = self.book.titles.iter().map(|(name, t)| (name, popular(t), t.hint));
        let mut titles: Vec<(&Text, f64, f64)> = known.collect();
        let total: f64 = titles.iter().map(|t| t.1).sum();
        let roots: f64 = titles.iter().map(|t| (t.1 * t.2).sqrt()).sum();
        let channels = (streams + roomy) as f64;
        // Similar lengths: the same power of two.
        titles.sort_by(|a, b| {
            let by_length = a.2.log2().floor().total_cmp(&b.2.log2().floor());
            by_length.then(b.1.total_cmp(&a.1)).then(a.0.cmp(b.0))
        });
        let mut groups: Vec<(BTreeSet<Text>, f64, f64)> = Vec::new();
        let mut head: Option<(f64, f64)> = None;
        for (name, weight, length) in titles {
            let share = channels * (weight * length).sqrt() / roots.max(1e-9);
            // λ·L is the number of viewers at hand, so that B = f·λ·L/C_m.
            let batch = weight / total.max(1e-9) * viewers / share.max(1e-9);
            let in_use = used.get(name).map_or(0, BTreeSet::len) as f64;
            let octave = length.log2().floor();
            match groups.last_mut() {
                Some(group) if head.is_some_and(|(b, o)| o == octave && b - batch <= 1.0) => {
                    group.0.insert(name.clone());
                    group.1 += in_use;
                    group.2 += share;
                }
                _ => {
                    head = Some((batch, octave));
                    groups.push((BTreeSet::from([name.clone()]), in_use, share));
                }
            }
        }
        groups
    }

    fn popular(&mut self, req: &Request) {
        let now = self.book.now;
        let title =
            self.book.titles.entry(req.title.clone()).or_insert(Title { weight: 0.0, at: now, hint: 1.0 });
        title.weight = decayed(title.weight, now - title.at) + 1.0;
        title.at = now;
        title.hint = req.hint.unwrap_or(title.hint);
    }

    // ---- Held sessions ----

    /// A session whose holder shows room starts at once; so does one that was held for its part of the aim or
    /// sent before. Others wait for their group's turn.
    fn serve_one(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(i) = self.holder(id) else { return };
        let s = &self.book.sessions[&id];
        let patience = Micros::from_secs(self.set.classes[s.req.class].aim.secs() * HOLD_PART);
        let roomy = self.trusted(i) && self.full_after(i, self.adds(i, id, s.lo)) <= CEILING;
        if roomy || s.attempts > 0 || self.book.now - s.arrived >= patience {
            self.start(id, i, out);
        }
    }

    /// Looks at all held sessions: first for room, then streams go by the groups' shares.
    fn serve(&mut self, out: &mut Vec<Action>) {
        for id in self.book.held.clone() {
            self.serve_one(id, out);
        }
        if self.book.held.is_empty() {
            return;
        }
        if self.book.now - self.book.full_logged > CHANGE_EVERY {
            self.book.full_logged = self.book.now;
            out.push(Action::Log("links full: streams go by shares".to_owned()));
        }
        let ready = |i: &usize| self.book.servers[*i].entry.state == ServerState::Ready && self.trusted(*i);
        let ready = (0..self.book.servers.len()).filter(ready);
        let roomy = ready.filter(|i| self.full_after(*i, 0.0) < MARK).count();
        let mut spare = roomy;
        for (titles, used, share) in self.groups(roomy) {
            let mut room = share - used;
            // Arrival order within the group; all of a title's held sessions go at once.
            let order = self.book.held.iter().map(|id| self.book.sessions[id].req.title.clone());
            let order: Vec<Text> = order.filter(|title| titles.contains(title)).collect();
            let mut gone = BTreeSet::new();
            for title in order {
                if room < 1.0 && spare == 0 || !gone.insert(title.clone()) {
                    continue;
                }
                let same = |id: &&SessionId| self.book.sessions[*id].req.title == title;
                for id in self.book.held.iter().filter(same).copied().collect::<Vec<_>>() {
                    if let Some(i) = self.holder(id) {
                        self.start(id, i, out);
                    }
                }
                spare -= usize::from(room < 1.0);
                room -= f64::from(u8::from(room >= 1.0));
            }
        }
    }

    fn start(&mut self, id: SessionId, i: usize, out: &mut Vec<Action>) {
        if !self.budget_allows(id) || !self.seat_free(id) {
            return;
        }
        self.book.held.retain(|h| *h != id);
        let live = self.set.classes[self.book.sessions[&id].req.class].live;
        let (lo, hi) = (self.book.sessions[&id].lo, self.book.sessions[&id].hi);
        let join = (lo..=hi).rev().map(|r| (self.sharers(i, id, r), r)).filter(|(n, _)| live && *n > 0).max();
        let rung = join.map_or(hi, |(_, r)| r);
        let kb = self.adds(i, id, rung);
        let (timeout, now) = (self.timeout(id), self.book.now);
        self.book.shift(i, kb);
        self.book.servers[i].own.insert(id);
        self.book.servers[i].sent_at = Some(now);
        let Some(s) = self.book.sessions.get_mut(&id) else { return };
        (s.rung, s.server, s.phase, s.started) = (rung, i, Phase::Setup, now);
        s.tried.push(i);
        if s.attempts > 0 {
            self.book.extra.push_back(now);
        }
        s.attempts += 1;
        self.settle(self.book.servers[i].rack, Some((id, kb)), out);
        let rung = Rung(self.book.sessions[&id].rung);
        out.push(Action::Rate { id, rung });
        out.push(Action::Send { id, server: self.book.servers[i].entry.id.clone(), timeout });
    }

    /// Seats: sessions of one title and class, from the send to the end of the attempt.
    fn seat_free(&self, id: SessionId) -> bool {
        let req = &self.book.sessions[&id].req;
        let Some(seats) = self.set.classes[req.class].seats else { return true };
        let sits =
            |s: &&Session| s.phase != Phase::Held && s.req.class == req.class && s.req.title == req.title;
        (self.book.sessions.values().filter(sits).count() as u32) < seats
    }

    /// The budget of attempts beyond each session's first, counting the one in question.
    fn budget_allows(&self, id: SessionId) -> bool {
        let Some(budget) = self.set.budget else { return true };
        if self.book.sessions[&id].attempts == 0 {
            return true;
        }
        let lately =
            |times: &VecDeque<Micros>| times.iter().filter(|at| self.book.now - **at < budget.span).count();
        (lately(&self.book.extra) + 1) as f64 <= budget.floor + budget.ratio * lately(&self.book.taken) as f64
    }

    // ---- Time-outs and answers ----

    /// An attempt of a repeatable class leaves room for another within the aim; others get all the time.
    fn timeout(&self, id: SessionId) -> Micros {
        let s = &self.book.sessions[&id];
        let class = &self.set.classes[s.req.class];
        let most = s.req.due - self.book.now - self.margin();
        let aim_left = s.arrived + class.aim - self.book.now;
        let last = s.attempts + 1 >= self.set.max_attempts;
        if class.effect == Effect::Unsafe || last || aim_left == Micros(0) {
            return most;
        }
        Micros::from_secs((aim_left.secs() * TRY_PART).max(self.book.setup_s * TRY_TIMES)).min(most)
    }

    /// Answers are given so long before the viewer's time is up.
    fn margin(&self) -> Micros {
        LOOK_EVERY + Micros(self.set.tick.0 * 2)
    }

    /// The final answer to a session that will not play: refused if no attempt can have run or a repeat does
    /// no harm, else failed.
    fn answer(&mut self, id: SessionId, out: &mut Vec<Action>) {
        let Some(s) = self.book.sessions.get(&id) else { return };
        let harmless = match self.set.classes[s.req.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, .. } => scope == KeyScope::All,
        };
        if s.phase == Phase::Held && (harmless || s.ran.is_none()) {
            out.push(Action::Refuse { id, retry_after: self.set.max_retry_after });
        } else {
            out.push(Action::Fail(id));
        }
        self.gone(id);
    }

    fn look(&mut self, out: &mut Vec<Action>) {
        self.book.ticking = false;
        self.serve(out);
        let (now, margin) = (self.book.now, self.margin());
        let due = |s: &Session| match s.phase {
            Phase::Held => now + margin >= s.req.due,
            Phase::Setup => now + Micros(self.set.tick.0 * 2) >= s.req.due,
            Phase::Playing | Phase::Done => false,
        };
        let late: Vec<SessionId> =
            self.book.sessions.iter().filter(|(_, s)| due(s)).map(|(id, _)| *id).collect();
        for id in late {
            self.answer(id, out);
        }
        let keep = self.set.budget.map_or(Micros(0), |b| b.span);
        self.book.taken.retain(|at| now - *at <= keep);
        self.book.extra.retain(|at| now - *at <= keep);
        self.book.titles.retain(|_, t| decayed(t.weight, now - t.at) > 0.001);
    }

    // ---- Events ----

    fn session(&mut self, req: Request, phase: Phase) -> Session {
        let class = &self.set.classes[req.class];
        let last = self.set.rung_kb.len().saturating_sub(1);
        let hi = req.top.0.min(class.top.0).min(last);
        let weight = class.worth * self.share_worth(req.tenant);
        let lo = class.floor.0.min(last);
        let (arrived, started) = (self.book.now, self.book.now);
        Session { lo, hi: hi.max(lo), phase, arrived, started, weight, req, ..Session::default() }
    }

    /// Worth of a tenant's next request beside the usual: what runs beyond its share counts less.
    fn share_worth(&self, tenant: usize) -> f64 {
        let quota = self.set.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some((weight, at))) = (quota, self.book.tenants.get(tenant)) else {
            return 1.0;
        };
        let rate = decayed(*weight, self.book.now - *at) * std::f64::consts::LN_2 / HALF_LIFE_S;
        let within = (quota / f64::from(self.set.fronts.max(1)) / rate.max(1e-9)).min(1.0);
        within + (1.0 - within) * self.set.over_share_worth
    }

    fn request(&mut self, req: Request, out: &mut Vec<Action>) {
        let id = req.id;
        if req.class >= self.set.classes.len() || self.book.sessions.contains_key(&id) {
            out.push(Action::Refuse { id, retry_after: Micros(0) });
            return;
        }
        let now = self.book.now;
        self.book.taken.push_back(now);
        self.popular(&req);
        if let Some(sent) = self.book.tenants.get_mut(req.tenant) {
            *sent = (decayed(sent.0, now - sent.1) + 1.0, now);
        }
        let session = self.session(req, Phase::Held);
        // A viewer whose class floor is above its own top cannot be served.
        let unable = session.req.top.0 < session.lo;
        self.book.sessions.insert(id, session);
        self.book.held.push(id);
        if unable {
            return self.answer(id, out);
        }
        // Room that has come since the last look goes to those that are held already, in arrival order, or
        // newcomers would overtake them until their patience ends. Behind one that finds none, none of its
        // title does.
        let mut full = BTreeSet::new();
        for held in self.book.held.clone() {
            let title = self.book.sessions.get(&held).map(|s| s.req.title.clone());
            let Some(title) = title else { continue };
            if full.contains(&title) {
                continue;
            }
            self.serve_one(held, out);
            if self.book.sessions.get(&held).is_some_and(|s| s.phase == Phase::Held) {
                full.insert(title);
            }
        }
    }

    fn open(&mut self, req: Request, server: &ServerId) {
        let (id, Some(&i)) = (req.id, self.book.names.get(server)) else { return };
        if req.class >= self.set.classes.len() {
            return;
        }
        self.popular(&req);
        let mut session = self.session(req, Phase::Playing);
        (session.server, session.attempts, session.rung) = (i, 1, session.lo);
        self.book.sessions.insert(id, session);
        self.book.servers[i].own.insert(id);
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

    fn note(&mut self, id: SessionId, server: &ServerId, note: Note, out: &mut Vec<Action>) {
        let Some(&i) = self.book.names.get(server) else { return };
        let (now, rack) = (self.book.now, self.book.servers[i].rack);
        let at_setup = self
            .book
            .sessions
            .get(&id)
            .is_some_and(|s| s.attempts > 0 && now - s.started <= Micros(self.set.tick.0 * 3));
        let measured = if at_setup { now } else { now - self.set.see };
        match note {
            Note::Rung(rung) => {
                self.book.sessions.entry(id).and_modify(|s| s.rung = rung.0.min(s.hi));
                return;
            }
            Note::Delivered(share) if share < STANDSTILL => {
                return self.distrust(i, "delivers almost nothing", out);
            }
            Note::Delivered(share) => {
                let full = 1.0 / share;
                if share < SHORT && self.link_full(i).max(self.rack_full(rack)) < full - UNEXPLAINED {
                    // Short although it seemed to have room, be it for the link or the uplink.
                    self.book.servers[i].link.tell(full, measured);
                }
            }
            Note::Link(full) => {
                self.book.servers[i].link.tell(full, measured);
                self.raise(i, out);
            }
            Note::Uplink(full) => {
                self.book.racks[rack].tell(full, measured);
            }
        }
        self.settle(rack, None, out);
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

    fn outcome(
        &mut self,
        id: SessionId,
        server: &ServerId,
        end: (Status, bool, Load),
        out: &mut Vec<Action>,
    ) {
        let (status, closed, load) = end;
        let now = self.book.now;
        if let Some(&i) = self.book.names.get(server) {
            let playing = self.book.sessions.get(&id).is_some_and(|s| s.phase == Phase::Playing);
            match status {
                // This front stood still and hears late of all that came meanwhile: no server is to blame.
                Status::TimedOut if self.book.stood == Some(now) => {}
                Status::TimedOut if self.missed_one(i, id) => {}
                Status::TimedOut => self.distrust(i, "no answer in time", out),
                Status::ConnectFailed => self.distrust(i, "no connection", out),
                Status::Reset => self.distrust(i, "connection broke", out),
                Status::Saturated => self.packed(i),
                Status::Completed if playing => self.answered(i, out),
                Status::Completed | Status::Errored | Status::Cancelled | Status::Moot => {}
            }
            self.report(i, load);
        }
        self.release(id);
        let Some(s) = self.book.sessions.get_mut(&id) else { return };
        if closed || s.phase == Phase::Done || s.phase == Phase::Playing {
            self.book.sessions.remove(&id);
            return;
        }
        if !status.never_ran() {
            s.ran = s.ran.or(Some((s.server, s.started)));
        }
        s.phase = Phase::Held;
        let spent = s.attempts >= self.set.max_attempts || now + Micros(self.set.tick.0 * 2) >= s.req.due;
        let stuck = s.ran.is_some() && self.set.classes[s.req.class].effect == Effect::Unsafe;
        if spent || stuck || !self.budget_allows(id) {
            self.answer(id, out);
        } else {
            self.book.held.insert(0, id);
            self.serve_one(id, out);
        }
    }

    /// Reports in answers are noisy and of uncertain age: they count only where no note is fresh.
    fn report(&mut self, i: usize, load: Load) {
        let (now, rack, within) = (self.book.now, self.book.servers[i].rack, self.set.tell + self.set.see);
        let link = (&mut self.book.servers[i].link, load.link.or(load.util));
        for (gauge, full) in [link, (&mut self.book.racks[rack], load.uplink)] {
            if let Some(full) = full.filter(|_| !gauge.fresh(now, within)) {
                gauge.tell(full, now - self.set.see);
            }
        }
    }

    fn gone(&mut self, id: SessionId) {
        self.book.held.retain(|h| *h != id);
        match self.book.sessions.get_mut(&id) {
            Some(s) if s.phase == Phase::Setup => s.phase = Phase::Done,
            Some(s) if s.phase == Phase::Held => {
                self.book.sessions.remove(&id);
            }
            Some(_) | None => {}
        }
    }
}
