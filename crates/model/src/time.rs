//! Steady time. The time of day is never used to decide anything.

use std::ops::{Add, AddAssign, Sub};

/// A length of time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span(pub u64);

impl Span {
    pub const ZERO: Span = Span(0);

    /// From seconds, rounded up; negative or absurd values become 0.
    pub fn from_secs(seconds: f64) -> Self {
        if seconds.is_finite() && seconds > 0.0 {
            Span((seconds * 1000.0).ceil().min(1e15) as u64)
        } else {
            Span::ZERO
        }
    }

    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// The time this span may take on a clock that runs up to 0.05% off ours, with a
    /// quarter of a second for timers and measurement.
    pub fn with_drift(self) -> Span {
        self + self / 1000 + Span(250)
    }

    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl std::ops::Mul<u64> for Span {
    type Output = Span;
    fn mul(self, by: u64) -> Span {
        Span(self.0.saturating_mul(by))
    }
}

impl std::ops::Div<u64> for Span {
    type Output = Span;
    fn div(self, by: u64) -> Span {
        Span(self.0 / by)
    }
}

/// A moment on this process's steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(pub u64);

impl Moment {
    /// Time gone by since `earlier`, 0 if that lies ahead.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Moment {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Moment> for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        self.since(earlier)
    }
}
