//! The system's Unix clock, made monotonic.

use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::api::Micros;

/// Returns the system's Unix time.
pub(super) fn unix_now() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}

/// After a backward step of more than this, time continues from its last value. A smaller one is waited out.
const MAX_BACKWARD_STEP: Micros = Micros(1_000_000);

/// Turns readings of the system's Unix clock into a time that never goes backwards.
#[derive(Default)]
pub(super) struct Clock {
    last: Cell<Micros>,
    /// The sum of the backward steps, which is added to each reading.
    offset: Cell<Micros>,
}

impl Clock {
    /// Returns the monotonic time for a reading of the system's clock.
    pub(super) fn read(&self, unix: Micros) -> Micros {
        let (now, last) = (unix + self.offset.get(), self.last.get());
        // Without the offset, every timer would stop until the clock has caught up.
        if last - now > MAX_BACKWARD_STEP {
            self.offset.set(self.offset.get() + (last - now));
        }
        self.last.set(now.max(last));
        self.last.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_advances_after_the_system_clock_is_set_back() {
        let clock = Clock::default();
        assert_eq!(clock.read(Micros(9_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(8_999_999_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_500)), Micros(9_000_000_500));
    }
}
