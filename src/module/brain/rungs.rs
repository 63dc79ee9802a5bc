//! The rung rule: raises and cuts.

use super::*;

/// Fullness up to which the top rung plays: true rates wander by hundredths and shortfall costs a multiple.
pub(super) const MARK: f64 = 0.82;
/// Fullness that each lower rung may use above the mark.
const STEP: f64 = 0.05;
/// Fullness that no rung may use.
pub(super) const CEILING: f64 = 0.97;
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
/// Least time between changes of a playing session's rung (the design's limit).
pub(super) const CHANGE_EVERY: Micros = Micros(10_000_000);
/// Seconds over which a change must pay for its switch: about what the limit above makes it last.
const HORIZON_S: f64 = 10.0;

/// What of a link and of the uplink is a front's to give or take: for a unit, a limit and a step's rate.
type Left<'a> = &'a dyn Fn(&Unit, f64, f64) -> [f64; 2];

impl Brain {
    /// How many rungs under the top a step up to `rung` counts, by its worth for each kB. For the usual worth
    /// on the ladder's last step it is 0, and a step of the ladder lower counts about 1 more; a heavier
    /// class, a shared stream or the price of the switch count like steps.
    pub(super) fn level(&self, unit: &Unit, rung: usize, switch: f64) -> f64 {
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

    pub(super) fn limit(level: f64) -> f64 {
        (MARK + STEP * level).clamp(MARK + LEVEL_LEAST * STEP, CEILING)
    }

    pub(super) fn units(&self, servers: &[usize], newcomer: Option<SessionId>) -> Vec<Unit> {
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
    pub(super) fn own_part(&self, units: &[Unit], link: Option<usize>, full: f64, kb: f64) -> f64 {
        let mine = units.iter().filter(|u| link.is_none_or(|i| u.server == i));
        let own: f64 = mine.map(|u| self.set.stream_kb(u.class, u.ids.len(), u.rung)).sum();
        (own / (full * kb).max(1.0)).clamp(0.0, 1.0)
    }

    /// Rate of a unit's step up to a rung.
    pub(super) fn step_kb(&self, u: &Unit, rung: usize) -> f64 {
        let n = u.ids.len();
        self.set.stream_kb(u.class, n, rung) - self.set.stream_kb(u.class, n, rung.saturating_sub(1))
    }

    /// Steps down or up, those worth least or most for each kB first; several steps make one change. `left`
    /// tells what of a link and of the uplink is still this front's to give or take at a limit. A step larger
    /// than that is made at odds: fronts that hold a session each would else never do their part.
    pub(super) fn plan(&mut self, units: &[Unit], up: bool, mut band: f64, left: Left) -> Vec<usize> {
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
    pub(super) fn settle(&mut self, rack: usize, newcomer: Option<(SessionId, f64)>, out: &mut Vec<Action>) {
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
    pub(super) fn raise(&mut self, i: usize, out: &mut Vec<Action>) {
        let fresh = self.set.load_note_interval + self.set.note_delay + self.set.note_delay;
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

    pub(super) fn change(
        &mut self,
        units: &[Unit],
        to: &[usize],
        newcomer: Option<SessionId>,
        out: &mut Vec<Action>,
    ) {
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
}
