//! Best-effort work: arrays of low priority, done with what others leave.
//!
//! It fills cheap machines and the gaps beside other work, gives way to everything else, and
//! does not keep an expensive machine from falling idle. A team whose work finds no such place
//! for long may take a few anywhere, so that none waits for ever.

use crate::job::{Job, Placement};
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobId, Resources, TaskId, TeamName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Tasks that end within this time are not stopped to make room: waiting costs less.
const NEAR_END: Duration = Duration::from_secs(8);
/// How long a machine is left to the best-effort tasks that remain on it.
const EVICTION_DELAY: Duration = Duration::from_secs(10);
/// How long a team's best-effort work may have hardly any place before it may take a few anywhere.
const STARVATION_TIMEOUT: Duration = Duration::from_secs(120);
/// So many.
const MIN_TEAM_PLACES: usize = 8;

impl PartitionState {
    /// Whether a machine is a place for the job as far as this goes: best-effort work does not
    /// keep ordinary machines alive that it could do without.
    pub(crate) fn admits_best_effort(&self, job: &Job, machine: &Machine) -> bool {
        !job.is_best_effort()
            || !job.spec.spot
            || machine.spot
            || machine.pinned > 0
            || (machine.regular() > 0 && is_soon_gone(job))
            || job.stranded && job.placed.len() < MIN_TEAM_PLACES
    }

    /// A job found no room just now.
    pub(crate) fn record_unplaced(&mut self, id: JobId, now: Timestamp) {
        if self.jobs.get(&id).is_some_and(|job| !job.is_best_effort()) {
            self.unplaced_since.insert(id, now);
        }
    }

    /// Whether a machine's room is left to other jobs, which found none lately and back off: if
    /// best-effort tasks took it meanwhile they would only be stopped again.
    pub(crate) fn is_left_to_unplaced_jobs(
        &self,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> bool {
        if !job.is_best_effort() {
            return false;
        }
        let free = machine.free();
        self.unplaced_since
            .keys()
            .filter_map(|id| self.jobs.get(id))
            .any(|other| other.spec.needs.fits(&free) && self.admits(other, machine, now))
    }

    /// Whether stopping a best-effort task for other work costs little.
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
                || ran.whole_millis() * 4 < victim.spec.estimate.whole_millis())
    }

    /// Work that is lost when a task is stopped, in ms: what it has done, the time to save it, or,
    /// where there is no time to, what it has done since it last saved by itself.
    pub(crate) fn lost_work(
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
            ran.min(victim.spec.save.whole_millis() + 1_000)
        }
    }

    /// Whether a best-effort task is gone within seconds when its place is wanted.
    fn is_soon_reclaimable(&self, job: &Job, placement: &Placement, now: Timestamp) -> bool {
        let ran = now.duration_since(placement.placed_at);
        !job.guaranteed
            && (job.spec.checkpoint > Duration::ZERO
                || job.spec.estimate.whole_millis() < ran.whole_millis() + NEAR_END.whole_millis())
    }

    /// What best-effort tasks would leave to other work within seconds.
    pub(crate) fn reclaimable_resources(&self, machine: &Machine, now: Timestamp) -> Resources {
        let mut sum = Resources::default();
        if machine.best_effort == 0 {
            return sum;
        }
        for task in &machine.tasks {
            let Some(job) = self.jobs.get(&task.job).filter(|j| j.spec.is_best_effort()) else {
                continue;
            };
            if job
                .placed
                .get(&task.index)
                .is_some_and(|p| self.is_soon_reclaimable(job, p, now))
            {
                sum += job.spec.needs;
            }
        }
        sum
    }

    /// Whether all that runs on a machine is best-effort work that is soon gone when asked.
    pub(crate) fn runs_only_best_effort(&self, machine: &Machine, now: Timestamp) -> bool {
        !machine.tasks.is_empty()
            && machine.regular() == 0
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

    /// Stops the best-effort tasks of a machine that save; the others run out.
    pub(crate) fn stop_best_effort_tasks(&mut self, tasks: Vec<TaskId>, now: Timestamp) {
        for task in tasks {
            let saves = self.jobs.get(&task.job).is_some_and(|job| {
                job.spec.is_best_effort()
                    && job.spec.checkpoint > Duration::ZERO
                    && job
                        .placed
                        .get(&task.index)
                        .is_some_and(|p| p.stop.is_none())
            });
            if saves {
                let grace = self.grace_period(task);
                self.stop_task(task, grace, now);
            }
        }
    }

    /// Sends best-effort work away from ordinary machines on which nothing else is left, and
    /// notes which jobs have found no place for long.
    pub fn evict_best_effort(&mut self, now: Timestamp) {
        // By team: places taken, and the job that waits longest.
        let mut teams: HashMap<TeamName, (usize, Option<(u64, JobId)>)> = HashMap::new();
        for job in self
            .jobs
            .values_mut()
            .filter(|job| job.spec.is_best_effort())
        {
            job.stranded = false;
            let (placed, first) = teams.entry(job.spec.team.clone()).or_default();
            *placed += job.placed.len();
            if !job.cancelled && job.waiting() > 0 {
                let this = (job.order, job.spec.id);
                *first = Some(first.map_or(this, |other| other.min(this)));
            }
        }
        for (name, (placed, first)) in &teams {
            let Some(team) = self.teams.get_mut(name) else {
                continue;
            };
            let (false, Some((_, id))) = (*placed >= MIN_TEAM_PLACES, first) else {
                team.thin_since = None;
                continue;
            };
            let since = *team.thin_since.get_or_insert(now);
            if let Some(job) = self.jobs.get_mut(id) {
                job.stranded = now.duration_since(since) > STARVATION_TIMEOUT;
            }
        }
        let leaves = |task: &&TaskId| {
            self.jobs.get(&task.job).is_some_and(|job| {
                let placed = teams.get(&job.spec.team).map_or(0, |(placed, _)| *placed);
                job.spec.spot && !job.guaranteed && placed > MIN_TEAM_PLACES
            })
        };
        let tasks: Vec<TaskId> = self
            .machines
            .values()
            .filter(|m| !m.spot && m.best_effort > 0 && m.regular() == 0)
            .filter(|m| now.duration_since(m.regular_left_at) > EVICTION_DELAY)
            .flat_map(|m| m.tasks.iter().filter(leaves).copied())
            .collect();
        self.stop_best_effort_tasks(tasks, now);
    }
}

/// Whether tasks of the job are gone within seconds when a machine is wanted: beside arrays, which
/// end sooner than they do, others would remain alone.
fn is_soon_gone(job: &Job) -> bool {
    job.spec.checkpoint > Duration::ZERO || job.spec.estimate < NEAR_END
}
