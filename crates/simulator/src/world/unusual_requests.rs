//! Requests that users rarely make: repeated submissions of unfinished jobs, cancellations of jobs that are done,
//! jobs that can never run or that lack a field. And many jobs of one task each.

use super::*;

/// Pause between two odd requests, in ms.
const UNUSUAL_REQUEST_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Pause between two jobs of one task.
const ONE_TASK_JOB_INTERVAL_MS: u64 = 250;
/// Share of the jobs of one task that is cancelled, and after how many ms.
const ONE_TASK_CANCEL_PROBABILITY: f64 = 0.25;
const ONE_TASK_CANCEL_DELAY_MS: std::ops::Range<u64> = 50..12_000;

/// How an odd submission has to be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExpectedRejection {
    /// 400: a field is missing.
    Malformed,
    /// 422: the job can never run.
    NeverRuns,
}

impl World {
    /// One odd request, and the next one later.
    pub(super) fn unusual_request(&mut self) {
        if !self.active_faults.contains(&ActiveFault::UnusualRequests) {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => self.repeat_unfinished(),
            1 => self.cancel_done(),
            2 => self.submit_unfit(),
            _ => self.submit_incomplete(),
        }
        let pause = self.rng.random_range(UNUSUAL_REQUEST_INTERVAL_MS);
        self.at(self.now + pause, ScheduledEvent::SendUnusualRequest);
    }

    fn any_of(&mut self, ids: Vec<String>) -> Option<String> {
        let nth = self.rng.random_range(0..ids.len().max(1));
        ids.into_iter().nth(nth)
    }

    fn repeat_unfinished(&mut self) {
        let unfinished = self.unfinished();
        let Some(id) = self.any_of(unfinished) else {
            return;
        };
        let Some(job) = self.jobs.get(&id).cloned() else {
            return;
        };
        self.coverage.repeated_unfinished += 1;
        self.send_request(UserRequest::Submit(Box::new(job)), id, MAX_ATTEMPTS);
    }

    /// Nobody expects it to be called cancelled, so that it doesn't count as asked for.
    fn cancel_done(&mut self) {
        let done = self.rules.done_confirmed.keys().cloned().collect();
        let Some(id) = self.any_of(done) else { return };
        let Some(job) = JobId::parse(&id) else { return };
        self.coverage.cancelled_done += 1;
        self.send_request(UserRequest::Cancel(job), id, MAX_ATTEMPTS);
    }

    fn submit_unfit(&mut self) {
        let mut job = self.one_task();
        match self.rng.random_range(0..7) {
            0 => job.cpus = 64.0,
            1 => job.memory_gb = 1_000.0,
            2 => job.gpus = 1.0,
            3 => job.team = "nobody".into(),
            4 => job.types = Some(vec!["x9".into()]),
            5 => (job.kind, job.tasks) = (JobKind::Gang, 1_000 * self.plan.size),
            _ => (job.kind, job.tasks) = (JobKind::Service, 1_000 * self.plan.size),
        }
        self.invalid_jobs
            .insert(job.id.clone(), ExpectedRejection::NeverRuns);
        let id = job.id.clone();
        self.send_request(UserRequest::Submit(Box::new(job)), id, 0);
    }

    /// A submission without one of its fields, read as the server reads it.
    fn submit_incomplete(&mut self) {
        let job = self.one_task();
        let id = job.id.clone();
        let Ok(serde_json::Value::Object(mut body)) = serde_json::to_value(&job) else {
            return;
        };
        let nth = self.rng.random_range(0..body.len());
        let Some(field) = body.keys().nth(nth).cloned() else {
            return;
        };
        let removed = body.remove(&field);
        if self.plan.mutation == Some(Mutation::MissingFieldsFilled) {
            body.extend(removed.map(|value| (field, value)));
        }
        self.invalid_jobs
            .insert(id.clone(), ExpectedRejection::Malformed);
        match serde_json::from_value(serde_json::Value::Object(body)) {
            Ok(job) => self.send_request(UserRequest::Submit(Box::new(job)), id, 0),
            // The server answers 400 before any node sees it.
            Err(_) => self.record_rejection_of_invalid_job(id, ExpectedRejection::Malformed),
        }
    }

    /// An answer about an odd job: it has to be refused in the right way, and is unknown for ever.
    pub(super) fn check_invalid_job_reply(
        &mut self,
        asked: PendingRequest,
        expected: ExpectedRejection,
        reply: UserReply,
    ) {
        let PendingRequest {
            request, id, tries, ..
        } = asked;
        match reply {
            UserReply::Created(_) | UserReply::Status(_) => {
                let what = format!("{id}, {expected:?}: {reply:?}");
                self.rules
                    .record_violation("accepted_invalid", what, self.now);
            }
            UserReply::Invalid(_) => self.check_refusal(id, expected, ExpectedRejection::Malformed),
            UserReply::Rejected(_) => {
                self.check_refusal(id, expected, ExpectedRejection::NeverRuns)
            }
            UserReply::NotFound => {}
            UserReply::Busy { retry_after_s } => {
                self.retry_request(request, id, tries, retry_after_s)
            }
        }
    }

    fn check_refusal(
        &mut self,
        id: String,
        expected: ExpectedRejection,
        refusal: ExpectedRejection,
    ) {
        if refusal == expected {
            self.record_rejection_of_invalid_job(id, refusal);
        } else {
            let what = format!("{id} is refused as {refusal:?}, not {expected:?}");
            self.rules
                .record_violation("refused_wrongly", what, self.now);
        }
    }

    /// What was refused is asked about at every node.
    fn record_rejection_of_invalid_job(&mut self, id: String, refusal: ExpectedRejection) {
        match refusal {
            ExpectedRejection::Malformed => self.coverage.rejected_malformed += 1,
            ExpectedRejection::NeverRuns => self.coverage.rejected_unschedulable += 1,
        }
        let Some(job) = JobId::parse(&id) else { return };
        for node in 0..CONTROLLERS {
            let what = ScheduledEvent::SendFollowUp {
                node,
                request: UserRequest::Get(job),
                id: id.clone(),
            };
            self.at(self.now + 3, what);
        }
    }

    fn one_task(&mut self) -> JobRequest {
        let team = self.any_team();
        self.plain_array(team, 1)
    }

    /// One job of one task, and the next one later.
    pub(super) fn one_task_job(&mut self) {
        if !self.active_faults.contains(&ActiveFault::OneTaskJobs) {
            return;
        }
        let job = self.one_task();
        let id = job.id.clone();
        self.coverage.one_task_jobs += 1;
        self.submit_job(job);
        if self.rng.random_bool(ONE_TASK_CANCEL_PROBABILITY) {
            let after = self.rng.random_range(ONE_TASK_CANCEL_DELAY_MS);
            self.at(self.now + after, ScheduledEvent::CancelJob { id });
        }
        self.at(
            self.now + ONE_TASK_JOB_INTERVAL_MS,
            ScheduledEvent::SubmitOneTaskJob,
        );
    }

    fn any_team(&mut self) -> String {
        format!("t{}", self.rng.random_range(0..6))
    }

    /// A new array that any machine may run.
    pub(super) fn plain_array(&mut self, team: String, tasks: u64) -> JobRequest {
        self.next_job += 1;
        JobRequest {
            id: format!("j-{:06}", self.next_job * 7),
            class: "c".into(),
            team,
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: "img-0".into(),
            image_gb: 1.5,
            types: None,
            spread: false,
            zone: None,
            one_zone: false,
            spot: true,
            estimate_s: 6.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Submits a job and asks about it from time to time.
    pub(super) fn submit_job(&mut self, job: JobRequest) {
        let id = job.id.clone();
        self.jobs.insert(id.clone(), job.clone());
        self.submitted.insert(id.clone(), self.now);
        self.send_request(UserRequest::Submit(Box::new(job)), id.clone(), 0);
        self.at(self.now + 4_000, ScheduledEvent::PollStatus { id });
    }
}
