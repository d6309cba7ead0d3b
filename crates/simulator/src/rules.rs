//! The rules of the protocols, checked against what workers do and what replies users get.

use crate::history::{History, HistoryTime, HistoryViolation, JobReply};
use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobRequest, JobState};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub details: String,
    pub at: u64,
}

/// Checks rules from replies to users and from what has run.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// Time for a cancellation, in ms.
    cancel: u64,
    pub violations: Vec<Violation>,
    pub task_starts: u64,
    pub accepted: BTreeMap<String, u64>,
    pub done_confirmed: BTreeMap<String, u64>,
    pub cancel_confirmed: BTreeMap<String, u64>,
    pub cancel_requests: BTreeSet<String>,
    pub done_tasks: BTreeSet<String>,
    /// Replies to users about each job, in real-time order.
    pub history: History,
    /// Starts of tasks whose jobs were confirmed as cancelled before, and the longest time between both, in ms.
    pub started_after_cancel: u64,
    pub longest_start_after_cancel_ms: u64,
}

impl RuleChecker {
    /// A checker for a new run; tasks of a cancelled job must be gone after `cancel` ms.
    pub fn new(cancel: u64) -> Self {
        RuleChecker {
            cancel,
            ..RuleChecker::default()
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, rule: &'static str, what: impl Into<String>, at: u64) {
        self.violations.push(Violation {
            rule,
            details: what.into(),
            at,
        });
    }

    /// Whether one of these rules was violated.
    pub fn has_violation_of(&self, rules: &[&str]) -> bool {
        self.violations
            .iter()
            .any(|violation| rules.contains(&violation.rule))
    }

    /// A task got its image on a machine.
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
        let present = |w: &Worker, name: &str| {
            !w.dead
                && w.tasks
                    .iter()
                    .any(|((t, _), held)| t == name && held.is_present())
        };
        for other in workers.values().filter(|w| w.name != on.name) {
            if present(other, task) {
                let what = format!("{task} on {} and {}", on.name, other.name);
                self.record_violation("ran_twice", what, now);
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
        let mut zones: HashMap<&str, u64> = HashMap::new();
        for worker in workers.values().filter(|w| !w.dead) {
            for ((other, _), held) in &worker.tasks {
                if held.is_present() && other.split('/').next() == Some(id) {
                    *zones.entry(&worker.zone).or_default() += 1;
                }
            }
        }
        let limit = job.task_count.div_ceil(2);
        if job.one_zone && zones.len() > 1 {
            self.record_violation("wrong_place", format!("{task}: together in {zones:?}"), now);
        }
        if job.spread_over_zones && zones.get(on.zone.as_str()).is_some_and(|n| *n > limit) {
            self.record_violation("wrong_place", format!("{task}: spread in {zones:?}"), now);
        }
        if let Some(told) = self.cancel_confirmed.get(id) {
            self.started_after_cancel += 1;
            self.longest_start_after_cancel_ms = self.longest_start_after_cancel_ms.max(now - told);
        }
        self.check_cancelled(task, now);
    }

    fn check_cancelled(&mut self, task: &str, now: u64) {
        let id = task.split('/').next().unwrap_or_default();
        if let Some(told) = self.cancel_confirmed.get(id) {
            if now > told + self.cancel {
                self.record_violation("ran_cancelled", task, now);
            }
        }
    }

    /// Checks quotas and cancellation deadlines, which must hold at every moment.
    pub fn check_quotas_and_cancellations(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        limits: &BTreeMap<String, f64>,
        now: u64,
    ) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in workers.values().filter(|w| !w.dead) {
            for ((task, _), held) in &worker.tasks {
                if !held.is_present() {
                    continue;
                }
                let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                    continue;
                };
                *used.entry(&job.team).or_default() += job.cpus;
                self.check_cancelled(task, now);
            }
        }
        for (team, cpus) in used {
            if limits.get(team).is_some_and(|limit| cpus > limit + 1e-6) {
                self.record_violation("quota", format!("{team} uses {cpus}"), now);
            }
        }
    }

    /// Records a status in reply to a request that was sent at `sent`.
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
        self.judge(id, sent, JobReply::Status(state), now);
        match state {
            JobState::Done => {
                let all =
                    (0..job.task_count).all(|i| self.done_tasks.contains(&format!("{id}/{i}")));
                if !all {
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

    /// Records a reply that there is no such job or that the submission is invalid, to a request sent at
    /// `sent`.
    pub fn record_negative_reply(
        &mut self,
        id: &str,
        answer: JobReply,
        sent: HistoryTime,
        now: u64,
    ) {
        self.judge(id, sent, answer, now);
    }

    /// Judges an answer by the history of its job.
    fn judge(&mut self, id: &str, sent: HistoryTime, answer: JobReply, now: u64) {
        if let Err(HistoryViolation {
            rule,
            details: what,
        }) = self.history.record(id, sent, answer, now)
        {
            self.record_violation(rule, what, now);
        }
    }
}
