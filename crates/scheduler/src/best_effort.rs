//! Best-effort work: arrays of low priority that run on spare capacity.
//!
//! It fills spot machines and the gaps beside other work, is preempted by everything else, and does not
//! keep an expensive machine from becoming idle. So that nothing starves, a job that finds no such place for
//! long may run one task on any machine, and a team with hardly any such place a few.

use crate::job::{Job, Placement};
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::preempt::SAVE_ALLOWANCE_MS;
use crate::queue_entry::EntryKey;
use crate::suitability::MachineSearch;
use model::DurationExt;
use model::{JobId, Resources, TaskId, TeamName, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Tasks that end within this time are not preempted: waiting costs less.
const NEAR_END: Duration = Duration::from_secs(8);
/// How long best-effort tasks may stay on a machine on which nothing else is left.
const EVICTION_DELAY: Duration = Duration::from_secs(10);
/// How long a team's best-effort work may have hardly any place before a few of its tasks may run on any
/// machine.
const THIN_TEAM_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a job waits for spare capacity before one of its tasks may run on any machine.
///
/// No job may wait for [`MAX_WAIT`] beside free capacity. It waits for spare capacity first; what is left is for
/// the next check and cycle, and, where its partition has no free capacity, for a machine from elsewhere.
const SPARE_CAPACITY_WAIT: Duration = Duration::from_secs(40);
/// How long a job waits before a machine is requested for its first task, for want of free capacity in its
/// partition. The rest of [`MAX_WAIT`] is for the machine: transfers take up to 40 s.
const MACHINE_REQUEST_WAIT: Duration = Duration::from_secs(50);
/// The longest that a job may wait beside free capacity.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// How long a new leader leaves capacity to the work that comes back to it, whatever its jobs have waited.
const NEW_LEADER_WAIT: Duration = Duration::from_secs(10);
const _: () = assert!(SPARE_CAPACITY_WAIT.as_millis() < MACHINE_REQUEST_WAIT.as_millis());
const _: () = assert!(MACHINE_REQUEST_WAIT.as_millis() + 40_000 <= MAX_WAIT.as_millis());
/// Number of best-effort tasks that each team may run on any machine.
const MIN_TEAM_PLACES: usize = 8;
/// A task without checkpoints is cheap to preempt while it has run for less than its estimate divided by this.
const CHEAP_PROGRESS_DIVISOR: u64 = 4;

/// The best-effort work of a team.
#[derive(Debug, Default)]
struct TeamBestEffort {
    placed: usize,
    /// Its waiting job that was submitted first.
    first_waiting: Option<WaitingJob>,
    /// Of its waiting jobs without any task placed the one that was submitted first.
    first_unplaced: Option<WaitingJob>,
}

/// A waiting job, in the order of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingJob {
    submission_order: u64,
    job: JobId,
}

impl PartitionState {
    /// Whether a machine may run a job as far as best-effort work is concerned: such work does not keep
    /// on-demand machines in use that it could do without.
    pub(crate) fn admits_best_effort(&self, job: &Job, machine: &Machine) -> bool {
        !job.is_best_effort()
            || !job.spec.spot
            || machine.spot
            || machine.pinned > 0
            || (machine.regular() > 0 && is_soon_gone(job))
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
            ran.min(victim.spec.save.whole_millis() + SAVE_ALLOWANCE_MS)
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
        if machine.best_effort == 0 {
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

    /// Stops those of the tasks that are best-effort and save checkpoints; the others run to their end.
    pub(crate) fn stop_best_effort_tasks(&mut self, tasks: Vec<TaskId>, now: Timestamp) {
        for task in tasks {
            let saves = self.jobs.get(&task.job).is_some_and(|job| {
                job.spec.is_best_effort()
                    && job.spec.checkpoint > Duration::ZERO
                    && job
                        .placed
                        .get(&task.index)
                        .is_some_and(|placement| placement.stop.is_none())
            });
            if saves {
                let grace = self.grace_period(task);
                self.stop_task(task, grace, now);
            }
        }
    }

    /// Stops best-effort work on on-demand machines on which nothing else is left, and determines which jobs
    /// have found no place for long.
    pub fn evict_best_effort(&mut self, now: Timestamp) {
        let teams = self.best_effort_by_team();
        self.update_waiting_jobs(&teams, now);
        let tasks = self.tasks_to_evict(&teams, now);
        self.stop_best_effort_tasks(tasks, now);
    }

    /// Best-effort tasks that keep an on-demand machine in use on their own. Of each job one task is left where it
    /// is, unless there is spare capacity for it: it would wait for long and come back. One such task at a
    /// time is moved, as others may find the same capacity.
    fn tasks_to_evict(
        &self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> Vec<TaskId> {
        let mut evicted = Vec::new();
        let mut left: HashMap<JobId, usize> = HashMap::new();
        let mut moves_only_task = false;
        let machines = self
            .machines
            .values()
            .filter(|machine| !machine.spot && machine.best_effort > 0 && machine.regular() == 0)
            .filter(|machine| now.duration_since(machine.regular_left_at) > EVICTION_DELAY);
        for task in machines.flat_map(|machine| &machine.tasks) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let team_places = teams.get(&job.spec.team).map_or(0, |team| team.placed);
            if !job.spec.spot || job.guaranteed || team_places <= MIN_TEAM_PLACES {
                continue;
            }
            let left = left.entry(task.job).or_insert(job.active_placements());
            if *left > 1 {
                *left -= 1;
                evicted.push(*task);
            } else if !moves_only_task && self.has_spare_capacity_for(*task, job, now) {
                moves_only_task = true;
                evicted.push(*task);
            }
        }
        evicted
    }

    /// Whether a spot machine has free capacity for a task.
    fn has_spare_capacity_for(&self, task: TaskId, job: &Job, now: Timestamp) -> bool {
        let search = MachineSearch::new(self, EntryKey::Task(task), job, now);
        self.capacity_index
            .with_capacity(&job.spec)
            .filter_map(|name| self.machines.get(name))
            .any(|machine| machine.spot && search.is_suitable(machine))
    }

    fn best_effort_by_team(&self) -> HashMap<TeamName, TeamBestEffort> {
        let mut teams: HashMap<TeamName, TeamBestEffort> = HashMap::new();
        for job in self.jobs.values() {
            if !job.spec.is_best_effort() {
                continue;
            }
            let team = teams.entry(job.spec.team.clone()).or_default();
            team.placed += job.placed.len();
            if !job.cancelled && job.waiting() > 0 {
                let waiting = WaitingJob {
                    submission_order: job.order,
                    job: job.spec.id,
                };
                team.first_waiting = earlier(team.first_waiting, waiting);
                if job.placed.is_empty() {
                    team.first_unplaced = earlier(team.first_unplaced, waiting);
                }
            }
        }
        teams
    }

    /// Determines for each best-effort job how many of its tasks may run on any machine. Entries of jobs that
    /// may use more machines than before are tried again at once.
    fn update_waiting_jobs(&mut self, teams: &HashMap<TeamName, TeamBestEffort>, now: Timestamp) {
        let thin_teams_jobs = self.first_jobs_of_thin_teams(teams, now);
        let starved_jobs = self.first_starved_jobs(teams, now);
        let logical_time_ms = self.logical_time_ms(now);
        let mut any_admitted = false;
        for (id, job) in &mut self.jobs {
            if !job.spec.is_best_effort() {
                continue;
            }
            let before = job.places_anywhere;
            job.places_anywhere = if thin_teams_jobs.contains(id) {
                MIN_TEAM_PLACES
            } else {
                usize::from(job.has_waited(SPARE_CAPACITY_WAIT, logical_time_ms, now))
            };
            job.starved = thin_teams_jobs.contains(id) || starved_jobs.contains(id);
            any_admitted |= job.places_anywhere > before;
        }
        if any_admitted {
            self.queue.move_all(now);
        }
    }

    /// Of each team whose best-effort work has had hardly any place for long, the first waiting job.
    fn first_jobs_of_thin_teams(
        &mut self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> BTreeSet<JobId> {
        let mut jobs = BTreeSet::new();
        for (name, best_effort) in teams {
            let Some(team) = self.teams.get_mut(name) else {
                continue;
            };
            let first_waiting = best_effort
                .first_waiting
                .filter(|_| best_effort.placed < MIN_TEAM_PLACES);
            let Some(first_waiting) = first_waiting else {
                team.thin_since = None;
                continue;
            };
            let since = *team.thin_since.get_or_insert(now);
            if now.duration_since(since) > THIN_TEAM_TIMEOUT {
                jobs.insert(first_waiting.job);
            }
        }
        jobs
    }

    /// Of each team the first job without any task placed, if it has waited for so long that a machine is
    /// requested for it. One machine takes tasks of the others, too.
    fn first_starved_jobs(
        &self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> BTreeSet<JobId> {
        let logical_time_ms = self.logical_time_ms(now);
        let has_starved = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.has_waited(MACHINE_REQUEST_WAIT, logical_time_ms, now))
        };
        teams
            .values()
            .filter_map(|team| team.first_unplaced)
            .map(|waiting| waiting.job)
            .filter(has_starved)
            .collect()
    }
}

impl Job {
    /// Whether it may place one more task on any machine, as it has waited for long.
    fn may_be_placed_anywhere(&self) -> bool {
        self.placed.len() < self.places_anywhere
    }

    /// Number of tasks that are placed and not being stopped.
    fn active_placements(&self) -> usize {
        self.placed
            .values()
            .filter(|placement| placement.stop.is_none())
            .count()
    }

    /// Whether none of its tasks has been placed for this long, across failovers.
    fn has_waited(&self, duration: Duration, logical_time_ms: u64, now: Timestamp) -> bool {
        let waited_ms = logical_time_ms.saturating_sub(self.unplaced_since_ms);
        self.placed.is_empty()
            && self.waiting() > 0
            && waited_ms >= duration.whole_millis()
            && now.duration_since(self.seen_at) >= NEW_LEADER_WAIT
    }
}

/// The job that was submitted first.
fn earlier(first: Option<WaitingJob>, other: WaitingJob) -> Option<WaitingJob> {
    Some(first.map_or(other, |first| first.min(other)))
}

/// Whether tasks of the job are gone within seconds when a machine is to become idle. Others would remain
/// there alone after the array tasks beside them have ended.
fn is_soon_gone(job: &Job) -> bool {
    job.spec.checkpoint > Duration::ZERO || job.spec.estimate < NEAR_END
}
