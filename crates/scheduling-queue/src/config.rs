//! The settings of the scheduling queue.

use model::DurationExt;
use std::time::Duration;

/// Settings of the queue that operators may change at run time. Backoffs are short because capacity becomes free
/// within seconds; `docs/design.md` has the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueConfig {
    /// Backoff after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Upper limit of the backoff.
    pub max_backoff: Duration,
    /// How long an entry stays unschedulable before it is released without a move request.
    pub unschedulable_timeout: Duration,
}

impl Default for QueueConfig {
    fn default() -> Self {
        QueueConfig {
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
            unschedulable_timeout: Duration::from_secs(10),
        }
    }
}

impl QueueConfig {
    /// The backoff after this many failures.
    pub(crate) fn backoff_after(&self, failures: u32) -> Duration {
        let factor = 1u64 << failures.saturating_sub(1).min(32);
        Duration::from_millis(self.initial_backoff.whole_millis().saturating_mul(factor))
            .min(self.max_backoff)
    }
}
