//! Users: submissions, status requests, cancellations, retries, and the checks of replies.

use super::events::{PendingRequest, ScheduledEvent};
use super::follow_ups::Confirmation;
use super::network::ActiveFault;
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

/// A load balancer sends requests to controllers that have been healthy for this time, in ms.
const MIN_HEALTHY_MS: u64 = 3_000;
/// Users give up after this many attempts.
pub(super) const MAX_ATTEMPTS: u32 = 60;

impl World {
    pub(super) fn submit_next_job(&mut self) {
        if self.now > self.plan.submit_until_ms {
            return;
        }
        self.submit_random_job();
        let pause = self.rng.random_range(700..2_800)
            / self
                .plan
                .size
                .min(self.parameters.max_submission_rate_factor);
        self.schedule(self.now + pause, ScheduledEvent::SubmitJob);
    }

    /// Submits a random job.
    pub(super) fn submit_random_job(&mut self) {
        let mut job = self.random_job();
        let id = job.id.clone();
        let factor = self.network.find_active(|fault| match fault {
            ActiveFault::LongTasks(times) => Some(*times),
            _ => None,
        });
        if let Some(factor) = factor {
            self.jobs.set_run_time_factor(id.clone(), factor);
            job.estimated_run_time_s *= factor as f64;
            if job.kind != JobKind::Service && self.jobs.count().is_multiple_of(2) {
                (job.checkpoint_interval_s, job.checkpoint_save_time_s) = (5.0, 3.0);
            }
        }
        self.jobs.add(job.clone(), self.now);
        if job.kind == JobKind::Service || job.class == FAILING_CLASS || self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10_000..50_000);
            self.schedule(
                self.now + after,
                ScheduledEvent::CancelJob { id: id.clone() },
            );
        }
        self.send_request(UserRequest::Submit(Box::new(job.clone())), id.clone(), 0);
        if self.rng.random_bool(0.1) {
            // A retry may arrive at any later time.
            let after = self.rng.random_range(500..40_000);
            let request = UserRequest::Submit(Box::new(job));
            self.schedule(
                self.now + after,
                ScheduledEvent::SendRequest {
                    request,
                    id: id.clone(),
                    attempts: 50,
                },
            );
        }
        if self.rng.random_bool(0.05) {
            self.send_request(UserRequest::Get(JobId(900_001)), "j-900001".into(), 0);
        }
        self.schedule(self.now + 4_000, ScheduledEvent::PollStatus { id });
    }

    fn random_job(&mut self) -> JobRequest {
        let id = self.jobs.next_id();
        let kind = match self.rng.random_range(0..10) {
            0..=2 => JobKind::Service,
            3..=4 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let tasks = match kind {
            JobKind::Service => self.rng.random_range(1..3),
            JobKind::Gang => self.rng.random_range(2..5),
            JobKind::Array => {
                self.rng.random_range(1..10)
                    * self.plan.size.min(self.parameters.max_array_size_factor)
            }
        };
        let zone = self.rng.random_bool(0.15).then(|| "a".to_owned());
        let together = zone.is_none() && self.rng.random_bool(0.2);
        let mistaken =
            self.network.is_active(&ActiveFault::FailingJobs) && self.rng.random_bool(0.4);
        // One of six teams at random, or two thirds of all jobs for one team: ten times the load of each
        // other.
        let heavy =
            self.network.is_active(&ActiveFault::SkewedLoad) && self.rng.random_range(0..15) < 9;
        let team = if heavy {
            0
        } else {
            self.rng.random_range(0..6)
        };
        JobRequest {
            id,
            class: if mistaken { FAILING_CLASS } else { "c" }.into(),
            team: format!("t{team}"),
            kind,
            priority: match self.rng.random_range(0..3) {
                0 => Priority::High,
                1 => Priority::Low,
                _ => Priority::Normal,
            },
            task_count: tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.5,
            allowed_machine_types: None,
            spread_over_zones: zone.is_none() && !together && self.rng.random_bool(0.2),
            zone,
            one_zone: together,
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

    /// Polls the status of a job until its user knows its terminal state.
    pub(super) fn poll_status(&mut self, id: String) {
        if !self.jobs.is_known_terminal(&id) {
            if let Some(job) = JobId::parse(&id) {
                self.send_request(UserRequest::Get(job), id.clone(), 0);
            }
            let often = self.network.is_active(&ActiveFault::StatusRequestStorm);
            self.schedule(
                self.now + if often { 300 } else { 5_000 },
                ScheduledEvent::PollStatus { id },
            );
        }
    }

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

    pub(super) fn send_request(&mut self, request: UserRequest, id: String, attempts: u32) {
        let reached = |n: &usize| {
            self.controllers[*n].is_some()
                && !self.network.is_active(&ActiveFault::UsersDisconnected(*n))
        };
        let alive: Vec<usize> = (0..CONTROLLERS).filter(reached).collect();
        if alive.is_empty() {
            if attempts < MAX_ATTEMPTS {
                let what = ScheduledEvent::SendRequest {
                    request,
                    id,
                    attempts: attempts + 1,
                };
                self.schedule(self.now + 1_000, what);
            }
            return;
        }
        let controller = alive[self.rng.random_range(0..alive.len())];
        self.send_request_to(controller, request, id, attempts);
    }

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
        let sent = self.rules.history.next_time(self.now);
        let pending_request = PendingRequest {
            request: request.clone(),
            id,
            attempts,
            sent_at: sent,
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

    /// Queries every accepted job, also those in a terminal state, by a status request or a repeated
    /// submission, through controllers that a load balancer would choose.
    pub(super) fn query_all_jobs(&mut self) {
        let ids: Vec<String> = self.rules.accepted.keys().cloned().collect();
        // Large sites are queried at a lower rate.
        let pause = if ids.len() > 300 { 20_000 } else { 5_000 };
        let serves = |n: &usize| {
            let long = self
                .service_checks
                .has_been_healthy_for(*n, MIN_HEALTHY_MS, self.now);
            long && self.controllers[*n].is_some()
                && !self.network.is_active(&ActiveFault::UsersDisconnected(*n))
        };
        let controllers: Vec<usize> = (0..CONTROLLERS).filter(serves).collect();
        for (nth, id) in ids.into_iter().enumerate() {
            self.service_checks
                .unanswered()
                .record_request(&id, self.now);
            let (Some(job), Some(number)) = (self.jobs.get(&id).cloned(), JobId::parse(&id)) else {
                continue;
            };
            let request = if nth % 3 == 0 {
                UserRequest::Submit(Box::new(job))
            } else {
                UserRequest::Get(number)
            };
            let Some(controller) =
                controllers.get(self.rng.random_range(0..controllers.len().max(1)))
            else {
                continue;
            };
            // Not retried if rejected: the next query follows soon.
            self.send_request_to(*controller, request, id, MAX_ATTEMPTS);
        }
        self.schedule(self.now + pause, ScheduledEvent::QueryAllJobs);
    }

    pub(super) fn handle_user_reply(&mut self, pending_request: PendingRequest, reply: UserReply) {
        if let Some(expected) = self.jobs.expected_rejection(&pending_request.id) {
            self.check_invalid_job_reply(pending_request, expected, reply);
            return;
        }
        let PendingRequest {
            request,
            id,
            attempts,
            sent_at: sent,
        } = pending_request;
        let now = self.now;
        let unanswered = self.plan.mutation == Some(Mutation::SomeStatusRequestsUnanswered)
            && JobId::parse(&id).is_some_and(|job| job.0 % 49 == 0);
        if matches!(reply, UserReply::Status(_)) && !unanswered {
            self.service_checks.unanswered().record_answer(&id);
        }
        match reply {
            UserReply::Created(_) => {
                let first = self.jobs.submitted_at(&id).unwrap_or(now);
                self.acceptance_latencies_ms.push(now - first);
                self.rules.accepted.entry(id.clone()).or_insert(now);
                self.rules
                    .record_status(&id, JobState::Queued, self.jobs.all(), sent, now);
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
                    .record_status(&id, status.state, self.jobs.all(), sent, now);
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
                    .record_negative_reply(&id, JobReply::Missing, sent, now);
                if let UserRequest::Cancel(_) = request {
                    // Its submission may still be under way.
                    let what = ScheduledEvent::SendRequest {
                        request,
                        id,
                        attempts: attempts + 1,
                    };
                    if attempts < 30 {
                        self.schedule(now + 2_000, what);
                    }
                }
            }
            UserReply::Invalid(_) | UserReply::Rejected(_) => {
                self.rules
                    .record_negative_reply(&id, JobReply::Refused, sent, now);
            }
            UserReply::Busy { retry_after_s } => {
                self.busy_replies += 1;
                self.retry_request(request, id, attempts, retry_after_s);
            }
        }
    }

    /// Retries a rejected request, unless it is a status request or its user gives up.
    pub(super) fn retry_request(
        &mut self,
        request: UserRequest,
        id: String,
        attempts: u32,
        retry_after_s: u64,
    ) {
        if !matches!(request, UserRequest::Get(_)) && attempts < MAX_ATTEMPTS {
            let what = ScheduledEvent::SendRequest {
                request,
                id,
                attempts: attempts + 1,
            };
            self.schedule(self.now + retry_after_s.max(1) * 1_000, what);
        }
    }
}
