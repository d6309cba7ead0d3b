//! Demand for machines: waiting work that the free capacity of the partition will not take.
//!
//! The fleet planner collects the demand of all partitions and scales out for it.

use crate::demand_estimate::DemandEstimate;
use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::{DurationExt, JobId, JobKind, Resources, Timestamp, ZoneName};
use std::collections::BTreeMap;
use wire::mesh::DemandShape;

/// The shortest run time on which estimates of capacity that is about to be freed are based (ms).
const MIN_ESTIMATE_MS: u64 = 1_000;

/// A job with waiting tasks. Free capacity is allotted in the order of these keys: best-effort work
/// last, then by order of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingJob {
    best_effort: bool,
    submission_order: u64,
    job: JobId,
}

impl PartitionState {
    /// Waiting work that its team's limit would let start, by shape.
    /// What fits into free capacity will be placed soon and is no demand.
    pub fn demand(&self, now: Timestamp) -> Vec<DemandShape> {
        let waiting = self.waiting_jobs();
        let min_milli_cpus = waiting
            .keys()
            .filter_map(|waiting| self.jobs.get(&waiting.job))
            .map(|job| job.spec.needs.milli_cpus)
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
                EntryKey::Gang(_) => u64::from(job.spec.tasks),
            };
            let key = WaitingJob {
                best_effort: job.is_best_effort(),
                submission_order: job.submitted_at_ms,
                job: id,
            };
            *waiting.entry(key).or_default() += tasks;
        }
        waiting
    }

    /// What running array tasks free within [`Policy::absorb_within`](crate::Policy::absorb_within). A team at its limit
    /// uses what its own tasks free itself.
    pub(crate) fn soon_freed_resources(&self) -> Resources {
        let mut freed = Resources::default();
        for job in self.jobs.values() {
            if job.spec.kind != JobKind::Array || !self.fits_quota_now(job, 1) {
                continue;
            }
            let estimate_ms = job.spec.estimate.whole_millis().max(MIN_ESTIMATE_MS);
            let running = job.placed.len() as u64;
            let freed_of = |each: u64| {
                let used = running * each;
                (used * self.policy.absorb_within.whole_millis() / estimate_ms).min(used)
            };
            freed += Resources {
                milli_cpus: freed_of(job.spec.needs.milli_cpus),
                milli_gpus: freed_of(job.spec.needs.milli_gpus),
                memory_mb: 0,
            };
        }
        freed
    }

    /// The zone in which machines for more tasks of a job have to be, given its tasks in each zone.
    pub(crate) fn zone_for_remaining_tasks(
        &self,
        job: &Job,
        zones: &BTreeMap<ZoneName, u32>,
    ) -> Option<ZoneName> {
        if job.spec.zone.is_some() {
            return job.spec.zone.clone();
        }
        if job.spec.one_zone {
            return zones.keys().next().cloned();
        }
        if job.spec.spread {
            let tasks_in = |zone: &&ZoneName| zones.get(*zone).copied().unwrap_or(0);
            return self.zones.iter().min_by_key(tasks_in).cloned();
        }
        None
    }
}
