//! Going on where a predecessor stopped.
//!
//! What a predecessor knew beyond the records comes as hints, which prove nothing: they say whom to
//! ask at once, and what to think of machines and jobs until they show it themselves. Only a machine's
//! own answer makes it heard; until then nothing is launched on it and nothing of it is gone.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{FencingToken, JobId, MachineName, Timestamp, WorkerEpoch};
use std::sync::Arc;
use std::time::Duration;
use wire::mesh::{JobFailureSnapshot, MachineSnapshot, ReplicatedRecord};

/// Idle time that is worth telling of: shorter times change too often.
const MIN_REPLICATED_IDLE_TIME: Duration = Duration::from_secs(2);
/// Failures of single tasks that are told of one job.
const MAX_REPLICATED_FAILURES: usize = 64;
/// The longest that a task is believed to take to fail by word alone: a service that has run for a
/// multiple of that is sound again, whatever was said of it.
const MAX_REPLICATED_FAILURE_TIME: Duration = Duration::from_secs(20);
/// Time beyond their longest report interval that workers may need to find a new holder: a report
/// that is not answered, and the pause before the next node is tried.
const REDISCOVERY_ALLOWANCE: Duration = Duration::from_secs(6);

/// What a predecessor said of a machine that has not been heard yet.
#[derive(Debug, Clone)]
pub(crate) struct ReplicatedEndpoint {
    pub address: String,
    pub session: WorkerEpoch,
    /// It reported to the predecessor.
    pub reporting: bool,
}

/// A question to a machine: is it there? Asked under our token it also learns who holds it now, after
/// which nothing that a predecessor has sent is executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    pub machine: MachineName,
    pub address: String,
    pub token: FencingToken,
    pub session: WorkerEpoch,
}

impl Machine {
    /// Whether it is known to be up: by its own word, or by that of a predecessor which it has not
    /// had time to belie.
    pub fn is_up(&self) -> bool {
        self.last_seen_at.is_some() || self.replicated_endpoint.is_some()
    }

    /// What is known of it. A machine that we have only been told of ourselves is passed on, so that
    /// it is asked by whoever comes next, too.
    fn hint(&self, now: Timestamp, heartbeat_grace: Duration) -> Option<ReplicatedRecord> {
        let (address, session) = match &self.replicated_endpoint {
            Some(told) => (&told.address, told.session),
            None => (self.address.as_ref()?, self.session),
        };
        let idle = self.tasks.is_empty()
            && now.duration_since(self.idle_since) >= MIN_REPLICATED_IDLE_TIME;
        let mut images: Vec<(String, f64)> = self
            .images
            .iter()
            .map(|(name, gb)| (name.to_string(), *gb))
            .collect();
        // In the order of their names, so that a mere use changes nothing.
        images.sort_by(|a, b| a.0.cmp(&b.0));
        Some(ReplicatedRecord::Machine(MachineSnapshot {
            machine: self.name.to_string(),
            address: address.clone(),
            session: session.0,
            reporting: self
                .last_heartbeat_at
                .is_some_and(|at| now.duration_since(at) <= heartbeat_grace),
            quarantined: self.quarantined,
            idle_at: idle.then_some(self.idle_since.as_millis()),
            images,
        }))
    }
}

impl PartitionState {
    /// What a successor could not read from the records.
    pub fn replication_records(&self, now: Timestamp) -> Vec<ReplicatedRecord> {
        let heartbeat_grace = self.heartbeat_timeout();
        let machines = self
            .machines
            .values()
            .filter_map(|m| m.hint(now, heartbeat_grace));
        let failed = self
            .jobs
            .values()
            .filter(|j| !j.failed_on.is_empty() && !j.finishing);
        let jobs = failed.map(|job| {
            ReplicatedRecord::Job(JobFailureSnapshot {
                job: job.spec.id.0,
                failures: job
                    .failures
                    .iter()
                    .take(MAX_REPLICATED_FAILURES)
                    .map(|(i, n)| (*i, *n))
                    .collect(),
                failed_on: job.failed_on.iter().map(ToString::to_string).collect(),
                successes: job.successes,
                fails_within_ms: job.longest_failure.whole_millis(),
            })
        });
        machines.chain(jobs).collect()
    }

    /// Takes a predecessor's word on a machine that we have not heard ourselves.
    pub fn apply_machine_snapshot(
        &mut self,
        hint: &MachineSnapshot,
        idle_since: Option<Timestamp>,
    ) {
        let name = MachineName::from(hint.machine.as_str());
        let Some(machine) = self.machines.get_mut(&name) else {
            return;
        };
        for (image, gb) in &hint.images {
            let image: Arc<str> = image.as_str().into();
            if !machine.has_image(&image) && gb.is_finite() {
                self.capacity_index
                    .touch_image(machine, &image, gb.max(0.0));
            }
        }
        machine.quarantined |= hint.quarantined;
        if let (true, Some(since)) = (machine.tasks.is_empty(), idle_since) {
            machine.idle_since = machine.idle_since.min(since);
        }
        if machine.last_seen_at.is_none() && !hint.address.is_empty() {
            machine.replicated_endpoint = Some(ReplicatedEndpoint {
                address: hint.address.clone(),
                session: WorkerEpoch(hint.session),
                reporting: hint.reporting,
            });
        }
    }

    /// Takes a predecessor's word on how a job has failed.
    pub fn apply_job_snapshot(&mut self, hint: &JobFailureSnapshot, now: Timestamp) {
        let id = JobId(hint.job);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let tasks = job.spec.tasks;
        for (index, failures) in hint.failures.iter().filter(|(index, _)| *index < tasks) {
            if !job.is_done(*index) {
                job.failures.insert(*index, (*failures).min(64));
            }
        }
        job.failed_on = hint
            .failed_on
            .iter()
            .map(|n| MachineName::from(n.as_str()))
            .collect();
        job.failed_on
            .truncate(crate::failure_attribution::MAX_FAILED_MACHINES);
        job.successes = job.successes.max(hint.successes);
        job.longest_failure =
            Duration::from_millis(hint.fails_within_ms).min(MAX_REPLICATED_FAILURE_TIME);
        if job.is_suspect() && !job.cancelled && !job.finishing {
            self.begin_probing(id, now);
        }
    }

    /// Whether enough of the machines have been heard, or had the time to be, for stopping and moving
    /// work: what looks like want of room before that is want of reports. Once it stands it stays.
    pub(crate) fn update_inventory_known(&mut self, now: Timestamp) -> bool {
        if !self.inventory_known {
            let heard = self
                .machines
                .values()
                .filter(|m| m.last_heartbeat_at.is_some())
                .count();
            let most = heard * 10 >= self.machines.len() * 9;
            let had_time =
                Duration::from_millis(self.report.whole_millis() * 5 / 4) + REDISCOVERY_ALLOWANCE;
            self.inventory_known =
                most || now.duration_since(self.leading_since.max(self.running_since)) >= had_time;
        }
        self.inventory_known
    }
}
