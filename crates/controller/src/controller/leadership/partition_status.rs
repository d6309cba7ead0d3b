//! Reports on the partitions that this controller leads: unmet demand and machines for the fleet
//! planner, and progress of jobs for all peers.

use super::{LoadedPartition, PartitionLeadership};
use crate::controller::call_kind::RecordCall;
use crate::controller::{CallKind, Controller};
use crate::records::{demand_key, partition_key, DemandRecord};
use crate::request_budget::CallPriority;
use model::{PartitionId, Timestamp};
use std::time::Duration;
use wire::limits::encoded_bytes;
use wire::mesh::{MeshMessage, PartitionStatus};
use wire::state::{StateRequest, Transaction, Write};

/// Minimum time between writes of a partition's unmet demand while the fleet planner cannot be reached.
const DEMAND_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of demand shapes in a written demand record.
const MAX_DEMAND_SHAPES: usize = 8;
/// Maximum number of jobs in a message with progress, so that it fits into a frame of the mesh.
const MAX_JOBS_PER_MESSAGE: usize = 32_000;
/// A summary of each partition is logged once per period, in its first `SUMMARY_LOG_WINDOW_MS`.
const SUMMARY_LOG_PERIOD_MS: u64 = 5_000;
/// Equals the interval between status reports, so that one of them falls into the window.
const SUMMARY_LOG_WINDOW_MS: u64 = 500;

/// The last write of a partition's unmet demand.
#[derive(Debug, Clone, Copy)]
pub(in crate::controller) struct DemandWrite {
    written_at: Timestamp,
    had_demand: bool,
}

impl LoadedPartition {
    /// Id and numbers of done and running tasks of each job with placed tasks, as sent to peers.
    fn job_progress(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        self.partition_state
            .jobs
            .iter()
            .filter(|(_, job)| !job.placed.is_empty())
            .map(|(id, job)| {
                (
                    id.0,
                    u64::from(job.done_count()),
                    u64::from(job.running_count()),
                )
            })
    }
}

impl Controller {
    /// Writes a partition's unmet demand to the state service. The fleet planner reads it there and
    /// rents machines for it even if this controller does not reach it over the mesh.
    fn write_demand(&mut self, status: PartitionStatus) {
        let partition = PartitionId(status.partition);
        let has_demand = !status.demand.is_empty();
        let last_write = self.demand_writes.get(&partition);
        let due = last_write
            .is_none_or(|write| self.now.duration_since(write.written_at) >= DEMAND_WRITE_INTERVAL);
        let had_demand = last_write.is_some_and(|write| write.had_demand);
        if !(has_demand || had_demand) || !due || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        let write = DemandWrite {
            written_at: self.now,
            had_demand: has_demand,
        };
        self.demand_writes.insert(partition, write);
        let txn = self.demand_txn(partition, status);
        self.queue_state_request(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            CallKind::Record(RecordCall::Demand),
        );
    }

    /// The transaction that writes a partition's unmet demand. It is conditional on the records of the
    /// partition and of its demand, since a late write could carry demand that has been met meanwhile,
    /// or that of an earlier leader.
    fn demand_txn(&self, partition: PartitionId, status: PartitionStatus) -> Transaction {
        let mut record = DemandRecord {
            term: status.term,
            demand: status.demand,
        };
        record.demand.truncate(MAX_DEMAND_SHAPES);
        while encoded_bytes(&record) > self.settings.state_limits.max_value_bytes
            && record.demand.pop().is_some()
        {}
        let value = serde_json::to_value(record).unwrap_or_default();
        let partition_version = self
            .leaderships
            .get(&partition)
            .map_or(0, |leadership| leadership.version.0);
        let demand_version = self
            .cache
            .demand_versions
            .get(&partition)
            .map_or(0, |version| version.0);
        let key = demand_key(partition);
        Transaction::default()
            .if_version(partition_key(partition), partition_version)
            .if_version(&key, demand_version)
            .write(Write::put(&key, value))
    }

    /// Sends the status of each loaded partition to the fleet planner, and the progress of its jobs
    /// to all peers.
    pub(super) fn report_partition_statuses(&mut self) {
        let mut statuses = Vec::new();
        let mut jobs = Vec::new();
        let partitions: Vec<PartitionId> = self.leaderships.keys().copied().collect();
        for partition in partitions {
            self.reset_leaving_machines(partition);
            let now = self.now;
            let Some(leadership) = self.leaderships.get_mut(&partition) else {
                continue;
            };
            let Some(status) = leadership.prepare_status(partition, now) else {
                continue;
            };
            statuses.push(status);
            jobs.extend(
                leadership
                    .loaded()
                    .into_iter()
                    .flat_map(LoadedPartition::job_progress),
            );
        }
        for jobs in jobs.chunks(MAX_JOBS_PER_MESSAGE) {
            let jobs = jobs.to_vec();
            self.broadcast(MeshMessage::JobProgress { jobs });
        }
        for status in statuses {
            self.send_partition_status(status);
        }
    }

    /// Resets machines marked as leaving to what their records say if their requested change was
    /// dropped.
    fn reset_leaving_machines(&mut self, partition: PartitionId) {
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(PartitionLeadership::partition_state_mut)
        else {
            return;
        };
        for machine in partition_state.machines.values_mut() {
            if machine.leaving && !self.machine_changes.has_change(&machine.name) {
                machine.leaving = self
                    .cache
                    .machines
                    .get(&machine.name)
                    .is_some_and(|machine| machine.record.leaving);
            }
        }
    }

    fn send_partition_status(&mut self, status: PartitionStatus) {
        let Some(fleet_planner) = self.fleet_planner_controller() else {
            return;
        };
        if fleet_planner == *self.own_name() {
            self.handle_partition_status(status);
        } else if !self.peer_is_alive(&fleet_planner) || !self.reaches_peer(&fleet_planner) {
            self.write_demand(status);
        } else {
            self.send_to_peer(&fleet_planner, MeshMessage::PartitionStatus(status));
        }
    }
}

impl PartitionLeadership {
    /// The partition's status for the fleet planner, once the partition is loaded. Best-effort and
    /// co-located work is evicted first where the status would otherwise show demand that the machines
    /// it occupies could meet.
    fn prepare_status(
        &mut self,
        partition: PartitionId,
        now: Timestamp,
    ) -> Option<PartitionStatus> {
        let term = self.term.0;
        let partition_state = self.partition_state_mut()?;
        if now.as_millis() % SUMMARY_LOG_PERIOD_MS < SUMMARY_LOG_WINDOW_MS {
            partition_state.log_summary(partition, now);
        }
        partition_state.evict_best_effort(now);
        partition_state.evict_colocated(now);
        partition_state.update_overload();
        Some(PartitionStatus {
            partition: partition.0,
            term,
            demand: partition_state.demand(now),
            machines: partition_state.machine_statuses(now),
        })
    }
}
