//! Unusual requests: repeated submissions of unfinished jobs, cancellations of completed jobs, submissions of
//! unschedulable jobs and of jobs that lack a field. Also submissions of many jobs of one task each.

use super::active_fault::ActiveFault;
use super::events::{PendingRequest, ScheduledEvent, MAX_ATTEMPTS};
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use controller::{UserReply, UserRequest};
use model::JobId;
use rand::Rng;
use wire::users::{JobKind, JobRequest, Priority};

/// Time between two unusual requests.
const UNUSUAL_REQUEST_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Time between two jobs of one task.
const ONE_TASK_JOB_INTERVAL_MS: u64 = 250;
/// Share of the jobs of one task that is cancelled, and the time from submission to cancellation.
const ONE_TASK_CANCEL_PROBABILITY: f64 = 0.25;
const ONE_TASK_CANCEL_DELAY_MS: std::ops::Range<u64> = 50..12_000;

/// How an invalid submission has to be rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExpectedRejection {
    /// 400: a field is missing.
    Malformed,
    /// 422: the job can never run, for example because it fits no machine type.
    Unschedulable,
}

impl World {
    /// Sends one unusual request and schedules the next one.
    pub(super) fn send_unusual_request(&mut self) {
        if !self.network.is_active(&ActiveFault::UnusualRequests) {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => self.resubmit_unfinished_job(),
            1 => self.cancel_done_job(),
            2 => self.submit_unschedulable_job(),
            _ => self.submit_malformed_job(),
        }
        let interval_ms = self.rng.random_range(UNUSUAL_REQUEST_INTERVAL_MS);
        self.schedule(self.now + interval_ms, ScheduledEvent::SendUnusualRequest);
    }

    /// One of the ids at random.
    fn choose_one(&mut self, ids: Vec<String>) -> Option<String> {
        let index = self.rng.random_range(0..ids.len().max(1));
        ids.into_iter().nth(index)
    }

    /// Repeats the submission of a random unfinished job.
    fn resubmit_unfinished_job(&mut self) {
        let unfinished = self.unfinished_jobs();
        let Some(id) = self.choose_one(unfinished) else {
            return;
        };
        let Some(job) = self.jobs.get(&id).cloned() else {
            return;
        };
        self.coverage.resubmitted_unfinished_jobs += 1;
        self.send_request(UserRequest::Submit(Box::new(job)), id, MAX_ATTEMPTS);
    }

    /// Cancels a random job that is done. It has to stay done, so the cancellation is not recorded as requested.
    fn cancel_done_job(&mut self) {
        let done = self.rules.done_confirmed.keys().cloned().collect();
        let Some(id) = self.choose_one(done) else {
            return;
        };
        let Some(job) = JobId::parse(&id) else { return };
        self.coverage.cancellations_of_done_jobs += 1;
        self.send_request(UserRequest::Cancel(job), id, MAX_ATTEMPTS);
    }

    /// Submits a job that can never run: it fits no machine type, its team is unknown, or it exceeds limits.
    fn submit_unschedulable_job(&mut self) {
        let mut job = self.new_one_task_job();
        match self.rng.random_range(0..7) {
            0 => job.cpus = 64.0,
            1 => job.memory_gb = 1_000.0,
            2 => job.gpus = 1.0,
            3 => job.team = "nobody".into(),
            4 => job.allowed_machine_types = Some(vec!["x9".into()]),
            5 => (job.kind, job.task_count) = (JobKind::Gang, 1_000 * self.plan.size),
            _ => (job.kind, job.task_count) = (JobKind::Service, 1_000 * self.plan.size),
        }
        self.jobs
            .expect_rejection(job.id.clone(), ExpectedRejection::Unschedulable);
        let id = job.id.clone();
        self.send_request(UserRequest::Submit(Box::new(job)), id, 0);
    }

    /// Submits a job without one of its fields. The body is deserialised as the HTTP server does it.
    fn submit_malformed_job(&mut self) {
        let job = self.new_one_task_job();
        let id = job.id.clone();
        let Ok(serde_json::Value::Object(mut body)) = serde_json::to_value(&job) else {
            return;
        };
        let field_index = self.rng.random_range(0..body.len());
        let Some(field) = body.keys().nth(field_index).cloned() else {
            return;
        };
        let removed_value = body.remove(&field);
        if self.plan.mutation == Some(Mutation::MissingFieldsFilled) {
            body.extend(removed_value.map(|value| (field, value)));
        }
        self.jobs
            .expect_rejection(id.clone(), ExpectedRejection::Malformed);
        match serde_json::from_value(serde_json::Value::Object(body)) {
            Ok(job) => self.send_request(UserRequest::Submit(Box::new(job)), id, 0),
            // The HTTP server answers 400 without passing the request to the controller.
            Err(_) => self.record_rejection_of_invalid_job(id, ExpectedRejection::Malformed),
        }
    }

    /// Checks a reply about an invalid job: its submission has to be rejected with the expected status, and status
    /// requests have to find no such job.
    pub(super) fn check_invalid_job_reply(
        &mut self,
        pending_request: PendingRequest,
        expected: ExpectedRejection,
        reply: UserReply,
    ) {
        let PendingRequest {
            request,
            id,
            attempts,
            ..
        } = pending_request;
        match reply {
            UserReply::Created(_) | UserReply::Status(_) => {
                let details = format!("{id}, {expected:?}: {reply:?}");
                self.rules
                    .record_violation("accepted_invalid", details, self.now);
            }
            UserReply::Invalid(_) => {
                self.check_rejection(id, expected, ExpectedRejection::Malformed)
            }
            UserReply::Rejected(_) => {
                self.check_rejection(id, expected, ExpectedRejection::Unschedulable)
            }
            UserReply::NotFound => {}
            UserReply::Busy { retry_after_s } => {
                self.retry_request(request, id, attempts, retry_after_s)
            }
        }
    }

    /// Records a rejection of an invalid job, or a violation if it is of the wrong kind.
    fn check_rejection(
        &mut self,
        id: String,
        expected: ExpectedRejection,
        rejection: ExpectedRejection,
    ) {
        if rejection == expected {
            self.record_rejection_of_invalid_job(id, rejection);
        } else {
            let details = format!("{id} is rejected as {rejection:?}, not {expected:?}");
            self.rules
                .record_violation("refused_wrongly", details, self.now);
        }
    }

    /// Counts a rejection, and schedules status requests about the rejected job at every controller.
    fn record_rejection_of_invalid_job(&mut self, id: String, rejection: ExpectedRejection) {
        match rejection {
            ExpectedRejection::Malformed => self.coverage.rejected_malformed += 1,
            ExpectedRejection::Unschedulable => self.coverage.rejected_unschedulable += 1,
        }
        let Some(job) = JobId::parse(&id) else { return };
        for controller in 0..CONTROLLERS {
            let status_request = ScheduledEvent::SendFollowUp {
                controller,
                request: UserRequest::Get(job),
                id: id.clone(),
            };
            self.schedule(self.now + 3, status_request);
        }
    }

    /// Returns a new array of one task of a random team.
    fn new_one_task_job(&mut self) -> JobRequest {
        let team = self.random_team();
        self.new_array(team, 1)
    }

    /// Submits one job of one task and schedules the next one.
    pub(super) fn submit_one_task_job(&mut self) {
        if !self.network.is_active(&ActiveFault::OneTaskJobs) {
            return;
        }
        let job = self.new_one_task_job();
        let id = job.id.clone();
        self.coverage.one_task_jobs += 1;
        self.submit_job(job);
        if self.rng.random_bool(ONE_TASK_CANCEL_PROBABILITY) {
            let delay_ms = self.rng.random_range(ONE_TASK_CANCEL_DELAY_MS);
            self.schedule(self.now + delay_ms, ScheduledEvent::CancelJob { id });
        }
        self.schedule(
            self.now + ONE_TASK_JOB_INTERVAL_MS,
            ScheduledEvent::SubmitOneTaskJob,
        );
    }

    fn random_team(&mut self) -> String {
        format!("t{}", self.rng.random_range(0..6))
    }

    /// Returns a new array that may run on any machine.
    pub(super) fn new_array(&mut self, team: String, tasks: u64) -> JobRequest {
        JobRequest {
            id: self.jobs.next_id(),
            class: "c".into(),
            team,
            kind: JobKind::Array,
            priority: Priority::Normal,
            task_count: tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: "img-0".into(),
            image_gb: 1.5,
            allowed_machine_types: None,
            spread_over_zones: false,
            zone: None,
            one_zone: false,
            spot_allowed: true,
            estimated_run_time_s: 6.0,
            checkpoint_interval_s: 0.0,
            checkpoint_save_time_s: 0.0,
            deadline_s: None,
        }
    }

    /// Submits a job and polls its status.
    pub(super) fn submit_job(&mut self, job: JobRequest) {
        let id = job.id.clone();
        self.jobs.add(job.clone(), self.now);
        self.send_request(UserRequest::Submit(Box::new(job)), id.clone(), 0);
        self.schedule(self.now + 4_000, ScheduledEvent::PollStatus { id });
    }
}
