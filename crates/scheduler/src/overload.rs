//! Overload: short jobs go first while there are too few machines.
//!
//! As long as enough machines are available, jobs are ordered by submission time, each deferred a little by its
//! size, and hardly any job is late. In a long shortage of machines that order makes all jobs late, since the
//! jobs that are late already go first. So while the existing machines would need longer for the waiting work
//! than a part of the completion objective, each job is also deferred by a multiple of its remaining run time:
//! most jobs then complete in time, at the cost of the few large ones. None of these starves: a job comes
//! behind another one if it is submitted later by more than the time by which the other one is deferred.

use crate::job::Job;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobId, JobKind};
use std::time::Duration;

/// Overload begins when the waiting work would take longer than this percentage of the shortest completion
/// objective.
const OVERLOAD_START_PERCENT: u64 = 50;
/// Overload ends when the waiting work would take no longer than this percentage of it.
const OVERLOAD_END_PERCENT: u64 = 25;
/// A penalty is updated only if it would change by more than its current value divided by this.
const PENALTY_TOLERANCE_DIVISOR: u64 = 4;

/// Waiting work that lacks nothing but machines.
struct WaitingWork {
    /// CPU time that it takes, in thousandths of a CPU times ms.
    milli_cpu_ms: u64,
    /// The shortest completion objective of its jobs.
    objective_ms: u64,
}

impl Job {
    /// Whether it has waiting tasks and a completion objective to miss, which cancelled, finishing and
    /// best-effort jobs do not have.
    fn counts_as_waiting_work(&self) -> bool {
        !self.cancelled && !self.finishing && !self.is_best_effort() && self.waiting_count() > 0
    }

    /// The job's new overload penalty if it differs enough from the current one to be worth a new position in
    /// the queue: the penalty shrinks with each task that ends.
    fn changed_overload_penalty(&self, factor: u64) -> Option<Duration> {
        let remaining_penalty_ms = self.size_penalty.whole_millis() * self.waiting_count()
            / u64::from(self.spec.task_count.max(1));
        let penalty_ms = if self.counts_as_waiting_work() {
            remaining_penalty_ms * factor
        } else {
            0
        };
        let penalty = Duration::from_millis(penalty_ms);
        let current_ms = self.overload_penalty.whole_millis();
        let exceeds_tolerance =
            penalty_ms.abs_diff(current_ms) * PENALTY_TOLERANCE_DIVISOR > current_ms;
        let is_changed = penalty != self.overload_penalty && (exceeds_tolerance || penalty_ms == 0);
        is_changed.then_some(penalty)
    }
}

impl PartitionState {
    /// Determines whether the partition is overloaded, and updates the jobs' overload penalties.
    pub fn update_overload(&mut self) {
        let waiting = self.waiting_work();
        let drain_ms = waiting.milli_cpu_ms / self.milli_cpus_for_jobs().max(1);
        let threshold_percent = if self.overloaded {
            OVERLOAD_END_PERCENT
        } else {
            OVERLOAD_START_PERCENT
        };
        let overloaded =
            waiting.milli_cpu_ms > 0 && drain_ms > waiting.objective_ms / 100 * threshold_percent;
        if overloaded != self.overloaded {
            self.overloaded = overloaded;
            tracing::info!(
                overloaded,
                drain_ms,
                objective_ms = waiting.objective_ms,
                "overload changed"
            );
        }
        self.update_overload_penalties();
    }

    fn waiting_work(&self) -> WaitingWork {
        let mut waiting = WaitingWork {
            milli_cpu_ms: 0,
            objective_ms: u64::MAX,
        };
        for job in self
            .jobs
            .values()
            .filter(|job| job.counts_as_waiting_work())
        {
            let Some(objective) = job.completion_objective else {
                continue;
            };
            // Jobs at their team's limit do not wait for machines.
            if self.fits_quota_now(job, 1) {
                waiting.milli_cpu_ms += job.waiting_count()
                    * job.spec.task_resources.milli_cpus
                    * job.spec.estimated_run_time.whole_millis();
                waiting.objective_ms = waiting.objective_ms.min(objective.whole_millis());
            }
        }
        waiting
    }

    /// CPUs of the machines that are up, less those that replicas of services use.
    fn milli_cpus_for_jobs(&self) -> u64 {
        let mut milli_cpus: u64 = self
            .machines
            .values()
            .filter(|machine| machine.is_up())
            .map(|machine| machine.capacity.milli_cpus)
            .sum();
        for job in self.jobs.values() {
            if job.spec.kind == JobKind::Service {
                let used = job.placed.len() as u64 * job.spec.task_resources.milli_cpus;
                milli_cpus = milli_cpus.saturating_sub(used);
            }
        }
        milli_cpus
    }

    fn update_overload_penalties(&mut self) {
        let factor = if self.overloaded {
            self.policy.overload_penalty_factor
        } else {
            0
        };
        let changed: Vec<(JobId, Duration)> = self
            .jobs
            .iter()
            .filter_map(|(id, job)| Some((*id, job.changed_overload_penalty(factor)?)))
            .collect();
        for (id, penalty) in changed {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.overload_penalty = penalty;
            if let Some(team) = self.teams.get_mut(&job.spec.team) {
                team.guaranteed_jobs_stale = true;
            }
            self.update_ranks(id);
        }
    }
}
