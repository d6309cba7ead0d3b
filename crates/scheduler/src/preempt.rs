//! Stopping tasks to make room.
//!
//! A job of higher priority may stop lower work. Work inside its team's guarantee may also
//! stop work of any priority that another team runs beyond its own guarantee.

use crate::colocation::beside;
use crate::cycle::{fetch_time, zone_allowed, PlacementFailure};
use crate::job::{Job, Placement};
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::quotas::TeamUsage;
use crate::reserved_capacity::Reservation;
use model::DurationExt;
use model::{JobKind, MachineName, Priority, Resources, TaskId, TeamName, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// How long freed room is kept for the entry that asked for it.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Entries for which room may be under way at a time before work that is not urgent has to wait.
const MAX_RESERVATIONS: usize = 24;

/// Tasks on one machine that could be stopped, and what that costs in milliseconds.
#[derive(Debug)]
pub(crate) struct PreemptionPlan {
    pub cost: u64,
    pub victims: Vec<TaskId>,
    pub machine: MachineName,
}

/// What a search for stops is for.
struct Search<'a> {
    entry: EntryKey,
    job: &'a Job,
    why: PlacementFailure,
    only_cheap: bool,
    zones: BTreeMap<ZoneName, u32>,
    now: Timestamp,
}

impl PartitionState {
    /// Whether `victim` may be stopped for the sake of `job`. No chain of such stops leads back to where
    /// it began: within a team they go down in priority, between teams down in `standing`. When
    /// guarantee and priority each let one stop the other, thousands of tasks were stopped in turn
    /// (`incidents/2026-12-01-stopped-in-turn.md`).
    pub(crate) fn may_stop(&self, job: &Job, victim: &Job, placement: &Placement) -> bool {
        if placement.stop.is_some() || victim.spec.kind == JobKind::Gang {
            return false;
        }
        let lower = victim.spec.priority < job.spec.priority;
        if victim.spec.team == job.spec.team {
            return lower;
        }
        let team = self.teams.get(&victim.spec.team);
        let beyond = || team.is_some_and(|t| !t.used.fits_quota(&t.guarantee));
        standing(victim) < standing(job) && (lower || beyond())
    }

    /// After a failed cycle: stops the cheapest set of tasks on one machine that lets the
    /// entry in, and keeps the room for it. False if that would not help entries like it.
    pub(crate) fn preempt_for(
        &mut self,
        entry: EntryKey,
        why: PlacementFailure,
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
        let stops = match why {
            PlacementFailure::Quota => self.cheapest_preemption_for_limit(entry, job, now),
            PlacementFailure::Room | PlacementFailure::Image => None,
        };
        let stops = stops.or_else(|| self.cheapest_preemption(entry, job, why, None, now));
        let Some(stops) = stops else { return false };
        self.execute_preemption(entry, stops, why, now);
        true
    }

    /// Whether anything that runs could be stopped for the sake of a job at all.
    fn may_stop_any(&self, job: &Job) -> bool {
        let over = |team: &TeamUsage| !team.used.fits_quota(&team.guarantee);
        self.preemption_candidates.any_below(job.spec.priority)
            || (job.guaranteed && self.teams.values().any(over))
    }

    /// The set of tasks on one machine that costs least to stop for the sake of an entry: the
    /// work that is lost, and the fetch of its image where that is missing. None if that costs
    /// `below` or more.
    pub(crate) fn cheapest_preemption(
        &self,
        entry: EntryKey,
        job: &Job,
        why: PlacementFailure,
        below: Option<u64>,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        let only_cheap = self.stops_for(job)?;
        if only_cheap && self.reservations.len() >= MAX_RESERVATIONS || !self.may_stop_any(job) {
            return None;
        }
        let search = Search {
            entry,
            job,
            why,
            only_cheap,
            zones: self.zones_of(job),
            now,
        };
        let mut best: Option<PreemptionPlan> = None;
        let mut seen: HashSet<&MachineName> = HashSet::new();
        let mut look = |task: TaskId, best: &mut Option<PreemptionPlan>| {
            let victim = self.jobs.get(&task.job)?;
            let placement = victim.placed.get(&task.index)?;
            if !self.may_go(&search, victim, placement) || !seen.insert(&placement.machine) {
                return None;
            }
            let stops = self.preemption_on(&search, self.machines.get(&placement.machine)?)?;
            let cheap = below.is_none_or(|below| stops.cost < below);
            let better = best
                .as_ref()
                .is_none_or(|least| (stops.cost, &stops.machine) < (least.cost, &least.machine));
            if cheap && better {
                *best = Some(stops);
            }
            Some(())
        };
        for (placed_at, task) in self.preemption_candidates.newest() {
            // A machine on which this is the newest costs more than this.
            let ran = now.duration_since(placed_at).whole_millis();
            let most = best
                .as_ref()
                .map(|least| least.cost)
                .into_iter()
                .chain(below)
                .min();
            if most.is_some_and(|most| ran >= most) {
                break;
            }
            look(task, &mut best);
        }
        for task in self.preemption_candidates.saving() {
            look(task, &mut best);
        }
        best
    }

    /// Where a machine has room and only the team's limit is in the way: the team's own tasks of lower
    /// priority that cost least to stop, wherever they run.
    fn cheapest_preemption_for_limit(
        &self,
        entry: EntryKey,
        job: &Job,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        if self.stops_for(job)? {
            return None;
        }
        let machine = self.place_for(entry, job, now)?.name.clone();
        let team = self.teams.get(&job.spec.team)?;
        let wanted = team.used + team.reserved + job.spec.needs;
        let mut stops = PreemptionPlan {
            cost: 0,
            victims: Vec::new(),
            machine,
        };
        // What is being stopped for others is counted with what is kept for them.
        let mut freed = self.being_stopped(&job.spec.team);
        let tasks = self
            .preemption_candidates
            .newest()
            .map(|(_, task)| task)
            .chain(self.preemption_candidates.saving());
        for task in tasks {
            let Some(victim) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(placement) = victim.placed.get(&task.index) else {
                continue;
            };
            if victim.spec.team != job.spec.team || !self.may_stop(job, victim, placement) {
                continue;
            }
            stops.cost += self.lost_work(victim, placement, true, now) + 1;
            stops.victims.push(task);
            freed += victim.spec.needs;
            if wanted.saturating_sub(&freed).fits_quota(&team.limit) {
                return Some(stops);
            }
        }
        None
    }

    /// What a team's tasks take that have been told to stop.
    fn being_stopped(&self, team: &TeamName) -> Resources {
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

    /// Whether a task may be stopped in this search.
    fn may_go(&self, search: &Search<'_>, victim: &Job, placement: &Placement) -> bool {
        // Against the team's own limit only the team's own tasks help.
        let helps =
            search.why == PlacementFailure::Room || victim.spec.team == search.job.spec.team;
        let cheap = || !search.only_cheap || self.stops_cheaply(victim, placement, search.now);
        helps && self.may_stop(search.job, victim, placement) && cheap()
    }

    /// The cheapest stops on a machine that let the entry in, if there are any.
    fn preemption_on(&self, search: &Search<'_>, machine: &Machine) -> Option<PreemptionPlan> {
        let Search {
            entry,
            job,
            why,
            now,
            ..
        } = *search;
        if !self.admits(job, machine, now)
            || !zone_allowed(job, &machine.zone, &search.zones)
            || self.is_reserved_from(job, machine, now)
            || beside(machine, job)
        {
            return None;
        }
        let mut victims: Vec<(u64, TaskId, Resources)> = machine
            .tasks
            .iter()
            .filter_map(|id| {
                let victim = self.jobs.get(&id.job)?;
                let placement = victim.placed.get(&id.index)?;
                let may = self.may_go(search, victim, placement);
                let lost = self.lost_work(victim, placement, !search.only_cheap, now);
                may.then_some((lost, *id, victim.spec.needs))
            })
            .collect();
        // The work that is lost is what they have run so far.
        victims.sort_unstable_by_key(|(lost, id, _)| (*lost, *id));
        let mut room = self.free_capacity_for(entry, machine);
        let mut freed = Resources::default();
        let mut cost = fetch_time(job, machine).whole_millis();
        let mut chosen = Vec::new();
        let quota = |freed: &Resources| {
            why == PlacementFailure::Room
                || self.teams.get(&job.spec.team).is_some_and(|team| {
                    (team.used.saturating_sub(freed) + job.spec.needs).fits_quota(&team.limit)
                })
        };
        for (lost, id, needs) in victims {
            if job.spec.needs.fits(&room) && quota(&freed) {
                break;
            }
            room += needs;
            freed += needs;
            cost += lost + 1;
            chosen.push(id);
        }
        let enough = !chosen.is_empty() && job.spec.needs.fits(&room) && quota(&freed);
        enough.then(|| PreemptionPlan {
            cost,
            victims: chosen,
            machine: machine.name.clone(),
        })
    }

    /// Stops the tasks and keeps their room for the entry.
    pub(crate) fn execute_preemption(
        &mut self,
        entry: EntryKey,
        stops: PreemptionPlan,
        why: PlacementFailure,
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get(&entry.job()) else {
            return;
        };
        let needs = job.spec.needs;
        let urgent_machines = self.stops_for(job) == Some(false);
        let limit_of = (why == PlacementFailure::Quota).then(|| job.spec.team.clone());
        let reservation = Reservation {
            machine: stops.machine,
            needs,
            until: now + RESERVATION_TIMEOUT,
            limit_of,
        };
        self.reserve(entry, reservation);
        for victim in stops.victims {
            tracing::debug!(job = %entry.job(), %victim, "stopping a task to make room");
            // Replicas and guaranteed work do not wait for best-effort work to save.
            let best_effort = self
                .jobs
                .get(&victim.job)
                .is_some_and(|j| j.spec.is_best_effort());
            let grace = if urgent_machines && best_effort {
                0
            } else {
                self.grace_period(victim)
            };
            self.stop_task(victim, grace, now);
        }
    }

    /// Grace that lets a task save, 0 if it never does.
    pub(crate) fn grace_period(&self, task: TaskId) -> u64 {
        self.jobs.get(&task.job).map_or(0, |job| {
            if job.spec.checkpoint > Duration::ZERO {
                job.spec.save.whole_millis() + 1_000
            } else {
                0
            }
        })
    }
}

/// What of two teams' work goes before the other's.
fn standing(job: &Job) -> (bool, Priority, bool) {
    (job.strictly_guaranteed, job.spec.priority, job.guaranteed)
}
