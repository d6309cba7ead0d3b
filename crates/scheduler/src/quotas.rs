//! The teams of a partition, with their quotas and what they use of them.

use crate::job::Job;
use model::{JobId, JobSpec, Resources, TeamName, Timestamp};
use std::collections::hash_map::{Values, ValuesMut};
use std::collections::{BTreeSet, HashMap};

/// A limit that allows this many concurrent tasks or more counts as no limit.
const UNLIMITED_TASKS: u64 = u64::MAX / 1_000_000;

/// The teams of a partition. The set of teams is fixed when the partition is loaded.
#[derive(Debug)]
pub struct TeamQuotas {
    teams: HashMap<TeamName, TeamUsage>,
}

impl TeamQuotas {
    /// The quotas of teams that use nothing yet. Each team comes with its guarantee and its limit.
    pub(crate) fn new(teams: impl IntoIterator<Item = (TeamName, Resources, Resources)>) -> Self {
        let unused = |(name, guarantee, limit)| {
            let usage = TeamUsage {
                guarantee,
                limit,
                ..TeamUsage::default()
            };
            (name, usage)
        };
        TeamQuotas {
            teams: teams.into_iter().map(unused).collect(),
        }
    }

    /// Whether the partition serves the team.
    pub fn contains(&self, team: &TeamName) -> bool {
        self.teams.contains_key(team)
    }

    /// A team's quota and usage.
    pub fn get(&self, team: &TeamName) -> Option<&TeamUsage> {
        self.teams.get(team)
    }

    /// A team's quota and usage, to be changed.
    pub fn get_mut(&mut self, team: &TeamName) -> Option<&mut TeamUsage> {
        self.teams.get_mut(team)
    }

    /// All teams in no particular order.
    pub fn values(&self) -> Values<'_, TeamName, TeamUsage> {
        self.teams.values()
    }

    /// All teams in no particular order, to be changed.
    pub fn values_mut(&mut self) -> ValuesMut<'_, TeamName, TeamUsage> {
        self.teams.values_mut()
    }

    /// Adds the needs of one task of the job to its team's usage.
    pub(crate) fn charge(&mut self, spec: &JobSpec) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used += spec.task_resources;
        }
    }

    /// Subtracts the needs of one task of the job from its team's usage.
    pub(crate) fn release(&mut self, spec: &JobSpec) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used -= spec.task_resources;
        }
    }

    /// Makes the job count towards its team's guarantee.
    pub(crate) fn open_job(&mut self, job: &Job) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.open_jobs.insert((job.submitted_at_ms, job.spec.id));
            team.guaranteed_jobs_stale = true;
        }
    }

    /// Makes the job no longer count towards its team's guarantee.
    pub(crate) fn close_job(&mut self, job: &Job) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.guaranteed_jobs_stale |=
                team.open_jobs.remove(&(job.submitted_at_ms, job.spec.id));
        }
    }

    /// How many tasks with the needs of this job its team may run at once by its limit on CPUs and GPUs; at
    /// least 1. A team without a limit is treated as if it had the largest limit of the other teams.
    pub(crate) fn max_concurrent_tasks(&self, spec: &JobSpec) -> u64 {
        let needs = Resources {
            memory_mb: 0,
            ..spec.task_resources
        };
        let within_limit = |team: &TeamUsage| team.limit.how_many_fit(&needs);
        let is_limited = |count: &u64| *count < UNLIMITED_TASKS;
        let own = self
            .teams
            .get(&spec.team)
            .map(within_limit)
            .filter(is_limited);
        let largest = || {
            self.teams
                .values()
                .map(within_limit)
                .filter(is_limited)
                .max()
        };
        own.or_else(largest).unwrap_or(1).max(1)
    }
}

/// A team's quota and what it uses of it.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    pub guarantee: Resources,
    pub limit: Resources,
    /// Needs of all placed tasks of the team.
    pub used: Resources,
    /// Part of the limit that is reserved for entries for which tasks of the same team are being
    /// preempted.
    pub(crate) reserved: Resources,
    /// Part of the limit that gangs need on machines reserved for them, beyond what is used there now.
    pub(crate) reserved_for_gangs: Resources,
    /// Since when too few of its best-effort tasks have been placed while others wait.
    pub underserved_since: Option<Timestamp>,
    /// Its jobs that are neither finishing nor cancelled, ordered by their submission time in ms.
    pub(crate) open_jobs: BTreeSet<(u64, JobId)>,
    /// The open jobs that lay within the guarantee when this was last computed.
    pub(crate) guaranteed_jobs: BTreeSet<JobId>,
    /// The open jobs or their order have changed since `guaranteed_jobs` was computed.
    pub(crate) guaranteed_jobs_stale: bool,
}
