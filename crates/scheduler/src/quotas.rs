//! Teams, their quotas and what they use of them.

use crate::job::Job;
use model::{JobId, JobSpec, Resources, TeamName, Timestamp};
use std::collections::hash_map::{Values, ValuesMut};
use std::collections::{BTreeSet, HashMap};

/// Concurrent tasks from which a limit counts as no limit.
const UNLIMITED_TASKS: u64 = u64::MAX / 1_000_000;

/// The teams of a partition. The set of teams is fixed when the partition is loaded.
#[derive(Debug)]
pub struct TeamQuotas {
    teams: HashMap<TeamName, TeamUsage>,
}

impl TeamQuotas {
    /// Teams with their guarantees and limits, of which nothing is used.
    pub(crate) fn new(teams: impl IntoIterator<Item = (TeamName, Resources, Resources)>) -> Self {
        let usage = |(name, guarantee, limit)| {
            let usage = TeamUsage {
                guarantee,
                limit,
                ..TeamUsage::default()
            };
            (name, usage)
        };
        TeamQuotas {
            teams: teams.into_iter().map(usage).collect(),
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

    /// One more task of the job takes its team's quota.
    pub(crate) fn charge(&mut self, spec: &JobSpec) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used += spec.needs;
        }
    }

    /// One task less of the job takes its team's quota.
    pub(crate) fn release(&mut self, spec: &JobSpec) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used -= spec.needs;
        }
    }

    /// The job counts towards its team's guarantee from now on.
    pub(crate) fn open_job(&mut self, job: &Job) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.open_jobs.insert((job.submitted_at_ms, job.spec.id));
            team.guaranteed_jobs_stale = true;
        }
    }

    /// The job counts towards its team's guarantee no longer.
    pub(crate) fn close_job(&mut self, job: &Job) {
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.guaranteed_jobs_stale |=
                team.open_jobs.remove(&(job.submitted_at_ms, job.spec.id));
        }
    }

    /// How many tasks with the needs of this job its team may run at once, by its limit on CPUs and
    /// GPUs; at least 1. A team without a limit counts as if it had the largest limit of the others.
    pub(crate) fn max_concurrent_tasks(&self, spec: &JobSpec) -> u64 {
        let needs = Resources {
            memory_mb: 0,
            ..spec.needs
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
    /// Since when hardly any of its best-effort tasks has been placed.
    pub underserved_since: Option<Timestamp>,
    /// Its jobs that are neither finishing nor cancelled, ordered by submission time.
    pub(crate) open_jobs: BTreeSet<(u64, JobId)>,
    /// Those of them that lay within the guarantee when it was last computed.
    pub(crate) guaranteed_jobs: BTreeSet<JobId>,
    /// Its open jobs or their order have changed since then.
    pub(crate) guaranteed_jobs_stale: bool,
}
