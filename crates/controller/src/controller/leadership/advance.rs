//! The recurring work of a partition leader: scheduling cycles, commits, and scans of the
//! partition's machines.

use super::PartitionLeadership;
use crate::controller::{Controller, MAX_LAUNCH_READ_AGE};
use crate::records::ControllerIncarnation;
use model::PartitionId;
use std::time::Duration;

/// Interval between scans of all machines of a partition, for work that becomes due with time rather
/// than with an event. Events arrive at about a thousand per second: with a scan on each, the cost
/// would grow with the square of the fleet size.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reports of partition statuses.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of scheduling cycles in one step; the rest run in the next step.
const MAX_CYCLES_PER_STEP: usize = 400;

impl Controller {
    /// Advances every partition that this controller leads.
    pub(in crate::controller) fn advance_partitions(&mut self) {
        let partitions: Vec<PartitionId> = self.leaderships.keys().copied().collect();
        for partition in partitions {
            self.advance_partition(partition);
        }
        if self.now.duration_since(self.statuses_reported_at) >= STATUS_INTERVAL {
            self.statuses_reported_at = self.now;
            self.report_partition_statuses();
        }
    }

    fn advance_partition(&mut self, partition: PartitionId) {
        let now = self.now;
        let exited = self.exited_predecessors(partition);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        leadership.expire_transfer(now);
        leadership.remove_exited_predecessors(&exited, now);
        if leadership.is_transferring() || leadership.successor.is_some() {
            return;
        }
        let scan_due = now.duration_since(leadership.scanned_at) >= SCAN_INTERVAL;
        if !leadership.is_loaded() {
            self.try_load_partition(partition);
        }
        if !self.run_scheduling(partition, scan_due) {
            return;
        }
        self.archive_terminal_jobs(partition);
        self.write_commit(partition);
        self.send_urgent_commands(partition);
        if scan_due {
            self.scan_machines(partition);
        }
    }

    /// Unconfirmed predecessors that have exited: their controllers run under a later incarnation.
    fn exited_predecessors(&self, partition: PartitionId) -> Vec<ControllerIncarnation> {
        let predecessors = self
            .leaderships
            .get(&partition)
            .map(PartitionLeadership::unconfirmed_predecessors)
            .unwrap_or_default();
        predecessors
            .iter()
            .filter(|predecessor| self.incarnation_has_exited(predecessor))
            .cloned()
            .collect()
    }

    /// Drains reclaimed machines, expires leases, runs scheduling cycles and consolidates replicas.
    /// Returns whether the partition is loaded.
    fn run_scheduling(&mut self, partition: PartitionId, scan_due: bool) -> bool {
        let now = self.now;
        let is_state_recent = self.has_recent_state_read(MAX_LAUNCH_READ_AGE);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return false;
        };
        if !leadership.is_loaded() {
            return false;
        }
        if scan_due {
            leadership.scanned_at = now;
        }
        let Some(loaded) = leadership.loaded_mut() else {
            return false;
        };
        if scan_due {
            loaded.partition_state.drain_reclaimed_machines(now);
            if is_state_recent {
                // Without a recent read of the state service, a successor may already be answering
                // these workers and renewing their leases.
                loaded.partition_state.expire_leases(now);
            }
        }
        if is_state_recent {
            loaded.more_cycles = loaded.partition_state.run_cycles(now, MAX_CYCLES_PER_STEP);
            loaded.partition_state.consolidate(now);
        }
        self.counters
            .placement_waits_ms
            .append(&mut loaded.partition_state.placement_waits_ms);
        self.counters
            .unplaced
            .append(&mut loaded.partition_state.rejections);
        true
    }

    /// Does the work on a partition's machines that becomes due with time.
    fn scan_machines(&mut self, partition: PartitionId) {
        self.request_token_raises(partition);
        self.raise_partition_token(partition);
        self.transfer_drained_machines(partition);
        self.probe_unresponsive_machines(partition);
        self.release_unresponsive_machines(partition);
        if self.has_recent_state_read(MAX_LAUNCH_READ_AGE)
            && self.workers_are_unreachable(partition)
        {
            self.resign_leadership(partition);
        }
    }
}
