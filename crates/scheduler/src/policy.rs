//! Settings of placement that operators may tune.

use std::time::Duration;

/// What operators may tune about placement. No value of it can make an unsafe placement possible.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Time beyond the longest regular interval between two heartbeats after which a machine without
    /// a heartbeat gets no new tasks.
    pub heartbeat_grace: Duration,
    /// Tasks of one job array that are in the scheduling queue at a time.
    pub max_queued_tasks_per_job: u32,
    /// Failures without a success in between after which a machine is quarantined.
    pub quarantine_threshold: u32,
    /// Whether tasks are preempted.
    pub preempt: bool,
    /// Multiple of its own run time by which a job is deprioritised.
    pub size_penalty_factor: u64,
    /// Whether replicas are consolidated on fewer machines.
    pub consolidate_replicas: bool,
    /// Tasks of arrays that find room within this time because running tasks complete are no demand
    /// for further machines.
    pub absorb_within: Duration,
    /// Further multiple of its remaining run time by which a job is deprioritised during overload;
    /// 0 leaves the order as it is.
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
