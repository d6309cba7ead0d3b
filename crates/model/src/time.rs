//! Steady time. The time of day is never used to decide anything.
//!
//! Durations are [`std::time::Duration`]s; [`DurationExt`] adds what the deciding code needs beyond it.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Fraction by which a steady clock may run faster or slower than another one, with a reserve: 1/1000
/// where the platform promises 0.05%.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Allowance for timers that fire late and for the measurement itself.
const TIMER_ALLOWANCE: Duration = Duration::from_millis(250);
/// Upper bound of a duration that is read from a number of seconds, in ms.
const MAX_MILLIS: f64 = 1e15;

/// A duration from a number of seconds, rounded up to a millisecond. Negative, infinite and undefined
/// values become zero.
pub fn duration_from_secs(seconds: f64) -> Duration {
    if seconds.is_finite() && seconds > 0.0 {
        Duration::from_millis((seconds * 1000.0).ceil().min(MAX_MILLIS) as u64)
    } else {
        Duration::ZERO
    }
}

/// What the deciding code needs beyond [`Duration`]'s own methods.
pub trait DurationExt {
    /// Whole milliseconds, at most [`u64::MAX`].
    fn whole_millis(&self) -> u64;

    /// The longest that this duration may take on another machine's clock, with an allowance for timers
    /// and measurement.
    fn with_clock_drift(&self) -> Duration;

    /// This duration so many times, at most [`u64::MAX`] milliseconds.
    fn saturating_times(&self, times: u64) -> Duration;
}

impl DurationExt for Duration {
    fn whole_millis(&self) -> u64 {
        // In 64 bits, since this is called for each machine at each scan: `as_millis` takes 128.
        let whole_seconds = self.as_secs().saturating_mul(1_000);
        whole_seconds.saturating_add(u64::from(self.subsec_millis()))
    }

    fn with_clock_drift(&self) -> Duration {
        let drift = Duration::from_millis(self.whole_millis() / CLOCK_DRIFT_DIVISOR);
        self.saturating_add(drift).saturating_add(TIMER_ALLOWANCE)
    }

    fn saturating_times(&self, times: u64) -> Duration {
        Duration::from_millis(self.whole_millis().saturating_mul(times))
    }
}

/// A point in time on this process's steady clock, in milliseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// A point so many milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis)
    }

    /// Milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if that lies ahead.
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
