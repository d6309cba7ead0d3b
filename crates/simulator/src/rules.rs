//! Checks the rules of the protocols against the tasks that run on the workers and the replies that users get.

use crate::history::{History, HistoryTime, HistoryViolation, JobReply};
use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobRequest, JobState};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub details: String,
    /// When it was found, in ms.
    pub at: u64,
}

/// Checks the rules during a run and keeps what they depend on. Times are in ms.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Time from the confirmation of a cancellation until all tasks of the job must be gone.
    cancel_deadline_ms: u64,
    pub violations: Vec<Violation>,
    /// Number of tasks that started, counting each attempt.
    pub task_starts: u64,
    /// When users were first told that each job is accepted, by job id.
    pub accepted: BTreeMap<String, u64>,
    /// When users were first told that each job is done.
    pub done_confirmed: BTreeMap<String, u64>,
    /// When users were first told that each job is cancelled.
    pub cancel_confirmed: BTreeMap<String, u64>,
    /// Ids of the jobs whose cancellation a user has requested.
    pub cancel_requests: BTreeSet<String>,
    /// Tasks that have completed on a worker.
    pub done_tasks: BTreeSet<String>,
    /// Replies to users about each job, in real-time order.
    pub history: History,
    /// Number of tasks that started after the cancellation of their job had been confirmed, and the longest time
    /// between the two.
    pub started_after_cancel: u64,
    pub longest_start_after_cancel_ms: u64,
}

impl RuleChecker {
    /// A checker for a new run. Tasks of a job must be gone `cancel_deadline_ms` after its cancellation was confirmed.
    pub fn new(cancel_deadline_ms: u64) -> Self {
        RuleChecker {
            cancel_deadline_ms,
            ..RuleChecker::default()
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, rule: &'static str, details: impl Into<String>, at: u64) {
        self.violations.push(Violation {
            rule,
            details: details.into(),
            at,
        });
    }

    /// Whether one of these rules was violated.
    pub fn has_violation_of(&self, rules: &[&str]) -> bool {
        self.violations
            .iter()
            .any(|violation| rules.contains(&violation.rule))
    }

    /// Checks a task that starts on a worker now that its image is fetched: that it is present on no other machine,
    /// that the machine meets the requirements of its job, and that its job was not cancelled too long ago.
    pub fn check_start(
        &mut self,
        task: &str,
        on: &Worker,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        now: u64,
    ) {
        self.task_starts += 1;
        let id = task.split('/').next().unwrap_or_default();
        let Some(job) = jobs.get(id) else {
            self.record_violation("wrong_place", format!("{task} was never submitted"), now);
            return;
        };
        let is_present_on = |worker: &Worker| {
            !worker.dead
                && worker
                    .tasks
                    .iter()
                    .any(|((other, _), status)| other == task && status.is_present())
        };
        for other in workers.values().filter(|w| w.name != on.name) {
            if is_present_on(other) {
                let details = format!("{task} on {} and {}", on.name, other.name);
                self.record_violation("ran_twice", details, now);
            }
        }
        let zone_ok = job.zone.as_ref().is_none_or(|z| *z == on.zone);
        let type_ok = job
            .allowed_machine_types
            .as_ref()
            .is_none_or(|t| t.contains(&on.machine_type));
        if !zone_ok || !type_ok || (on.spot && !job.spot_allowed) {
            self.record_violation("wrong_place", format!("{task} on {}", on.name), now);
        }
        let mut tasks_by_zone: HashMap<&str, u64> = HashMap::new();
        for worker in workers.values().filter(|w| !w.dead) {
            for ((other, _), status) in &worker.tasks {
                if status.is_present() && other.split('/').next() == Some(id) {
                    *tasks_by_zone.entry(&worker.zone).or_default() += 1;
                }
            }
        }
        let max_per_zone = job.task_count.div_ceil(2);
        if job.one_zone && tasks_by_zone.len() > 1 {
            let details =
                format!("{task}: job must run in one zone, has tasks in {tasks_by_zone:?}");
            self.record_violation("wrong_place", details, now);
        }
        if job.spread_over_zones
            && tasks_by_zone
                .get(on.zone.as_str())
                .is_some_and(|tasks| *tasks > max_per_zone)
        {
            let details =
                format!("{task}: job must spread over zones, has tasks in {tasks_by_zone:?}");
            self.record_violation("wrong_place", details, now);
        }
        if let Some(confirmed_at) = self.cancel_confirmed.get(id) {
            self.started_after_cancel += 1;
            self.longest_start_after_cancel_ms =
                self.longest_start_after_cancel_ms.max(now - confirmed_at);
        }
        self.check_cancelled(task, now);
    }

    fn check_cancelled(&mut self, task: &str, now: u64) {
        let id = task.split('/').next().unwrap_or_default();
        if let Some(confirmed_at) = self.cancel_confirmed.get(id) {
            if now > confirmed_at + self.cancel_deadline_ms {
                self.record_violation("ran_cancelled", task, now);
            }
        }
    }

    /// Checks the limits of all teams, in CPUs, and the deadlines of cancellations, which must hold at every moment.
    pub fn check_quotas_and_cancellations(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        limits: &BTreeMap<String, f64>,
        now: u64,
    ) {
        let mut used_cpus: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in workers.values().filter(|w| !w.dead) {
            for ((task, _), status) in &worker.tasks {
                if !status.is_present() {
                    continue;
                }
                let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                    continue;
                };
                *used_cpus.entry(&job.team).or_default() += job.cpus;
                self.check_cancelled(task, now);
            }
        }
        for (team, cpus) in used_cpus {
            if limits.get(team).is_some_and(|limit| cpus > limit + 1e-6) {
                self.record_violation("quota", format!("{team} uses {cpus} CPUs"), now);
            }
        }
    }

    /// Checks and records a reply with the status of a job, to a request that was sent at `sent`.
    pub fn record_status(
        &mut self,
        id: &str,
        state: JobState,
        jobs: &HashMap<String, JobRequest>,
        sent: HistoryTime,
        now: u64,
    ) {
        let Some(job) = jobs.get(id) else {
            self.record_violation("invented", id, now);
            return;
        };
        self.check_history(id, sent, JobReply::Status(state), now);
        match state {
            JobState::Done => {
                let all_done =
                    (0..job.task_count).all(|i| self.done_tasks.contains(&format!("{id}/{i}")));
                if !all_done {
                    self.record_violation("not_done", id, now);
                }
                self.done_confirmed.entry(id.to_owned()).or_insert(now);
            }
            JobState::Cancelled => {
                self.cancel_confirmed.entry(id.to_owned()).or_insert(now);
            }
            JobState::Queued | JobState::Running => {}
        }
    }

    /// Checks and records a reply that the job does not exist or that its submission was rejected, to a request that
    /// was sent at `sent`.
    pub fn record_negative_reply(
        &mut self,
        id: &str,
        reply: JobReply,
        sent: HistoryTime,
        now: u64,
    ) {
        self.check_history(id, sent, reply, now);
    }

    /// Checks a reply against the history of its job.
    fn check_history(&mut self, id: &str, sent: HistoryTime, reply: JobReply, now: u64) {
        if let Err(HistoryViolation { rule, details }) = self.history.record(id, sent, reply, now) {
            self.record_violation(rule, details, now);
        }
    }
}
