//! The search for the tasks whose preemption costs least.

use crate::colocation::is_colocated;
use crate::cycle::{fetch_time, zone_allowed, PlacementFailure};
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use crate::preempt::{PreemptionPlan, PreemptionScope};
use crate::queue_entry::EntryKey;
use model::{DurationExt, MachineName, Resources, TaskId, TeamName, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashSet};

/// Number of reservations from which on [`PreemptionScope::CheapBestEffort`] allows no more preemption.
const MAX_RESERVATIONS: usize = 24;
/// Added to the cost for each victim, so that of equal costs the plan with the fewest victims is the cheapest.
const VICTIM_COST_MS: u64 = 1;

/// A search for tasks to preempt.
struct Search<'a> {
    entry: EntryKey,
    job: &'a Job,
    failure: PlacementFailure,
    scope: PreemptionScope,
    zones: BTreeMap<ZoneName, u32>,
    /// Plans that cost as much or more are of no use.
    max_cost_ms: Option<u64>,
    now: Timestamp,
}

/// A task that could be preempted. Victims are chosen in the order of these keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    lost_work_ms: u64,
    task: TaskId,
}

impl PartitionState {
    /// The set of tasks on one machine that costs least to preempt for an entry: the work that is lost, and
    /// the fetch of its image if it is missing. `None` if that costs `max_cost_ms` or more.
    pub(crate) fn cheapest_preemption(
        &self,
        entry: EntryKey,
        job: &Job,
        failure: PlacementFailure,
        max_cost_ms: Option<u64>,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        let scope = self.preemption_scope(job)?;
        let too_many = scope == PreemptionScope::CheapBestEffort
            && self.reservations.len() >= MAX_RESERVATIONS;
        if too_many || !self.may_preempt_any(job) {
            return None;
        }
        let search = Search {
            entry,
            job,
            failure,
            scope,
            zones: self.tasks_by_zone(job),
            max_cost_ms,
            now,
        };
        let mut best: Option<PreemptionPlan> = None;
        let mut checked: HashSet<&MachineName> = HashSet::new();
        for (placed_at, task) in self.preemption_candidates.newest() {
            // Candidates come in the order of the work that is lost: the others cost more than this.
            let ran_ms = now.duration_since(placed_at).whole_millis();
            let best_cost_ms = best.as_ref().map(|plan| plan.cost_ms);
            let limit = best_cost_ms.into_iter().chain(max_cost_ms).min();
            if limit.is_some_and(|limit| ran_ms >= limit) {
                break;
            }
            self.check_candidate(&search, task, &mut checked, &mut best);
        }
        for task in self.preemption_candidates.saving() {
            self.check_candidate(&search, task, &mut checked, &mut best);
        }
        best
    }

    /// Keeps the cheapest plan for the machine of a candidate if it is better than the best so far.
    fn check_candidate<'a>(
        &'a self,
        search: &Search<'_>,
        task: TaskId,
        checked: &mut HashSet<&'a MachineName>,
        best: &mut Option<PreemptionPlan>,
    ) {
        let Some(victim) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(placement) = victim.placed.get(&task.index) else {
            return;
        };
        if !self.is_victim(search, victim, placement) || !checked.insert(&placement.machine) {
            return;
        }
        let plan = self
            .machines
            .get(&placement.machine)
            .and_then(|machine| self.cheapest_preemption_on(search, machine));
        let Some(plan) = plan else {
            return;
        };
        let is_cheap = search
            .max_cost_ms
            .is_none_or(|max_cost_ms| plan.cost_ms < max_cost_ms);
        let is_better = best
            .as_ref()
            .is_none_or(|best| (plan.cost_ms, &plan.machine) < (best.cost_ms, &best.machine));
        if is_cheap && is_better {
            *best = Some(plan);
        }
    }

    /// If a machine has free capacity and only the team's limit is in the way: the team's own tasks of lower
    /// priority that cost least to preempt, on whatever machines.
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
        let wanted = team.used + team.reserved + job.spec.needs;
        let mut plan = PreemptionPlan {
            cost_ms: 0,
            victims: Vec::new(),
            machine,
        };
        // What is being stopped for other entries is counted with what is reserved for them.
        let mut freed = self.resources_being_stopped(&job.spec.team);
        let candidates = self
            .preemption_candidates
            .newest()
            .map(|(_, task)| task)
            .chain(self.preemption_candidates.saving());
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
            freed += victim.spec.needs;
            if wanted.saturating_sub(&freed).fits_quota(&team.limit) {
                return Some(plan);
            }
        }
        None
    }

    /// What a team's tasks that are being stopped still use.
    fn resources_being_stopped(&self, team: &TeamName) -> Resources {
        let mut sum = Resources::default();
        for job in self.jobs.values().filter(|job| job.spec.team == *team) {
            let stopping = job
                .placed
                .values()
                .filter(|placement| placement.stop.is_some());
            sum += job.spec.needs.times(stopping.count() as u64);
        }
        sum
    }

    /// Whether a task may be preempted in this search.
    fn is_victim(&self, search: &Search<'_>, victim: &Job, placement: &Placement) -> bool {
        // Against the team's own limit only the team's own tasks help.
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

    /// The tasks on a machine that cost least to preempt and let the entry in, if there are any.
    fn cheapest_preemption_on(
        &self,
        search: &Search<'_>,
        machine: &Machine,
    ) -> Option<PreemptionPlan> {
        let job = search.job;
        if !self.admits(job, machine, search.now)
            || !zone_allowed(job, &machine.zone, &search.zones)
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
            job.spec.needs.fits(free) && self.limit_allows(search, freed)
        };
        for Victim { lost_work_ms, task } in self.victims_on(search, machine) {
            if is_enough(&free, &freed) {
                break;
            }
            let Some(victim) = self.jobs.get(&task.job) else {
                continue;
            };
            free += victim.spec.needs;
            freed += victim.spec.needs;
            plan.cost_ms += lost_work_ms + VICTIM_COST_MS;
            plan.victims.push(task);
        }
        (!plan.victims.is_empty() && is_enough(&free, &freed)).then_some(plan)
    }

    /// The tasks on a machine that may be preempted in this search, those first that lose the least work.
    fn victims_on(&self, search: &Search<'_>, machine: &Machine) -> Vec<Victim> {
        let at_once = search.scope == PreemptionScope::All;
        let mut victims: Vec<Victim> = machine
            .tasks
            .iter()
            .filter_map(|task| {
                let victim = self.jobs.get(&task.job)?;
                let placement = victim.placed.get(&task.index)?;
                self.is_victim(search, victim, placement).then(|| Victim {
                    lost_work_ms: self.lost_work_ms(victim, placement, at_once, search.now),
                    task: *task,
                })
            })
            .collect();
        victims.sort_unstable();
        victims
    }

    /// Whether the team's limit is not in the way of the entry once `freed` is free.
    fn limit_allows(&self, search: &Search<'_>, freed: &Resources) -> bool {
        let spec = &search.job.spec;
        search.failure == PlacementFailure::NoFreeCapacity
            || self.teams.get(&spec.team).is_some_and(|team| {
                (team.used.saturating_sub(freed) + spec.needs).fits_quota(&team.limit)
            })
    }
}
