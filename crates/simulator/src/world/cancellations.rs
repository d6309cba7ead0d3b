//! Cancellations that meet something: all jobs at once, running jobs whose machines hang, the end of a job's last
//! task.

use super::*;

/// Within this time the users of one wave cancel, in ms.
const CANCEL_BURST_MS: u64 = 200;
/// A job has long to go if a task of it runs for at least so many ms more.
const MIN_REMAINING_MS: u64 = 10_000;
/// At most so many machines of cancelled jobs hang.
const MAX_HUNG_MACHINES: usize = 8;
/// A cancellation at the end of a job comes within this time of it, in ms: the controllers hear of the
/// end, write it and tell it meanwhile.
const COMPLETION_WINDOW_MS: u64 = 1_500;

impl World {
    /// Notes that the user of a job has asked to cancel it.
    pub(super) fn record_cancel_request(&mut self, id: &str) {
        self.rules.cancel_requests.insert(id.to_owned());
        self.rules.history.cancel_requested(id, self.now);
    }

    /// Users cancel every job that is accepted and not over, all through one node.
    pub(super) fn cancel_all(&mut self, through: usize) {
        let RuleChecker {
            accepted,
            done_confirmed,
            cancel_requests,
            ..
        } = &self.rules;
        let open = accepted
            .keys()
            .filter(|id| !done_confirmed.contains_key(*id));
        let ids: Vec<String> = open
            .filter(|id| !cancel_requests.contains(*id))
            .cloned()
            .collect();
        for id in ids {
            let Some(job) = JobId::parse(&id) else {
                continue;
            };
            self.record_cancel_request(&id);
            self.send_request_to(through, UserRequest::Cancel(job), id, 0);
        }
    }

    /// Users cancel some of the running jobs that have long to go, and machines of these hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let running = self.long_running();
        let ids: Vec<String> = running.keys().cloned().collect();
        let mut hanging: BTreeSet<String> = BTreeSet::new();
        for id in self.some(&ids, count) {
            self.coverage.cancelled_running += 1;
            hanging.extend(running[&id].iter().cloned());
            let at = self.now + self.rng.random_range(0..CANCEL_BURST_MS);
            self.at(at, ScheduledEvent::CancelJob { id });
        }
        if hang_ms > 0 {
            for machine in hanging.into_iter().take(MAX_HUNG_MACHINES) {
                self.coverage.hung_machines_of_cancelled_jobs += 1;
                self.hang(machine, hang_ms);
            }
        }
    }

    /// Machines of the running jobs that have long to go and that nobody has cancelled, by job.
    fn long_running(&self) -> BTreeMap<String, BTreeSet<String>> {
        let mut found: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), held) in &worker.tasks {
                let id = task.split('/').next().unwrap_or_default();
                let runs = held.state == TaskState::Running;
                let long = held
                    .done_at
                    .is_none_or(|at| at >= self.now + MIN_REMAINING_MS);
                let open = self.rules.accepted.contains_key(id)
                    && !self.rules.cancel_requests.contains(id);
                if runs && long && open {
                    found
                        .entry(id.to_owned())
                        .or_default()
                        .insert(worker.name.clone());
                }
            }
        }
        found
    }

    /// A task has completed. A share of the jobs is cancelled, and asked about at every node, around the
    /// end of the last task.
    pub(super) fn task_done(&mut self, task: String) {
        let id = task.split('/').next().unwrap_or_default().to_owned();
        let fresh = self.rules.done_tasks.insert(task);
        let percent = self.active_faults.iter().find_map(|cut| match cut {
            ActiveFault::CancelAtCompletion(percent) => Some(*percent),
            _ => None,
        });
        let Some(percent) = percent.filter(|_| fresh) else {
            return;
        };
        if self.rules.cancel_requests.contains(&id) || !self.all_tasks_done(&id) {
            return;
        }
        if self.rng.random_range(0..100) >= percent {
            return;
        }
        let at_once = self.rng.random_bool(0.5);
        let after = if at_once {
            0
        } else {
            self.rng.random_range(0..COMPLETION_WINDOW_MS)
        };
        self.coverage.cancelled_at_completion.insert(id.clone());
        self.follow_up_everywhere(&id, after);
        self.at(self.now + after, ScheduledEvent::CancelJob { id });
    }

    fn all_tasks_done(&self, id: &str) -> bool {
        let done = |task| self.rules.done_tasks.contains(&format!("{id}/{task}"));
        self.jobs
            .get(id)
            .is_some_and(|job| (0..job.tasks).all(done))
    }
}
