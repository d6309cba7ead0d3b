//! How long best-effort work waits for spare capacity before it may use any machine.
//!
//! The times are counted per job on the clock of submissions, which all controllers share, so that they go on
//! across failovers.

use crate::job::Job;
use crate::partition_state::PartitionState;
use model::{DurationExt, JobId, TeamName, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

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
pub(crate) const MIN_TEAM_TASKS: usize = 8;

/// The best-effort work of a team.
#[derive(Debug, Default)]
pub(crate) struct TeamBestEffort {
    /// Number of its best-effort tasks that are placed.
    pub(crate) placed: usize,
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
    /// The best-effort work of each team that has any.
    pub(crate) fn best_effort_by_team(&self) -> HashMap<TeamName, TeamBestEffort> {
        let mut teams: HashMap<TeamName, TeamBestEffort> = HashMap::new();
        for job in self.jobs.values() {
            if !job.spec.is_best_effort() {
                continue;
            }
            let team = teams.entry(job.spec.team.clone()).or_default();
            team.placed += job.placed.len();
            if !job.cancelled && job.waiting_count() > 0 {
                let waiting = WaitingJob {
                    submission_order: job.submitted_at_ms,
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
    pub(crate) fn update_best_effort_waits(
        &mut self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) {
        let thin_teams_jobs = self.first_jobs_of_thin_teams(teams, now);
        let starved_jobs = self.first_starved_jobs(teams, now);
        let logical_time_ms = self.logical_time_ms(now);
        let mut any_admitted = false;
        for (id, job) in &mut self.jobs {
            if !job.spec.is_best_effort() {
                continue;
            }
            let before = job.max_tasks_anywhere;
            job.max_tasks_anywhere = if thin_teams_jobs.contains(id) {
                MIN_TEAM_TASKS
            } else {
                usize::from(job.has_waited(SPARE_CAPACITY_WAIT, logical_time_ms, now))
            };
            job.starved = thin_teams_jobs.contains(id) || starved_jobs.contains(id);
            any_admitted |= job.max_tasks_anywhere > before;
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
                .filter(|_| best_effort.placed < MIN_TEAM_TASKS);
            let Some(first_waiting) = first_waiting else {
                team.underserved_since = None;
                continue;
            };
            let since = *team.underserved_since.get_or_insert(now);
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
    pub(crate) fn may_be_placed_anywhere(&self) -> bool {
        self.placed.len() < self.max_tasks_anywhere
    }

    /// Whether none of its tasks has been placed for this long, across failovers.
    fn has_waited(&self, duration: Duration, logical_time_ms: u64, now: Timestamp) -> bool {
        let waited_ms = logical_time_ms.saturating_sub(self.unplaced_since_ms);
        self.placed.is_empty()
            && self.waiting_count() > 0
            && waited_ms >= duration.whole_millis()
            && now.duration_since(self.added_at) >= NEW_LEADER_WAIT
    }
}

/// The job that was submitted first.
fn earlier(first: Option<WaitingJob>, other: WaitingJob) -> Option<WaitingJob> {
    Some(first.map_or(other, |first| first.min(other)))
}
