//! Overload: short jobs go first while there are too few machines.
//!
//! As long as machines can be had, jobs are ordered by submission, each set back a little by its size, and
//! hardly any job is late. With too few machines for long, that order makes all jobs late, since jobs that
//! are late already go first. So while the waiting work would take the existing machines longer than a part
//! of the completion objective, each job is set back by a multiple of the time that the rest of it takes:
//! most jobs are in time then, at the cost of the few large ones. None of them starves: a job that is
//! submitted later than the time by which another one is set back goes behind that one.

use crate::job::Job;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobId, JobKind};
use std::time::Duration;

/// Overload begins when the waiting work would take longer than this part of the shortest completion
/// objective, in percent.
const OVERLOAD_START_PERCENT: u64 = 50;
/// Overload ends when the waiting work would take less than this part, in percent.
const OVERLOAD_END_PERCENT: u64 = 25;
/// A penalty is changed if it would change by more than itself divided by this.
const PENALTY_TOLERANCE_DIVISOR: u64 = 4;

/// Waiting work that only the lack of machines keeps back.
struct WaitingWork {
    /// CPU time that it takes, in thousandths of a CPU times ms.
    milli_cpu_ms: u64,
    /// The shortest completion objective of its jobs.
    objective_ms: u64,
}

impl Job {
    /// Whether it waits for capacity and has a completion objective to miss.
    fn is_awaited(&self) -> bool {
        !self.cancelled && !self.finishing && !self.is_best_effort() && self.waiting_count() > 0
    }

    /// The penalty that the job should have under overload, if that differs enough from its present one to
    /// be worth a new place in the queue: it shrinks with each task that ends.
    fn changed_overload_penalty(&self, factor: u64) -> Option<Duration> {
        let left_ms = self.size_penalty.whole_millis() * self.waiting_count()
            / u64::from(self.spec.tasks.max(1));
        let penalty_ms = if self.is_awaited() {
            left_ms * factor
        } else {
            0
        };
        let penalty = Duration::from_millis(penalty_ms);
        let present_ms = self.overload_penalty.whole_millis();
        let is_far = penalty_ms.abs_diff(present_ms) * PENALTY_TOLERANCE_DIVISOR > present_ms;
        let is_changed = penalty != self.overload_penalty && (is_far || penalty_ms == 0);
        is_changed.then_some(penalty)
    }
}

impl PartitionState {
    /// Determines whether the partition is overloaded, and sets the jobs' penalties for that.
    pub fn update_overload(&mut self) {
        let waiting = self.waiting_work();
        let drain_ms = waiting.milli_cpu_ms / self.milli_cpus_for_jobs().max(1);
        let percent = if self.overloaded {
            OVERLOAD_END_PERCENT
        } else {
            OVERLOAD_START_PERCENT
        };
        let overloaded =
            waiting.milli_cpu_ms > 0 && drain_ms > waiting.objective_ms / 100 * percent;
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
        for job in self.jobs.values().filter(|job| job.is_awaited()) {
            let Some(objective) = job.completion_objective else {
                continue;
            };
            // Jobs at their team's limit do not wait for machines.
            if self.fits_quota_now(job, 1) {
                waiting.milli_cpu_ms += job.waiting_count()
                    * job.spec.needs.milli_cpus
                    * job.spec.estimate.whole_millis();
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
                let used = job.placed.len() as u64 * job.spec.needs.milli_cpus;
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
