//! Starvation: jobs that wait although there is capacity for them.

use crate::worker::{Worker, FAILING_CLASS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::TaskState;

/// Once all faults are over, no job may wait for this time, in ms, while a fitting machine has free capacity
/// and its team is below its limit.
const STARVATION_LIMIT_MS: u64 = 90_000;
/// Interval between two observations, in ms.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;
/// CPUs of a machine.
const MACHINE_CPUS: f64 = 4.0;

/// Since when jobs have been waiting although there was capacity.
#[derive(Debug, Default)]
pub struct StarvationChecker {
    last_observed_at: u64,
    since: BTreeMap<String, u64>,
}

/// Free capacity of machines, usage of teams, and jobs with tasks on machines.
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
            if worker.hung_until <= now && !worker.fails_all_tasks {
                snapshot.free.push((worker, free));
            }
        }
        snapshot
    }

    /// Whether the first of a job's tasks could start now: all of a gang's, one of the others'.
    fn has_room(&self, job: &JobRequest, limit: f64) -> bool {
        let tasks = if job.kind == JobKind::Gang {
            job.task_count
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
                    .allowed_machine_types
                    .as_ref()
                    .is_none_or(|types| types.contains(&worker.machine_type))
                && (job.spot_allowed || !worker.spot)
        };
        let mut zones: HashMap<&str, u64> = HashMap::new();
        for (worker, free) in self.free.iter().filter(|(worker, _)| fits(worker)) {
            *zones.entry(&worker.zone).or_default() += (free / job.cpus) as u64;
        }
        let most = if job.spread_over_zones {
            tasks.div_ceil(2)
        } else {
            tasks
        };
        if job.one_zone {
            return zones.values().any(|slots| *slots >= tasks);
        }
        zones.values().map(|slots| (*slots).min(most)).sum::<u64>() >= tasks
    }
}

impl StarvationChecker {
    /// Observes the waiting jobs. Returns those that have starved for too long, each once.
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
mod tests;
