//! Checks of the service over time: replies about accepted jobs, starvation, service levels, and how long each
//! controller has been healthy.

use super::site::CONTROLLERS;
use crate::availability::Availability;
use crate::rules::RuleChecker;
use crate::starvation::StarvationChecker;
use crate::unanswered::UnansweredJobs;
use crate::worker::Worker;
use std::collections::{BTreeMap, HashMap};
use wire::users::{JobKind, JobRequest, Priority};

/// The observations of these checks. Times are in ms.
#[derive(Debug)]
pub(super) struct ServiceChecks {
    unanswered: UnansweredJobs,
    starvation: StarvationChecker,
    starved_low_priority: Vec<String>,
    availability: Availability,
    /// Time from which on no job may starve.
    faults_end_at: u64,
    /// Since when each controller has been healthy without a break.
    healthy_since: [Option<u64>; CONTROLLERS],
}

impl ServiceChecks {
    /// Checks of a run whose last fault ends at `faults_end_at`.
    pub(super) fn new(faults_end_at: u64) -> Self {
        ServiceChecks {
            unanswered: UnansweredJobs::default(),
            starvation: StarvationChecker::default(),
            starved_low_priority: Vec::new(),
            availability: Availability::default(),
            faults_end_at,
            healthy_since: [None; CONTROLLERS],
        }
    }

    /// Accepted jobs about which requests are without a reply.
    pub(super) fn unanswered(&mut self) -> &mut UnansweredJobs {
        &mut self.unanswered
    }

    /// The work served so far.
    pub(super) fn availability(&self) -> &Availability {
        &self.availability
    }

    /// Records the start of a task. `limit_cpus` is the limit of its team.
    pub(super) fn record_start(&mut self, task: &str, job: &JobRequest, limit_cpus: f64, now: u64) {
        self.availability
            .record_task_start(task, job, limit_cpus, now);
    }

    /// The starved jobs that are arrays of low priority. The scheduler keeps these off other machines than spot
    /// machines and gaps beside other work for a while, see `scheduler::best_effort`.
    pub(super) fn starved_low_priority(&self) -> &[String] {
        &self.starved_low_priority
    }

    /// Records whether a controller is healthy now.
    pub(super) fn record_health(&mut self, controller: usize, is_healthy: bool, now: u64) {
        let since = self.healthy_since[controller].filter(|_| is_healthy);
        self.healthy_since[controller] = since.or(is_healthy.then_some(now));
    }

    /// Whether a controller has been healthy without a break for at least this time.
    pub(super) fn has_been_healthy_for(
        &self,
        controller: usize,
        duration_ms: u64,
        now: u64,
    ) -> bool {
        self.healthy_since[controller].is_some_and(|since| now >= since + duration_ms)
    }

    /// Observes service levels and, once all faults have ended, records starved jobs as violations. `limits` are
    /// the teams' limits in CPUs.
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
            let detail = format!("{id} waits although there is free capacity for it");
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
