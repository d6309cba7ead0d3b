//! Preemption: stopping tasks to make room for others.
//!
//! A job of higher priority may preempt work of lower priority. Work within its team's guarantee may also
//! preempt work of any priority that another team runs beyond its own guarantee.

use crate::cycle::PlacementFailure;
use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use crate::queue_entry::EntryKey;
use crate::quotas::TeamUsage;
use crate::reserved_capacity::Reservation;
use model::DurationExt;
use model::{JobKind, MachineName, Priority, TaskId, Timestamp};
use std::time::Duration;

/// How long capacity that preemption frees is reserved for the entry.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Added to the time that a task needs to save a checkpoint, for the delivery of the stop command.
pub(crate) const STOP_DELIVERY_ALLOWANCE_MS: u64 = 1_000;

/// Which tasks may be preempted for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PreemptionScope {
    /// Best-effort tasks that are cheap to preempt.
    CheapBestEffort,
    /// All tasks that [`PartitionState::may_preempt`] allows.
    All,
}

/// Tasks whose preemption allows an entry to be placed on a machine.
#[derive(Debug)]
pub(crate) struct PreemptionPlan {
    /// Work that is lost, plus the time to fetch the image if the machine lacks it.
    pub cost_ms: u64,
    pub victims: Vec<TaskId>,
    /// The machine on which capacity is reserved for the entry.
    pub machine: MachineName,
}

/// Decides whether work of one team may preempt work of another: only work of a lower rank is preempted. The
/// derived order compares the fields from first to last, so their sequence matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionRank {
    strictly_guaranteed: bool,
    priority: Priority,
    guaranteed: bool,
}

impl PreemptionRank {
    fn of(job: &Job) -> Self {
        PreemptionRank {
            strictly_guaranteed: job.strictly_guaranteed,
            priority: job.spec.priority,
            guaranteed: job.guaranteed,
        }
    }
}

impl PartitionState {
    /// Which tasks may be preempted for a job, or `None` if no tasks may.
    pub(crate) fn preemption_scope(&self, job: &Job) -> Option<PreemptionScope> {
        if job.spec.priority >= Priority::High || job.guaranteed {
            return Some(PreemptionScope::All);
        }
        let is_regular_array = job.spec.kind == JobKind::Array && !job.spec.is_best_effort();
        is_regular_array.then_some(PreemptionScope::CheapBestEffort)
    }

    /// Whether a task of `victim` may be preempted for `job`. Preemptions cannot form a cycle: within a team
    /// the victim has a lower priority, between teams it has a lower [`PreemptionRank`]. If one job could
    /// preempt another by its guarantee and the other preempt it by its priority, their tasks would preempt
    /// each other endlessly (`incidents/2026-12-01-stopped-in-turn.md`).
    pub(crate) fn may_preempt(&self, job: &Job, victim: &Job, placement: &Placement) -> bool {
        if placement.stop.is_some() || victim.spec.kind == JobKind::Gang {
            return false;
        }
        let is_lower = victim.spec.priority < job.spec.priority;
        if victim.spec.team == job.spec.team {
            return is_lower;
        }
        let team = self.teams.get(&victim.spec.team);
        let is_beyond_guarantee = || team.is_some_and(exceeds_guarantee);
        PreemptionRank::of(victim) < PreemptionRank::of(job) && (is_lower || is_beyond_guarantee())
    }

    /// Handles a failed placement: preempts the cheapest set of tasks that allows the entry to be placed on
    /// some machine, and reserves the capacity for it. Returns false if preemption helps neither this entry
    /// nor others of its job.
    pub(crate) fn preempt_for(
        &mut self,
        entry: EntryKey,
        failure: PlacementFailure,
        now: Timestamp,
    ) -> bool {
        let EntryKey::Task(task) = entry else {
            return false;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if self.reservations.contains_key(&entry) {
            return true;
        }
        let plan = match failure {
            PlacementFailure::LimitReached => self.cheapest_preemption_for_limit(entry, job, now),
            PlacementFailure::NoFreeCapacity | PlacementFailure::WaitForCachedImage => None,
        };
        let plan = plan.or_else(|| self.cheapest_preemption(entry, job, failure, None, now));
        let Some(plan) = plan else {
            return false;
        };
        self.execute_preemption(entry, plan, failure, now);
        true
    }

    /// Whether there may be any task that could be preempted for a job.
    pub(crate) fn may_preempt_any(&self, job: &Job) -> bool {
        self.preemption_candidates.any_below(job.spec.priority)
            || (job.guaranteed && self.teams.values().any(exceeds_guarantee))
    }

    /// Stops the tasks of a plan and reserves their capacity for the entry.
    pub(crate) fn execute_preemption(
        &mut self,
        entry: EntryKey,
        plan: PreemptionPlan,
        failure: PlacementFailure,
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get(&entry.job()) else {
            return;
        };
        let is_urgent = self.preemption_scope(job) == Some(PreemptionScope::All);
        let reservation = Reservation {
            machine: plan.machine,
            needs: job.spec.task_resources,
            expires_at: now + RESERVATION_TIMEOUT,
            charged_team: (failure == PlacementFailure::LimitReached)
                .then(|| job.spec.team.clone()),
        };
        self.reserve(entry, reservation);
        for victim in plan.victims {
            tracing::debug!(job = %entry.job(), %victim, "preempting task");
            let is_best_effort = self
                .jobs
                .get(&victim.job)
                .is_some_and(|job| job.spec.is_best_effort());
            // Replicas and guaranteed work do not wait for best-effort work to save a checkpoint.
            let grace_ms = if is_urgent && is_best_effort {
                0
            } else {
                self.grace_period_ms(victim)
            };
            self.stop_task(victim, grace_ms, now);
        }
    }

    /// The grace period in which a task can save a checkpoint, in ms; 0 if it saves none.
    pub(crate) fn grace_period_ms(&self, task: TaskId) -> u64 {
        self.jobs.get(&task.job).map_or(0, |job| {
            if job.spec.checkpoint_interval > Duration::ZERO {
                job.spec.checkpoint_save_time.whole_millis() + STOP_DELIVERY_ALLOWANCE_MS
            } else {
                0
            }
        })
    }
}

fn exceeds_guarantee(team: &TeamUsage) -> bool {
    !team.used.fits_quota(&team.guarantee)
}
