//! Users: submissions, status requests, cancellations and retries, and the handling of replies.

use super::active_fault::ActiveFault;
use super::events::{PendingRequest, ScheduledEvent, MAX_ATTEMPTS};
use super::follow_ups::Confirmation;
use super::open_requests::TicketKey;
use super::scenario::Mutation;
use super::site::CONTROLLERS;
use super::World;
use crate::history::JobReply;
use crate::worker::FAILING_CLASS;
use controller::{Event, UserReply, UserRequest};
use model::JobId;
use rand::Rng;
use wire::users::{JobKind, JobRequest, JobState, Priority};

/// A load balancer sends requests only to controllers that have been healthy for at least this time.
const MIN_HEALTHY_MS: u64 = 3_000;

impl World {
    /// Submits a random job and schedules the next one, until the end of submissions.
    pub(super) fn submit_next_job(&mut self) {
        if self.now > self.plan.submit_until_ms {
            return;
        }
        self.submit_random_job();
        let interval_ms = self.rng.random_range(700..2_800)
            / self
                .plan
                .size
                .min(self.parameters.max_submission_rate_factor);
        self.schedule(self.now + interval_ms, ScheduledEvent::SubmitJob);
    }

    /// Submits a random job and polls its status. Services, jobs that fail, and 10 % of the others are cancelled
    /// later; 10 % of the submissions are repeated.
    pub(super) fn submit_random_job(&mut self) {
        let mut job = self.random_job();
        let id = job.id.clone();
        if let Some(factor) = self.long_tasks_factor() {
            self.jobs.set_run_time_factor(id.clone(), factor);
            job.estimated_run_time_s *= factor as f64;
            if job.kind != JobKind::Service && self.jobs.count().is_multiple_of(2) {
                (job.checkpoint_interval_s, job.checkpoint_save_time_s) = (5.0, 3.0);
            }
        }
        self.jobs.add(job.clone(), self.now);
        if job.kind == JobKind::Service || job.class == FAILING_CLASS || self.rng.random_bool(0.1) {
            let delay_ms = self.rng.random_range(10_000..50_000);
            self.schedule(
                self.now + delay_ms,
                ScheduledEvent::CancelJob { id: id.clone() },
            );
        }
        self.send_request(UserRequest::Submit(Box::new(job.clone())), id.clone(), 0);
        if self.rng.random_bool(0.1) {
            // A repeated submission may arrive at any later time. It is retried at most ten times.
            let delay_ms = self.rng.random_range(500..40_000);
            let request = UserRequest::Submit(Box::new(job));
            self.schedule(
                self.now + delay_ms,
                ScheduledEvent::SendRequest {
                    request,
                    id: id.clone(),
                    attempts: 50,
                },
            );
        }
        if self.rng.random_bool(0.05) {
            // No job has this id.
            self.send_request(UserRequest::Get(JobId(900_001)), "j-900001".into(), 0);
        }
        self.schedule(self.now + 4_000, ScheduledEvent::PollStatus { id });
    }

    /// Returns a new random job of one of six teams.
    fn random_job(&mut self) -> JobRequest {
        let id = self.jobs.next_id();
        let kind = match self.rng.random_range(0..10) {
            0..=2 => JobKind::Service,
            3..=4 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let task_count = match kind {
            JobKind::Service => self.rng.random_range(1..3),
            JobKind::Gang => self.rng.random_range(2..5),
            JobKind::Array => {
                self.rng.random_range(1..10)
                    * self.plan.size.min(self.parameters.max_array_size_factor)
            }
        };
        let zone = self.rng.random_bool(0.15).then(|| "a".to_owned());
        let one_zone = zone.is_none() && self.rng.random_bool(0.2);
        let is_failing =
            self.network.is_active(&ActiveFault::FailingJobs) && self.rng.random_bool(0.4);
        // With skewed load, team 0 submits two thirds of all jobs, which is ten times the share of each other team:
        // 60 % directly, and a sixth of the rest.
        let is_of_heavy_team =
            self.network.is_active(&ActiveFault::SkewedLoad) && self.rng.random_range(0..15) < 9;
        let team = if is_of_heavy_team {
            0
        } else {
            self.rng.random_range(0..6)
        };
        JobRequest {
            id,
            class: if is_failing { FAILING_CLASS } else { "c" }.into(),
            team: format!("t{team}"),
            kind,
            priority: match self.rng.random_range(0..3) {
                0 => Priority::High,
                1 => Priority::Low,
                _ => Priority::Normal,
            },
            task_count,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.5,
            allowed_machine_types: None,
            spread_over_zones: zone.is_none() && !one_zone && self.rng.random_bool(0.2),
            zone,
            one_zone,
            spot_allowed: self.rng.random_bool(0.5),
            estimated_run_time_s: match kind {
                JobKind::Service => 0.0,
                JobKind::Gang => 6.0,
                JobKind::Array => 6.0 * self.parameters.run_time_factor as f64,
            },
            checkpoint_interval_s: 0.0,
            checkpoint_save_time_s: 0.0,
            deadline_s: None,
        }
    }

    /// Requests the status of a job and schedules the next poll, until its user knows its terminal state.
    pub(super) fn poll_status(&mut self, id: String) {
        if !self.jobs.is_known_terminal(&id) {
            if let Some(job) = JobId::parse(&id) {
                self.send_request(UserRequest::Get(job), id.clone(), 0);
            }
            let is_storm = self.network.is_active(&ActiveFault::StatusRequestStorm);
            self.schedule(
                self.now + if is_storm { 300 } else { 5_000 },
                ScheduledEvent::PollStatus { id },
            );
        }
    }

    /// Submits an array of low priority of the guest team.
    pub(super) fn submit_guest_job(&mut self) {
        let job = JobRequest {
            class: "guests".into(),
            priority: Priority::Low,
            memory_gb: 1.0,
            image: "img-guests".into(),
            image_gb: 0.5,
            estimated_run_time_s: 20.0,
            checkpoint_interval_s: 5.0,
            checkpoint_save_time_s: 1.0,
            ..self.new_array("guest".into(), 20 * self.plan.size)
        };
        self.submit_job(job);
    }

    /// Factor by which the tasks of jobs that are submitted now run longer, if that fault is active.
    fn long_tasks_factor(&self) -> Option<u64> {
        self.network.find_active(|fault| match fault {
            ActiveFault::LongTasks(factor) => Some(*factor),
            _ => None,
        })
    }

    /// Submits an array of tasks of 0.003 CPUs.
    pub(super) fn submit_small_tasks(&mut self, tasks: u64) {
        let job = JobRequest {
            class: "small".into(),
            cpus: 0.003,
            memory_gb: 0.01,
            image: "img-small".into(),
            image_gb: 0.2,
            ..self.new_array("t0".into(), tasks)
        };
        if let Some(factor) = self.long_tasks_factor() {
            self.jobs.set_run_time_factor(job.id.clone(), factor);
        }
        self.submit_job(job);
    }

    /// Sends a request to a random controller among those that users can reach. If there is none, the user tries
    /// again after 1 s.
    pub(super) fn send_request(&mut self, request: UserRequest, id: String, attempts: u32) {
        let is_reachable = |n: &usize| {
            self.controllers[*n].is_some()
                && !self.network.is_active(&ActiveFault::UsersDisconnected(*n))
        };
        let reachable: Vec<usize> = (0..CONTROLLERS).filter(is_reachable).collect();
        if reachable.is_empty() {
            if attempts < MAX_ATTEMPTS {
                let retry = ScheduledEvent::SendRequest {
                    request,
                    id,
                    attempts: attempts + 1,
                };
                self.schedule(self.now + 1_000, retry);
            }
            return;
        }
        let controller = reachable[self.rng.random_range(0..reachable.len())];
        self.send_request_to(controller, request, id, attempts);
    }

    /// Sends a request to one controller; it is dropped if the controller is down.
    pub(super) fn send_request_to(
        &mut self,
        controller: usize,
        request: UserRequest,
        id: String,
        attempts: u32,
    ) {
        let Some(incarnation) = self.controllers[controller].as_ref().map(|r| r.incarnation) else {
            return;
        };
        let ticket = self.open_requests.next_ticket();
        let sent_at = self.rules.history.next_time(self.now);
        let pending_request = PendingRequest {
            request: request.clone(),
            id,
            attempts,
            sent_at,
        };
        self.open_requests.add_user_request(
            TicketKey {
                controller,
                incarnation,
                ticket,
            },
            pending_request,
        );
        self.handle_event(controller, Event::User { ticket, request });
    }

    /// Queries every accepted job, also those in a terminal state, by a status request or a repeated submission, and
    /// schedules the next round. The requests go to controllers that a load balancer would choose.
    pub(super) fn query_all_jobs(&mut self) {
        let ids: Vec<String> = self.rules.accepted.keys().cloned().collect();
        // Large sites are queried at a lower rate.
        let interval_ms = if ids.len() > 300 { 20_000 } else { 5_000 };
        let is_chosen_by_load_balancer = |n: &usize| {
            let is_healthy = self
                .service_checks
                .has_been_healthy_for(*n, MIN_HEALTHY_MS, self.now);
            is_healthy
                && self.controllers[*n].is_some()
                && !self.network.is_active(&ActiveFault::UsersDisconnected(*n))
        };
        let controllers: Vec<usize> = (0..CONTROLLERS)
            .filter(is_chosen_by_load_balancer)
            .collect();
        for (index, id) in ids.into_iter().enumerate() {
            self.service_checks
                .unanswered()
                .record_request(&id, self.now);
            let (Some(job), Some(job_id)) = (self.jobs.get(&id).cloned(), JobId::parse(&id)) else {
                continue;
            };
            let request = if index % 3 == 0 {
                UserRequest::Submit(Box::new(job))
            } else {
                UserRequest::Get(job_id)
            };
            let Some(controller) =
                controllers.get(self.rng.random_range(0..controllers.len().max(1)))
            else {
                continue;
            };
            // Not retried if rejected: the next query follows soon.
            self.send_request_to(*controller, request, id, MAX_ATTEMPTS);
        }
        self.schedule(self.now + interval_ms, ScheduledEvent::QueryAllJobs);
    }

    /// Checks a controller's reply to a user's request against the rules and reacts as the user does: by follow-up
    /// requests or a retry.
    pub(super) fn handle_user_reply(&mut self, pending_request: PendingRequest, reply: UserReply) {
        if let Some(expected) = self.jobs.expected_rejection(&pending_request.id) {
            self.check_invalid_job_reply(pending_request, expected, reply);
            return;
        }
        let PendingRequest {
            request,
            id,
            attempts,
            sent_at,
        } = pending_request;
        let now = self.now;
        let counts_as_unanswered = self.plan.mutation
            == Some(Mutation::SomeStatusRequestsUnanswered)
            && JobId::parse(&id).is_some_and(|job| job.0 % 49 == 0);
        if matches!(reply, UserReply::Status(_)) && !counts_as_unanswered {
            self.service_checks.unanswered().record_answer(&id);
        }
        match reply {
            UserReply::Created(_) => {
                let submitted_at = self.jobs.submitted_at(&id).unwrap_or(now);
                self.acceptance_latencies_ms.push(now - submitted_at);
                self.rules.accepted.entry(id.clone()).or_insert(now);
                self.rules
                    .record_status(&id, JobState::Queued, self.jobs.all(), sent_at, now);
                self.schedule_follow_ups(&id, Confirmation::Accepted);
            }
            UserReply::Status(status) => {
                if let UserRequest::Submit(_) = request {
                    self.rules.accepted.entry(id.clone()).or_insert(now);
                }
                if matches!(status.state, JobState::Done | JobState::Cancelled) {
                    self.jobs.record_known_terminal(id.clone());
                }
                self.rules
                    .record_status(&id, status.state, self.jobs.all(), sent_at, now);
                match (status.state, &request) {
                    (JobState::Done, _) => self.schedule_follow_ups(&id, Confirmation::Done),
                    (JobState::Cancelled, _) => {
                        self.schedule_follow_ups(&id, Confirmation::Cancelled)
                    }
                    (_, UserRequest::Submit(_)) => {
                        self.schedule_follow_ups(&id, Confirmation::Accepted)
                    }
                    _ => {}
                }
            }
            UserReply::NotFound => {
                self.rules
                    .record_negative_reply(&id, JobReply::Missing, sent_at, now);
                if let UserRequest::Cancel(_) = request {
                    // The submission of the job may still be in transit.
                    let retry = ScheduledEvent::SendRequest {
                        request,
                        id,
                        attempts: attempts + 1,
                    };
                    if attempts < 30 {
                        self.schedule(now + 2_000, retry);
                    }
                }
            }
            UserReply::Invalid(_) | UserReply::Rejected(_) => {
                self.rules
                    .record_negative_reply(&id, JobReply::Refused, sent_at, now);
            }
            UserReply::Busy { retry_after_s } => {
                self.busy_replies += 1;
                self.retry_request(request, id, attempts, retry_after_s);
            }
        }
    }

    /// Schedules a retry of a request that was rejected because of overload, unless it is a status request or its
    /// user gives up.
    pub(super) fn retry_request(
        &mut self,
        request: UserRequest,
        id: String,
        attempts: u32,
        retry_after_s: u64,
    ) {
        if !matches!(request, UserRequest::Get(_)) && attempts < MAX_ATTEMPTS {
            let retry = ScheduledEvent::SendRequest {
                request,
                id,
                attempts: attempts + 1,
            };
            self.schedule(self.now + retry_after_s.max(1) * 1_000, retry);
        }
    }
}
