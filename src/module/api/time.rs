//! Points in time and durations, in whole microseconds.

use std::ops::{Add, Sub};

/// A point in time or a duration, in whole microseconds. The clock has an arbitrary start and never goes
/// back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest duration.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Converts from milliseconds; negative and non-finite values count as zero.
    pub fn from_ms(ms: f64) -> Micros {
        if ms.is_finite() && ms > 0.0 { Micros((ms * 1000.0).round() as u64) } else { Micros(0) }
    }

    /// Returns the value in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts from seconds; negative and non-finite values count as zero.
    pub fn from_secs(s: f64) -> Micros {
        Micros::from_ms(s * 1000.0)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

/// Subtraction saturates at zero.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
