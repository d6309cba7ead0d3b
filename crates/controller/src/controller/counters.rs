//! Counts that the metrics show.

use crate::rejections::RejectionCounts;
use std::collections::BTreeMap;

/// Counts for the metrics.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    pub acquisitions: u64,
    pub transfers: u64,
    /// Partitions acquired while the previous leader's record was still there, and those of them whose
    /// previous leader was running.
    pub early_failovers: u64,
    pub false_failovers: u64,
    pub pauses: u64,
    /// Jobs stopped because another controller sent their cancellation, before its record was read.
    pub cancelled_by_message: u64,
    /// Heartbeats not answered because a launch of a cancelled task could still arrive.
    pub replies_withheld: u64,
    pub state_calls: u64,
    pub state_writes: u64,
    pub state_refused: u64,
    pub cloud_calls: u64,
    pub cloud_refused: u64,
    pub refusals: BTreeMap<&'static str, u64>,
    /// Messages that changed nothing, to be drained by the metrics.
    pub rejections: RejectionCounts,
    /// How often a task found no machine, to be drained by the metrics.
    pub unplaced: scheduler::RejectionCounts,
    /// Times from when a job was first seen to its placement (ms), to be drained by the metrics.
    pub placement_waits_ms: Vec<u64>,
}
