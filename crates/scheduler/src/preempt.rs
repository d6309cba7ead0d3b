//! Stopping tasks to make room.
//!
//! A job of higher priority may stop lower work. Work inside its team's guarantee may also
//! stop work of any priority that another team runs beyond its own guarantee.

use crate::cycle::{fetch_time, zone_allowed, Unplaced};
use crate::job::{Job, Placement};
use crate::machine::Machine;
use crate::share::{EntryKey, Promise, Share, TeamUse};
use model::{JobKind, MachineName, Moment, Resources, Span, TaskId, ZoneName};
use std::collections::{BTreeMap, HashSet};

/// How long freed room is kept for the entry that asked for it.
const NOMINATION: Span = Span(15_000);
/// Entries for which room may be under way at a time before work that is not urgent has to wait.
const MOST_NOMINATED: usize = 24;

/// Tasks on one machine that could be stopped, and what that costs in milliseconds.
#[derive(Debug)]
pub(crate) struct Stops {
    pub cost: u64,
    pub victims: Vec<TaskId>,
    pub machine: MachineName,
}

/// What a search for stops is for.
struct Search<'a> {
    entry: EntryKey,
    job: &'a Job,
    why: Unplaced,
    only_cheap: bool,
    zones: BTreeMap<ZoneName, u32>,
    now: Moment,
}

impl Share {
    /// Whether `victim` may be stopped for the sake of `job`.
    fn may_stop(&self, job: &Job, victim: &Job, placement: &Placement) -> bool {
        if placement.stop.is_some() || victim.spec.kind == JobKind::Gang {
            return false;
        }
        if victim.spec.priority < job.spec.priority {
            return true;
        }
        job.guaranteed
            && victim.spec.team != job.spec.team
            && !victim.guaranteed
            && self.teams.get(&victim.spec.team).is_some_and(|t| !t.used.fits_quota(&t.guarantee))
    }

    /// After a failed cycle: stops the cheapest set of tasks on one machine that lets the
    /// entry in, and keeps the room for it. False if that would not help entries like it.
    pub(crate) fn make_room(&mut self, entry: EntryKey, why: Unplaced, now: Moment) -> bool {
        let EntryKey::Task(task) = entry else { return false };
        let Some(job) = self.jobs.get(&task.job) else { return false };
        if self.promises.contains_key(&entry) {
            return true;
        }
        let Some(stops) = self.cheapest_stops(entry, job, why, None, now) else { return false };
        self.carry_out(entry, stops, now);
        true
    }

    /// Whether anything that runs could be stopped for the sake of a job at all.
    fn may_stop_any(&self, job: &Job) -> bool {
        let over = |team: &TeamUse| !team.used.fits_quota(&team.guarantee);
        self.victims.any_below(job.spec.priority)
            || (job.guaranteed && self.teams.values().any(over))
    }

    /// The set of tasks on one machine that costs least to stop for the sake of an entry: the
    /// work that is lost, and the fetch of its image where that is missing. None if that costs
    /// `below` or more.
    pub(crate) fn cheapest_stops(
        &self,
        entry: EntryKey,
        job: &Job,
        why: Unplaced,
        below: Option<u64>,
        now: Moment,
    ) -> Option<Stops> {
        let only_cheap = self.stops_for(job)?;
        if only_cheap && self.promises.len() >= MOST_NOMINATED || !self.may_stop_any(job) {
            return None;
        }
        let search = Search { entry, job, why, only_cheap, zones: self.zones_of(job), now };
        let mut best: Option<Stops> = None;
        let mut seen: HashSet<&MachineName> = HashSet::new();
        let mut look = |task: TaskId, best: &mut Option<Stops>| {
            let victim = self.jobs.get(&task.job)?;
            let placement = victim.placed.get(&task.index)?;
            if !self.may_go(&search, victim, placement) || !seen.insert(&placement.machine) {
                return None;
            }
            let stops = self.stops_on(&search, self.machines.get(&placement.machine)?)?;
            let cheap = below.is_none_or(|below| stops.cost < below);
            let better = best
                .as_ref()
                .is_none_or(|least| (stops.cost, &stops.machine) < (least.cost, &least.machine));
            if cheap && better {
                *best = Some(stops);
            }
            Some(())
        };
        for (placed_at, task) in self.victims.newest() {
            // A machine on which this is the newest costs more than this.
            let ran = now.since(placed_at).0;
            let most = best.as_ref().map(|least| least.cost).into_iter().chain(below).min();
            if most.is_some_and(|most| ran >= most) {
                break;
            }
            look(task, &mut best);
        }
        for task in self.victims.saving() {
            look(task, &mut best);
        }
        best
    }

    /// Whether a task may be stopped in this search.
    fn may_go(&self, search: &Search<'_>, victim: &Job, placement: &Placement) -> bool {
        // Against the team's own limit only the team's own tasks help.
        let helps = search.why == Unplaced::Room || victim.spec.team == search.job.spec.team;
        let cheap = || !search.only_cheap || self.stops_cheaply(victim, placement, search.now);
        helps && self.may_stop(search.job, victim, placement) && cheap()
    }

    /// The cheapest stops on a machine that let the entry in, if there are any.
    fn stops_on(&self, search: &Search<'_>, machine: &Machine) -> Option<Stops> {
        let Search { entry, job, why, now, .. } = *search;
        if !self.admits(job, machine, now) || !zone_allowed(job, &machine.zone, &search.zones) {
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
        let mut room = self.room_for(entry, machine);
        let mut freed = Resources::default();
        let mut cost = fetch_time(job, machine).0;
        let mut chosen = Vec::new();
        let quota = |freed: &Resources| {
            why == Unplaced::Room
                || self.teams.get(&job.spec.team).is_some_and(|team| {
                    (team.used.less(freed) + job.spec.needs).fits_quota(&team.limit)
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
        enough.then(|| Stops { cost, victims: chosen, machine: machine.name.clone() })
    }

    /// Stops the tasks and keeps their room for the entry.
    pub(crate) fn carry_out(&mut self, entry: EntryKey, stops: Stops, now: Moment) {
        let Some(job) = self.jobs.get(&entry.job()) else { return };
        let needs = job.spec.needs;
        let urgent = self.stops_for(job) == Some(false);
        let promise = Promise { machine: stops.machine, needs, until: now + NOMINATION };
        self.promise(entry, promise);
        for victim in stops.victims {
            tracing::debug!(job = %entry.job(), %victim, "stopping a task to make room");
            // Replicas and guaranteed work do not wait for best-effort work to save.
            let best_effort = self.jobs.get(&victim.job).is_some_and(|j| j.spec.best_effort());
            let grace = if urgent && best_effort { 0 } else { self.grace_of(victim) };
            self.stop_task(victim, grace, now);
        }
    }

    /// Grace that lets a task save, 0 if it never does.
    pub(crate) fn grace_of(&self, task: TaskId) -> u64 {
        self.jobs.get(&task.job).map_or(0, |job| {
            if job.spec.checkpoint > Span::ZERO {
                job.spec.save.0 + 1_000
            } else {
                0
            }
        })
    }
}
