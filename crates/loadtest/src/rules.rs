//! The rules, checked after a run from what workers and users saw.
//!
//! What users may be told is checked by [`simulator::rules::RuleChecker`]; what tasks may do is checked here, since
//! a run has a hundred times the workers of a simulated world.

use crate::config::Experiment;
use crate::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use crate::run_layout::job_id;
use serde::{Deserialize, Serialize};
use simulator::history::{HistoryTime, JobReply};
use simulator::rules::RuleChecker;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobRequest, JobState};

/// Most broken rules that are listed.
const MAX_LISTED: usize = 50;
/// Rounding of sums of CPUs.
const CPU_ROUNDING: f64 = 1e-6;

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRule {
    pub rule: String,
    pub what: String,
    pub at_ms: u64,
}

/// What the check found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    pub task_events: u64,
    pub user_events: u64,
    pub broken: Vec<BrokenRule>,
}

/// Checks what was observed, up to `end_us`.
pub fn check(
    experiment: &Experiment,
    tasks: &[TaskEvent],
    users: &[UserEvent],
    end_us: u64,
) -> Verdict {
    let mut replay = Replay::new(experiment, users);
    let (mut tasks, mut users) = (ordered(tasks, |e| e.at_us), ordered(users, |e| e.at_us));
    let (mut task, mut user) = (tasks.next(), users.next());
    let mut verdict = Verdict::default();
    loop {
        // Of two events at the same time the workers' comes first: it is what users are told of.
        let task_first = match (task, user) {
            (Some(task), Some(user)) => task.at_us <= user.at_us,
            (task, _) => task.is_some(),
        };
        if let Some(event) = task.filter(|_| task_first) {
            replay.task(event);
            verdict.task_events += 1;
            task = tasks.next();
        } else if let Some(event) = user {
            replay.user(event);
            verdict.user_events += 1;
            user = users.next();
        } else {
            break;
        }
    }
    replay.finish(end_us);
    let broken = replay.rules.violations.iter().take(MAX_LISTED);
    verdict.broken = broken
        .map(|b| BrokenRule {
            rule: b.rule.to_owned(),
            what: b.details.clone(),
            at_ms: b.at,
        })
        .collect();
    verdict
}

fn ordered<T>(events: &[T], at: impl Fn(&T) -> u64) -> std::vec::IntoIter<&T> {
    let mut events: Vec<&T> = events.iter().collect();
    events.sort_by_key(|event| at(event));
    events.into_iter()
}

struct Replay<'a> {
    experiment: &'a Experiment,
    /// Jobs that were submitted, by name.
    jobs: HashMap<String, JobRequest>,
    submitted: BTreeSet<u64>,
    cancel_us: u64,
    /// Machines on which a task is.
    present: HashMap<(u64, u64), BTreeSet<u32>>,
    cpus: BTreeMap<String, f64>,
    cancelled_us: HashMap<u64, u64>,
    rules: RuleChecker,
}

impl<'a> Replay<'a> {
    fn new(experiment: &'a Experiment, users: &[UserEvent]) -> Self {
        let submitted: BTreeSet<u64> = users.iter().map(|event| event.job).collect();
        let described = submitted
            .iter()
            .filter_map(|n| Some((job_id(*n), experiment.job_request(*n)?)));
        let cancel_ms = (experiment.workers.cancel_s * 1_000.0) as u64;
        Replay {
            experiment,
            jobs: described.collect(),
            submitted,
            cancel_us: cancel_ms * 1_000,
            present: HashMap::new(),
            cpus: BTreeMap::new(),
            cancelled_us: HashMap::new(),
            rules: RuleChecker::new(cancel_ms),
        }
    }

    fn broke(&mut self, rule: &'static str, what: String, at_us: u64) {
        self.rules.record_violation(rule, what, at_us / 1_000);
    }

    fn task(&mut self, event: &TaskEvent) {
        match event.change {
            TaskChange::Started => self.started(event),
            TaskChange::Done => {
                let name = format!("{}/{}", job_id(event.job), event.task);
                self.rules.done_tasks.insert(name);
            }
            TaskChange::Ended => self.ended(event),
        }
    }

    fn started(&mut self, event: &TaskEvent) {
        self.rules.task_starts += 1;
        let name = format!("{}/{}", job_id(event.job), event.task);
        if !self.submitted.contains(&event.job) {
            self.broke(
                "wrong_place",
                format!("{name} was never submitted"),
                event.at_us,
            );
            return;
        }
        let machines = self.present.entry((event.job, event.task)).or_default();
        let elsewhere = machines
            .iter()
            .find(|machine| **machine != event.machine)
            .copied();
        machines.insert(event.machine);
        if let Some(other) = elsewhere {
            let what = format!("{name} on machines {other} and {}", event.machine);
            self.broke("ran_twice", what, event.at_us);
        }
        self.check_cancelled(event.job, &name, event.at_us);
        if let Some(job) = self.experiment.job_request(event.job) {
            let used = self.cpus.entry(job.team.clone()).or_default();
            *used += job.cpus;
            if *used > self.experiment.max_team_cpus() + CPU_ROUNDING {
                let what = format!("{} uses {used}", job.team);
                self.broke("quota", what, event.at_us);
            }
        }
    }

    fn ended(&mut self, event: &TaskEvent) {
        let was = self.present.get_mut(&(event.job, event.task));
        if !was.is_some_and(|machines| machines.remove(&event.machine)) {
            return;
        }
        if let Some(job) = self.experiment.job_request(event.job) {
            *self.cpus.entry(job.team).or_default() -= job.cpus;
        }
        let name = format!("{}/{}", job_id(event.job), event.task);
        self.check_cancelled(event.job, &name, event.at_us);
    }

    fn check_cancelled(&mut self, job: u64, name: &str, at_us: u64) {
        if self
            .cancelled_us
            .get(&job)
            .is_some_and(|told| at_us > told + self.cancel_us)
        {
            self.broke("ran_cancelled", name.to_owned(), at_us);
        }
    }

    fn user(&mut self, event: &UserEvent) {
        let id = job_id(event.job);
        let (sent, now) = (
            HistoryTime::at_us(event.request_sent_us),
            event.at_us / 1_000,
        );
        self.rules.history.advance_to_us(event.at_us);
        match event.kind {
            UserEventKind::Submitted => {}
            UserEventKind::Accepted => {
                self.rules.history.record_acceptance(&id, now);
                self.rules.accepted.entry(id).or_insert(now);
            }
            UserEventKind::CancelRequested => {
                self.rules.history.record_cancel_request(&id, now);
                self.rules.cancel_requests.insert(id);
            }
            UserEventKind::Status(state) => {
                if state == JobState::Cancelled {
                    self.cancelled_us.entry(event.job).or_insert(event.at_us);
                }
                self.rules.record_status(&id, state, &self.jobs, sent, now);
            }
            UserEventKind::Missing => {
                self.rules
                    .record_negative_reply(&id, JobReply::Missing, sent, now)
            }
        }
    }

    /// What must hold at the end.
    fn finish(&mut self, end_us: u64) {
        let left: Vec<(u64, u64)> = self
            .present
            .iter()
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(task, _)| *task)
            .collect();
        for (job, task) in left {
            self.check_cancelled(job, &format!("{}/{task}", job_id(job)), end_us);
        }
        if self.rules.task_starts == 0 {
            self.broke("nothing_ran", "no task was started".to_owned(), end_us);
        }
    }
}
