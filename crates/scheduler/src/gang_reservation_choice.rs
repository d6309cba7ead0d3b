//! The choice of machines to reserve for a gang: those on which it could start soonest, by the estimated
//! run times of the tasks there.

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

/// A machine on which tasks have to be stopped counts as free after this time: if it becomes free by itself
/// sooner, no work is lost.
const PREEMPTION_ALLOWANCE: Duration = Duration::from_secs(20);
/// The least time that a task which has outrun its estimate is expected to run on.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(5);
/// A task that has outrun its estimate is expected to run on for the time that it has run, divided by this.
const OVERRUN_DIVISOR: u64 = 4;

/// A machine that could be reserved for a gang.
#[derive(Clone, Copy)]
struct MachineOption<'a> {
    machine: &'a Machine,
    /// When a task of the gang fits there.
    ready_at: Timestamp,
    /// How many of its tasks the machine holds when it is empty.
    tasks: u64,
}

/// Machines that hold a whole gang.
struct MachineChoice {
    /// When the last of them is free.
    ready_at: Timestamp,
    /// The number of tasks for each machine.
    machines: BTreeMap<MachineName, u64>,
}

/// Resources that a task frees when it ends.
struct ExpectedRelease {
    at: Timestamp,
    needs: Resources,
}

impl PartitionState {
    /// The machines on which a gang could start soonest, except those that are reserved for a gang with a
    /// better rank. `None` if they do not hold the whole gang.
    pub(crate) fn choose_gang_reservation(
        &self,
        job: &Job,
        until: Timestamp,
        now: Timestamp,
    ) -> Option<GangReservation> {
        let choice = self
            .reservation_options(job, now)
            .into_iter()
            .filter_map(|options| choose_soonest(job, options))
            .min_by_key(|choice| choice.ready_at)?;
        Some(GangReservation {
            job: job.spec.id,
            machines: choice.machines,
            ready_at: choice.ready_at,
            chosen_at: now,
            until,
        })
    }

    /// The machines that could be reserved for a gang: a list for each zone if it has to be in one, else one
    /// list.
    fn reservation_options(&self, job: &Job, now: Timestamp) -> Vec<Vec<MachineOption<'_>>> {
        let rank = Rank::of_job(job);
        let ranks_before = |gang: JobId| {
            self.jobs
                .get(&gang)
                .is_some_and(|gang| Rank::of_job(gang) < rank)
        };
        let mut lists: BTreeMap<Option<&ZoneName>, Vec<MachineOption>> = BTreeMap::new();
        for machine in self.machines.values() {
            if !self.admits(job, machine, now) {
                continue;
            }
            let tasks = tasks_that_fit(job, machine, machine.capacity);
            if tasks == 0 || machine.reserved_for_gang.is_some_and(ranks_before) {
                continue;
            }
            let Some(ready_at) = self.ready_for_gang_at(job, machine, now) else {
                continue;
            };
            let zone = job.spec.one_zone.then_some(&machine.zone);
            lists.entry(zone).or_default().push(MachineOption {
                machine,
                ready_at,
                tasks,
            });
        }
        lists.into_values().collect()
    }

    /// When a task of a gang fits on a machine at the latest, as far as estimates tell, if tasks that it may
    /// preempt are stopped. `None` if the tasks there do not end by themselves.
    fn ready_for_gang_at(&self, job: &Job, machine: &Machine, now: Timestamp) -> Option<Timestamp> {
        let mut free = self.free_capacity_for(EntryKey::Gang(job.spec.id), machine);
        if tasks_that_fit(job, machine, free) > 0 {
            return Some(now);
        }
        let mut releases = self.expected_releases(job, machine, now);
        releases.sort_unstable_by_key(|release| release.at);
        releases.into_iter().find_map(|release| {
            free += release.needs;
            (tasks_that_fit(job, machine, free) > 0).then_some(release.at)
        })
    }

    /// What the tasks on a machine free and when. Replicas that a gang may not preempt free nothing.
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
                now + job.spec.save
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
                needs: job.spec.needs,
            })
        };
        machine.tasks.iter().filter_map(release_of).collect()
    }

    /// When a task ends, as far as its estimate tells. Estimates are often wrong by half: a task that has
    /// outrun its estimate is not expected to end at once.
    pub(crate) fn estimated_end(
        &self,
        job: &Job,
        placement: &Placement,
        now: Timestamp,
    ) -> Timestamp {
        let started_at = job
            .gang_started_at
            .unwrap_or_else(|| self.estimated_start(job, placement));
        let ran = now.duration_since(started_at);
        let overrun =
            Duration::from_millis(ran.whole_millis() / OVERRUN_DIVISOR).max(MIN_REMAINING_TIME);
        (started_at + job.spec.estimate).max(now + overrun)
    }

    /// When a placed task has its image; a gang starts once all of its tasks have theirs.
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

/// The machines of a list on which a gang could start soonest. Of those that are free by then the ones that
/// are free last: a machine that is free now would stand idle until then.
fn choose_soonest(job: &Job, mut options: Vec<MachineOption>) -> Option<MachineChoice> {
    options.sort_by_key(|option| {
        (
            option.ready_at,
            score(job, option.machine),
            &option.machine.name,
        )
    });
    let ready_at = first_that_hold(job, &options)?.ready_at;
    options.retain(|option| option.ready_at <= ready_at);
    options.sort_by_key(|option| Reverse(option.ready_at));
    let machines = first_that_hold(job, &options)?.machines;
    Some(MachineChoice { ready_at, machines })
}

/// The first machines of a list that together hold a gang.
fn first_that_hold(job: &Job, options: &[MachineOption]) -> Option<MachineChoice> {
    let per_zone = u64::from(job.spec.zone_limit());
    let mut zones: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    let mut left = u64::from(job.spec.tasks);
    let mut choice = MachineChoice {
        ready_at: Timestamp::default(),
        machines: BTreeMap::new(),
    };
    for option in options {
        let in_zone = zones.entry(&option.machine.zone).or_default();
        let tasks = option
            .tasks
            .min(left)
            .min(per_zone.saturating_sub(*in_zone));
        if tasks > 0 {
            *in_zone += tasks;
            left -= tasks;
            choice.ready_at = choice.ready_at.max(option.ready_at);
            choice.machines.insert(option.machine.name.clone(), tasks);
        }
        if left == 0 {
            return Some(choice);
        }
    }
    None
}
