//! The system's Unix clock.

use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::api::Micros;

pub(super) fn unix_now() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}

/// A clock that was set back by more than this runs on from where it was.
const MAX_BACKWARD_STEP: Micros = Micros(1_000_000);

/// The system's Unix clock, as time that never runs backwards.
#[derive(Default)]
pub(super) struct Clock {
    last: Cell<Micros>,
    offset: Cell<Micros>,
}

impl Clock {
    pub(super) fn read(&self, unix: Micros) -> Micros {
        let (now, last) = (unix + self.offset.get(), self.last.get());
        // Waiting for a clock that was set back would stop every timer for as long.
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
