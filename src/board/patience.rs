//! The timeout of a notice board connection. Only complete items count as progress, not single bytes, and an item
//! that has begun must continue at a minimum rate.

use super::SILENCE_TIMEOUT;
use crate::api::Micros;
use crate::http::sse::Progress;

/// The timeout for a small item that has begun, once [`SILENCE_TIMEOUT`] was too short. Together with the next
/// dial it stays within the 6 s after which a change counts as delivered (operators' report c7ba89).
const EXTENDED_TIMEOUT: Micros = Micros(4_000_000);
/// The minimum rate of an item that has begun: the timeout grows by the time that its bytes take at this rate.
const MIN_BYTES_PER_S: u64 = 64 * 1024;

/// The timeout of one board, over all its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgressTimeout {
    /// When the last complete item arrived on this connection.
    last_progress_at: Micros,
    /// What has arrived on this connection.
    progress: Progress,
    /// An earlier connection was closed within an item, and no event has been completed since.
    was_cut_short: bool,
}

impl ProgressTimeout {
    /// Starts the timeout for a new connection.
    pub fn begin(&mut self, now: Micros) {
        // An item that is pending on the last connection was not completed there.
        self.was_cut_short |= self.progress.pending_bytes > 0;
        (self.last_progress_at, self.progress) = (now, Progress::default());
    }

    /// Records what has arrived on the connection by now.
    pub fn progressed(&mut self, now: Micros, progress: Progress) {
        if progress.completed_items > self.progress.completed_items {
            self.last_progress_at = now;
        }
        if progress.completed_events > self.progress.completed_events {
            self.was_cut_short = false;
        }
        self.progress = progress;
    }

    /// Returns the time at which the connection times out unless another item is completed.
    pub fn deadline(&self) -> Micros {
        let pending = self.progress.pending_bytes as u64;
        if pending == 0 {
            return self.last_progress_at + SILENCE_TIMEOUT;
        }
        let timeout = if self.was_cut_short { EXTENDED_TIMEOUT } else { SILENCE_TIMEOUT };
        self.last_progress_at + timeout + Micros(pending * 1_000_000 / MIN_BYTES_PER_S)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const START: Micros = Micros(1_000_000_000);

    fn at(ms: u64) -> Micros {
        START + Micros(ms * 1_000)
    }

    fn progress(completed_items: u64, completed_events: u64, pending_bytes: usize) -> Progress {
        Progress { completed_items, completed_events, pending_bytes }
    }

    #[test]
    fn single_bytes_extend_the_deadline_only_by_their_time_at_the_minimum_rate() {
        let mut timeout = ProgressTimeout::default();
        timeout.begin(START);
        assert_eq!(timeout.deadline(), at(2_500));
        for byte in 1..=5 {
            timeout.progressed(at(500 * byte), progress(0, 0, byte as usize));
        }
        assert!(timeout.deadline() < at(2_501));
        timeout.progressed(at(2_000), progress(1, 0, 0));
        assert_eq!(timeout.deadline(), at(4_500));
    }

    #[test]
    fn a_long_item_extends_the_deadline_by_its_size() {
        let mut timeout = ProgressTimeout::default();
        timeout.begin(START);
        timeout.progressed(at(2_000), progress(1, 0, 640 * 1024));
        assert_eq!(timeout.deadline(), at(2_000 + 2_500 + 10_000));
    }

    #[test]
    fn uses_the_extended_timeout_after_a_cut_until_an_event_is_complete() {
        let mut timeout = ProgressTimeout::default();
        timeout.begin(START);
        timeout.progressed(at(1_000), progress(0, 0, 1));
        timeout.begin(at(2_700));
        timeout.progressed(at(2_700), progress(0, 0, 1));
        assert!(timeout.deadline() > at(6_699));
        timeout.progressed(at(3_000), progress(2, 1, 0));
        timeout.progressed(at(3_100), progress(2, 1, 1));
        assert!(timeout.deadline() < at(5_501));
    }
}
