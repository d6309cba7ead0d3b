//! How long best-effort work waits for spare capacity before it may use any machine.
//!
//! Waiting times are counted per job on the logical clock that all controllers share, so that they continue
//! across failovers.

use crate::job::Job;
use crate::partition_state::PartitionState;
use model::{DurationExt, JobId, TeamName, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long a team may have fewer than [`MIN_TEAM_TASKS`] best-effort tasks placed before its first waiting job
/// may run that many on any machine.
const UNDERSERVED_TEAM_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a job waits for spare capacity before one of its tasks may run on any machine.
///
/// No job may wait for [`MAX_WAIT`] while there is free capacity for it. The part of that time that remains
/// after the wait for spare capacity is for the next check and scheduling cycle, and, if its partition has no
/// free capacity, for a machine from elsewhere.
const SPARE_CAPACITY_WAIT: Duration = Duration::from_secs(40);
/// How long a job waits before a machine is requested for its first task because its partition has no free
/// capacity. The rest of [`MAX_WAIT`] is for the transfer of the machine, which takes up to 40 s.
const MACHINE_REQUEST_WAIT: Duration = Duration::from_secs(50);
/// The longest time that a job may wait while there is free capacity for it.
const MAX_WAIT: Duration = Duration::from_secs(90);
/// How long a job that a leader has just loaded leaves capacity to the other work that returns to the leader,
/// however long the job has waited before.
const NEW_LEADER_WAIT: Duration = Duration::from_secs(10);
const _: () = assert!(SPARE_CAPACITY_WAIT.as_millis() < MACHINE_REQUEST_WAIT.as_millis());
const _: () = assert!(MACHINE_REQUEST_WAIT.as_millis() + 40_000 <= MAX_WAIT.as_millis());
/// Number of best-effort tasks that each team may run on any machine.
pub(crate) const MIN_TEAM_TASKS: usize = 8;

/// The best-effort work of a team.
#[derive(Debug, Default)]
pub(crate) struct TeamBestEffort {
    /// Number of its best-effort tasks that are placed.
    pub(crate) placed_tasks: usize,
    /// Its waiting job that was submitted first.
    first_waiting: Option<WaitingJob>,
    /// Its waiting job without placed tasks that was submitted first.
    first_unplaced: Option<WaitingJob>,
}

/// A waiting job. The derived order is that of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct WaitingJob {
    submitted_at_ms: u64,
    job: JobId,
}

impl PartitionState {
    /// The best-effort work of each team that has any.
    pub(crate) fn best_effort_by_team(&self) -> HashMap<TeamName, TeamBestEffort> {
        let mut teams: HashMap<TeamName, TeamBestEffort> = HashMap::new();
        for job in self.jobs.values() {
            if !job.spec.is_best_effort() {
                continue;
            }
            let team = teams.entry(job.spec.team.clone()).or_default();
            team.placed_tasks += job.placed.len();
            if !job.cancelled && job.waiting_count() > 0 {
                let waiting = WaitingJob {
                    submitted_at_ms: job.submitted_at_ms,
                    job: job.spec.id,
                };
                team.first_waiting = earliest(team.first_waiting, waiting);
                if job.placed.is_empty() {
                    team.first_unplaced = earliest(team.first_unplaced, waiting);
                }
            }
        }
        teams
    }

    /// Determines for each best-effort job how many of its tasks may run on any machine, and whether a machine
    /// is requested for it. If a job may use more machines than before, the queued entries are retried at once.
    pub(crate) fn update_best_effort_waits(
        &mut self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) {
        let underserved_jobs = self.first_jobs_of_underserved_teams(teams, now);
        let starved_jobs = self.first_starved_jobs(teams, now);
        let logical_time_ms = self.logical_time_ms(now);
        let mut any_gained = false;
        for (id, job) in &mut self.jobs {
            if !job.spec.is_best_effort() {
                continue;
            }
            let before = job.max_tasks_anywhere;
            job.max_tasks_anywhere = if underserved_jobs.contains(id) {
                MIN_TEAM_TASKS
            } else {
                usize::from(job.has_waited_unplaced(SPARE_CAPACITY_WAIT, logical_time_ms, now))
            };
            job.starved = underserved_jobs.contains(id) || starved_jobs.contains(id);
            any_gained |= job.max_tasks_anywhere > before;
        }
        if any_gained {
            self.queue.move_all(now);
        }
    }

    /// The first waiting job of each team that has had too few best-effort tasks placed for
    /// [`UNDERSERVED_TEAM_TIMEOUT`].
    fn first_jobs_of_underserved_teams(
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
                .filter(|_| best_effort.placed_tasks < MIN_TEAM_TASKS);
            let Some(first_waiting) = first_waiting else {
                team.underserved_since = None;
                continue;
            };
            let since = *team.underserved_since.get_or_insert(now);
            if now.duration_since(since) > UNDERSERVED_TEAM_TIMEOUT {
                jobs.insert(first_waiting.job);
            }
        }
        jobs
    }

    /// For each team, its first submitted job without placed tasks, if that job has waited for so long that a
    /// machine is requested for it. Tasks of the team's other jobs can run on that machine, too.
    fn first_starved_jobs(
        &self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> BTreeSet<JobId> {
        let logical_time_ms = self.logical_time_ms(now);
        let is_starved = |id: &JobId| {
            self.jobs.get(id).is_some_and(|job| {
                job.has_waited_unplaced(MACHINE_REQUEST_WAIT, logical_time_ms, now)
            })
        };
        teams
            .values()
            .filter_map(|team| team.first_unplaced)
            .map(|waiting| waiting.job)
            .filter(is_starved)
            .collect()
    }
}

impl Job {
    /// Whether one more of its tasks may be placed on any machine, since it has waited for long.
    pub(crate) fn may_be_placed_anywhere(&self) -> bool {
        self.placed.len() < self.max_tasks_anywhere
    }

    /// Whether none of its tasks has been placed for this long, counted across failovers. A job that the leader
    /// has just loaded counts as not having waited.
    fn has_waited_unplaced(
        &self,
        duration: Duration,
        logical_time_ms: u64,
        now: Timestamp,
    ) -> bool {
        let waited_ms = logical_time_ms.saturating_sub(self.unplaced_since_ms);
        self.placed.is_empty()
            && self.waiting_count() > 0
            && waited_ms >= duration.whole_millis()
            && now.duration_since(self.added_at) >= NEW_LEADER_WAIT
    }
}

/// The one of two jobs that was submitted first.
fn earliest(first: Option<WaitingJob>, other: WaitingJob) -> Option<WaitingJob> {
    Some(first.map_or(other, |first| first.min(other)))
}
