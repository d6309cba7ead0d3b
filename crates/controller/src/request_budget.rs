//! Request budgets: token buckets, and the priorities of the calls that share them.

use model::DurationExt;
use model::Timestamp;

/// Maximum multiple of its even share of a budget that a controller uses while others use less.
const MAX_RATE_FACTOR: f64 = 2.0;
/// The multiple of its even share with which a controller starts.
const INITIAL_RATE_FACTOR: f64 = 1.5;
/// The rate factor is multiplied by this after a refusal because the budget was exhausted.
const RATE_DECREASE: f64 = 0.8;
/// Increase of the rate factor per second without a refusal.
const RATE_INCREASE_PER_S: f64 = 0.05;

/// Maximum fraction of a bucket's capacity that is kept as a reserve.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// A token bucket, optionally with an adaptive rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_ms: f64,
    /// The bucket is refilled at this multiple of its rate at present.
    rate_factor: f64,
    max_rate_factor: f64,
    capacity: f64,
    level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket with a fixed rate.
    pub fn new(rate_per_s: f64, capacity: f64) -> Self {
        TokenBucket {
            rate_per_ms: rate_per_s / 1000.0,
            rate_factor: 1.0,
            max_rate_factor: 1.0,
            capacity,
            level: capacity,
            refilled_at: Timestamp::default(),
        }
    }

    /// A full bucket with an even share of a budget that other controllers use too. They are often idle,
    /// so the rate varies between that share and a multiple of it: it grows until the service
    /// refuses a call (additive increase, multiplicative decrease).
    pub fn shared(even_share_per_s: f64, capacity: f64) -> Self {
        TokenBucket {
            rate_factor: INITIAL_RATE_FACTOR,
            max_rate_factor: MAX_RATE_FACTOR,
            ..TokenBucket::new(even_share_per_s, capacity)
        }
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_ms = now.duration_since(self.refilled_at).whole_millis() as f64;
        let added = elapsed_ms * self.rate_per_ms * self.rate_factor;
        self.level = (self.level + added).min(self.capacity);
        let increase = elapsed_ms / 1000.0 * RATE_INCREASE_PER_S;
        self.rate_factor = (self.rate_factor + increase).min(self.max_rate_factor);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Tokens available now.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Whether `amount` tokens may be taken now so that `reserve` tokens remain for more important calls. The
    /// reserve is limited to a fraction of the capacity, and a full bucket grants any amount: no call can wait
    /// for more tokens than the bucket ever holds.
    pub fn allows(&mut self, now: Timestamp, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        let reserve = reserve.min(self.capacity * MAX_RESERVE_FRACTION);
        self.level >= (amount + reserve).min(self.capacity)
    }

    /// Takes `amount` tokens if the bucket allows it. The level becomes negative if the bucket held less.
    pub fn take(&mut self, now: Timestamp, amount: f64, reserve: f64) -> bool {
        let is_allowed = self.allows(now, amount, reserve);
        if is_allowed {
            self.level -= amount;
        }
        is_allowed
    }

    /// Empties the bucket and lowers its rate, after the service refused a call because the budget was
    /// exhausted.
    pub fn throttle(&mut self, now: Timestamp) {
        self.refill(now);
        self.level = self.level.min(0.0);
        self.rate_factor = (self.rate_factor * RATE_DECREASE).max(1.0);
    }
}

/// Tokens that calls of a priority leave for more important calls. A negative reserve lets calls overdraw
/// the budget by that amount.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserves {
    pub requests: f64,
    pub writes: f64,
}

/// Priority of a call to the state service, from the highest to the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases, terms and the reads that keep the cache up to date.
    Coordination,
    /// Writes and reads that user requests wait for.
    UserRequest,
    /// Placements and their results.
    Placement,
    /// Everything else.
    Background,
}

impl CallPriority {
    /// Tokens that calls of this priority leave in the budgets.
    pub fn reserves(self) -> Reserves {
        let (requests, writes) = match self {
            CallPriority::Coordination => (-20.0, -5.0),
            CallPriority::UserRequest => (2.0, 0.0),
            CallPriority::Placement => (4.0, 1.0),
            CallPriority::Background => (6.0, 3.0),
        };
        Reserves { requests, writes }
    }
}
