//! The pace at which servers that have just started take set-ups.

use super::*;

/// Part of the cold pace that all fronts use: set-ups weigh unequally and fronts are not in step.
const COLD_PART: f64 = 0.7;
/// Up to so many fronts have their cold turns one after the other; those of more are longer by as much.
const TURN_FRONTS: u64 = 4;
/// The longest cold turn, in windows of the rule: beyond that longer ones are used hardly more often.
const LONG_TURN: u64 = 2;

impl Brain {
    /// Cold pace: a just started server takes one set-up in a turn, and each turn is one front's. They follow
    /// from the clock, the server and the front's number, so that all fronts know them without a word, also
    /// for a start that only some heard of; a turn that began before this front did was another's. Of many
    /// fronts each sees little traffic: their turns are longer and overlap, but begin so much less often that
    /// no window meets more of them. May hurt where few fronts ask: turns of others stay unused.
    pub(super) fn cold_allows(&self, i: usize) -> bool {
        let server = &self.book.servers[i];
        if server.cold_until <= self.book.now
            || self.set.warm_up == Micros(0)
            || self.set.overload_window == Micros(0)
        {
            return true;
        }
        let places = self.set.kind_streams.get(server.entry.kind).copied().unwrap_or(1).max(1);
        let pace = f64::from(places) / self.set.warm_up.secs()
            * self.set.initial_capacity
            * self.set.overload_factor;
        let (fall, now) = (self.set.overload_window.0, self.book.now.0);
        let turn = Micros::from_secs(1.0 / (pace * COLD_PART).max(1e-3)).0.max(1);
        let fronts = u64::from(self.set.broker_count.max(1));
        let long = (turn * fronts / TURN_FRONTS).min(LONG_TURN * fall).max(turn);
        // A window meets the turns that begin within it or within a turn's length before.
        let step = (turn * (fall + long - turn)).div_ceil(fall);
        let first =
            (u64::from(self.set.broker_index) + fronts - hash(&server.entry.id) % fronts) % fronts * step;
        let since = (now + (fronts * step - first)) % (fronts * step);
        let begun = Micros(now.saturating_sub(since));
        since < long
            && self.book.born.is_some_and(|born| begun >= born.max(self.book.turns_from))
            && server.sent_at.is_none_or(|at| at < begun)
    }
}
