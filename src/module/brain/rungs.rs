//! Decides when sessions are raised to a higher rung and cut to a lower one.

use super::rung_step::{Direction, PlannedStream, RungChange};
use super::*;
use crate::module::streams::StreamFigures;

/// The utilization up to which the top rung plays: actual rates vary by a few hundredths, and a shortfall
/// costs a multiple of the missing rate.
pub(super) const TOP_RUNG_LIMIT: f64 = 0.82;
/// The utilization that each lower rung may use above that limit.
const LIMIT_PER_RUNG: f64 = 0.05;
/// The utilization that no rung may exceed.
pub(super) const MAX_LIMIT: f64 = 0.97;
/// The level of steps that are worth nothing or less.
pub(super) const MIN_LEVEL: f64 = -3.0;
/// The utilization by which a raise stays below its limit, so that the next note does not undo it.
const RAISE_MARGIN: f64 = 0.03;
/// The number of switches that a raise must pay for within the horizon: its own and a likely later cut's.
pub(super) const RAISE_SWITCH_COUNT: f64 = 2.0;
/// The multiple of its own share of the room that a broker's raises may take: some brokers' sessions are at
/// their top or may not change yet. In a broker's first 10 s none of its own has changed: one is enough.
const RAISE_SHARE_FACTOR: f64 = 2.0;
/// The limit at which a playing session's step is cut lies this many times as far from the limit of the top
/// rung as that of a new session: steps of more worth are given up late, as each change costs a switch.
pub(super) const CUT_LIMIT_FACTOR: f64 = 3.0;
/// No step's limit for playing sessions lies above this: a link that delivers less than requested costs all
/// sessions there several points of worth for each missing point, while a cut costs one of them one switch.
pub(super) const MAX_CUT_LIMIT: f64 = 1.0;
/// The utilization above its limit at which playing sessions are cut without a new session; small
/// fluctuations cause no switches.
const CUT_HYSTERESIS: f64 = 0.12;
/// The minimum time between rung changes of a playing session, set by the design.
pub(super) const MIN_CHANGE_INTERVAL: Micros = Micros(10_000_000);
/// The seconds over which a change must pay for its switch: about as long as one lasts under the limit above.
const CHANGE_HORIZON_S: f64 = 10.0;

impl Brain {
    /// Returns the level of a step up to `rung`, by its worth per kB: about how many rungs below the top it
    /// counts as. The ladder's last step at the usual worth has level 0, and each lower step about 1 more.
    /// A heavier class, a shared stream or the price of the switch shift the level like steps.
    pub(super) fn level(&self, stream: &PlannedStream, rung: usize, switch: f64) -> f64 {
        let (w, kb, last) =
            (&self.settings.rung_worth, &self.settings.rung_kb, self.settings.rung_kb.len() - 1);
        let per_kb = |r: usize| (w[r] - w[r - 1]) / (kb[r] - kb[r - 1]);
        if last == 0 || rung == 0 {
            return last as f64;
        }
        let reference = per_kb(last).max(1e-9);
        let ratio = if last > 1 { (per_kb(1) / reference).powf(1.0 / (last - 1) as f64) } else { 2.0 };
        let gain = stream.worth
            * (w[rung] - w[rung - 1] + switch * self.settings.switch_s / CHANGE_HORIZON_S * w[rung]);
        let density = gain / self.state.mean_worth / self.step_kb(stream, rung).max(1e-9);
        ((density / reference).max(1e-6).ln() / ratio.max(1.1).ln()).clamp(MIN_LEVEL, 2.0 * last as f64)
    }

    /// Returns the utilization up to which a step of this level may be used.
    pub(super) fn utilization_limit(level: f64) -> f64 {
        (TOP_RUNG_LIMIT + LIMIT_PER_RUNG * level)
            .clamp(TOP_RUNG_LIMIT + MIN_LEVEL * LIMIT_PER_RUNG, MAX_LIMIT)
    }

    /// Returns the demand of this broker's streams at a server.
    fn own_kb(&self, i: usize) -> f64 {
        let groups = self.state.servers[i].streams.groups();
        let group_kb = |(figures, streams): (&StreamFigures, usize)| {
            streams as f64 * self.settings.stream_kb(figures.class, figures.viewers, figures.rung)
        };
        groups.map(group_kb).sum()
    }

    /// Returns this broker's share of the demand on a link or a rack's uplink, whose utilization is `load`.
    fn own_share(own_kb: f64, load: f64, capacity_kb: f64) -> f64 {
        (own_kb / (load * capacity_kb).max(1.0)).clamp(0.0, 1.0)
    }

    /// Returns the rate of a stream's step up to a rung.
    pub(super) fn step_kb(&self, stream: &PlannedStream, rung: usize) -> f64 {
        let (class, viewers) = (stream.class, stream.viewers);
        self.settings.stream_kb(class, viewers, rung)
            - self.settings.stream_kb(class, viewers, rung.saturating_sub(1))
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
        let arrival = new_session.map_or((usize::MAX, 0.0), |(id, kb)| (self.state.sessions[&id].server, kb));
        let excess = |utilization: f64, kb: f64, i: Option<usize>, own_kb: f64| {
            let added = if i.is_none_or(|i| i == arrival.0) { arrival.1 } else { 0.0 };
            let (existing, share) = (utilization - added / kb, Brain::own_share(own_kb, utilization, kb));
            move |limit: f64| added + (existing - limit) * kb * if existing > limit { share } else { 1.0 }
        };
        let active = |i: &&usize| self.state.servers[**i].streams.has_active();
        let servers: Vec<usize> = self.state.by_rack[rack].iter().filter(active).copied().collect();
        let own_kb: BTreeMap<usize, f64> = servers.iter().map(|i| (*i, self.own_kb(*i))).collect();
        let link = |i: usize| {
            let capacity_kb = self.state.servers[i].link.capacity_kb;
            excess(self.link_utilization(i), capacity_kb, Some(i), own_kb[&i])
        };
        let links: BTreeMap<usize, _> = servers.iter().map(|i| (*i, link(*i))).collect();
        let uplink_kb = self.state.uplinks[rack].capacity_kb;
        let uplink = excess(self.uplink_utilization(rack), uplink_kb, None, own_kb.values().sum());
        let new_session = new_session.map(|(id, _)| id);
        let steps = self.rung_steps(&servers, Direction::Down, new_session);
        let changes = self
            .plan_changes(steps, CUT_HYSTERESIS, &|server, limit, _| [links[&server](limit), uplink(limit)]);
        self.apply_changes(changes, new_session, out);
    }

    /// Raises rungs, only on recent reports and only while the room left after it is this broker's to take.
    pub(super) fn raise_rungs(&mut self, i: usize, out: &mut Vec<Action>) {
        let max_age = self.settings.load_note_interval + self.settings.note_delay + self.settings.note_delay;
        if !self.state.servers[i].link.is_fresh(self.state.now, max_age) || !self.is_trusted(i) {
            return;
        }
        let rack = self.state.servers[i].rack;
        let own_kb = self.own_kb(i);
        let is_new_broker =
            self.state.started_at.is_none_or(|started_at| self.state.now < started_at + MIN_CHANGE_INTERVAL);
        let share_factor = if is_new_broker { 1.0 } else { RAISE_SHARE_FACTOR };
        let room = |utilization: f64, capacity_kb: f64| {
            let share = Brain::own_share(own_kb, utilization, capacity_kb) * share_factor;
            move |limit: f64, kb: f64| {
                let room = (limit - RAISE_MARGIN - utilization) * capacity_kb;
                if room < kb { 0.0 } else { room * share }
            }
        };
        let link = room(self.link_utilization(i), self.state.servers[i].link.capacity_kb);
        let uplink = room(self.uplink_utilization(rack), self.state.uplinks[rack].capacity_kb);
        let steps = self.rung_steps(&[i], Direction::Up, None);
        let changes = self.plan_changes(steps, 0.0, &|_, limit, kb| [link(limit, kb), uplink(limit, kb)]);
        self.apply_changes(changes, None, out);
    }

    /// Sets the target rungs; the rung of a new session is sent with its set-up.
    fn apply_changes(
        &mut self,
        changes: Vec<RungChange>,
        new_session: Option<SessionId>,
        out: &mut Vec<Action>,
    ) {
        for RungChange { stream, target } in changes {
            let viewers = self.state.stream_viewers(stream.first_viewer);
            let sharers = self.state.count_sharers(stream.server, stream.first_viewer, target);
            let after = self.settings.stream_kb(stream.class, sharers + viewers.len(), target)
                - self.settings.stream_kb(stream.class, sharers, target);
            let before = self.settings.stream_kb(stream.class, viewers.len(), stream.rung);
            self.state.add_own_change(stream.server, after - before);
            for id in viewers {
                let changed_at = if new_session == Some(id) { None } else { Some(self.state.now) };
                self.state.update_session(id, |s| {
                    (s.rung, s.rung_changed_at) = (target, changed_at.or(s.rung_changed_at));
                });
                if new_session != Some(id) {
                    out.push(Action::Rate { id, rung: Rung(target) });
                }
            }
        }
    }
}
