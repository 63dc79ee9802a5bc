//! How long to wait before a connection is tried again: exponential, with full jitter, so that those who lost the
//! same peer at the same moment do not come back at the same moment.

use crate::api::Micros;

/// The longest first wait.
const FIRST: Micros = Micros(50_000);
/// The longest wait: a peer that is back is found within this, and one that is away costs little.
const MOST: Micros = Micros(1_000_000);

/// Waits between tries.
#[derive(Clone, Debug)]
pub struct Backoff {
    failed: u32,
    random: fastrand::Rng,
}

impl Backoff {
    /// Waits drawn from a seed.
    pub fn new(seed: u64) -> Backoff {
        Backoff { failed: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// A try failed: the wait before the next.
    pub fn failed(&mut self) -> Micros {
        let most = FIRST.0.checked_shl(self.failed).unwrap_or(MOST.0).min(MOST.0);
        self.failed = (self.failed + 1).min(16);
        Micros(self.random.u64(0..=most))
    }

    /// A try went well.
    pub fn went_well(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_grow_to_a_bound_and_begin_anew_after_a_good_try() {
        let mut backoff = Backoff::new(7);
        let waits: Vec<u64> = (0..200).map(|_| backoff.failed().0).collect();
        assert!(waits.iter().all(|w| *w <= MOST.0));
        assert!(waits.iter().max() > Some(&(MOST.0 / 2)), "they use the whole width");
        assert!(waits[20..].iter().min() < Some(&(MOST.0 / 10)), "down to the bottom");
        backoff.went_well();
        assert!(backoff.failed() <= FIRST);
    }
}
