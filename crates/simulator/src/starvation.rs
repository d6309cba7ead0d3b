//! Detects starvation: jobs that wait although there is free capacity for them.

use crate::worker::{Worker, FAILING_CLASS};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::TaskState;

/// Once all faults are over, no job may wait for this long while machines that suit it have free capacity and its
/// team is below its limit.
const STARVATION_LIMIT_MS: u64 = 90_000;
/// Interval between two observations.
const OBSERVATION_INTERVAL_MS: u64 = 1_000;
/// CPUs of each machine.
const MACHINE_CPUS: f64 = 4.0;

/// Finds the jobs that starve.
#[derive(Debug, Default)]
pub struct StarvationChecker {
    last_observed_at: u64,
    /// Since when each job has been waiting although there was capacity, by job id.
    starving_since: BTreeMap<String, u64>,
}

/// Free capacity of machines, usage of teams, and jobs with tasks on machines, at one moment.
struct CapacitySnapshot<'a> {
    /// Free CPUs of each machine that can run tasks.
    free_cpus: Vec<(&'a Worker, f64)>,
    /// CPUs in use by each team.
    used_cpus: HashMap<&'a str, f64>,
    /// Ids of the jobs with a task on a machine.
    jobs_on_machines: BTreeSet<&'a str>,
}

impl<'a> CapacitySnapshot<'a> {
    fn take(
        workers: &'a BTreeMap<String, Worker>,
        jobs: &'a HashMap<String, JobRequest>,
        now: u64,
    ) -> Self {
        let mut snapshot = CapacitySnapshot {
            free_cpus: Vec::new(),
            used_cpus: HashMap::new(),
            jobs_on_machines: BTreeSet::new(),
        };
        for worker in workers.values().filter(|w| !w.dead) {
            let mut free = MACHINE_CPUS;
            for ((task, _), status) in &worker.tasks {
                let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                    continue;
                };
                if status.state != TaskState::Exited {
                    free -= job.cpus;
                    *snapshot.used_cpus.entry(&job.team).or_default() += job.cpus;
                    snapshot.jobs_on_machines.insert(&job.id);
                }
            }
            if worker.hung_until <= now && !worker.fails_all_tasks {
                snapshot.free_cpus.push((worker, free));
            }
        }
        snapshot
    }

    /// Whether a job could start now, within the limit of its team in CPUs: all tasks of a gang, or one task of another
    /// job.
    fn can_start(&self, job: &JobRequest, limit: f64) -> bool {
        let tasks = if job.kind == JobKind::Gang {
            job.task_count
        } else {
            1
        };
        let used = self
            .used_cpus
            .get(job.team.as_str())
            .copied()
            .unwrap_or(0.0);
        if used + tasks as f64 * job.cpus > limit + 1e-6 {
            return false;
        }
        let is_allowed_on = |worker: &Worker| {
            job.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
                && job
                    .allowed_machine_types
                    .as_ref()
                    .is_none_or(|types| types.contains(&worker.machine_type))
                && (job.spot_allowed || !worker.spot)
        };
        let mut slots_by_zone: HashMap<&str, u64> = HashMap::new();
        let allowed = self.free_cpus.iter();
        for (worker, free) in allowed.filter(|(worker, _)| is_allowed_on(worker)) {
            *slots_by_zone.entry(&worker.zone).or_default() += (free / job.cpus) as u64;
        }
        let max_per_zone = if job.spread_over_zones {
            tasks.div_ceil(2)
        } else {
            tasks
        };
        if job.one_zone {
            return slots_by_zone.values().any(|slots| *slots >= tasks);
        }
        let usable_slots = slots_by_zone
            .values()
            .map(|slots| (*slots).min(max_per_zone));
        usable_slots.sum::<u64>() >= tasks
    }
}

impl StarvationChecker {
    /// Observes the waiting jobs among the `unfinished` ones, once per interval. Returns those that have been starving
    /// for longer than is allowed, each once.
    pub fn observe<'a>(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        unfinished: impl Iterator<Item = &'a String>,
        limits: &BTreeMap<String, f64>,
        now: u64,
    ) -> Vec<String> {
        if now < self.last_observed_at + OBSERVATION_INTERVAL_MS {
            return Vec::new();
        }
        self.last_observed_at = now;
        let snapshot = CapacitySnapshot::take(workers, jobs, now);
        let is_starving = |id: &&String| {
            let Some(job) = jobs.get(*id).filter(|job| job.class != FAILING_CLASS) else {
                return false;
            };
            let limit = limits.get(&job.team).copied().unwrap_or(f64::MAX);
            !snapshot.jobs_on_machines.contains(id.as_str()) && snapshot.can_start(job, limit)
        };
        let starving: BTreeSet<&String> = unfinished.filter(is_starving).collect();
        self.starving_since.retain(|id, _| starving.contains(id));
        let mut overdue = Vec::new();
        for id in starving {
            let since = *self.starving_since.entry(id.clone()).or_insert(now);
            if now >= since + STARVATION_LIMIT_MS
                && now < since + STARVATION_LIMIT_MS + OBSERVATION_INTERVAL_MS
            {
                overdue.push(id.clone());
            }
        }
        overdue
    }
}

#[cfg(test)]
mod tests;
