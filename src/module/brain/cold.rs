//! Limits the pace of set-ups at servers that have just started (slow start).

use super::*;

/// The share of the permitted warm-up pace that all brokers use together: set-ups weigh unequally and brokers
/// are not synchronised.
const WARM_UP_PACE_SHARE: f64 = 0.7;
/// Up to this number of brokers, their warm-up turns follow one another; in larger fleets turns are longer in
/// proportion.
const SEQUENTIAL_TURNS: u64 = 4;
/// The longest warm-up turn, in overload windows: longer turns would hardly be used more often.
const MAX_TURN_WINDOWS: u64 = 2;

impl Brain {
    /// Whether a server that is warming up may get a set-up from this broker now.
    ///
    /// A starting server takes one set-up per turn, and each turn belongs to one broker. Turns follow from
    /// the clock, the server and the broker's index, so that all brokers know them without communication,
    /// also for a start that only some of them heard of. A turn that began before this broker started
    /// belonged to its predecessor. In a large fleet each broker sees little traffic: its turns are longer
    /// and overlap with others, but begin so much less often that no window contains more of them. The cost:
    /// where few brokers have requests, the turns of the others stay unused.
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
        // A window overlaps the turns that begin within it or at most one turn length before it.
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
