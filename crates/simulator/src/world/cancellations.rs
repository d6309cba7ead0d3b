//! Cancellations at critical moments: of all jobs at once, of running jobs whose machines hang, around the
//! completion of a job's last task.

use super::events::ScheduledEvent;
use super::network::ActiveFault;
use super::World;
use crate::rules::RuleChecker;
use controller::UserRequest;
use model::JobId;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use wire::workers::TaskState;

/// Cancellations of one burst are spread over this time, in ms.
const CANCEL_BURST_MS: u64 = 200;
/// Running jobs are chosen if a task of theirs runs for at least this many ms more.
const MIN_REMAINING_MS: u64 = 10_000;
/// At most this many machines of cancelled jobs hang.
const MAX_HUNG_MACHINES: usize = 8;
/// A cancellation around a job's completion is sent within this time of it, in ms: meanwhile the controllers
/// learn of the completion, write it and report it.
const COMPLETION_WINDOW_MS: u64 = 1_500;

impl World {
    /// Records that a user has requested the cancellation of a job.
    pub(super) fn record_cancel_request(&mut self, id: &str) {
        self.rules.cancel_requests.insert(id.to_owned());
        self.rules.history.record_cancel_request(id, self.now);
    }

    /// Users cancel every accepted job that is not in a terminal state, all through one controller.
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

    /// Cancels some of the running jobs with much remaining run time, and lets machines of these hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let running = self.long_running();
        let ids: Vec<String> = running.keys().cloned().collect();
        let mut hanging: BTreeSet<String> = BTreeSet::new();
        for id in self.random_choice(&ids, count) {
            self.coverage.cancelled_running += 1;
            hanging.extend(running[&id].iter().cloned());
            let at = self.now + self.rng.random_range(0..CANCEL_BURST_MS);
            self.schedule(at, ScheduledEvent::CancelJob { id });
        }
        if hang_ms > 0 {
            for machine in hanging.into_iter().take(MAX_HUNG_MACHINES) {
                self.coverage.hung_machines_of_cancelled_jobs += 1;
                self.hang(machine, hang_ms);
            }
        }
    }

    /// Machines of the running jobs with much remaining run time whose cancellation was not requested, by
    /// job.
    fn long_running(&self) -> BTreeMap<String, BTreeSet<String>> {
        let mut found: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), held) in &worker.tasks {
                let id = task.split('/').next().unwrap_or_default();
                let runs = held.state == TaskState::Running;
                let is_long = held
                    .done_at
                    .is_none_or(|at| at >= self.now + MIN_REMAINING_MS);
                let open = self.rules.accepted.contains_key(id)
                    && !self.rules.cancel_requests.contains(id);
                if runs && is_long && open {
                    found
                        .entry(id.to_owned())
                        .or_default()
                        .insert(worker.name.clone());
                }
            }
        }
        found
    }

    /// A task has completed. A share of the jobs is cancelled around the completion of its last task, with
    /// follow-up requests at every controller.
    pub(super) fn task_done(&mut self, task: String) {
        let id = task.split('/').next().unwrap_or_default().to_owned();
        let fresh = self.rules.done_tasks.insert(task);
        let percent = self.network.find_active(|fault| match fault {
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
        self.schedule(self.now + after, ScheduledEvent::CancelJob { id });
    }

    fn all_tasks_done(&self, id: &str) -> bool {
        let done = |task| self.rules.done_tasks.contains(&format!("{id}/{task}"));
        self.jobs
            .get(id)
            .is_some_and(|job| (0..job.task_count).all(done))
    }
}
