//! Best-effort work: arrays of low priority that run on spare capacity.
//!
//! It runs on spot machines and in the gaps beside other work, is preempted by all other work, and does not
//! keep an expensive machine from becoming idle. To prevent starvation, a job that has found no spare capacity
//! for long may run one task on any machine, and a team with hardly any best-effort task placed may run a few;
//! see the modules `best_effort_waits` and `best_effort_eviction`.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use crate::preempt::STOP_DELIVERY_ALLOWANCE_MS;
use model::DurationExt;
use model::{JobId, Resources, Timestamp};
use std::time::Duration;

/// Tasks that end within this time are not preempted: waiting costs less.
const NEAR_END: Duration = Duration::from_secs(8);
/// A task without checkpoints is cheap to preempt while it has run for less than its estimate divided by this.
const CHEAP_PROGRESS_DIVISOR: u64 = 4;

impl PartitionState {
    /// Whether the rules for best-effort work allow a job to run on a machine: best-effort work that may run on
    /// spot machines must not keep an on-demand machine in use.
    pub(crate) fn admits_best_effort(&self, job: &Job, machine: &Machine) -> bool {
        !job.is_best_effort()
            || !job.spec.spot_allowed
            || machine.spot
            || machine.replica_count > 0
            || (machine.regular_count() > 0 && vacates_soon(job))
            || job.may_be_placed_anywhere()
    }

    /// Records that a job found no free capacity, unless it is best-effort work.
    pub(crate) fn record_unplaced(&mut self, id: JobId, now: Timestamp) {
        if self.jobs.get(&id).is_some_and(|job| !job.is_best_effort()) {
            self.last_unplaced_at.insert(id, now);
        }
    }

    /// Whether a machine's free capacity is left to other jobs that recently found none and are in backoff.
    /// Best-effort tasks that took it in the meantime would soon be preempted. A job that has waited for long
    /// takes it anyway, since those other jobs may be unable to use it.
    pub(crate) fn is_left_to_unplaced_jobs(
        &self,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> bool {
        if !job.is_best_effort() || job.may_be_placed_anywhere() {
            return false;
        }
        let free = machine.free();
        self.last_unplaced_at
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .any(|other| other.spec.task_resources.fits(&free) && self.admits(other, machine, now))
    }

    /// Whether a task is best-effort work whose preemption loses little.
    pub(crate) fn is_cheap_to_preempt(
        &self,
        victim: &Job,
        placement: &Placement,
        now: Timestamp,
    ) -> bool {
        let run_time = now.duration_since(placement.placed_at);
        let remaining = Duration::from_millis(
            victim
                .spec
                .estimated_run_time
                .whole_millis()
                .saturating_sub(run_time.whole_millis()),
        );
        victim.spec.is_best_effort()
            && remaining > NEAR_END
            && (victim.spec.checkpoint_interval > Duration::ZERO
                || run_time.whole_millis() * CHEAP_PROGRESS_DIVISOR
                    < victim.spec.estimated_run_time.whole_millis())
    }

    /// Work that is lost when a task is stopped, in ms: its whole run time if it saves no checkpoints, else the
    /// time to save one, or, if best-effort work is stopped `at_once`, its run time since the last checkpoint.
    pub(crate) fn lost_work_ms(
        &self,
        victim: &Job,
        placement: &Placement,
        at_once: bool,
        now: Timestamp,
    ) -> u64 {
        let run_time_ms = now.duration_since(placement.placed_at).whole_millis();
        if victim.spec.checkpoint_interval == Duration::ZERO {
            run_time_ms
        } else if at_once && victim.spec.is_best_effort() {
            run_time_ms % victim.spec.checkpoint_interval.whole_millis()
        } else {
            run_time_ms
                .min(victim.spec.checkpoint_save_time.whole_millis() + STOP_DELIVERY_ALLOWANCE_MS)
        }
    }

    /// Whether a best-effort task is gone within seconds once its resources are needed, since it saves
    /// checkpoints or is about to end.
    fn is_soon_reclaimable(&self, job: &Job, placement: &Placement, now: Timestamp) -> bool {
        let run_time = now.duration_since(placement.placed_at);
        !job.guaranteed
            && (job.spec.checkpoint_interval > Duration::ZERO
                || job.spec.estimated_run_time.whole_millis()
                    < run_time.whole_millis() + NEAR_END.whole_millis())
    }

    /// The resources that best-effort tasks on a machine can free for other work within seconds.
    pub(crate) fn reclaimable_resources(&self, machine: &Machine, now: Timestamp) -> Resources {
        let mut sum = Resources::default();
        if machine.best_effort_count == 0 {
            return sum;
        }
        for task in &machine.tasks {
            let Some(job) = self
                .jobs
                .get(&task.job)
                .filter(|job| job.spec.is_best_effort())
            else {
                continue;
            };
            if job
                .placed
                .get(&task.index)
                .is_some_and(|placement| self.is_soon_reclaimable(job, placement, now))
            {
                sum += job.spec.task_resources;
            }
        }
        sum
    }

    /// Whether all tasks on a machine are best-effort tasks that can be stopped within seconds; false if it
    /// has none.
    pub(crate) fn runs_only_best_effort(&self, machine: &Machine, now: Timestamp) -> bool {
        !machine.tasks.is_empty()
            && machine.regular_count() == 0
            && machine.tasks.iter().all(|task| {
                let Some(job) = self.jobs.get(&task.job) else {
                    return false;
                };
                let Some(placement) = job.placed.get(&task.index) else {
                    return false;
                };
                self.is_soon_reclaimable(job, placement, now)
            })
    }
}

/// Whether a job's tasks are gone within seconds when a machine is to become idle, since they save checkpoints
/// or are short. Other tasks would remain on the machine alone after the array tasks beside them have ended.
fn vacates_soon(job: &Job) -> bool {
    job.spec.checkpoint_interval > Duration::ZERO || job.spec.estimated_run_time < NEAR_END
}
