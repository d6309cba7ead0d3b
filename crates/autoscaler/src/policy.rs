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
    pub minimum_billing: Span,
    /// Idle time after which a machine may be transferred to a partition that needs it.
    pub transfer_idle: Span,
    /// Maximum number of idle machines transferred by one plan.
    pub max_idle_transfers: usize,
    /// An empty machine that has not reported for this long is returned.
    pub report_timeout: Span,
    /// A booting machine counts as capacity for its boot time multiplied by this factor.
    pub boot_capacity_factor: f64,
    /// A machine that has not reported after its boot time multiplied by this factor is given up.
    pub boot_timeout_factor: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        FleetPolicy {
            horizon: Span(45_000),
            keep_idle: Span(20_000),
            minimum_billing: Span(55_000),
            transfer_idle: Span(1_000),
            max_idle_transfers: 16,
            report_timeout: Span(15_000),
            boot_capacity_factor: 1.6,
            boot_timeout_factor: 3,
        }
    }
}
