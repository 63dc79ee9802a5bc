//! How long a notice board is waited for. Single bytes are no sign of life: only what is whole counts, and what has
//! begun must go on at some rate.

use super::SILENCE_TIMEOUT;
use crate::api::Micros;
use crate::http::sse::Progress;

/// The longest time for something that has begun and is small, once a shorter one was not enough: with the next dial it
/// stays within the 6 s after which a change counts as told (operators' report c7ba89).
const EXTENDED_TIMEOUT: Micros = Micros(4_000_000);
/// What has begun may take longer by its size at this rate, in bytes a second.
const MIN_BYTES_PER_S: u64 = 64 * 1024;

/// How long one board is waited for, over all its connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProgressTimeout {
    /// When the last whole thing came on this connection, and how many had by then.
    last_progress_at: Micros,
    progress: Progress,
    /// The last connection was given up in the middle of something.
    was_cut_short: bool,
}

impl ProgressTimeout {
    /// A new connection was asked.
    pub fn begin(&mut self, now: Micros) {
        // Whatever had begun on the last one did not end there.
        self.was_cut_short |= self.progress.pending > 0;
        (self.last_progress_at, self.progress) = (now, Progress::default());
    }

    /// So much has come on the connection by now.
    pub fn progressed(&mut self, now: Micros, progress: Progress) {
        if progress.whole > self.progress.whole {
            self.last_progress_at = now;
        }
        if progress.events > self.progress.events {
            self.was_cut_short = false;
        }
        self.progress = progress;
    }

    /// The connection is given up if nothing more is whole by then.
    pub fn deadline(&self) -> Micros {
        let pending = self.progress.pending as u64;
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

    fn progress(whole: u64, events: u64, pending: usize) -> Progress {
        Progress { whole, events, pending }
    }

    #[test]
    fn single_bytes_put_nothing_off_but_for_their_time_at_the_least_rate() {
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
    fn what_is_long_and_goes_on_has_longer() {
        let mut timeout = ProgressTimeout::default();
        timeout.begin(START);
        timeout.progressed(at(2_000), progress(1, 0, 640 * 1024));
        assert_eq!(timeout.deadline(), at(2_000 + 2_500 + 10_000));
    }

    #[test]
    fn what_was_cut_short_has_longer_the_next_time_until_an_event_is_whole() {
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
