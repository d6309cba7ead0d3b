//! Service levels: how much of the accepted work has been served, by team and by kind of work.

use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::TaskState;

/// A service counts from this time after its acceptance on, in ms.
const SERVICE_START_GRACE_MS: u64 = 20_000;
/// Interval between two observations, in ms.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;

/// Seconds of replicas that were due and were up, by job.
#[derive(Debug, Default)]
pub struct Availability {
    last_observed_at: u64,
    replicas: BTreeMap<String, (u64, u64)>,
    /// Tasks of each job that have started, and when enough of them had for the job to have begun.
    started: BTreeMap<String, BTreeSet<String>>,
    begun: BTreeMap<String, u64>,
}

/// The service level of one class of work: of a team or of a kind of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLevel {
    pub name: String,
    pub due: u64,
    pub served: u64,
}

impl ServiceLevel {
    /// The share of the due work that was served.
    pub fn ratio(&self) -> f64 {
        self.served as f64 / self.due.max(1) as f64
    }
}

/// The largest jobs have to start within this time, in ms.
const LARGE_JOB_START_DEADLINE_MS: u64 = 240_000;

/// The largest jobs of a kind are those of the largest size, and one in this many.
const LARGEST_FRACTION: usize = 10;

impl Availability {
    /// A task has started. A job has begun with as many of its tasks as run at a time: an array's with as many
    /// as `limit`, its team's in CPUs, permits, all of the others'.
    pub fn record_task_start(&mut self, task: &str, job: &JobRequest, limit: f64, now: u64) {
        if self.begun.contains_key(&job.id) {
            return;
        }
        let needed = match job.kind {
            JobKind::Array => job
                .task_count
                .min((limit / job.cpus.max(0.001)) as u64)
                .max(1),
            _ => job.task_count,
        };
        let tasks = self.started.entry(job.id.clone()).or_default();
        tasks.insert(task.to_owned());
        if tasks.len() as u64 >= needed {
            self.begun.insert(job.id.clone(), now);
            self.started.remove(&job.id);
        }
    }

    /// The largest jobs of each kind, and those of them that have begun in time. Those whose time is not
    /// over, and that have not begun, are not due; nor is what was cancelled first.
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
        let mut shares = Vec::new();
        for (kind, mut list) in kinds {
            list.sort_unstable_by_key(|(tasks, id, _)| (std::cmp::Reverse(*tasks), *id));
            let most = list.first().map_or(0, |(tasks, ..)| *tasks);
            let tenth = list.len().div_ceil(LARGEST_FRACTION);
            let largest = list.iter().enumerate();
            let largest = largest.filter(|(nth, (tasks, ..))| *nth < tenth || *tasks == most);
            let mut share = ServiceLevel {
                name: format!("largest {kind}s"),
                due: 0,
                served: 0,
            };
            for (_, (_, id, at)) in largest {
                let begun = self
                    .begun
                    .get(*id)
                    .is_some_and(|begun| *begun <= at + LARGE_JOB_START_DEADLINE_MS);
                let open = now < at + LARGE_JOB_START_DEADLINE_MS || cancelled.contains(*id);
                share.due += u64::from(begun || !open);
                share.served += u64::from(begun);
            }
            if share.due > 0 {
                shares.push(share);
            }
        }
        shares
    }

    /// Counts the replicas of all services that should be up.
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
            for ((task, _), held) in &worker.tasks {
                if held.state == TaskState::Running {
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
            let seconds = self.replicas.entry(id.clone()).or_default();
            seconds.0 += job.task_count;
            seconds.1 += up
                .get(id.as_str())
                .copied()
                .unwrap_or(0)
                .min(job.task_count);
        }
    }

    /// What is served of each team and kind. An array or a gang is due if it was accepted `patience`
    /// before the end and nobody cancelled it; it is served if its user was told that it is done.
    pub fn service_levels(
        &self,
        jobs: &HashMap<String, JobRequest>,
        accepted: &BTreeMap<String, u64>,
        cancelled: &BTreeSet<String>,
        done: &BTreeMap<String, u64>,
        until: u64,
    ) -> Vec<ServiceLevel> {
        let mut found: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut add = |of: String, due, served| {
            let share = found.entry(of).or_default();
            *share = (share.0 + due, share.1 + served);
        };
        for (id, at) in accepted {
            let Some(job) = jobs.get(id) else { continue };
            let (due, served) = if job.kind == JobKind::Service {
                self.replicas.get(id).copied().unwrap_or_default()
            } else if *at <= until && !cancelled.contains(id) {
                (1, u64::from(done.contains_key(id)))
            } else {
                continue;
            };
            let kind = format!("{:?}", job.kind).to_lowercase();
            add(format!("{kind} of {}", job.team), due, served);
            add(kind, due, served);
        }
        found
            .into_iter()
            .map(|(of, (due, served))| ServiceLevel {
                name: of,
                due,
                served,
            })
            .collect()
    }
}

/// The class or team of which the least was served, with the part that was. A team's part is the mean
/// over its classes: seconds of replicas and jobs do not add up.
pub fn lowest_service_level(shares: &[ServiceLevel]) -> Option<(String, f64)> {
    let mut teams: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for share in shares {
        if let Some((_, team)) = share.name.split_once(" of ") {
            teams.entry(team).or_default().push(share.ratio());
        }
    }
    let mean = |parts: Vec<f64>| parts.iter().sum::<f64>() / parts.len() as f64;
    let teams = teams
        .into_iter()
        .map(|(team, parts)| (format!("team {team}"), mean(parts)));
    let classes = shares.iter().filter(|share| !share.name.contains(" of "));
    let classes = classes.map(|share| (share.name.clone(), share.ratio()));
    classes.chain(teams).min_by(|a, b| a.1.total_cmp(&b.1))
}

#[cfg(test)]
mod tests;
