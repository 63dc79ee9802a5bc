//! Keeps a cause that comes again and again from filling the log.

use std::collections::BTreeMap;

use crate::api::Micros;

/// A cause is logged once in so long.
const ONCE_IN: Micros = Micros(1_000_000);
/// Causes remembered at most; the oldest is forgotten for a new one.
const MOST: usize = 256;

/// Lets each cause pass once a second.
#[derive(Debug, Default)]
pub struct Limiter {
    passed: BTreeMap<(String, String), (Micros, u64)>,
}

impl Limiter {
    /// Whether a line of this cause may be logged now; then, how many were not since the last one.
    pub fn pass(&mut self, now: Micros, cause: (String, String)) -> Option<u64> {
        if let Some((at, quiet)) = self.passed.get_mut(&cause) {
            if now < *at + ONCE_IN {
                *quiet += 1;
                return None;
            }
            *at = now;
            return Some(std::mem::take(quiet));
        }
        if self.passed.len() >= MOST {
            let oldest = self.passed.iter().min_by_key(|(_, (at, _))| *at).map(|(cause, _)| cause.clone());
            if let Some(oldest) = oldest {
                self.passed.remove(&oldest);
            }
        }
        self.passed.insert(cause, (now, 0));
        Some(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cause_passes_once_a_second_and_tells_what_was_kept_quiet() {
        let (mut limiter, cause) = (Limiter::default(), ("f".to_owned(), String::new()));
        assert_eq!(limiter.pass(Micros(0), cause.clone()), Some(0));
        for i in 1..100 {
            assert_eq!(limiter.pass(Micros(i * 10_000), cause.clone()), None);
        }
        assert_eq!(limiter.pass(Micros(500), ("g".into(), String::new())), Some(0), "another cause");
        assert_eq!(limiter.pass(Micros(1_000_000), cause.clone()), Some(99));
        assert_eq!(limiter.pass(Micros(2_000_000), cause), Some(0));
    }

    #[test]
    fn it_remembers_a_bounded_number_of_causes() {
        let mut limiter = Limiter::default();
        for i in 0..10_000u64 {
            limiter.pass(Micros(i), (format!("{i}"), String::new()));
        }
        assert_eq!(limiter.passed.len(), MOST);
    }
}
