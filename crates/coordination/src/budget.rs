//! Request budgets: token buckets, and calls that wait in order of importance.

use model::Moment;

/// How far a node goes beyond its even part of a budget while others leave it.
const MOST: f64 = 2.0;
/// What it starts with.
const START: f64 = 1.5;
/// Back-off after a refusal for want of budget, and growth in a second without.
const SHRINK: f64 = 0.8;
const GROW: f64 = 0.05;

/// A token bucket.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate_per_ms: f64,
    /// Multiple of the rate that is used now, and the most it may become.
    factor: f64,
    most: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A full bucket with a rate of its own.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Bucket {
            rate_per_ms: rate_per_s / 1000.0,
            factor: 1.0,
            most: 1.0,
            burst,
            level: burst,
            at: Moment::default(),
        }
    }

    /// A full bucket with an even part of a budget that others use too. They are often idle, so
    /// the rate lies between that part and a multiple of it; a refusal tells when they are not.
    pub fn shared(even_per_s: f64, burst: f64) -> Self {
        Bucket { factor: START, most: MOST, ..Bucket::new(even_per_s, burst) }
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.at).0 as f64;
        self.level = (self.level + passed * self.rate_per_ms * self.factor).min(self.burst);
        self.factor = (self.factor + passed / 1000.0 * GROW).min(self.most);
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
        self.factor = (self.factor * SHRINK).max(1.0);
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

impl Importance {
    /// What calls of this kind leave of the requests and of the writes for what matters more.
    pub fn reserves(self) -> (f64, f64) {
        match self {
            Importance::Lease => (-20.0, -5.0),
            Importance::Accept => (2.0, 0.0),
            Importance::Placement => (4.0, 1.0),
            Importance::Rest => (6.0, 3.0),
        }
    }
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

    #[test]
    fn a_shared_budget_shrinks_to_the_even_part_and_grows_again() {
        let mut bucket = Bucket::shared(10.0, 100.0);
        for _ in 0..10 {
            bucket.drain(Moment(0));
        }
        let before = bucket.level(Moment(0));
        assert!((bucket.level(Moment(1_000)) - before - 10.0).abs() < 0.01);
        bucket.drain(Moment(60_000));
        let later = bucket.level(Moment(120_000));
        assert!(later >= 100.0, "{later}");
        assert!(bucket.take(Moment(120_000), 100.0, 0.0));
        assert!(bucket.level(Moment(121_000)) > 15.0);
    }
}
