//! The settings of scheduling that operators may change at run time.

use std::time::Duration;

/// Settings of scheduling that operators may change at run time. No value makes an unsafe placement possible.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How much longer than the longest regular heartbeat interval a machine may go without a heartbeat before
    /// it gets no new tasks.
    pub heartbeat_grace: Duration,
    /// Maximum number of tasks of one array or service that are in the scheduling queue at a time.
    pub max_queued_tasks_per_job: u32,
    /// Number of failures without a success in between after which a machine is quarantined.
    pub quarantine_threshold: u32,
    /// Whether tasks may be preempted for other work.
    pub preempt: bool,
    /// A job is deferred in the queue by its expected run time multiplied by this factor.
    pub size_penalty_factor: u64,
    /// Whether replicas of services are moved to fewer machines.
    pub consolidate_replicas: bool,
    /// Waiting array tasks that fit into what running tasks free within this time are no demand for further
    /// machines.
    pub absorb_within: Duration,
    /// During overload, a job is deferred further by the size penalty of its waiting tasks multiplied by this
    /// factor; 0 leaves the order unchanged.
    pub overload_penalty_factor: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            heartbeat_grace: Duration::from_secs(2),
            max_queued_tasks_per_job: 256,
            quarantine_threshold: 2,
            preempt: true,
            size_penalty_factor: 3,
            consolidate_replicas: true,
            absorb_within: Duration::from_secs(8),
            overload_penalty_factor: 4,
        }
    }
}
