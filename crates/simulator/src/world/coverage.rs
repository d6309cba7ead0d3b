//! Counts of the effects that injected faults have had. Tests check them, because a run whose faults had no
//! effect proves nothing.

use super::old_heartbeat_counts::OldHeartbeatCounts;
use std::collections::BTreeSet;

/// Counts of copies of launches that arrived after a restart of their machine or of the controller that sent them.
#[derive(Debug, Clone, Copy, Default)]
pub struct LaunchCopyCounts {
    /// The worker had executed the launch before.
    pub answered: u64,
    /// The worker had been told to forget the attempt.
    pub forgotten: u64,
    /// The task was on another machine.
    pub moved: u64,
    /// The user had been told that the job is cancelled.
    pub cancelled: u64,
    /// The machine had got into another partition.
    pub other_partition: u64,
}

/// Counts of the effects of injected faults.
#[derive(Debug, Clone, Default)]
pub struct FaultCoverage {
    /// Tasks that ran on machines when these restarted without them.
    pub tasks_lost_by_restarts: u64,
    /// Copies of launches that arrived after a restart, by what had become of the launched task.
    pub launch_copies: LaunchCopyCounts,
    /// Old heartbeats that were the first that a new leader received of their machines.
    pub old_heartbeats: OldHeartbeatCounts,
    /// Heartbeats of more than 64 KiB, which controllers refuse.
    pub oversized_heartbeats: u64,
    /// Delayed transactions that were applied; those of them that were applied after newer ones of the same
    /// controller, and those of incarnations that had crashed.
    pub delayed_writes: u64,
    pub delayed_writes_after_newer: u64,
    pub delayed_writes_of_crashed: u64,
    /// Delayed transactions that were rejected by their conditions.
    pub delayed_writes_rejected: u64,
    /// Duplicated heartbeats that arrived after newer ones of their machines; those from earlier worker epochs.
    pub stale_heartbeats: u64,
    pub earlier_epoch_heartbeats: u64,
    /// Heartbeat responses and direct calls that were lost on the way to machines whose heartbeats arrive.
    pub dropped_messages: u64,
    /// Connections of machines to controllers that were refused, and direct calls that reached these machines
    /// meanwhile.
    pub refused_connections: u64,
    pub direct_calls_while_refusing: u64,
    /// Applied transactions whose replies were lost; those of them whose changes another controller has read.
    pub lost_replies: u64,
    pub lost_replies_read_elsewhere: u64,
    /// Stale heartbeats of machines of a partition that were replayed after a change of its leadership; those from
    /// earlier worker epochs.
    pub stale_heartbeats_at_failover: u64,
    pub earlier_epoch_heartbeats_at_failover: u64,
    /// Heartbeats that were held back and delivered to a later leader.
    pub held_heartbeats: u64,
    /// Calls with delayed direct commands that were executed, and those that were rejected because of their
    /// fencing token or worker epoch. Among both, those of crashed controllers, and those that arrived after a
    /// higher fencing token.
    pub delayed_commands: u64,
    pub delayed_commands_rejected: u64,
    pub delayed_commands_of_crashed: u64,
    pub delayed_commands_of_deposed: u64,
    /// Messages with launch commands to machines that had booted fast and just before, while transactions were
    /// delayed.
    pub launches_on_new_machines: u64,
    /// Mesh messages that were lost in one direction, and duplicates of mesh messages that were delivered.
    pub one_way_losses: u64,
    pub mesh_duplicates: u64,
    /// Jobs that were cancelled at their acceptance, while they had much run time left, and around the completion
    /// of their last task.
    pub cancelled_at_acceptance: u64,
    pub cancelled_running: u64,
    pub cancelled_at_completion: BTreeSet<String>,
    /// Machines that hung while jobs on them were cancelled.
    pub hung_machines_of_cancelled_jobs: u64,
    /// Unusual requests by kind: resubmitted unfinished jobs, cancellations of jobs that are done, submissions that
    /// were rejected as unschedulable or malformed, and submitted jobs of one task.
    pub resubmitted_unfinished_jobs: u64,
    pub cancellations_of_done_jobs: u64,
    pub rejected_unschedulable: u64,
    pub rejected_malformed: u64,
    pub one_task_jobs: u64,
}
