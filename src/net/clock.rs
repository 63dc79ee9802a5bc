//! The system's Unix clock.

use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::api::Micros;

pub(super) fn unix() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}

/// A clock that was set back by more than this runs on from where it was.
const SET_BACK: Micros = Micros(1_000_000);

/// The system's Unix clock, as time that never runs backwards.
#[derive(Default)]
pub(super) struct Clock {
    last: Cell<Micros>,
    ahead: Cell<Micros>,
}

impl Clock {
    pub(super) fn read(&self, unix: Micros) -> Micros {
        let (now, last) = (unix + self.ahead.get(), self.last.get());
        // Waiting for a clock that was set back would stop every timer for as long.
        if last - now > SET_BACK {
            self.ahead.set(self.ahead.get() + (last - now));
        }
        self.last.set(now.max(last));
        self.last.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_goes_on_when_the_clock_is_set_back() {
        let clock = Clock::default();
        assert_eq!(clock.read(Micros(9_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(8_999_999_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_000)), Micros(9_000_000_000));
        assert_eq!(clock.read(Micros(1_000_000_500)), Micros(9_000_000_500));
    }
}
