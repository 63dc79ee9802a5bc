//! How late this process handles its own timers.

use super::api::Micros;

/// The half-life of the expected lateness. While a process is short of processor time, lateness recurs with
/// each turn, so a second without any is enough to halve it.
const HALF_LIFE: Micros = Micros(1_000_000);

/// The greatest recent lateness; older values count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lateness {
    worst: Micros,
    seen_at: Micros,
}

impl Lateness {
    /// Records that a timer that was due at `due` is handled now.
    pub(crate) fn record(&mut self, now: Micros, due: Micros) {
        let lateness = now - due;
        if lateness >= self.expected(now) {
            *self = Lateness { worst: lateness, seen_at: now };
        }
    }

    /// Returns how late a timer may be handled from now on.
    pub(crate) fn expected(&self, now: Micros) -> Micros {
        let half_lives = (now - self.seen_at).secs() / HALF_LIFE.secs();
        Micros::from_secs(self.worst.secs() * 0.5f64.powf(half_lives))
    }
}

#[cfg(test)]
mod tests;
