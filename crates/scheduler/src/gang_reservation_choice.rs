//! Chooses the machines to reserve for a gang: those on which it could start soonest, by the estimated run
//! times of the tasks there.

use crate::colocation::tasks_that_fit;
use crate::cycle::{score, uncached_fetch_time};
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use crate::queue_entry::{EntryKey, Rank};
use crate::reserved_capacity::GangReservation;
use model::DurationExt;
use model::{JobId, JobKind, MachineName, Resources, Timestamp, ZoneName};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Capacity that has to be freed by preemption is expected to be free after this time. Machines whose tasks
/// end sooner by themselves are preferred, since no work is lost there.
const PREEMPTION_ALLOWANCE: Duration = Duration::from_secs(20);
/// The shortest time for which a task that has exceeded its estimate is expected to continue.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(5);
/// A task that has exceeded its estimate is expected to continue for its run time so far, divided by this.
const OVERRUN_DIVISOR: u64 = 4;

/// A machine that could be reserved for a gang.
#[derive(Clone, Copy)]
struct CandidateMachine<'a> {
    machine: &'a Machine,
    /// When a task of the gang is expected to fit there.
    ready_at: Timestamp,
    /// How many of the gang's tasks fit there when the machine is empty.
    max_tasks: u64,
}

/// Machines that a whole gang fits on.
struct ChosenMachines {
    /// When the last of them is expected to have free capacity.
    ready_at: Timestamp,
    /// The number of the gang's tasks on each machine.
    machines: BTreeMap<MachineName, u64>,
}

/// When a task is expected to end, and the resources that it frees then.
struct ExpectedRelease {
    at: Timestamp,
    resources: Resources,
}

impl PartitionState {
    /// The machines on which a gang could start soonest, except those that are reserved for a gang with a
    /// better rank. `None` if the whole gang does not fit on them.
    pub(crate) fn choose_gang_reservation(
        &self,
        job: &Job,
        expires_at: Timestamp,
        now: Timestamp,
    ) -> Option<GangReservation> {
        let chosen = self
            .reservation_candidates(job, now)
            .into_iter()
            .filter_map(|candidates| choose_soonest(job, candidates))
            .min_by_key(|chosen| chosen.ready_at)?;
        Some(GangReservation {
            job: job.spec.id,
            machines: chosen.machines,
            ready_at: chosen.ready_at,
            chosen_at: now,
            expires_at,
        })
    }

    /// The machines that could be reserved for a gang: one list per zone if its tasks have to run in one zone,
    /// otherwise a single list.
    fn reservation_candidates(&self, job: &Job, now: Timestamp) -> Vec<Vec<CandidateMachine<'_>>> {
        let rank = Rank::of_job(job);
        let has_better_rank = |gang: JobId| {
            self.jobs
                .get(&gang)
                .is_some_and(|gang| Rank::of_job(gang) < rank)
        };
        let mut candidates_by_zone: BTreeMap<Option<&ZoneName>, Vec<CandidateMachine>> =
            BTreeMap::new();
        for machine in self.machines.values() {
            if !self.admits(job, machine, now) {
                continue;
            }
            let max_tasks = tasks_that_fit(job, machine, machine.capacity);
            if max_tasks == 0 || machine.reserved_for_gang.is_some_and(has_better_rank) {
                continue;
            }
            let Some(ready_at) = self.ready_for_gang_at(job, machine, now) else {
                continue;
            };
            let zone = job.spec.one_zone.then_some(&machine.zone);
            candidates_by_zone
                .entry(zone)
                .or_default()
                .push(CandidateMachine {
                    machine,
                    ready_at,
                    max_tasks,
                });
        }
        candidates_by_zone.into_values().collect()
    }

    /// When a task of a gang is expected to fit on a machine, by the estimates of the tasks there, if those that
    /// the gang may preempt are stopped. `None` if too few of the tasks there ever end.
    fn ready_for_gang_at(&self, job: &Job, machine: &Machine, now: Timestamp) -> Option<Timestamp> {
        let mut free = self.free_capacity_for(EntryKey::Gang(job.spec.id), machine);
        if tasks_that_fit(job, machine, free) > 0 {
            return Some(now);
        }
        let mut releases = self.expected_releases(job, machine, now);
        releases.sort_unstable_by_key(|release| release.at);
        releases.into_iter().find_map(|release| {
            free += release.resources;
            (tasks_that_fit(job, machine, free) > 0).then_some(release.at)
        })
    }

    /// What the tasks on a machine are expected to free, and when. Replicas that the gang may not preempt free
    /// nothing.
    fn expected_releases(
        &self,
        gang: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> Vec<ExpectedRelease> {
        let release_of = |task: &model::TaskId| {
            let job = self.jobs.get(&task.job)?;
            let placement = job.placed.get(&task.index)?;
            let at = if placement.stop.is_some() {
                now + job.spec.checkpoint_save_time
            } else if self.may_preempt(gang, job, placement) {
                self.estimated_end(job, placement, now)
                    .min(now + PREEMPTION_ALLOWANCE)
            } else if job.spec.kind == JobKind::Service {
                return None;
            } else {
                self.estimated_end(job, placement, now)
            };
            Some(ExpectedRelease {
                at,
                resources: job.spec.task_resources,
            })
        };
        machine.tasks.iter().filter_map(release_of).collect()
    }

    /// When a task is expected to end, by its job's estimate. Estimates are often wrong by half, so a task that
    /// has exceeded its estimate is not expected to end at once.
    pub(crate) fn estimated_end(
        &self,
        job: &Job,
        placement: &Placement,
        now: Timestamp,
    ) -> Timestamp {
        let started_at = job
            .gang_started_at
            .unwrap_or_else(|| self.estimated_start(job, placement));
        let run_time = now.duration_since(started_at);
        let min_remaining = Duration::from_millis(run_time.whole_millis() / OVERRUN_DIVISOR)
            .max(MIN_REMAINING_TIME);
        (started_at + job.spec.estimated_run_time).max(now + min_remaining)
    }

    /// When a placed task is expected to start: once its image is fetched, or, for a gang, once the images of
    /// all its tasks are.
    fn estimated_start(&self, job: &Job, placement: &Placement) -> Timestamp {
        let fetched_at = |placement: &Placement| {
            let fetch_time = self
                .machines
                .get(&placement.machine)
                .map_or(Duration::ZERO, |machine| uncached_fetch_time(job, machine));
            placement.placed_at + fetch_time
        };
        if job.spec.kind != JobKind::Gang {
            return fetched_at(placement);
        }
        job.placed
            .values()
            .map(fetched_at)
            .max()
            .unwrap_or(placement.placed_at)
    }
}

/// The machines of a list on which a gang could start soonest. Of all machines that are ready by that time,
/// those that become ready last are taken: a machine that is free now would be idle until then.
fn choose_soonest(job: &Job, mut candidates: Vec<CandidateMachine>) -> Option<ChosenMachines> {
    candidates.sort_by_key(|candidate| {
        (
            candidate.ready_at,
            score(job, candidate.machine),
            &candidate.machine.name,
        )
    });
    let ready_at = first_that_fit(job, &candidates)?.ready_at;
    candidates.retain(|candidate| candidate.ready_at <= ready_at);
    candidates.sort_by_key(|candidate| Reverse(candidate.ready_at));
    let machines = first_that_fit(job, &candidates)?.machines;
    Some(ChosenMachines { ready_at, machines })
}

/// The first machines of a list that a whole gang fits on together.
fn first_that_fit(job: &Job, candidates: &[CandidateMachine]) -> Option<ChosenMachines> {
    let per_zone = u64::from(job.spec.max_tasks_per_zone());
    let mut tasks_by_zone: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    let mut remaining = u64::from(job.spec.task_count);
    let mut chosen = ChosenMachines {
        ready_at: Timestamp::default(),
        machines: BTreeMap::new(),
    };
    for candidate in candidates {
        let in_zone = tasks_by_zone.entry(&candidate.machine.zone).or_default();
        let tasks = candidate
            .max_tasks
            .min(remaining)
            .min(per_zone.saturating_sub(*in_zone));
        if tasks > 0 {
            *in_zone += tasks;
            remaining -= tasks;
            chosen.ready_at = chosen.ready_at.max(candidate.ready_at);
            chosen
                .machines
                .insert(candidate.machine.name.clone(), tasks);
        }
        if remaining == 0 {
            return Some(chosen);
        }
    }
    None
}
