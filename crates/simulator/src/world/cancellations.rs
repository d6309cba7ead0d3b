//! Cancellations at critical moments: of all jobs at once, of running jobs whose machines hang, and around the
//! completion of a job's last task. Also records which cancellations users have requested.

use super::active_fault::ActiveFault;
use super::events::ScheduledEvent;
use super::World;
use crate::rules::RuleChecker;
use controller::UserRequest;
use model::JobId;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use wire::workers::TaskState;

/// Cancellations of running jobs are sent within this time of the fault's start.
const CANCEL_BURST_MS: u64 = 200;
/// A running job may be chosen for cancellation if one of its tasks has at least this much run time left.
const MIN_REMAINING_MS: u64 = 10_000;
/// Upper bound of the machines of cancelled jobs that one fault lets hang.
const MAX_HUNG_MACHINES: usize = 8;
/// A cancellation around a job's completion is sent within this time of it. In this time the controllers learn
/// of the completion, write it and report it to users.
const COMPLETION_WINDOW_MS: u64 = 1_500;

impl World {
    /// Records that a user has requested the cancellation of a job.
    pub(super) fn record_cancel_request(&mut self, id: &str) {
        self.rules.cancel_requests.insert(id.to_owned());
        self.rules.history.record_cancel_request(id, self.now);
    }

    /// Has users cancel every accepted job that is not known to be done, all at one controller. Jobs whose
    /// cancellation was requested before are left out.
    pub(super) fn cancel_all_jobs(&mut self, controller: usize) {
        let RuleChecker {
            accepted,
            done_confirmed,
            cancel_requests,
            ..
        } = &self.rules;
        let not_done = accepted
            .keys()
            .filter(|id| !done_confirmed.contains_key(*id));
        let ids: Vec<String> = not_done
            .filter(|id| !cancel_requests.contains(*id))
            .cloned()
            .collect();
        for id in ids {
            let Some(job) = JobId::parse(&id) else {
                continue;
            };
            self.record_cancel_request(&id);
            self.send_request_to(controller, UserRequest::Cancel(job), id, 0);
        }
    }

    /// Cancels up to `count` running jobs with much run time left. If `hang_ms` is not 0, their machines hang for
    /// that time.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_ms: u64) {
        let running = self.long_running_jobs();
        let ids: Vec<String> = running.keys().cloned().collect();
        let mut machines: BTreeSet<String> = BTreeSet::new();
        for id in self.random_choice(&ids, count) {
            self.coverage.cancelled_running += 1;
            machines.extend(running[&id].iter().cloned());
            let at = self.now + self.rng.random_range(0..CANCEL_BURST_MS);
            self.schedule(at, ScheduledEvent::CancelJob { id });
        }
        if hang_ms > 0 {
            for machine in machines.into_iter().take(MAX_HUNG_MACHINES) {
                self.coverage.hung_machines_of_cancelled_jobs += 1;
                self.hang_machine(machine, hang_ms);
            }
        }
    }

    /// Accepted jobs with running tasks that have much run time left and whose cancellation was not requested,
    /// with the machines of these tasks.
    fn long_running_jobs(&self) -> BTreeMap<String, BTreeSet<String>> {
        let mut machines_by_job: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, _), status) in &worker.tasks {
                let id = task.split('/').next().unwrap_or_default();
                let is_running = status.state == TaskState::Running;
                let is_long = status
                    .done_at
                    .is_none_or(|at| at >= self.now + MIN_REMAINING_MS);
                let is_cancellable = self.rules.accepted.contains_key(id)
                    && !self.rules.cancel_requests.contains(id);
                if is_running && is_long && is_cancellable {
                    machines_by_job
                        .entry(id.to_owned())
                        .or_default()
                        .insert(worker.name.clone());
                }
            }
        }
        machines_by_job
    }

    /// Records a completed task. With [`ActiveFault::CancelAtCompletion`], a share of the jobs is cancelled around
    /// the completion of their last task, with status requests and resubmissions at every controller.
    pub(super) fn handle_task_done(&mut self, task: String) {
        let id = task.split('/').next().unwrap_or_default().to_owned();
        let is_first_completion = self.rules.done_tasks.insert(task);
        let percent = self.network.find_active(|fault| match fault {
            ActiveFault::CancelAtCompletion(percent) => Some(*percent),
            _ => None,
        });
        let Some(percent) = percent.filter(|_| is_first_completion) else {
            return;
        };
        if self.rules.cancel_requests.contains(&id) || !self.are_all_tasks_done(&id) {
            return;
        }
        if self.rng.random_range(0..100) >= percent {
            return;
        }
        let is_immediate = self.rng.random_bool(0.5);
        let delay_ms = if is_immediate {
            0
        } else {
            self.rng.random_range(0..COMPLETION_WINDOW_MS)
        };
        self.coverage.cancelled_at_completion.insert(id.clone());
        self.follow_up_everywhere(&id, delay_ms);
        self.schedule(self.now + delay_ms, ScheduledEvent::CancelJob { id });
    }

    fn are_all_tasks_done(&self, id: &str) -> bool {
        let is_done = |index| self.rules.done_tasks.contains(&format!("{id}/{index}"));
        self.jobs
            .get(id)
            .is_some_and(|job| (0..job.task_count).all(is_done))
    }
}
