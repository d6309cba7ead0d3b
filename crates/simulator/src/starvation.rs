//! Jobs that wait although there is room for them.

use crate::worker::{Worker, FAILING_CLASS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::TaskState;

/// Once all troubles are over, no job waits for so long while a machine that fits has room and its team is
/// under its limit.
const STARVATION_LIMIT_MS: u64 = 90_000;
/// Time between two looks.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;
/// CPUs of a machine.
const MACHINE_CPUS: f64 = 4.0;

/// Since when jobs have been waiting although there was room.
#[derive(Debug, Default)]
pub struct StarvationChecker {
    last_observed_at: u64,
    since: BTreeMap<String, u64>,
}

/// What machines have free, what teams use, and which jobs have tasks on machines.
struct CapacitySnapshot<'a> {
    free: Vec<(&'a Worker, f64)>,
    used: HashMap<&'a str, f64>,
    present: BTreeSet<&'a str>,
}

impl<'a> CapacitySnapshot<'a> {
    fn of(
        workers: &'a BTreeMap<String, Worker>,
        jobs: &'a HashMap<String, JobRequest>,
        now: u64,
    ) -> Self {
        let mut snapshot = CapacitySnapshot {
            free: Vec::new(),
            used: HashMap::new(),
            present: BTreeSet::new(),
        };
        for worker in workers.values().filter(|w| !w.dead) {
            let mut free = MACHINE_CPUS;
            for ((task, _), held) in &worker.tasks {
                let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                    continue;
                };
                if held.state != TaskState::Exited {
                    free -= job.cpus;
                    *snapshot.used.entry(&job.team).or_default() += job.cpus;
                    snapshot.present.insert(&job.id);
                }
            }
            if worker.hangs_until <= now && !worker.fails_all_tasks {
                snapshot.free.push((worker, free));
            }
        }
        snapshot
    }

    /// Whether the first of a job's tasks could start now: all of a gang's, one of the others'.
    fn has_room(&self, job: &JobRequest, limit: f64) -> bool {
        let tasks = if job.kind == JobKind::Gang {
            job.tasks
        } else {
            1
        };
        let used = self.used.get(job.team.as_str()).copied().unwrap_or(0.0);
        if used + tasks as f64 * job.cpus > limit + 1e-6 {
            return false;
        }
        let fits = |worker: &Worker| {
            job.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
                && job
                    .types
                    .as_ref()
                    .is_none_or(|types| types.contains(&worker.machine_type))
                && (job.spot || !worker.spot)
        };
        let mut zones: HashMap<&str, u64> = HashMap::new();
        for (worker, free) in self.free.iter().filter(|(worker, _)| fits(worker)) {
            *zones.entry(&worker.zone).or_default() += (free / job.cpus) as u64;
        }
        let most = if job.spread { tasks.div_ceil(2) } else { tasks };
        if job.one_zone {
            return zones.values().any(|slots| *slots >= tasks);
        }
        zones.values().map(|slots| (*slots).min(most)).sum::<u64>() >= tasks
    }
}

impl StarvationChecker {
    /// Looks at the jobs that wait, all troubles being over. Returns those that have done so for too long;
    /// each is named once.
    pub fn observe<'a>(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        open: impl Iterator<Item = &'a String>,
        limits: &BTreeMap<String, f64>,
        now: u64,
    ) -> Vec<String> {
        if now < self.last_observed_at + OBSERVATION_INTERVAL_MS {
            return Vec::new();
        }
        self.last_observed_at = now;
        let snapshot = CapacitySnapshot::of(workers, jobs, now);
        let waits = |id: &&String| {
            let Some(job) = jobs.get(*id).filter(|job| job.class != FAILING_CLASS) else {
                return false;
            };
            let limit = limits.get(&job.team).copied().unwrap_or(f64::MAX);
            !snapshot.present.contains(id.as_str()) && snapshot.has_room(job, limit)
        };
        let waiting: BTreeSet<&String> = open.filter(waits).collect();
        self.since.retain(|id, _| waiting.contains(id));
        let mut starved = Vec::new();
        for id in waiting {
            let since = *self.since.entry(id.clone()).or_insert(now);
            if now >= since + STARVATION_LIMIT_MS
                && now < since + STARVATION_LIMIT_MS + OBSERVATION_INTERVAL_MS
            {
                starved.push(id.clone());
            }
        }
        starved
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Looks for two minutes; `limit` is the team's.
    fn starved(job: &JobRequest, limit: f64) -> Vec<String> {
        let worker = Worker::new("host-000001", "m4", "a", false, 0);
        let workers = BTreeMap::from([(worker.name.clone(), worker)]);
        let jobs = HashMap::from([(job.id.clone(), job.clone())]);
        let limits = BTreeMap::from([(job.team.clone(), limit)]);
        let mut checker = StarvationChecker::default();
        let looks = (1..=120).map(|second| second * 1_000);
        looks
            .flat_map(|now| checker.observe(&workers, &jobs, jobs.keys(), &limits, now))
            .collect()
    }

    #[test]
    fn job_waiting_beside_empty_machine_is_reported_once() {
        let job = crate::single_controller::job(1, JobKind::Array, 3);
        assert_eq!(starved(&job, 100.0), [job.id]);
    }

    #[test]
    fn job_without_capacity_or_quota_is_not_reported() {
        let job = crate::single_controller::job(1, JobKind::Array, 3);
        assert_eq!(starved(&job, 0.5), [""; 0], "over its limit");
        let elsewhere = JobRequest {
            zone: Some("b".into()),
            ..job.clone()
        };
        assert_eq!(
            starved(&elsewhere, 100.0),
            [""; 0],
            "no machine in its zone"
        );
        let gang = crate::single_controller::job(2, JobKind::Gang, 5);
        assert_eq!(starved(&gang, 100.0), [""; 0], "four of five tasks fit");
        let gang = crate::single_controller::job(2, JobKind::Gang, 4);
        assert_eq!(starved(&gang, 100.0), [gang.id]);
    }
}
