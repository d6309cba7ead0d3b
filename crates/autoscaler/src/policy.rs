//! Settings of the fleet planner.

use std::time::Duration;

/// Thresholds of the fleet planner that operators may change.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPolicy {
    /// Time within which waiting array work should be finished. It determines how many machines are planned
    /// for such work.
    pub horizon: Duration,
    /// How long a machine may be idle before it is returned.
    pub keep_idle: Duration,
    /// Minimum time that is billed for a machine: younger machines are not returned for being idle.
    pub minimum_billing: Duration,
    /// How long a machine must have been idle before it may be transferred to another partition.
    pub transfer_idle: Duration,
    /// Maximum number of idle machines transferred by one plan.
    pub max_idle_transfers: usize,
    /// A machine without tasks that has sent no heartbeat for this long is returned.
    pub heartbeat_timeout: Duration,
    /// A booting machine counts as capacity for its boot time multiplied by this factor.
    pub boot_capacity_factor: f64,
    /// A machine that has sent no heartbeat after its boot time multiplied by this factor is given up.
    pub boot_timeout_factor: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        FleetPolicy {
            horizon: Duration::from_secs(45),
            keep_idle: Duration::from_secs(20),
            minimum_billing: Duration::from_secs(55),
            transfer_idle: Duration::from_secs(1),
            max_idle_transfers: 16,
            heartbeat_timeout: Duration::from_secs(15),
            boot_capacity_factor: 1.6,
            boot_timeout_factor: 3,
        }
    }
}
