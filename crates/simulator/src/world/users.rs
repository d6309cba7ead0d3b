//! Users: what they submit, ask and cancel, and what they make of the answers.

use super::*;
use crate::history::Answer;

/// How long a node must have been healthy before a load balancer counts on it.
const MIN_HEALTHY_MS: u64 = 3_000;
/// Users give up after so many tries.
pub(super) const MAX_ATTEMPTS: u32 = 60;

impl World {
    pub(super) fn submit(&mut self) {
        if self.now > self.plan.submit_ms {
            return;
        }
        self.new_job();
        let pause = self.rng.random_range(700..2_800) / self.plan.size.min(self.parameters.often);
        self.at(self.now + pause, ScheduledEvent::SubmitJob);
    }

    pub(super) fn new_job(&mut self) {
        self.next_job += 1;
        let id = format!("j-{:06}", self.next_job * 7);
        let kind = match self.rng.random_range(0..10) {
            0..=2 => JobKind::Service,
            3..=4 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let tasks = match kind {
            JobKind::Service => self.rng.random_range(1..3),
            JobKind::Gang => self.rng.random_range(2..5),
            JobKind::Array => {
                self.rng.random_range(1..10) * self.plan.size.min(self.parameters.large)
            }
        };
        let zone = self.rng.random_bool(0.15).then(|| "a".to_owned());
        let together = zone.is_none() && self.rng.random_bool(0.2);
        let mistaken =
            self.active_faults.contains(&ActiveFault::FailingJobs) && self.rng.random_bool(0.4);
        // One of six teams, or two thirds of all for one of them: ten times what each other has.
        let heavy = self.active_faults.contains(&ActiveFault::SkewedLoad)
            && self.rng.random_range(0..15) < 9;
        let team = if heavy {
            0
        } else {
            self.rng.random_range(0..6)
        };
        let job = JobRequest {
            id: id.clone(),
            class: if mistaken { FAILING_CLASS } else { "c" }.into(),
            team: format!("t{team}"),
            kind,
            priority: match self.rng.random_range(0..3) {
                0 => Priority::High,
                1 => Priority::Low,
                _ => Priority::Normal,
            },
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.5,
            types: None,
            spread: zone.is_none() && !together && self.rng.random_bool(0.2),
            zone,
            one_zone: together,
            spot: self.rng.random_bool(0.5),
            estimate_s: match kind {
                JobKind::Service => 0.0,
                JobKind::Gang => 6.0,
                JobKind::Array => 6.0 * self.parameters.longer as f64,
            },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        let mut job = job;
        let long = self.active_faults.iter().find_map(|cut| match cut {
            ActiveFault::LongTasks(times) => Some(*times),
            _ => None,
        });
        if let Some(times) = long {
            self.long.insert(id.clone(), times);
            job.estimate_s *= times as f64;
            if kind != JobKind::Service && self.next_job.is_multiple_of(2) {
                (job.checkpoint_s, job.save_s) = (5.0, 3.0);
            }
        }
        self.jobs.insert(id.clone(), job.clone());
        self.submitted.insert(id.clone(), self.now);
        if kind == JobKind::Service || mistaken || self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10_000..50_000);
            self.at(
                self.now + after,
                ScheduledEvent::CancelJob { id: id.clone() },
            );
        }
        self.send_request(UserRequest::Submit(Box::new(job.clone())), id.clone(), 0);
        if self.rng.random_bool(0.1) {
            // A retry may arrive at any later time.
            let after = self.rng.random_range(500..40_000);
            let request = UserRequest::Submit(Box::new(job));
            self.at(
                self.now + after,
                ScheduledEvent::SendRequest {
                    request,
                    id: id.clone(),
                    tries: 50,
                },
            );
        }
        if self.rng.random_bool(0.05) {
            self.send_request(UserRequest::Get(JobId(900_001)), "j-900001".into(), 0);
        }
        self.at(self.now + 4_000, ScheduledEvent::PollStatus { id });
    }

    pub(super) fn guest_job(&mut self) {
        let job = JobRequest {
            class: "guests".into(),
            priority: Priority::Low,
            memory_gb: 1.0,
            image: "img-guests".into(),
            image_gb: 0.5,
            estimate_s: 20.0,
            checkpoint_s: 5.0,
            save_s: 1.0,
            ..self.plain_array("guest".into(), 20 * self.plan.size)
        };
        self.submit_job(job);
    }

    pub(super) fn send_request(&mut self, request: UserRequest, id: String, tries: u32) {
        let reached = |n: &usize| {
            self.nodes[*n].is_some()
                && !self
                    .active_faults
                    .contains(&ActiveFault::UsersDisconnected(*n))
        };
        let alive: Vec<usize> = (0..CONTROLLERS).filter(reached).collect();
        if alive.is_empty() {
            if tries < MAX_ATTEMPTS {
                let what = ScheduledEvent::SendRequest {
                    request,
                    id,
                    tries: tries + 1,
                };
                self.at(self.now + 1_000, what);
            }
            return;
        }
        let node = alive[self.rng.random_range(0..alive.len())];
        self.send_request_to(node, request, id, tries);
    }

    pub(super) fn send_request_to(
        &mut self,
        node: usize,
        request: UserRequest,
        id: String,
        tries: u32,
    ) {
        let Some(incarnation) = self.nodes[node].as_ref().map(|r| r.incarnation) else {
            return;
        };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let sent = self.rules.history.next_time(self.now);
        let pending_request = PendingRequest {
            request: request.clone(),
            id,
            tries,
            sent,
        };
        self.user_requests
            .insert((node, incarnation, ticket), pending_request);
        self.handle_event(node, Event::User { ticket, request });
    }

    /// Asks about every accepted job, also those long over, by a question or by submitting it again,
    /// through nodes that a load balancer would choose.
    pub(super) fn query_all_jobs(&mut self) {
        let ids: Vec<String> = self.rules.accepted.keys().cloned().collect();
        // A large site is asked more slowly.
        let pause = if ids.len() > 300 { 20_000 } else { 5_000 };
        let serves = |n: &usize| {
            let long = self.healthy_since[*n].is_some_and(|at| self.now >= at + MIN_HEALTHY_MS);
            long && self.nodes[*n].is_some()
                && !self
                    .active_faults
                    .contains(&ActiveFault::UsersDisconnected(*n))
        };
        let nodes: Vec<usize> = (0..CONTROLLERS).filter(serves).collect();
        for (nth, id) in ids.into_iter().enumerate() {
            self.unanswered.record_query(&id, self.now);
            let (Some(job), Some(number)) = (self.jobs.get(&id).cloned(), JobId::parse(&id)) else {
                continue;
            };
            let request = if nth % 3 == 0 {
                UserRequest::Submit(Box::new(job))
            } else {
                UserRequest::Get(number)
            };
            let Some(node) = nodes.get(self.rng.random_range(0..nodes.len().max(1))) else {
                continue;
            };
            // Not made again if refused: the next one comes soon.
            self.send_request_to(*node, request, id, MAX_ATTEMPTS);
        }
        self.at(self.now + pause, ScheduledEvent::QueryAllJobs);
    }

    pub(super) fn handle_user_reply(&mut self, pending_request: PendingRequest, reply: UserReply) {
        if let Some(expected) = self.invalid_jobs.get(&pending_request.id).copied() {
            self.check_invalid_job_reply(pending_request, expected, reply);
            return;
        }
        let PendingRequest {
            request,
            id,
            tries,
            sent,
        } = pending_request;
        let now = self.now;
        let unanswered = self.plan.mutation == Some(Mutation::SomeStatusRequestsUnanswered)
            && JobId::parse(&id).is_some_and(|job| job.0 % 49 == 0);
        if matches!(reply, UserReply::Status(_)) && !unanswered {
            self.unanswered.record_answer(&id);
        }
        match reply {
            UserReply::Created(_) => {
                let first = self.submitted.get(&id).copied().unwrap_or(now);
                self.acceptance_latencies_ms.push(now - first);
                self.rules.accepted.entry(id.clone()).or_insert(now);
                self.rules
                    .record_status(&id, JobState::Queued, &self.jobs, sent, now);
                self.schedule_follow_ups(&id, Confirmation::Accepted);
            }
            UserReply::Status(status) => {
                if let UserRequest::Submit(_) = request {
                    self.rules.accepted.entry(id.clone()).or_insert(now);
                }
                if matches!(status.state, JobState::Done | JobState::Cancelled) {
                    self.settled.insert(id.clone());
                }
                self.rules
                    .record_status(&id, status.state, &self.jobs, sent, now);
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
                self.rules.record_missing(&id, Answer::Missing, sent, now);
                if let UserRequest::Cancel(_) = request {
                    // Its submission may still be under way.
                    let what = ScheduledEvent::SendRequest {
                        request,
                        id,
                        tries: tries + 1,
                    };
                    if tries < 30 {
                        self.at(now + 2_000, what);
                    }
                }
            }
            UserReply::Invalid(_) | UserReply::Rejected(_) => {
                self.rules.record_missing(&id, Answer::Refused, sent, now);
            }
            UserReply::Busy { retry_after_s } => {
                self.rejected_busy += 1;
                self.retry_request(request, id, tries, retry_after_s);
            }
        }
    }

    /// Repeats a refused request, unless it is a question or its user gives up.
    pub(super) fn retry_request(
        &mut self,
        request: UserRequest,
        id: String,
        tries: u32,
        retry_after_s: u64,
    ) {
        if !matches!(request, UserRequest::Get(_)) && tries < MAX_ATTEMPTS {
            let what = ScheduledEvent::SendRequest {
                request,
                id,
                tries: tries + 1,
            };
            self.at(self.now + retry_after_s.max(1) * 1_000, what);
        }
    }
}
