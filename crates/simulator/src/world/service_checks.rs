//! Checks of the service over time: answers about accepted jobs, starvation, service levels, and how long each
//! controller has been healthy.

use super::site::CONTROLLERS;
use crate::availability::Availability;
use crate::rules::RuleChecker;
use crate::starvation::StarvationChecker;
use crate::unanswered::UnansweredJobs;
use crate::worker::Worker;
use std::collections::{BTreeMap, HashMap};
use wire::users::{JobKind, JobRequest, Priority};

/// What the checks have seen. Times are in ms.
#[derive(Debug)]
pub(super) struct ServiceChecks {
    unanswered: UnansweredJobs,
    starvation: StarvationChecker,
    starved_low_priority: Vec<String>,
    availability: Availability,
    /// From this time on no job may starve.
    faults_end_at: u64,
    healthy_since: [Option<u64>; CONTROLLERS],
}

impl ServiceChecks {
    /// Checks of a run whose last fault ends at `faults_over`.
    pub(super) fn new(faults_over: u64) -> Self {
        ServiceChecks {
            unanswered: UnansweredJobs::default(),
            starvation: StarvationChecker::default(),
            starved_low_priority: Vec::new(),
            availability: Availability::default(),
            faults_end_at: faults_over,
            healthy_since: [None; CONTROLLERS],
        }
    }

    /// Accepted jobs and whether their status requests are answered.
    pub(super) fn unanswered(&mut self) -> &mut UnansweredJobs {
        &mut self.unanswered
    }

    /// What has been served so far.
    pub(super) fn availability(&self) -> &Availability {
        &self.availability
    }

    /// A task has started; `limit` is its team's, in CPUs.
    pub(super) fn record_start(&mut self, task: &str, job: &JobRequest, limit: f64, now: u64) {
        self.availability.record_task_start(task, job, limit, now);
    }

    /// Those of the starved jobs that are arrays of low priority. They are left to spot machines and to the gaps
    /// beside other work for a while, see `scheduler::best_effort`.
    pub(super) fn starved_low_priority(&self) -> &[String] {
        &self.starved_low_priority
    }

    /// Records whether a controller is healthy now.
    pub(super) fn record_health(&mut self, controller: usize, healthy: bool, now: u64) {
        let since = self.healthy_since[controller].filter(|_| healthy);
        self.healthy_since[controller] = since.or(healthy.then_some(now));
    }

    /// Whether a controller has been healthy without a break for so long.
    pub(super) fn has_been_healthy_for(
        &self,
        controller: usize,
        duration_ms: u64,
        now: u64,
    ) -> bool {
        self.healthy_since[controller].is_some_and(|since| now >= since + duration_ms)
    }

    /// Observes service levels, and records jobs that starve as violations.
    pub(super) fn observe(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &HashMap<String, JobRequest>,
        limits: &BTreeMap<String, f64>,
        rules: &mut RuleChecker,
        now: u64,
    ) {
        let (accepted, cancelled) = (&rules.accepted, &rules.cancel_requests);
        self.availability
            .observe(workers, jobs, accepted, cancelled, now);
        if now < self.faults_end_at {
            return;
        }
        let unfinished = accepted
            .keys()
            .filter(|id| !rules.done_confirmed.contains_key(*id) && !cancelled.contains(*id));
        let starved = self
            .starvation
            .observe(workers, jobs, unfinished, limits, now);
        for id in starved {
            let detail = format!("{id} waits beside room for it");
            rules.record_violation("starved", detail, now);
            if jobs.get(&id).is_some_and(is_low_priority_array) {
                self.starved_low_priority.push(id);
            }
        }
    }
}

fn is_low_priority_array(job: &JobRequest) -> bool {
    job.kind == JobKind::Array && job.priority == Priority::Low
}
