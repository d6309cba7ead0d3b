//! Counts of what injected faults have really caused: a test whose faults had no effect proves nothing.

use std::collections::BTreeSet;

/// What has really come about of troubles that are there to meet: a test whose troubles never met
/// proves nothing.
#[derive(Debug, Clone, Default)]
pub struct FaultCoverage {
    /// Late transactions that were applied; of these, after newer ones of the same node, and of lives
    /// that were over by then.
    pub delayed_writes: u64,
    pub delayed_writes_after_newer: u64,
    pub delayed_writes_of_crashed: u64,
    /// Late transactions whose conditions voided them.
    pub delayed_writes_rejected: u64,
    /// Copies of reports that came after newer messages of their machines; of these, from earlier
    /// sessions.
    pub stale_heartbeats: u64,
    pub stale_sessions: u64,
    /// Answers and commands that were lost on their way to machines whose reports arrive.
    pub dropped_messages: u64,
    /// Connections of machines that failed, and direct commands and questions that reached these
    /// machines meanwhile.
    pub refused_connections: u64,
    pub direct_calls_while_refusing: u64,
    /// Transactions that were carried out and whose answers were lost; those of them that another node
    /// read.
    pub lost_replies: u64,
    pub lost_replies_read_elsewhere: u64,
    /// Kept copies of reports, older than what their machines had said since, that came to a holder that
    /// had just begun; of these, from earlier sessions.
    pub stale_heartbeats_at_failover: u64,
    pub stale_sessions_at_failover: u64,
    /// Reports that were held back and came to a holder that had begun since.
    pub held_heartbeats: u64,
    /// Late direct commands that were carried out, and that their token or session made void; those
    /// with commands whose node had ended, and those that came after a higher token.
    pub delayed_commands: u64,
    pub delayed_commands_rejected: u64,
    pub delayed_commands_of_crashed: u64,
    pub delayed_commands_of_deposed: u64,
    /// Launches on machines that had come up within two seconds a moment before, while writes came late.
    pub launches_on_new_machines: u64,
    /// What nodes told each other and was lost on one way, and what came again late.
    pub one_way_losses: u64,
    pub mesh_duplicates: u64,
    /// Jobs that were cancelled at the moment of their acceptance, while they ran with long to go, and
    /// around the end of their last task.
    pub cancelled_at_acceptance: u64,
    pub cancelled_running: u64,
    pub cancelled_at_completion: BTreeSet<String>,
    /// Machines that hung while their jobs were cancelled.
    pub hung_machines_of_cancelled_jobs: u64,
    /// Odd requests, by kind.
    pub repeated_unfinished: u64,
    pub cancelled_done: u64,
    pub rejected_unschedulable: u64,
    pub rejected_malformed: u64,
    pub one_task_jobs: u64,
}
