//! Decides when sessions are raised to a higher rung and cut to a lower one.

use super::*;

/// The utilization up to which the top rung plays: actual rates vary by a few hundredths, and a shortfall
/// costs a multiple of the missing rate.
pub(super) const TOP_RUNG_LIMIT: f64 = 0.82;
/// The utilization that each lower rung may use above that limit.
const LIMIT_PER_RUNG: f64 = 0.05;
/// The utilization that no rung may exceed.
pub(super) const MAX_LIMIT: f64 = 0.97;
/// The level of steps that are worth nothing or less.
const MIN_LEVEL: f64 = -3.0;
/// The utilization by which a raise stays below its limit, so that the next note does not undo it.
const RAISE_MARGIN: f64 = 0.03;
/// The number of switches that a raise must pay for within the horizon: its own and a likely later cut's.
const RAISE_SWITCH_COUNT: f64 = 2.0;
/// The multiple of its own share of the room that a broker's raises may take: some brokers' sessions are at
/// their top or may not change yet. In a broker's first 10 s none of its own has changed: one is enough.
const RAISE_SHARE_FACTOR: f64 = 2.0;
/// The limit at which a playing session's step is cut lies this many times as far from the limit of the top
/// rung as that of a new session: steps of more worth are given up late, as each change costs a switch.
const CUT_LIMIT_FACTOR: f64 = 3.0;
/// No step's limit for playing sessions lies above this: a link that delivers less than requested costs all
/// sessions there several points of worth for each missing point, while a cut costs one of them one switch.
const MAX_CUT_LIMIT: f64 = 1.0;
/// The utilization above its limit at which playing sessions are cut without a new session; small
/// fluctuations cause no switches.
const CUT_HYSTERESIS: f64 = 0.12;
/// The minimum time between rung changes of a playing session, set by the design.
pub(super) const MIN_CHANGE_INTERVAL: Micros = Micros(10_000_000);
/// The seconds over which a change must pay for its switch: about as long as one lasts under the limit above.
const CHANGE_HORIZON_S: f64 = 10.0;

/// How much of a link's and the uplink's rate a broker may give up or take, by group, limit and step rate.
type Surplus<'a> = &'a dyn Fn(&RungGroup, f64, f64) -> [f64; 2];

impl Brain {
    /// Returns the level of a step up to `rung`, by its worth per kB: about how many rungs below the top it
    /// counts as. The ladder's last step at the usual worth has level 0, and each lower step about 1 more.
    /// A heavier class, a shared stream or the price of the switch shift the level like steps.
    pub(super) fn level(&self, group: &RungGroup, rung: usize, switch: f64) -> f64 {
        let (w, kb, last) =
            (&self.settings.rung_worth, &self.settings.rung_kb, self.settings.rung_kb.len() - 1);
        let per_kb = |r: usize| (w[r] - w[r - 1]) / (kb[r] - kb[r - 1]);
        if last == 0 || rung == 0 {
            return last as f64;
        }
        let reference = per_kb(last).max(1e-9);
        let ratio = if last > 1 { (per_kb(1) / reference).powf(1.0 / (last - 1) as f64) } else { 2.0 };
        let gain = group.worth
            * (w[rung] - w[rung - 1] + switch * self.settings.switch_s / CHANGE_HORIZON_S * w[rung]);
        let density = gain / self.state.mean_worth / self.step_kb(group, rung).max(1e-9);
        ((density / reference).max(1e-6).ln() / ratio.max(1.1).ln()).clamp(MIN_LEVEL, 2.0 * last as f64)
    }

    /// Returns the utilization up to which a step of this level may be used.
    pub(super) fn utilization_limit(level: f64) -> f64 {
        (TOP_RUNG_LIMIT + LIMIT_PER_RUNG * level)
            .clamp(TOP_RUNG_LIMIT + MIN_LEVEL * LIMIT_PER_RUNG, MAX_LIMIT)
    }

    /// Returns the groups of sessions of these servers that change their rung together.
    pub(super) fn rung_groups(&self, servers: &[usize], new_session: Option<SessionId>) -> Vec<RungGroup> {
        let mut groups: Vec<RungGroup> = Vec::new();
        let mut shared: BTreeMap<(usize, usize, usize, &Text), usize> = BTreeMap::new();
        let session_ids = servers.iter().flat_map(|i| &self.state.servers[*i].sessions);
        for (&id, s) in
            session_ids.map(|id| (id, &self.state.sessions[id])).filter(|(_, s)| s.phase != Phase::Answered)
        {
            let (server, class, rung, is_new) = (s.server, s.request.class, s.rung, new_session == Some(id));
            let is_settled = s.rung_changed_at.is_none_or(|at| self.state.now >= at + MIN_CHANGE_INTERVAL);
            let may_change = is_new || is_settled && s.phase == Phase::Playing;
            let (ids, min_rung, max_rung, worth, is_playing) =
                (vec![id], s.min_rung, s.max_rung, s.worth, !is_new);
            if self.settings.classes[class].live {
                let next = groups.len();
                let k = *shared.entry((server, class, rung, &s.request.title)).or_insert(next);
                if let Some(group) = groups.get_mut(k) {
                    group.ids.push(id);
                    (group.min_rung, group.max_rung, group.worth) =
                        (group.min_rung.max(min_rung), group.max_rung.min(max_rung), group.worth + worth);
                    (group.may_change, group.is_playing) =
                        (group.may_change && may_change, group.is_playing || is_playing);
                    continue;
                }
            }
            groups.push(RungGroup {
                ids,
                server,
                class,
                rung,
                min_rung,
                max_rung,
                worth,
                may_change,
                is_playing,
            });
        }
        groups
    }

    /// Returns this broker's share of the demand on one link or a rack's uplink, whose utilization is `load`.
    pub(super) fn own_share(&self, groups: &[RungGroup], link: Option<usize>, load: f64, kb: f64) -> f64 {
        let own_groups = groups.iter().filter(|group| link.is_none_or(|i| group.server == i));
        let own_kb: f64 =
            own_groups.map(|group| self.settings.stream_kb(group.class, group.ids.len(), group.rung)).sum();
        (own_kb / (load * kb).max(1.0)).clamp(0.0, 1.0)
    }

    /// Returns the rate of a group's step up to a rung.
    pub(super) fn step_kb(&self, group: &RungGroup, rung: usize) -> f64 {
        let n = group.ids.len();
        self.settings.stream_kb(group.class, n, rung)
            - self.settings.stream_kb(group.class, n, rung.saturating_sub(1))
    }

    /// Plans steps down or up, those with the least or the most worth per kB first; several make one change.
    /// `surplus` returns how much of a link and the uplink this broker may still give up or take at a limit.
    /// A larger step is made with the corresponding probability; else single-session brokers would never act.
    pub(super) fn plan_changes(
        &mut self,
        groups: &[RungGroup],
        is_raise: bool,
        mut hysteresis: f64,
        surplus: Surplus,
    ) -> Vec<usize> {
        let mut target: Vec<usize> = groups.iter().map(|group| group.rung).collect();
        let (mut link_taken, mut uplink_taken) = (BTreeMap::<usize, f64>::new(), 0.0);
        loop {
            let step = |k: usize| {
                let (group, rung) = (&groups[k], target[k] + usize::from(is_raise));
                // A change pays for one switch, however many steps it has.
                let pays_for_switch = group.is_playing && target[k] == group.rung;
                let switch =
                    f64::from(u8::from(pays_for_switch)) * if is_raise { -RAISE_SWITCH_COUNT } else { 1.0 };
                let (level, kb) = (self.level(group, rung, switch), self.step_kb(group, rung));
                let surplus = |limit: f64| {
                    let [link, uplink] = surplus(group, limit, kb);
                    let (link, uplink) =
                        (link - link_taken.get(&group.server).unwrap_or(&0.0), uplink - uplink_taken);
                    if is_raise { link.min(uplink) } else { link.max(uplink) }
                };
                let limit = Brain::utilization_limit(level);
                let cut_limit =
                    (TOP_RUNG_LIMIT + CUT_LIMIT_FACTOR * (limit - TOP_RUNG_LIMIT)).min(MAX_CUT_LIMIT);
                let limit = if is_raise || !group.is_playing { limit } else { cut_limit };
                let is_over = surplus(limit + if group.is_playing { hysteresis } else { 0.0 }) > 0.0;
                (
                    if is_raise { level } else { -level },
                    k,
                    surplus(limit),
                    kb,
                    is_over && (!is_raise || level > MIN_LEVEL),
                )
            };
            let may_step = |k: &usize| {
                groups[*k].may_change
                    && target[*k] != if is_raise { groups[*k].max_rung } else { groups[*k].min_rung }
            };
            let steps = (0..groups.len()).filter(may_step).map(step).filter(|s| s.4);
            let Some((_, k, surplus, kb, _)) = steps.max_by(|a, b| a.0.total_cmp(&b.0)) else {
                return target;
            };
            let is_taken = !groups[k].is_playing || self.rng.f64() * kb < surplus;
            target[k] =
                if is_raise { target[k] + usize::from(is_taken) } else { target[k] - usize::from(is_taken) };
            let kb = if is_taken { kb } else { surplus };
            *link_taken.entry(groups[k].server).or_default() += kb;
            uplink_taken += kb;
            hysteresis = if groups[k].is_playing { 0.0 } else { hysteresis };
        }
    }

    /// Cuts rungs: while a link or the uplink is above the limit of the step with the least worth per kB,
    /// that step is taken back. Each broker removes its own share of an excess that existed before, and all
    /// of what a new session adds. This also handles links and uplinks that became weaker for any cause.
    pub(super) fn cut_rungs(
        &mut self,
        rack: usize,
        new_session: Option<(SessionId, f64)>,
        out: &mut Vec<Action>,
    ) {
        let groups = self.rung_groups(&self.state.by_rack[rack], new_session.map(|(id, _)| id));
        let arrival = new_session.map_or((usize::MAX, 0.0), |(id, kb)| (self.state.sessions[&id].server, kb));
        let excess = |utilization: f64, kb: f64, i: Option<usize>| {
            let added = if i.is_none_or(|i| i == arrival.0) { arrival.1 } else { 0.0 };
            let (existing, share) = (utilization - added / kb, self.own_share(&groups, i, utilization, kb));
            move |limit: f64| added + (existing - limit) * kb * if existing > limit { share } else { 1.0 }
        };
        let link =
            |i: usize| (i, excess(self.link_utilization(i), self.state.servers[i].link.capacity_kb, Some(i)));
        let links: BTreeMap<usize, _> = groups.iter().map(|group| link(group.server)).collect();
        let uplink = excess(self.uplink_utilization(rack), self.state.uplinks[rack].capacity_kb, None);
        let targets = self.plan_changes(&groups, false, CUT_HYSTERESIS, &|group, limit, _| {
            [links[&group.server](limit), uplink(limit)]
        });
        self.apply_changes(&groups, &targets, new_session.map(|(id, _)| id), out);
    }

    /// Raises rungs, only on recent reports and only while the room left after it is this broker's to take.
    pub(super) fn raise_rungs(&mut self, i: usize, out: &mut Vec<Action>) {
        let max_age = self.settings.load_note_interval + self.settings.note_delay + self.settings.note_delay;
        if !self.state.servers[i].link.is_fresh(self.state.now, max_age) || !self.is_trusted(i) {
            return;
        }
        let rack = self.state.servers[i].rack;
        let groups = self.rung_groups(&[i], None);
        let is_new_broker =
            self.state.started_at.is_none_or(|started_at| self.state.now < started_at + MIN_CHANGE_INTERVAL);
        let share_factor = if is_new_broker { 1.0 } else { RAISE_SHARE_FACTOR };
        let room = |utilization: f64, capacity_kb: f64| {
            let share = self.own_share(&groups, None, utilization, capacity_kb) * share_factor;
            move |limit: f64, kb: f64| {
                let room = (limit - RAISE_MARGIN - utilization) * capacity_kb;
                if room < kb { 0.0 } else { room * share }
            }
        };
        let link = room(self.link_utilization(i), self.state.servers[i].link.capacity_kb);
        let uplink = room(self.uplink_utilization(rack), self.state.uplinks[rack].capacity_kb);
        let targets =
            self.plan_changes(&groups, true, 0.0, &|_, limit, kb| [link(limit, kb), uplink(limit, kb)]);
        self.apply_changes(&groups, &targets, None, out);
    }

    /// Sets the target rungs; the rung of a new session is sent with its set-up.
    pub(super) fn apply_changes(
        &mut self,
        groups: &[RungGroup],
        targets: &[usize],
        new_session: Option<SessionId>,
        out: &mut Vec<Action>,
    ) {
        for (group, &rung) in groups.iter().zip(targets).filter(|(group, rung)| group.rung != **rung) {
            let (n, sharers) = (group.ids.len(), self.count_sharers(group.server, group.ids[0], rung));
            let after = self.settings.stream_kb(group.class, sharers + n, rung)
                - self.settings.stream_kb(group.class, sharers, rung);
            self.state
                .add_own_change(group.server, after - self.settings.stream_kb(group.class, n, group.rung));
            for &id in &group.ids {
                let Some(s) = self.state.sessions.get_mut(&id) else { continue };
                s.rung = rung;
                if new_session != Some(id) {
                    s.rung_changed_at = Some(self.state.now);
                    out.push(Action::Rate { id, rung: Rung(rung) });
                }
            }
        }
    }
}
