//! Points in time on the monotonic clock, and arithmetic with durations. No decision depends on the time
//! of day.
//!
//! Durations are [`std::time::Duration`]s; [`DurationExt`] adds methods that the scheduler and the
//! controllers need.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Reciprocal of the allowance for clock drift: the monotonic clocks of two machines may differ by 1/1000
/// of a duration. The platform guarantees 0.05%; the rest is a reserve.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Allowance for timers that fire late and for the inaccuracy of the measurement.
const TIMER_ALLOWANCE: Duration = Duration::from_millis(250);
/// Upper bound of a duration that is converted from a number of seconds, in milliseconds.
const MAX_DURATION_MS: f64 = 1e15;

/// Converts a number of seconds to a duration, rounded up to a millisecond. Negative, infinite and NaN
/// values become zero.
pub fn duration_from_secs(seconds: f64) -> Duration {
    if seconds.is_finite() && seconds > 0.0 {
        Duration::from_millis((seconds * 1000.0).ceil().min(MAX_DURATION_MS) as u64)
    } else {
        Duration::ZERO
    }
}

/// Further methods of [`Duration`].
pub trait DurationExt {
    /// Whole milliseconds, at most [`u64::MAX`].
    fn whole_millis(&self) -> u64;

    /// The longest time that another machine's clock may measure while this duration passes here, with an
    /// allowance for late timers and inaccurate measurement.
    fn with_clock_drift(&self) -> Duration;

    /// This duration multiplied by `factor`, at most [`u64::MAX`] milliseconds.
    fn saturating_times(&self, factor: u64) -> Duration;
}

impl DurationExt for Duration {
    fn whole_millis(&self) -> u64 {
        // Computed in 64 bits, since this is called for each machine in each scan: `as_millis` computes in
        // 128 bits.
        let millis_of_seconds = self.as_secs().saturating_mul(1_000);
        millis_of_seconds.saturating_add(u64::from(self.subsec_millis()))
    }

    fn with_clock_drift(&self) -> Duration {
        let drift = Duration::from_millis(self.whole_millis() / CLOCK_DRIFT_DIVISOR);
        self.saturating_add(drift).saturating_add(TIMER_ALLOWANCE)
    }

    fn saturating_times(&self, factor: u64) -> Duration {
        Duration::from_millis(self.whole_millis().saturating_mul(factor))
    }
}

/// A point in time on this process's monotonic clock, in milliseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// The point in time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis)
    }

    /// Milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this point.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.whole_millis()))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Timestamp) -> Duration {
        self.duration_since(earlier)
    }
}
