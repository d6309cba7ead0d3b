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
/// How many searches for spare capacity one round makes.
const MAX_SPARE_CAPACITY_SEARCHES: usize = 16;

impl PartitionState {
    /// Stops those of the tasks that are best-effort and save checkpoints; the others run to their end.
    pub(crate) fn stop_best_effort_tasks(&mut self, tasks: Vec<TaskId>, now: Timestamp) {
        for task in tasks {
            let saves = self.jobs.get(&task.job).is_some_and(|job| {
                job.spec.is_best_effort()
                    && job.spec.checkpoint > Duration::ZERO
                    && job
                        .placed
                        .get(&task.index)
                        .is_some_and(|placement| placement.stop.is_none())
            });
            if saves {
                let grace = self.grace_period_ms(task);
                self.stop_task(task, grace, now);
            }
        }
    }

    /// Stops best-effort work on on-demand machines on which nothing else is left, and determines which jobs
    /// have found no place for long.
    pub fn evict_best_effort(&mut self, now: Timestamp) {
        let teams = self.best_effort_by_team();
        self.update_best_effort_waits(&teams, now);
        let tasks = self.tasks_to_evict(&teams, now);
        self.stop_best_effort_tasks(tasks, now);
    }

    /// Best-effort tasks that keep an on-demand machine in use on their own. Of each job one task is left where it
    /// is, unless there is spare capacity for it: it would wait for long and come back. One such task at a
    /// time is moved, as others may find the same capacity.
    fn tasks_to_evict(
        &self,
        teams: &HashMap<TeamName, TeamBestEffort>,
        now: Timestamp,
    ) -> Vec<TaskId> {
        let mut evicted = Vec::new();
        let mut left: HashMap<JobId, usize> = HashMap::new();
        let mut moves_only_task = false;
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
            let team_places = teams.get(&job.spec.team).map_or(0, |team| team.placed);
            if !job.spec.spot || job.guaranteed || team_places <= MIN_TEAM_TASKS {
                continue;
            }
            let left = left.entry(task.job).or_insert(job.active_placements());
            if *left > 1 {
                *left -= 1;
                evicted.push(*task);
            } else if !moves_only_task && searches < MAX_SPARE_CAPACITY_SEARCHES {
                searches += 1;
                moves_only_task = self.has_spare_capacity_for(*task, job, now);
                evicted.extend(moves_only_task.then_some(*task));
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
