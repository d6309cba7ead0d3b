//! What tests look at in a world.

use super::*;

impl World {
    /// Teams whose tasks on machines leave less than one CPU of their limit.
    pub fn teams_at_limit(&self) -> usize {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), held) in &worker.tasks {
                let job = self.jobs.get(task.split('/').next().unwrap_or_default());
                let Some(job) = job.filter(|_| held.state != TaskState::Exited) else {
                    continue;
                };
                *used.entry(&job.team).or_default() += job.cpus;
            }
        }
        let at_limit = |(team, limit): &(&String, &f64)| {
            used.get(team.as_str())
                .is_some_and(|cpus| cpus + 1.0 > **limit)
        };
        self.limits.iter().filter(at_limit).count()
    }
}
