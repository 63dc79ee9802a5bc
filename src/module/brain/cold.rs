//! The pace at which servers that have just started take set-ups.

use super::*;

/// Part of the cold pace that all fronts use: set-ups weigh unequally and fronts are not in step.
const WARM_UP_PACE_SHARE: f64 = 0.7;
/// Up to so many fronts have their cold turns one after the other; those of more are longer by as much.
const SEQUENTIAL_TURNS: u64 = 4;
/// The longest cold turn, in windows of the rule: beyond that longer ones are used hardly more often.
const MAX_TURN_WINDOWS: u64 = 2;

impl Brain {
    /// Cold pace: a just started server takes one set-up in a turn, and each turn is one front's. They follow
    /// from the clock, the server and the front's number, so that all fronts know them without a word, also
    /// for a start that only some heard of; a turn that began before this front did was another's. Of many
    /// fronts each sees little traffic: their turns are longer and overlap, but begin so much less often that
    /// no window meets more of them. May hurt where few fronts ask: turns of others stay unused.
    pub(super) fn warm_up_allows(&self, i: usize) -> bool {
        let server = &self.state.servers[i];
        if server.warm_up_until <= self.state.now
            || self.settings.warm_up == Micros(0)
            || self.settings.overload_window == Micros(0)
        {
            return true;
        }
        let places = self.settings.kind_streams.get(server.entry.kind).copied().unwrap_or(1).max(1);
        let pace = f64::from(places) / self.settings.warm_up.secs()
            * self.settings.initial_capacity
            * self.settings.overload_factor;
        let (window, now) = (self.settings.overload_window.0, self.state.now.0);
        let turn = Micros::from_secs(1.0 / (pace * WARM_UP_PACE_SHARE).max(1e-3)).0.max(1);
        let brokers = u64::from(self.settings.broker_count.max(1));
        let turn_length = (turn * brokers / SEQUENTIAL_TURNS).min(MAX_TURN_WINDOWS * window).max(turn);
        // A window meets the turns that begin within it or within a turn's length before.
        let turn_interval = (turn * (window + turn_length - turn)).div_ceil(window);
        let first_turn = (u64::from(self.settings.broker_index) + brokers - hash(&server.entry.id) % brokers)
            % brokers
            * turn_interval;
        let since_turn_start = (now + (brokers * turn_interval - first_turn)) % (brokers * turn_interval);
        let turn_started_at = Micros(now.saturating_sub(since_turn_start));
        since_turn_start < turn_length
            && self.state.started_at.is_some_and(|broker_started_at| {
                turn_started_at >= broker_started_at.max(self.state.warm_up_turns_from)
            })
            && server.last_sent_at.is_none_or(|at| at < turn_started_at)
    }
}
