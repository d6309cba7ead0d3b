//! Demand for machines: waiting work that does not fit into the free capacity of the partition.
//!
//! The fleet planner collects the demand of all partitions and scales the fleet out for it.

use crate::demand_estimate::DemandEstimate;
use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::{DurationExt, JobId, JobKind, Resources, Timestamp, ZoneName};
use std::collections::BTreeMap;
use wire::mesh::DemandShape;

/// Lower bound on a job's estimate when predicting how much capacity its tasks free soon (ms).
const MIN_ESTIMATE_MS: u64 = 1_000;

/// A job with waiting tasks. Free capacity is allotted to jobs in the order of these keys: best-effort work
/// last, otherwise by time of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingJob {
    best_effort: bool,
    submitted_at_ms: u64,
    job: JobId,
}

impl PartitionState {
    /// Waiting tasks that their team's limit allows to start, grouped into shapes of equal requirements.
    /// Tasks that fit into free capacity will be placed soon and are no demand.
    pub fn demand(&self, now: Timestamp) -> Vec<DemandShape> {
        let waiting = self.waiting_jobs();
        let min_milli_cpus = waiting
            .keys()
            .filter_map(|waiting| self.jobs.get(&waiting.job))
            .map(|job| job.spec.task_resources.milli_cpus)
            .min()
            .unwrap_or(0);
        let mut estimate = DemandEstimate::new(self, min_milli_cpus, now);
        for (waiting, tasks) in waiting {
            if let Some(job) = self.jobs.get(&waiting.job) {
                estimate.add_job(job, tasks);
            }
        }
        estimate.shapes
    }

    /// The number of queued tasks of each job.
    fn waiting_jobs(&self) -> BTreeMap<WaitingJob, u64> {
        let mut waiting: BTreeMap<WaitingJob, u64> = BTreeMap::new();
        for entry in self.queue.keys() {
            let id = entry.job();
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let tasks = match entry {
                EntryKey::Task(_) => 1,
                EntryKey::Gang(_) => u64::from(job.spec.task_count),
            };
            let key = WaitingJob {
                best_effort: job.is_best_effort(),
                submitted_at_ms: job.submitted_at_ms,
                job: id,
            };
            *waiting.entry(key).or_default() += tasks;
        }
        waiting
    }

    /// CPUs and GPUs that running array tasks are expected to free within
    /// [`Policy::absorb_within`](crate::Policy::absorb_within). Tasks of teams at their limit are not counted:
    /// the team itself uses what they free.
    pub(crate) fn soon_freed_resources(&self) -> Resources {
        let mut freed = Resources::default();
        for job in self.jobs.values() {
            if job.spec.kind != JobKind::Array || !self.fits_quota_now(job, 1) {
                continue;
            }
            let estimate_ms = job
                .spec
                .estimated_run_time
                .whole_millis()
                .max(MIN_ESTIMATE_MS);
            let placed = job.placed.len() as u64;
            let freed_of = |per_task: u64| {
                let used = placed * per_task;
                (used * self.policy.absorb_within.whole_millis() / estimate_ms).min(used)
            };
            freed += Resources {
                milli_cpus: freed_of(job.spec.task_resources.milli_cpus),
                milli_gpus: freed_of(job.spec.task_resources.milli_gpus),
                memory_mb: 0,
            };
        }
        freed
    }

    /// The zone in which machines for further tasks of a job have to be; `None` if any zone will do.
    pub(crate) fn zone_for_remaining_tasks(
        &self,
        job: &Job,
        tasks_by_zone: &BTreeMap<ZoneName, u32>,
    ) -> Option<ZoneName> {
        if job.spec.zone.is_some() {
            return job.spec.zone.clone();
        }
        if job.spec.one_zone {
            return tasks_by_zone.keys().next().cloned();
        }
        if job.spec.spread_over_zones {
            let tasks_in = |zone: &&ZoneName| tasks_by_zone.get(*zone).copied().unwrap_or(0);
            return self.zones.iter().min_by_key(tasks_in).cloned();
        }
        None
    }
}
