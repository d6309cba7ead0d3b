//! Settings of the queue.

use model::Span;

/// Times that operators may tune. The paper's backoff is 1 s to 10 s; ours is shorter since slots
/// free up within seconds, see `docs/design.md` for the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueConfig {
    /// Backoff after the first failure.
    pub initial_backoff: Span,
    /// Longest backoff.
    pub max_backoff: Span,
    /// How long an entry stays unschedulable before it is released without an event.
    pub leftover: Span,
}

impl Default for QueueConfig {
    fn default() -> Self {
        QueueConfig { initial_backoff: Span(100), max_backoff: Span(1_000), leftover: Span(10_000) }
    }
}

impl QueueConfig {
    /// The backoff after this many failures: doubled each time up to the limit.
    pub(crate) fn backoff_after(&self, failures: u32) -> Span {
        let factor = 1u64 << failures.saturating_sub(1).min(32);
        Span(self.initial_backoff.0.saturating_mul(factor)).min(self.max_backoff)
    }
}
