//! Settings of the fleet planner.

use model::Span;

/// Thresholds that operators may tune.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPolicy {
    /// Time within which waiting array work should be finished; sizes the rentals for it.
    pub horizon: Span,
    /// How long an ordinary machine may be idle before it is returned.
    pub keep_idle: Span,
    /// Minimum time billed for a machine: younger machines are kept.
    pub paid: Span,
    /// Idle time after which a machine may be transferred to a partition that needs it.
    pub shift_idle: Span,
    /// Maximum number of idle machines transferred by one plan.
    pub shift_count: usize,
    /// An empty machine that has not reported for this long is returned.
    pub silent: Span,
    /// A booting machine counts as capacity for its boot time multiplied by this factor.
    pub boot_trust: f64,
    /// A machine that has not reported after its boot time multiplied by this factor is given up.
    pub boot_patience: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        FleetPolicy {
            horizon: Span(45_000),
            keep_idle: Span(20_000),
            paid: Span(55_000),
            shift_idle: Span(1_000),
            shift_count: 16,
            silent: Span(15_000),
            boot_trust: 1.6,
            boot_patience: 3,
        }
    }
}
