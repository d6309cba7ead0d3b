//! Counts of what injected faults have really caused: a test whose faults had no effect proves nothing.

use std::collections::BTreeSet;

/// Counts of the effects of injected faults.
#[derive(Debug, Clone, Default)]
pub struct FaultCoverage {
    /// Delayed transactions that were applied; of these, after newer ones of the same controller, and of
    /// incarnations that had crashed.
    pub delayed_writes: u64,
    pub delayed_writes_after_newer: u64,
    pub delayed_writes_of_crashed: u64,
    /// Delayed transactions that were rejected by their conditions.
    pub delayed_writes_rejected: u64,
    /// Duplicated heartbeats that arrived after newer ones of their machines; of these, from earlier worker
    /// epochs.
    pub stale_heartbeats: u64,
    pub earlier_epoch_heartbeats: u64,
    /// Replies and commands lost on the way to machines whose heartbeats arrive.
    pub dropped_messages: u64,
    /// Connections of machines that were refused, and direct calls that reached these machines meanwhile.
    pub refused_connections: u64,
    pub direct_calls_while_refusing: u64,
    /// Applied transactions whose replies were lost; those of them that another controller read.
    pub lost_replies: u64,
    pub lost_replies_read_elsewhere: u64,
    /// Replayed heartbeats, older than others of their machines, that arrived at a new leader; of these, from
    /// earlier worker epochs.
    pub stale_heartbeats_at_failover: u64,
    pub earlier_epoch_heartbeats_at_failover: u64,
    /// Held heartbeats delivered to a later leader.
    pub held_heartbeats: u64,
    /// Delayed direct commands that were executed, and those rejected for their fencing token or worker
    /// epoch; those of crashed controllers, and those that arrived after a higher token.
    pub delayed_commands: u64,
    pub delayed_commands_rejected: u64,
    pub delayed_commands_of_crashed: u64,
    pub delayed_commands_of_deposed: u64,
    /// Launches on machines that had booted fast and just now, while transactions were delayed.
    pub launches_on_new_machines: u64,
    /// Mesh messages lost in one direction, and duplicates that were delivered.
    pub one_way_losses: u64,
    pub mesh_duplicates: u64,
    /// Jobs cancelled at their acceptance, while running with much remaining run time, and around the
    /// completion of their last task.
    pub cancelled_at_acceptance: u64,
    pub cancelled_running: u64,
    pub cancelled_at_completion: BTreeSet<String>,
    /// Machines that hung while their jobs were cancelled.
    pub hung_machines_of_cancelled_jobs: u64,
    /// Unusual requests, by kind.
    pub resubmitted_unfinished_jobs: u64,
    pub cancellations_of_done_jobs: u64,
    pub rejected_unschedulable: u64,
    pub rejected_malformed: u64,
    pub one_task_jobs: u64,
}
