//! Replication of soft state, which lets a new leader continue quickly after a failover.
//!
//! A leader replicates to its standby what it knows beyond the durable records. Replicated records prove
//! nothing: they tell a new leader which machines to probe at once, and what to assume about machines and
//! jobs until these show it themselves. Only a machine's own status makes its state known; until then
//! nothing is launched on it, and none of its tasks counts as gone.

use crate::failure_attribution::MAX_FAILED_MACHINES;
use crate::machine::{Machine, ReplicatedEndpoint};
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobId, MachineName, Timestamp, WorkerEpoch};
use std::sync::Arc;
use std::time::Duration;
use wire::mesh::{JobFailureSnapshot, MachineSnapshot, ReplicatedRecord};

/// Idle times below this are not replicated, because they change too often.
const MIN_REPLICATED_IDLE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of tasks of one job whose failures are replicated.
const MAX_REPLICATED_FAILURES: usize = 64;
/// Highest number of consecutive failures of a task that is accepted from a previous leader's records.
const MAX_FAILURE_COUNT: u32 = 64;
/// Longest time to failure that is accepted from a previous leader's records: a service that has run for a
/// multiple of this counts as healthy, whatever was replicated.
const MAX_REPLICATED_FAILURE_TIME: Duration = Duration::from_secs(20);
/// Time beyond the longest heartbeat interval that a worker may need to find a new leader: one heartbeat
/// stays without a reply, and the worker pauses before it tries the next controller.
const REDISCOVERY_ALLOWANCE: Duration = Duration::from_secs(6);

impl Machine {
    /// Whether the machine is taken to be up: it has sent a status to this leader, or a previous leader's
    /// record names its address and it may still answer probes.
    pub fn is_up(&self) -> bool {
        self.last_seen_at.is_some() || self.replicated_endpoint.is_some()
    }

    /// The record for the standby; none if no address is known. An address from a previous leader's record
    /// is passed on, so that the next leader probes the machine too.
    fn replication_record(
        &self,
        now: Timestamp,
        heartbeat_timeout: Duration,
    ) -> Option<ReplicatedRecord> {
        let (address, worker_epoch) = match &self.replicated_endpoint {
            Some(endpoint) => (&endpoint.address, endpoint.worker_epoch),
            None => (self.address.as_ref()?, self.worker_epoch),
        };
        let idle = self.tasks.is_empty()
            && now.duration_since(self.idle_since) >= MIN_REPLICATED_IDLE_TIME;
        let mut images: Vec<(String, f64)> = self
            .images
            .iter()
            .map(|(name, gb)| (name.to_string(), *gb))
            .collect();
        // Sorted by name instead of last use, so that using an image does not change the record.
        images.sort_by(|(left, _), (right, _)| left.cmp(right));
        Some(ReplicatedRecord::Machine(MachineSnapshot {
            machine: self.name.to_string(),
            address: address.clone(),
            worker_epoch: worker_epoch.0,
            reporting: self
                .last_heartbeat_at
                .is_some_and(|at| now.duration_since(at) <= heartbeat_timeout),
            quarantined: self.quarantined,
            idle_since_ms: idle.then_some(self.idle_since.as_millis()),
            images,
        }))
    }
}

impl PartitionState {
    /// The records for the standby: what a new leader could not read from the durable records.
    pub fn replication_records(&self, now: Timestamp) -> Vec<ReplicatedRecord> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let machines = self
            .machines
            .values()
            .filter_map(|machine| machine.replication_record(now, heartbeat_timeout));
        let failing_jobs = self
            .jobs
            .values()
            .filter(|job| !job.failed_on.is_empty() && !job.finishing);
        let jobs = failing_jobs.map(|job| {
            ReplicatedRecord::Job(JobFailureSnapshot {
                job: job.spec.id.0,
                failures: job
                    .failures
                    .iter()
                    .take(MAX_REPLICATED_FAILURES)
                    .map(|(index, failures)| (*index, *failures))
                    .collect(),
                failed_on: job.failed_on.iter().map(ToString::to_string).collect(),
                successes: job.successes,
                longest_failure_ms: job.longest_failure.whole_millis(),
            })
        });
        machines.chain(jobs).collect()
    }

    /// Applies a previous leader's record of a machine. `idle_since` is the record's idle time on this
    /// controller's clock. The address is used only if the machine has not sent a status to this leader
    /// yet.
    pub fn apply_machine_snapshot(
        &mut self,
        snapshot: &MachineSnapshot,
        idle_since: Option<Timestamp>,
    ) {
        let name = MachineName::from(snapshot.machine.as_str());
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        for (image, gb) in &snapshot.images {
            let image: Arc<str> = image.as_str().into();
            if !machine.has_image(&image) && gb.is_finite() {
                self.capacity_index
                    .touch_image(machine, &image, gb.max(0.0));
            }
        }
        machine.quarantined |= snapshot.quarantined;
        if let (true, Some(since)) = (machine.tasks.is_empty(), idle_since) {
            machine.idle_since = machine.idle_since.min(since);
        }
        if machine.last_seen_at.is_none() && !snapshot.address.is_empty() {
            machine.replicated_endpoint = Some(ReplicatedEndpoint {
                address: snapshot.address.clone(),
                worker_epoch: WorkerEpoch(snapshot.worker_epoch),
                reporting: snapshot.reporting,
            });
        }
    }

    /// Applies a previous leader's record of a job's failures.
    pub fn apply_job_snapshot(&mut self, snapshot: &JobFailureSnapshot, now: Timestamp) {
        let id = JobId(snapshot.job);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let tasks = job.spec.task_count;
        for (index, failures) in snapshot.failures.iter().filter(|(index, _)| *index < tasks) {
            if !job.is_done(*index) {
                job.failures
                    .insert(*index, (*failures).min(MAX_FAILURE_COUNT));
            }
        }
        job.failed_on = snapshot
            .failed_on
            .iter()
            .map(|name| MachineName::from(name.as_str()))
            .collect();
        job.failed_on.truncate(MAX_FAILED_MACHINES);
        job.successes = job.successes.max(snapshot.successes);
        job.longest_failure =
            Duration::from_millis(snapshot.longest_failure_ms).min(MAX_REPLICATED_FAILURE_TIME);
        if job.is_suspect() && !job.cancelled && !job.finishing {
            self.begin_probing(id, now);
        }
    }

    /// Whether the inventory is known well enough for preemption and consolidation: most machines have sent
    /// a heartbeat to this leader, or have had the time to. Before that, capacity may seem to be missing
    /// only because heartbeats are. Once true, it stays true.
    pub(crate) fn update_inventory_known(&mut self, now: Timestamp) -> bool {
        if !self.inventory_known {
            let reporting = self
                .machines
                .values()
                .filter(|machine| machine.last_heartbeat_at.is_some())
                .count();
            let most_report = reporting * 10 >= self.machines.len() * 9;
            let rediscovery_time = self.longest_heartbeat_interval() + REDISCOVERY_ALLOWANCE;
            let since = self.leading_since.max(self.running_since);
            self.inventory_known = most_report || now.duration_since(since) >= rediscovery_time;
        }
        self.inventory_known
    }
}
