//! The state of a world that tests and fingerprints read.

use super::events::RunningController;
use super::World;
use crate::availability::{lowest_service_level, ServiceLevel};
use crate::rules::RuleChecker;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use wire::users::JobRequest;
use wire::workers::TaskState;

impl World {
    /// Numbers of puts and deletes that the state service has accepted, and that it has refused because they
    /// exceeded its rate limit.
    pub fn accepted_and_refused_writes(&self) -> (u64, u64) {
        (self.state.accepted_writes, self.state.refused_writes)
    }

    /// Number of machines recorded for a partition.
    pub fn recorded_machines(&self, partition: u32) -> usize {
        self.machine_records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition))
            .count()
    }

    /// Numbers of failovers before lease expiry, and of those among them whose previous leaders were alive.
    pub fn early_failovers(&self) -> (u64, u64) {
        let counts = |running: &RunningController| {
            (
                running.controller.counters.early_failovers,
                running.controller.counters.false_failovers,
            )
        };
        let of_running = self.controllers.iter().flatten().map(counts);
        of_running.fold(self.early_failovers_of_crashed, |sum, n| {
            (sum.0 + n.0, sum.1 + n.1)
        })
    }

    /// All records of machines in the state service. Of the fields of a record, 0 is the name, 4 the partition, and
    /// 6 whether the machine is leaving.
    pub(super) fn machine_records(&self) -> impl Iterator<Item = &serde_json::Value> {
        let page = |n: u32| self.state.value(&format!("s/m/{n:04}"));
        (0..)
            .map_while(page)
            .filter_map(|p| p.get("machines")?.as_array())
            .flatten()
    }

    /// Number of machines that crashed with tasks and whose records are not marked as leaving yet.
    pub fn recorded_dead_machines(&self) -> usize {
        let not_leaving = self
            .machine_records()
            .filter(|m| m.get(6).is_some_and(|leaving| *leaving == false));
        let names = not_leaving.filter_map(|m| m.get(0)?.as_str());
        names
            .filter(|name| {
                self.workers
                    .get(*name)
                    .is_some_and(|w| w.crashed_with_tasks)
            })
            .count()
    }

    /// Service levels by kind of work, by team and of the largest jobs. Arrays and gangs accepted within the last
    /// `patience_ms` are not due.
    pub fn service_levels(&self, patience_ms: u64) -> Vec<ServiceLevel> {
        let RuleChecker {
            accepted,
            cancel_requests,
            done_confirmed,
            ..
        } = &self.rules;
        let until = self.now.saturating_sub(patience_ms);
        let mut levels = self.service_checks.availability().service_levels(
            self.jobs.all(),
            accepted,
            cancel_requests,
            done_confirmed,
            until,
        );
        levels.extend(self.service_checks.availability().largest_job_levels(
            self.jobs.all(),
            accepted,
            self.jobs.submission_times(),
            cancel_requests,
            self.now,
        ));
        levels
    }

    /// The kind of work or team with the lowest service level, see [`World::service_levels`].
    pub fn lowest_service_level(&self, patience_ms: u64) -> Option<(String, f64)> {
        lowest_service_level(&self.service_levels(patience_ms))
    }

    /// Names of the machines that are recorded for a partition and up.
    pub(super) fn machines_up_of(&self, partition: u32) -> BTreeSet<String> {
        let of_partition = self
            .machine_records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition));
        let names = of_partition.filter_map(|m| m.get(0)?.as_str());
        let is_up = |name: &&str| self.workers.get(*name).is_some_and(|w| !w.dead);
        names.filter(is_up).map(str::to_owned).collect()
    }

    /// Number of tasks on machines of a partition whose jobs are confirmed as cancelled.
    pub fn cancelled_tasks_present(&self, partition: u32) -> usize {
        let machines = self.machines_up_of(partition);
        let workers = machines.iter().filter_map(|name| self.workers.get(name));
        let tasks = workers.flat_map(|w| w.tasks.iter().filter(|(_, status)| status.is_present()));
        let is_cancelled = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            self.rules.cancel_confirmed.contains_key(id)
        };
        tasks.filter(|((task, _), _)| is_cancelled(task)).count()
    }

    /// Number of tasks of each job that are on machines.
    pub fn present_tasks(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), _) in worker.tasks.iter().filter(|(_, task)| task.is_present()) {
                let id = task.split('/').next().unwrap_or_default();
                *counts.entry(id.to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// Number of tasks that workers have killed because their leases had expired.
    pub fn tasks_killed_by_leases(&self) -> u64 {
        self.workers
            .values()
            .map(|worker| worker.tasks_killed_by_lease)
            .sum()
    }

    /// Number of tasks that previous leaders have placed and that no status has proved to be there or gone yet.
    pub fn inherited_tasks(&self) -> usize {
        let running = self.controllers.iter().flatten();
        running
            .map(|running| running.controller.inherited_task_count())
            .sum()
    }

    /// Number of machines that are up.
    pub fn machines_up(&self) -> usize {
        self.workers.values().filter(|w| !w.dead).count()
    }

    /// The leader of a partition according to the partition record.
    pub fn leader(&self, partition: u32) -> Option<&str> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("holder")?
            .as_str()
    }

    /// The term of a partition according to the partition record.
    pub fn term(&self, partition: u32) -> Option<u64> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("term")?
            .as_u64()
    }

    /// Prints the tasks of a job on all machines and what the controllers know of it, for debugging.
    pub fn print_job(&self, id: &str) {
        for worker in self.workers.values() {
            for ((task, attempt), status) in &worker.tasks {
                if task.starts_with(id) {
                    println!(
                        "{} dead={} {task} attempt {attempt} {status:?}",
                        worker.name, worker.dead
                    );
                }
            }
        }
        for running in self.controllers.iter().flatten() {
            println!("{}", running.controller.explain(id));
        }
    }

    /// A job as it was submitted.
    pub fn job(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// Number of tasks that workers have killed because their leases had expired.
    pub fn tasks_killed_by_lease(&self) -> u64 {
        self.workers.values().map(|w| w.tasks_killed_by_lease).sum()
    }

    /// Number of tasks of those accepted, unfinished jobs that have no task on any machine.
    pub fn tasks_of_unplaced_jobs(&self) -> u64 {
        let placed: HashSet<&str> = self
            .workers
            .values()
            .filter(|worker| !worker.dead)
            .flat_map(|worker| worker.tasks.keys())
            .filter_map(|(task, _)| task.split('/').next())
            .collect();
        let unplaced = self
            .unfinished_jobs()
            .into_iter()
            .filter(|id| !placed.contains(id.as_str()));
        unplaced
            .filter_map(|id| Some(self.jobs.get(&id)?.task_count))
            .sum()
    }

    /// Arrays of low priority that waited too long although there was free capacity for them.
    pub fn starved_low_priority_arrays(&self) -> &[String] {
        self.service_checks.starved_low_priority()
    }

    /// Jobs that were accepted and are neither done nor cancelled by now.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        self.rules
            .accepted
            .keys()
            .filter(|id| {
                !self.rules.done_confirmed.contains_key(*id)
                    && !self.rules.cancel_confirmed.contains_key(*id)
            })
            .cloned()
            .collect()
    }

    /// Number of teams whose tasks on machines leave less than one CPU of their limit.
    pub fn teams_at_limit(&self) -> usize {
        let mut used_cpus: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), status) in &worker.tasks {
                let job = self.jobs.get(task.split('/').next().unwrap_or_default());
                let Some(job) = job.filter(|_| status.state != TaskState::Exited) else {
                    continue;
                };
                *used_cpus.entry(&job.team).or_default() += job.cpus;
            }
        }
        let at_limit = |(team, limit): &(&String, &f64)| {
            used_cpus
                .get(team.as_str())
                .is_some_and(|cpus| cpus + 1.0 > **limit)
        };
        self.cpu_limits.iter().filter(at_limit).count()
    }
}
