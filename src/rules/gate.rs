//! What a limit lets through at one front: requests a second, evenly, with a second's worth at once at most.

use std::collections::BTreeMap;

use super::standing::RateDecision;
use crate::api::Micros;

/// Tenants and classes that are counted; beyond that the ones asked longest ago are forgotten.
const MOST: usize = 4_096;
/// A limit's worth of this span may come at once.
const BURST: Micros = Micros(1_000_000);

/// Counts requests under limits.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    /// For each tenant and class: the moment up to which what was let through is paid for.
    paid: BTreeMap<(usize, usize), Micros>,
}

impl RateLimiter {
    /// Lets a request through, or says how long to wait.
    pub fn ask(
        &mut self,
        now: Micros,
        tenant: usize,
        class: usize,
        ruling: RateDecision,
    ) -> Result<(), Micros> {
        match ruling {
            RateDecision::Free => Ok(()),
            RateDecision::Refuse(wait) | RateDecision::Limit { per_s: 0, wait } => Err(wait),
            RateDecision::Limit { per_s, wait } => {
                if self.paid.len() >= MOST {
                    self.paid.retain(|_, paid| *paid > now);
                }
                let each = Micros(BURST.0 / u64::from(per_s));
                let paid = self.paid.get(&(tenant, class)).copied().unwrap_or(now).max(now);
                // A limit that is tighter now counts what the looser one let through.
                if paid.0 + each.0 > now.0 + BURST.0 {
                    return Err(wait);
                }
                self.paid.insert((tenant, class), Micros(paid.0 + each.0));
                Ok(())
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_limit_lets_so_many_a_second_through_whatever_the_crowd() {
        let mut gate = RateLimiter::default();
        let ruling = RateDecision::Limit { per_s: 20, wait: Micros(7) };
        let mut let_through = 0;
        for ms in 0..10_000 {
            match gate.ask(Micros(ms * 1_000), 1, 0, ruling) {
                Ok(()) => let_through += 1,
                Err(wait) => assert_eq!(wait, Micros(7)),
            }
        }
        // Ten seconds' worth, and a second's that may come at once.
        assert!((200..=220).contains(&let_through), "{let_through}");
        assert!(gate.ask(Micros(9_999_000), 2, 0, ruling).is_ok(), "another tenant");
        assert!(gate.ask(Micros(0), 1, 0, RateDecision::Free).is_ok());
        let none = RateDecision::Limit { per_s: 0, wait: Micros(9) };
        assert_eq!(gate.ask(Micros(0), 3, 0, none), Err(Micros(9)));
    }
}
