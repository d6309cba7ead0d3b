//! Checks the scheduler's rules after a run, from the events that the simulated workers and users observed.
//!
//! The responses to users are checked by [`simulator::rules::RuleChecker`]. The tasks on the workers are checked here,
//! since a run has a hundred times the workers of a simulator world.

use crate::config::Experiment;
use crate::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use crate::run_layout::job_id;
use serde::{Deserialize, Serialize};
use simulator::history::{HistoryTime, JobReply};
use simulator::rules::RuleChecker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobRequest, JobState};

/// Maximum number of broken rules in a report.
const MAX_REPORTED: usize = 50;
/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// One violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRule {
    pub rule: String,
    #[serde(rename = "what")]
    pub details: String,
    pub at_ms: u64,
}

/// The result of the check, and how many events it covered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleCheckResult {
    pub task_events: u64,
    pub user_events: u64,
    pub broken: Vec<BrokenRule>,
}

/// Checks the events of a run that ended at `end_us`.
pub fn check(
    experiment: &Experiment,
    tasks: &[TaskEvent],
    users: &[UserEvent],
    end_us: u64,
) -> RuleCheckResult {
    let mut replay = Replay::new(experiment, users);
    let (mut tasks, mut users) = (
        sorted_by_time(tasks, |e| e.at_us),
        sorted_by_time(users, |e| e.at_us),
    );
    let (mut task, mut user) = (tasks.next(), users.next());
    let mut result = RuleCheckResult::default();
    loop {
        // At equal times a task event comes before a user event, which may report that change of the task.
        let task_first = match (task, user) {
            (Some(task), Some(user)) => task.at_us <= user.at_us,
            (task, _) => task.is_some(),
        };
        if let Some(event) = task.filter(|_| task_first) {
            replay.handle_task_event(event);
            result.task_events += 1;
            task = tasks.next();
        } else if let Some(event) = user {
            replay.handle_user_event(event);
            result.user_events += 1;
            user = users.next();
        } else {
            break;
        }
    }
    replay.check_at_end(end_us);
    let violations = replay.rules.violations.iter().take(MAX_REPORTED);
    result.broken = violations
        .map(|violation| BrokenRule {
            rule: violation.rule.to_owned(),
            details: violation.details.clone(),
            at_ms: violation.at,
        })
        .collect();
    result
}

fn sorted_by_time<T>(events: &[T], at_us: impl Fn(&T) -> u64) -> std::vec::IntoIter<&T> {
    let mut events: Vec<&T> = events.iter().collect();
    events.sort_by_key(|event| at_us(event));
    events.into_iter()
}

/// Replays the events of a run in the order of their times and checks the rules after each.
struct Replay<'a> {
    experiment: &'a Experiment,
    /// Requests of the submitted jobs, by job id.
    jobs: HashMap<String, JobRequest>,
    /// Numbers of the submitted jobs.
    submitted: BTreeSet<u64>,
    /// Time within which the tasks of a job must end after a response first reported the job cancelled.
    cancel_deadline_us: u64,
    /// Machines that have a task, by job number and task index.
    machines_of_task: HashMap<(u64, u64), BTreeSet<u32>>,
    /// CPUs that each team uses.
    team_cpus: BTreeMap<String, f64>,
    /// When a response first reported the job cancelled, by job number.
    reported_cancelled_us: HashMap<u64, u64>,
    rules: RuleChecker,
}

impl<'a> Replay<'a> {
    fn new(experiment: &'a Experiment, users: &[UserEvent]) -> Self {
        let submitted: BTreeSet<u64> = users.iter().map(|event| event.job).collect();
        let requests = submitted
            .iter()
            .filter_map(|n| Some((job_id(*n), experiment.job_request(*n)?)));
        let cancel_deadline_ms = (experiment.workers.cancel_s * 1_000.0) as u64;
        Replay {
            experiment,
            jobs: requests.collect(),
            submitted,
            cancel_deadline_us: cancel_deadline_ms * 1_000,
            machines_of_task: HashMap::new(),
            team_cpus: BTreeMap::new(),
            reported_cancelled_us: HashMap::new(),
            rules: RuleChecker::new(cancel_deadline_ms),
        }
    }

    fn record_violation(&mut self, rule: &'static str, details: String, at_us: u64) {
        self.rules.record_violation(rule, details, at_us / 1_000);
    }

    fn handle_task_event(&mut self, event: &TaskEvent) {
        match event.change {
            TaskChange::Started => self.handle_start(event),
            TaskChange::Done => {
                let name = format!("{}/{}", job_id(event.job), event.task);
                self.rules.done_tasks.insert(name);
            }
            TaskChange::Ended => self.handle_removal(event),
        }
    }

    fn handle_start(&mut self, event: &TaskEvent) {
        self.rules.task_starts += 1;
        let name = format!("{}/{}", job_id(event.job), event.task);
        if !self.submitted.contains(&event.job) {
            self.record_violation(
                "wrong_place",
                format!("{name} was never submitted"),
                event.at_us,
            );
            return;
        }
        let machines = self
            .machines_of_task
            .entry((event.job, event.task))
            .or_default();
        let other_machine = machines
            .iter()
            .find(|machine| **machine != event.machine)
            .copied();
        machines.insert(event.machine);
        if let Some(other) = other_machine {
            let details = format!("{name} on machines {other} and {}", event.machine);
            self.record_violation("ran_twice", details, event.at_us);
        }
        self.check_cancellation_deadline(event.job, &name, event.at_us);
        if let Some(job) = self.experiment.job_request(event.job) {
            let used = self.team_cpus.entry(job.team.clone()).or_default();
            *used += job.cpus;
            if *used > self.experiment.max_team_cpus() + CPU_TOLERANCE {
                let details = format!("{} uses {used} CPUs", job.team);
                self.record_violation("quota", details, event.at_us);
            }
        }
    }

    fn handle_removal(&mut self, event: &TaskEvent) {
        let machines = self.machines_of_task.get_mut(&(event.job, event.task));
        if !machines.is_some_and(|machines| machines.remove(&event.machine)) {
            return;
        }
        if let Some(job) = self.experiment.job_request(event.job) {
            *self.team_cpus.entry(job.team).or_default() -= job.cpus;
        }
        let name = format!("{}/{}", job_id(event.job), event.task);
        self.check_cancellation_deadline(event.job, &name, event.at_us);
    }

    /// Checks that a task that is still on a machine at `at_us` is not past the cancellation deadline of its job.
    fn check_cancellation_deadline(&mut self, job: u64, task_name: &str, at_us: u64) {
        if self
            .reported_cancelled_us
            .get(&job)
            .is_some_and(|reported_us| at_us > reported_us + self.cancel_deadline_us)
        {
            self.record_violation("ran_cancelled", task_name.to_owned(), at_us);
        }
    }

    fn handle_user_event(&mut self, event: &UserEvent) {
        let id = job_id(event.job);
        let (sent_at, now_ms) = (
            HistoryTime::at_us(event.request_sent_us),
            event.at_us / 1_000,
        );
        self.rules.history.advance_to_us(event.at_us);
        match event.kind {
            UserEventKind::Submitted => {}
            UserEventKind::Accepted => {
                self.rules.history.record_acceptance(&id, now_ms);
                self.rules.accepted.entry(id).or_insert(now_ms);
            }
            UserEventKind::CancelRequested => {
                self.rules.history.record_cancel_request(&id, now_ms);
                self.rules.cancel_requests.insert(id);
            }
            UserEventKind::Status(state) => {
                if state == JobState::Cancelled {
                    self.reported_cancelled_us
                        .entry(event.job)
                        .or_insert(event.at_us);
                }
                self.rules
                    .record_status(&id, state, &self.jobs, sent_at, now_ms);
            }
            UserEventKind::Missing => {
                self.rules
                    .record_negative_reply(&id, JobReply::Missing, sent_at, now_ms)
            }
        }
    }

    /// Checks what must hold at the end of the run.
    fn check_at_end(&mut self, end_us: u64) {
        let still_on_machines: Vec<(u64, u64)> = self
            .machines_of_task
            .iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(task, _)| *task)
            .collect();
        for (job, task) in still_on_machines {
            self.check_cancellation_deadline(job, &format!("{}/{task}", job_id(job)), end_us);
        }
        if self.rules.task_starts == 0 {
            self.record_violation("nothing_ran", "no task was started".to_owned(), end_us);
        }
    }
}
