//! Best-effort work: arrays of low priority that run on spare capacity.
//!
//! It fills spot machines and the gaps beside other work, is preempted by everything else, and does not
//! keep an expensive machine from becoming idle. So that nothing starves, a job that finds no such place for
//! long may run one task on any machine, and a team with hardly any such place a few; see the modules
//! `best_effort_waits` and `best_effort_eviction`.

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
    /// Whether a machine may run a job as far as best-effort work is concerned: such work does not keep
    /// on-demand machines in use that it could do without.
    pub(crate) fn admits_best_effort(&self, job: &Job, machine: &Machine) -> bool {
        !job.is_best_effort()
            || !job.spec.spot
            || machine.spot
            || machine.replica_count > 0
            || (machine.regular_count() > 0 && is_soon_gone(job))
            || job.may_be_placed_anywhere()
    }

    /// Records that a job found no free capacity.
    pub(crate) fn record_unplaced(&mut self, id: JobId, now: Timestamp) {
        if self.jobs.get(&id).is_some_and(|job| !job.is_best_effort()) {
            self.unplaced_since.insert(id, now);
        }
    }

    /// Whether a machine's free capacity is left to other jobs, which found none lately and back off. If
    /// best-effort tasks took it meanwhile they would be preempted soon. A job that has waited for long takes
    /// it all the same: those other jobs may be unable to use it.
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
        self.unplaced_since
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .any(|other| other.spec.needs.fits(&free) && self.admits(other, machine, now))
    }

    /// Whether preempting a best-effort task for other work loses little.
    pub(crate) fn is_cheap_to_preempt(
        &self,
        victim: &Job,
        placement: &Placement,
        now: Timestamp,
    ) -> bool {
        let ran = now.duration_since(placement.placed_at);
        let left = Duration::from_millis(
            victim
                .spec
                .estimate
                .whole_millis()
                .saturating_sub(ran.whole_millis()),
        );
        victim.spec.is_best_effort()
            && left > NEAR_END
            && (victim.spec.checkpoint > Duration::ZERO
                || ran.whole_millis() * CHEAP_PROGRESS_DIVISOR
                    < victim.spec.estimate.whole_millis())
    }

    /// Work that is lost when a task is stopped, in ms: all that it has done, or the time to save a
    /// checkpoint, or, if best-effort work is stopped `at_once`, what it has done since its last checkpoint.
    pub(crate) fn lost_work_ms(
        &self,
        victim: &Job,
        placement: &Placement,
        at_once: bool,
        now: Timestamp,
    ) -> u64 {
        let ran = now.duration_since(placement.placed_at).whole_millis();
        if victim.spec.checkpoint == Duration::ZERO {
            ran
        } else if at_once && victim.spec.is_best_effort() {
            ran % victim.spec.checkpoint.whole_millis()
        } else {
            ran.min(victim.spec.save.whole_millis() + STOP_DELIVERY_ALLOWANCE_MS)
        }
    }

    /// Whether a best-effort task is gone within seconds when its resources are needed: it can save a
    /// checkpoint, or is about to end.
    fn is_soon_reclaimable(&self, job: &Job, placement: &Placement, now: Timestamp) -> bool {
        let ran = now.duration_since(placement.placed_at);
        !job.guaranteed
            && (job.spec.checkpoint > Duration::ZERO
                || job.spec.estimate.whole_millis() < ran.whole_millis() + NEAR_END.whole_millis())
    }

    /// What best-effort tasks on a machine would free for other work within seconds.
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
                sum += job.spec.needs;
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

/// Whether tasks of the job are gone within seconds when a machine is to become idle. Others would remain
/// there alone after the array tasks beside them have ended.
fn is_soon_gone(job: &Job) -> bool {
    job.spec.checkpoint > Duration::ZERO || job.spec.estimate < NEAR_END
}
