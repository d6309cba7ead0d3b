//! Eviction of best-effort work from on-demand machines on which nothing else is left.

use crate::best_effort_waits::{TeamBestEffort, MIN_TEAM_TASKS};
use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::suitability::MachineSearch;
use model::{JobId, TaskId, TeamName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// How long best-effort tasks may stay on a machine on which nothing else is left.
const EVICTION_DELAY: Duration = Duration::from_secs(10);
/// The largest number of searches for spare capacity in one round of evictions.
const MAX_SPARE_CAPACITY_SEARCHES: usize = 16;

impl PartitionState {
    /// Stops those of the tasks that are best-effort and save checkpoints; the others run to completion.
    pub(crate) fn stop_best_effort_tasks(&mut self, tasks: Vec<TaskId>, now: Timestamp) {
        for task in tasks {
            let is_stopped = self.jobs.get(&task.job).is_some_and(|job| {
                job.spec.is_best_effort()
                    && job.spec.checkpoint_interval > Duration::ZERO
                    && job
                        .placed
                        .get(&task.index)
                        .is_some_and(|placement| placement.stop.is_none())
            });
            if is_stopped {
                let grace_ms = self.grace_period_ms(task);
                self.stop_task(task, grace_ms, now);
            }
        }
    }

    /// Stops best-effort work on on-demand machines on which nothing else is left, and determines which jobs
    /// have waited for so long that they may run on any machine.
    pub fn evict_best_effort(&mut self, now: Timestamp) {
        let teams = self.best_effort_by_team();
        self.update_best_effort_waits(&teams, now);
        let tasks = self.tasks_to_evict(&teams, now);
        self.stop_best_effort_tasks(tasks, now);
    }

    /// The best-effort tasks to evict because they keep an on-demand machine in use on their own. The last task
    /// of a job stays unless there is spare capacity for it: otherwise it would wait for long and come back.
    /// Only one such task is evicted per round, since several could find the same spare capacity.
    fn tasks_to_evict(
        &self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> Vec<TaskId> {
        let mut evicted = Vec::new();
        let mut remaining_by_job: HashMap<JobId, usize> = HashMap::new();
        let mut evicts_last_task = false;
        let mut searches = 0;
        let machines = self
            .machines
            .values()
            .filter(|machine| {
                !machine.spot && machine.best_effort_count > 0 && machine.regular_count() == 0
            })
            .filter(|machine| now.duration_since(machine.last_regular_removed_at) > EVICTION_DELAY);
        for task in machines.flat_map(|machine| &machine.tasks) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let placed_tasks_of_team = teams
                .get(&job.spec.team)
                .map_or(0, |team| team.placed_tasks);
            if !job.spec.spot_allowed || job.guaranteed || placed_tasks_of_team <= MIN_TEAM_TASKS {
                continue;
            }
            let remaining = remaining_by_job
                .entry(task.job)
                .or_insert(job.active_placements());
            if *remaining > 1 {
                *remaining -= 1;
                evicted.push(*task);
            } else if !evicts_last_task && searches < MAX_SPARE_CAPACITY_SEARCHES {
                searches += 1;
                evicts_last_task = self.has_spare_capacity_for(*task, job, now);
                evicted.extend(evicts_last_task.then_some(*task));
            }
        }
        evicted
    }

    /// Whether a spot machine has free capacity for a task.
    fn has_spare_capacity_for(&self, task: TaskId, job: &Job, now: Timestamp) -> bool {
        let search = MachineSearch::new(self, EntryKey::Task(task), job, now);
        self.capacity_index
            .machines_with_capacity(&job.spec)
            .filter_map(|name| self.machines.get(name))
            .any(|machine| machine.spot && search.is_suitable(machine))
    }
}

impl Job {
    /// Number of tasks that are placed and not being stopped.
    fn active_placements(&self) -> usize {
        self.placed
            .values()
            .filter(|placement| placement.stop.is_none())
            .count()
    }
}
