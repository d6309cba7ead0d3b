//! Searches for the tasks whose preemption costs least.

use crate::colocation::is_colocated;
use crate::cycle::{fetch_time, PlacementFailure};
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use crate::preempt::{PreemptionPlan, PreemptionScope};
use crate::queue_entry::EntryKey;
use crate::zones::zone_allowed;
use model::{DurationExt, MachineName, Resources, TaskId, TeamName, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashSet};

/// No preemption in the scope [`PreemptionScope::CheapBestEffort`] while there are this many reservations or
/// more.
const MAX_RESERVATIONS: usize = 24;
/// Added to the cost for each victim: of plans that lose the same work, the one with the fewest victims is the
/// cheapest.
const VICTIM_COST_MS: u64 = 1;

/// The parameters of a search for tasks to preempt.
struct Search<'a> {
    entry: EntryKey,
    job: &'a Job,
    failure: PlacementFailure,
    scope: PreemptionScope,
    tasks_by_zone: BTreeMap<ZoneName, u32>,
    /// Only plans that cost less are considered.
    max_cost_ms: Option<u64>,
    now: Timestamp,
}

/// A task that could be preempted. Those that lose the least work are preempted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    lost_work_ms: u64,
    task: TaskId,
}

impl PartitionState {
    /// The set of tasks on one machine that costs least to preempt for an entry. The cost is the work that is
    /// lost plus the time to fetch the entry's image if the machine lacks it. `None` if every set costs
    /// `max_cost_ms` or more.
    pub(crate) fn cheapest_preemption(
        &self,
        entry: EntryKey,
        job: &Job,
        failure: PlacementFailure,
        max_cost_ms: Option<u64>,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        let scope = self.preemption_scope(job)?;
        let too_many_reservations = scope == PreemptionScope::CheapBestEffort
            && self.reservations.len() >= MAX_RESERVATIONS;
        if too_many_reservations || !self.may_preempt_any(job) {
            return None;
        }
        let search = Search {
            entry,
            job,
            failure,
            scope,
            tasks_by_zone: self.tasks_by_zone(job),
            max_cost_ms,
            now,
        };
        let mut best: Option<PreemptionPlan> = None;
        let mut checked_machines: HashSet<&MachineName> = HashSet::new();
        for (placed_at, task) in self.preemption_candidates.without_checkpoints() {
            // Candidates are ordered by the work that they lose: the remaining ones cost at least this much.
            let run_time_ms = now.duration_since(placed_at).whole_millis();
            let best_cost_ms = best.as_ref().map(|plan| plan.cost_ms);
            let cost_limit_ms = best_cost_ms.into_iter().chain(max_cost_ms).min();
            if cost_limit_ms.is_some_and(|limit_ms| run_time_ms >= limit_ms) {
                break;
            }
            self.check_candidate(&search, task, &mut checked_machines, &mut best);
        }
        for task in self.preemption_candidates.with_checkpoints() {
            self.check_candidate(&search, task, &mut checked_machines, &mut best);
        }
        best
    }

    /// Replaces `best` by the cheapest plan for the candidate's machine if that plan is better. Each machine is
    /// checked once.
    fn check_candidate<'a>(
        &'a self,
        search: &Search<'_>,
        task: TaskId,
        checked_machines: &mut HashSet<&'a MachineName>,
        best: &mut Option<PreemptionPlan>,
    ) {
        let Some(victim) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(placement) = victim.placed.get(&task.index) else {
            return;
        };
        if !self.is_possible_victim(search, victim, placement)
            || !checked_machines.insert(&placement.machine)
        {
            return;
        }
        let plan = self
            .machines
            .get(&placement.machine)
            .and_then(|machine| self.cheapest_preemption_on(search, machine));
        let Some(plan) = plan else {
            return;
        };
        let is_below_max_cost = search
            .max_cost_ms
            .is_none_or(|max_cost_ms| plan.cost_ms < max_cost_ms);
        let is_better = best
            .as_ref()
            .is_none_or(|best| (plan.cost_ms, &plan.machine) < (best.cost_ms, &best.machine));
        if is_below_max_cost && is_better {
            *best = Some(plan);
        }
    }

    /// If a machine has free capacity for the entry and only the team's limit prevents its placement: the
    /// team's own tasks of lower priority that cost least to preempt, on any machines.
    pub(crate) fn cheapest_preemption_for_limit(
        &self,
        entry: EntryKey,
        job: &Job,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        if self.preemption_scope(job)? == PreemptionScope::CheapBestEffort {
            return None;
        }
        let machine = self.best_machine(entry, job, now).ok()?.name.clone();
        let team = self.teams.get(&job.spec.team)?;
        let needed = team.used + team.reserved + job.spec.task_resources;
        let mut plan = PreemptionPlan {
            cost_ms: 0,
            victims: Vec::new(),
            machine,
        };
        // `needed` includes what is reserved for other entries, so the tasks being stopped for them count as
        // freed.
        let mut freed = self.resources_being_stopped(&job.spec.team);
        let candidates = self
            .preemption_candidates
            .without_checkpoints()
            .map(|(_, task)| task)
            .chain(self.preemption_candidates.with_checkpoints());
        for task in candidates {
            let Some(victim) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(placement) = victim.placed.get(&task.index) else {
                continue;
            };
            if victim.spec.team != job.spec.team || !self.may_preempt(job, victim, placement) {
                continue;
            }
            plan.cost_ms += self.lost_work_ms(victim, placement, true, now) + VICTIM_COST_MS;
            plan.victims.push(task);
            freed += victim.spec.task_resources;
            if needed.saturating_sub(&freed).fits_quota(&team.limit) {
                return Some(plan);
            }
        }
        None
    }

    /// The resources that a team's tasks still use while they are being stopped.
    fn resources_being_stopped(&self, team: &TeamName) -> Resources {
        let mut sum = Resources::default();
        for job in self.jobs.values().filter(|job| job.spec.team == *team) {
            let stopping = job
                .placed
                .values()
                .filter(|placement| placement.stop.is_some());
            sum += job.spec.task_resources.times(stopping.count() as u64);
        }
        sum
    }

    /// Whether a task may be preempted in this search.
    fn is_possible_victim(&self, search: &Search<'_>, victim: &Job, placement: &Placement) -> bool {
        // If the team's limit prevents the placement, only preempting tasks of the same team helps.
        let helps = search.failure == PlacementFailure::NoFreeCapacity
            || victim.spec.team == search.job.spec.team;
        let in_scope = || match search.scope {
            PreemptionScope::All => true,
            PreemptionScope::CheapBestEffort => {
                self.is_cheap_to_preempt(victim, placement, search.now)
            }
        };
        helps && self.may_preempt(search.job, victim, placement) && in_scope()
    }

    /// The tasks on a machine that cost least to preempt and make room for the entry; `None` if preemption
    /// there does not suffice or is not needed.
    fn cheapest_preemption_on(
        &self,
        search: &Search<'_>,
        machine: &Machine,
    ) -> Option<PreemptionPlan> {
        let job = search.job;
        if !self.admits(job, machine, search.now)
            || !zone_allowed(job, &machine.zone, &search.tasks_by_zone)
            || self.is_blocked_by_gang_reservation(job, machine, search.now)
            || is_colocated(machine, job)
        {
            return None;
        }
        let mut free = self.free_capacity_for(search.entry, machine);
        let mut freed = Resources::default();
        let mut plan = PreemptionPlan {
            cost_ms: fetch_time(job, machine).whole_millis(),
            victims: Vec::new(),
            machine: machine.name.clone(),
        };
        let is_enough = |free: &Resources, freed: &Resources| {
            job.spec.task_resources.fits(free) && self.fits_limit_after(search, freed)
        };
        for Victim { lost_work_ms, task } in self.possible_victims_on(search, machine) {
            if is_enough(&free, &freed) {
                break;
            }
            let Some(victim) = self.jobs.get(&task.job) else {
                continue;
            };
            free += victim.spec.task_resources;
            freed += victim.spec.task_resources;
            plan.cost_ms += lost_work_ms + VICTIM_COST_MS;
            plan.victims.push(task);
        }
        (!plan.victims.is_empty() && is_enough(&free, &freed)).then_some(plan)
    }

    /// The tasks on a machine that may be preempted in this search, in the order of the work that they lose,
    /// least first.
    fn possible_victims_on(&self, search: &Search<'_>, machine: &Machine) -> Vec<Victim> {
        let at_once = search.scope == PreemptionScope::All;
        let mut victims: Vec<Victim> = machine
            .tasks
            .iter()
            .filter_map(|task| {
                let victim = self.jobs.get(&task.job)?;
                let placement = victim.placed.get(&task.index)?;
                self.is_possible_victim(search, victim, placement)
                    .then(|| Victim {
                        lost_work_ms: self.lost_work_ms(victim, placement, at_once, search.now),
                        task: *task,
                    })
            })
            .collect();
        victims.sort_unstable();
        victims
    }

    /// Whether the team's limit allows the entry once its team uses `freed` less.
    fn fits_limit_after(&self, search: &Search<'_>, freed: &Resources) -> bool {
        let spec = &search.job.spec;
        search.failure == PlacementFailure::NoFreeCapacity
            || self.teams.get(&spec.team).is_some_and(|team| {
                (team.used.saturating_sub(freed) + spec.task_resources).fits_quota(&team.limit)
            })
    }
}
