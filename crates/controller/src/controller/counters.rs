//! Counters of a controller, shown in the metrics.

use crate::rejections::RejectedMessageCounts;
use std::collections::BTreeMap;

/// Counts of events since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    pub acquisitions: u64,
    /// Partitions that this controller transferred to their preferred leaders.
    pub transfers: u64,
    /// Partitions acquired on suspicion while the previous leader's record still existed.
    pub early_failovers: u64,
    /// Early failovers whose previous leader turned out to be running.
    pub false_failovers: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Jobs stopped because a peer announced their cancellation before its record was read.
    pub cancelled_by_message: u64,
    /// Heartbeats left unanswered because a launch of a cancelled task could still arrive.
    pub replies_withheld: u64,
    pub state_calls: u64,
    pub state_writes: u64,
    pub state_refused: u64,
    pub cloud_calls: u64,
    pub cloud_refused: u64,
    /// Refused requests by cause: `busy` for users' requests, `report` for heartbeats.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Rejected messages since the metrics last drained them.
    pub rejections: RejectedMessageCounts,
    /// How often tasks found no machine, by reason, since the metrics last drained the counts.
    pub unplaced: scheduler::RejectionCounts,
    /// Times from when a job was first seen to the placements of its tasks, since the metrics last drained
    /// them.
    pub placement_waits_ms: Vec<u64>,
}
