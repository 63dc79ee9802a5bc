//! Estimates the capacity of a rack's uplink where it is not reported, from the delivered shares of sessions
//! at the rack's servers. Bookkeeping only; `brain::notes` decides what counts as a shortfall of the uplink.

use super::api::Micros;

/// The weight of one shortfall in the estimate. Servers of a rack report on the same second, each with its
/// own error, because the demand on their links was measured up to seconds before.
const SHORTFALL_WEIGHT: f64 = 0.3;
/// The time, in seconds, after which half of the missing capacity is assumed to be back if no shortfall is
/// reported: weak uplinks recover, and no note reports the recovery.
const RECOVERY_HALF_LIFE_S: f64 = 12.0;
/// The estimate never falls below this share of the configured capacity: a lower value would have other
/// causes.
const MIN_NOMINAL_SHARE: f64 = 0.2;

/// The estimated capacity of an uplink.
#[derive(Debug, Default)]
pub(crate) struct UplinkEstimate {
    nominal_kb: f64,
    /// The last estimate, and when the shortfall behind it was measured.
    estimate: Option<(f64, Micros)>,
}

impl UplinkEstimate {
    /// Creates an estimate that equals the configured capacity until the first shortfall.
    pub(crate) fn new(nominal_kb: f64) -> UplinkEstimate {
        UplinkEstimate { nominal_kb: nominal_kb.max(1.0), estimate: None }
    }

    /// Returns the estimated capacity, in kB per second.
    pub(crate) fn capacity_kb(&self, now: Micros) -> f64 {
        let Some((kb, at)) = self.estimate else { return self.nominal_kb };
        let recovered = 1.0 - 0.5f64.powf((now - at).secs() / RECOVERY_HALF_LIFE_S);
        kb + (self.nominal_kb - kb).max(0.0) * recovered
    }

    /// Records that the uplink delivered only this share of the demand.
    pub(crate) fn record_shortfall(&mut self, demand_kb: f64, delivered_share: f64, measured_at: Micros) {
        let delivered_kb = (demand_kb * delivered_share).max(self.nominal_kb * MIN_NOMINAL_SHARE);
        let previous_kb = self.capacity_kb(measured_at);
        self.estimate = Some((previous_kb + (delivered_kb - previous_kb) * SHORTFALL_WEIGHT, measured_at));
    }
}

#[cfg(test)]
mod tests;
