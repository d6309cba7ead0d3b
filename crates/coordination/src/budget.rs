//! Request budgets: token buckets, and calls that wait in order of importance.

use model::Moment;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Bucket { rate_per_ms: rate_per_s / 1000.0, burst, level: burst, at: Moment::default() }
    }

    fn refill(&mut self, now: Moment) {
        self.level = (self.level + now.since(self.at).0 as f64 * self.rate_per_ms).min(self.burst);
        self.at = self.at.max(now);
    }

    /// What is there now.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `amount` if that leaves at least `reserve` (which keeps room for what matters more).
    pub fn take(&mut self, now: Moment, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.level >= amount + reserve || (self.level >= self.burst && reserve == 0.0) {
            self.level -= amount;
            true
        } else {
            false
        }
    }

    /// The service refused for want of budget: others use it too, so hold back.
    pub fn drain(&mut self, now: Moment) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

/// How much a call to the state service matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// Leases and terms.
    Lease,
    /// What users wait for.
    Accept,
    /// Placements and outcomes.
    Placement,
    /// Everything else.
    Rest,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buckets_keep_their_rate_and_their_reserve() {
        let mut bucket = Bucket::new(10.0, 5.0);
        let taken = (0..20).filter(|_| bucket.take(Moment(0), 1.0, 0.0)).count();
        assert_eq!(taken, 5);
        assert!(!bucket.take(Moment(50), 1.0, 0.0));
        assert!(!bucket.take(Moment(100), 1.0, 2.0), "the reserve stays");
        assert!(bucket.take(Moment(100), 1.0, 0.0));
        bucket.drain(Moment(200));
        assert!(!bucket.take(Moment(200), 1.0, 0.0));
    }
}
