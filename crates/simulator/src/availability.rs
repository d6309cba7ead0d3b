//! Service levels: how much of the accepted work has been served, by kind of job and by team.

use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::TaskState;

/// The replicas of a service are due from this time after its acceptance on.
const SERVICE_START_GRACE_MS: u64 = 20_000;
/// Interval between two observations; replica seconds are counted one observation at a time.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;

/// Availability of the services' replicas and start times of all jobs, by job id.
#[derive(Debug, Default)]
pub struct Availability {
    last_observed_at: u64,
    /// Replica seconds of each service: due and up.
    replica_seconds: BTreeMap<String, (u64, u64)>,
    /// Started tasks of each job that has not fully started yet.
    started_tasks: BTreeMap<String, BTreeSet<String>>,
    /// When each job was fully started, see [`Availability::record_task_start`].
    job_started_at: BTreeMap<String, u64>,
}

/// The service level of a kind of job, of a kind within a team, or of the largest jobs of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLevel {
    /// `service`, `service of t1` (team t1) or `largest gangs`.
    pub name: String,
    /// Jobs that are due, or replica seconds of services.
    pub due: u64,
    /// How many of them were served.
    pub served: u64,
}

impl ServiceLevel {
    /// The fraction of the due work that was served.
    pub fn ratio(&self) -> f64 {
        self.served as f64 / self.due.max(1) as f64
    }
}

/// The largest jobs have to be fully started within this time after their submission.
const LARGE_JOB_START_DEADLINE_MS: u64 = 240_000;

/// The largest tenth of the jobs of a kind, one in this many, count as its largest jobs; so does every job of the
/// largest size.
const JOBS_PER_LARGEST_JOB: usize = 10;

impl Availability {
    /// Records that a task has started. A gang or a service is fully started when all its tasks have started, an
    /// array when as many have started as the limit of its team, `limit` CPUs, allows to run at once.
    pub fn record_task_start(&mut self, task: &str, job: &JobRequest, limit: f64, now: u64) {
        if self.job_started_at.contains_key(&job.id) {
            return;
        }
        let needed = match job.kind {
            JobKind::Array => job
                .task_count
                .min((limit / job.cpus.max(0.001)) as u64)
                .max(1),
            _ => job.task_count,
        };
        let tasks = self.started_tasks.entry(job.id.clone()).or_default();
        tasks.insert(task.to_owned());
        if tasks.len() as u64 >= needed {
            self.job_started_at.insert(job.id.clone(), now);
            self.started_tasks.remove(&job.id);
        }
    }

    /// Service levels of the largest jobs of each kind: a job is served if it was fully started in time. A job that
    /// was not is due only once its deadline has passed, and only if it was not cancelled.
    pub fn largest_job_levels(
        &self,
        jobs: &HashMap<String, JobRequest>,
        accepted: &BTreeMap<String, u64>,
        submitted: &HashMap<String, u64>,
        cancelled: &BTreeSet<String>,
        now: u64,
    ) -> Vec<ServiceLevel> {
        let mut kinds: BTreeMap<String, Vec<(u64, &String, u64)>> = BTreeMap::new();
        for id in accepted.keys() {
            let (Some(job), Some(at)) = (jobs.get(id), submitted.get(id)) else {
                continue;
            };
            let kind = format!("{:?}", job.kind).to_lowercase();
            kinds
                .entry(kind)
                .or_default()
                .push((job.task_count, id, *at));
        }
        let mut levels = Vec::new();
        for (kind, mut jobs_of_kind) in kinds {
            jobs_of_kind.sort_unstable_by_key(|(tasks, id, _)| (std::cmp::Reverse(*tasks), *id));
            let max_tasks = jobs_of_kind.first().map_or(0, |(tasks, ..)| *tasks);
            let count = jobs_of_kind.len().div_ceil(JOBS_PER_LARGEST_JOB);
            let largest = jobs_of_kind.iter().enumerate();
            let largest =
                largest.filter(|(rank, (tasks, ..))| *rank < count || *tasks == max_tasks);
            let mut level = ServiceLevel {
                name: format!("largest {kind}s"),
                due: 0,
                served: 0,
            };
            for (_, (_, id, submitted_at)) in largest {
                let deadline = submitted_at + LARGE_JOB_START_DEADLINE_MS;
                let served = self
                    .job_started_at
                    .get(*id)
                    .is_some_and(|started_at| *started_at <= deadline);
                let excused = now < deadline || cancelled.contains(*id);
                level.due += u64::from(served || !excused);
                level.served += u64::from(served);
            }
            if level.due > 0 {
                levels.push(level);
            }
        }
        levels
    }

    /// Counts, once per observation interval, how many replicas of each service are due and how many are up.
    pub fn observe(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        accepted: &BTreeMap<String, u64>,
        cancelled: &BTreeSet<String>,
        now: u64,
    ) {
        if now < self.last_observed_at + OBSERVATION_INTERVAL_MS {
            return;
        }
        self.last_observed_at = now;
        let mut up: HashMap<&str, u64> = HashMap::new();
        for worker in workers.values().filter(|w| !w.dead && w.hung_until <= now) {
            for ((task, _), status) in &worker.tasks {
                if status.state == TaskState::Running {
                    *up.entry(task.split('/').next().unwrap_or_default())
                        .or_default() += 1;
                }
            }
        }
        let due = accepted
            .iter()
            .filter(|(_, at)| now >= **at + SERVICE_START_GRACE_MS);
        for (id, _) in due.filter(|(id, _)| !cancelled.contains(*id)) {
            let Some(job) = jobs.get(id).filter(|job| job.kind == JobKind::Service) else {
                continue;
            };
            let (due, served) = self.replica_seconds.entry(id.clone()).or_default();
            *due += job.task_count;
            *served += up
                .get(id.as_str())
                .copied()
                .unwrap_or(0)
                .min(job.task_count);
        }
    }

    /// Service levels of each kind of job, and of each kind within each team. An array or a gang is due if it was
    /// accepted by `accepted_until` and was not cancelled; it is served once a user got the reply that it is
    /// done. Services count in replica seconds.
    pub fn service_levels(
        &self,
        jobs: &HashMap<String, JobRequest>,
        accepted: &BTreeMap<String, u64>,
        cancelled: &BTreeSet<String>,
        done: &BTreeMap<String, u64>,
        accepted_until: u64,
    ) -> Vec<ServiceLevel> {
        let mut totals: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut add = |name: String, due, served| {
            let total = totals.entry(name).or_default();
            *total = (total.0 + due, total.1 + served);
        };
        for (id, accepted_at) in accepted {
            let Some(job) = jobs.get(id) else { continue };
            let (due, served) = if job.kind == JobKind::Service {
                self.replica_seconds.get(id).copied().unwrap_or_default()
            } else if *accepted_at <= accepted_until && !cancelled.contains(id) {
                (1, u64::from(done.contains_key(id)))
            } else {
                continue;
            };
            let kind = format!("{:?}", job.kind).to_lowercase();
            add(format!("{kind} of {}", job.team), due, served);
            add(kind, due, served);
        }
        totals
            .into_iter()
            .map(|(name, (due, served))| ServiceLevel { name, due, served })
            .collect()
    }
}

/// The kind of job or the team with the lowest fraction served, and this fraction. A team's is the mean over the kinds
/// of its jobs, since jobs and replica seconds can't be added.
pub fn lowest_service_level(levels: &[ServiceLevel]) -> Option<(String, f64)> {
    let mut teams: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for level in levels {
        if let Some((_, team)) = level.name.split_once(" of ") {
            teams.entry(team).or_default().push(level.ratio());
        }
    }
    let mean = |ratios: Vec<f64>| ratios.iter().sum::<f64>() / ratios.len() as f64;
    let teams = teams
        .into_iter()
        .map(|(team, ratios)| (format!("team {team}"), mean(ratios)));
    let kinds = levels.iter().filter(|level| !level.name.contains(" of "));
    let kinds = kinds.map(|level| (level.name.clone(), level.ratio()));
    kinds.chain(teams).min_by(|a, b| a.1.total_cmp(&b.1))
}

#[cfg(test)]
mod tests;
