//! What the uplink of a rack gives where no report tells: estimated from the shares of their rates that sessions at the
//! rack's servers get. Bookkeeping only; `brain::notes` decides what counts as a shortfall of the uplink.

use super::api::Micros;

/// Weight of one shortfall in the estimate. Servers of a rack tell of the same second, each with its own error: what
/// is asked of their links was measured up to seconds before.
const SHORTFALL_WEIGHT: f64 = 0.3;
/// Half of what an uplink gave less than the settings name is taken to be there again after so many seconds without
/// word: weak uplinks recover, and no note tells that one did.
const RECOVERY_HALF_LIFE_S: f64 = 12.0;
/// No less than this part of what the settings name is ever assumed: beyond it other things are wrong.
const MIN_NOMINAL_SHARE: f64 = 0.2;

/// The rate that an uplink is taken to give.
#[derive(Debug, Default)]
pub(crate) struct UplinkEstimate {
    nominal_kb: f64,
    /// The last estimate and when the shortfall behind it was measured.
    estimate: Option<(f64, Micros)>,
}

impl UplinkEstimate {
    /// One that gives what the settings name until it falls short.
    pub(crate) fn new(nominal_kb: f64) -> UplinkEstimate {
        UplinkEstimate { nominal_kb: nominal_kb.max(1.0), estimate: None }
    }

    /// The rate that it is taken to give.
    pub(crate) fn capacity_kb(&self, now: Micros) -> f64 {
        let Some((kb, at)) = self.estimate else { return self.nominal_kb };
        let recovered = 1.0 - 0.5f64.powf((now - at).secs() / RECOVERY_HALF_LIFE_S);
        kb + (self.nominal_kb - kb).max(0.0) * recovered
    }

    /// It gave only this share of what was asked.
    pub(crate) fn record_shortfall(&mut self, demand_kb: f64, delivered_share: f64, measured_at: Micros) {
        let delivered_kb = (demand_kb * delivered_share).max(self.nominal_kb * MIN_NOMINAL_SHARE);
        let previous_kb = self.capacity_kb(measured_at);
        self.estimate = Some((previous_kb + (delivered_kb - previous_kb) * SHORTFALL_WEIGHT, measured_at));
    }
}

#[cfg(test)]
mod tests;
