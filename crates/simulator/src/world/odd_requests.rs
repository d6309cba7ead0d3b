//! Requests that users rarely make: repeated submissions of unfinished jobs, cancellations of jobs that are done,
//! jobs that can never run or that lack a field. And many jobs of one task each.

use super::*;

/// Pause between two odd requests, in ms.
const ODD_PAUSE: std::ops::Range<u64> = 100..500;
/// Pause between two jobs of one task.
const ONE_TASK_PAUSE: u64 = 250;
/// Share of the jobs of one task that is cancelled, and after how many ms.
const ONE_TASK_CANCELLED: f64 = 0.25;
const ONE_TASK_CANCEL: std::ops::Range<u64> = 50..12_000;

/// How an odd submission has to be refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// 400: a field is missing.
    Malformed,
    /// 422: the job can never run.
    NeverRuns,
}

impl World {
    /// One odd request, and the next one later.
    pub(super) fn odd_request(&mut self) {
        if !self.cuts.contains(&Cut::OddRequests) {
            return;
        }
        match self.rng.random_range(0..4) {
            0 => self.repeat_unfinished(),
            1 => self.cancel_done(),
            2 => self.submit_unfit(),
            _ => self.submit_incomplete(),
        }
        let pause = self.rng.random_range(ODD_PAUSE);
        self.at(self.now + pause, Happening::OddRequest);
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
        self.met.repeated_unfinished += 1;
        self.ask(UserRequest::Submit(Box::new(job)), id, LAST_TRY);
    }

    /// Nobody expects it to be called cancelled, so that it doesn't count as asked for.
    fn cancel_done(&mut self) {
        let done = self.rules.done_told.keys().cloned().collect();
        let Some(id) = self.any_of(done) else { return };
        let Some(job) = JobId::parse(&id) else { return };
        self.met.cancelled_done += 1;
        self.ask(UserRequest::Cancel(job), id, LAST_TRY);
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
        self.odd_jobs.insert(job.id.clone(), Refusal::NeverRuns);
        let id = job.id.clone();
        self.ask(UserRequest::Submit(Box::new(job)), id, 0);
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
        if self.plan.sabotage == Some(Sabotage::MissingFieldsFilled) {
            body.extend(removed.map(|value| (field, value)));
        }
        self.odd_jobs.insert(id.clone(), Refusal::Malformed);
        match serde_json::from_value(serde_json::Value::Object(body)) {
            Ok(job) => self.ask(UserRequest::Submit(Box::new(job)), id, 0),
            // The server answers 400 before any node sees it.
            Err(_) => self.refused_odd(id, Refusal::Malformed),
        }
    }

    /// An answer about an odd job: it has to be refused in the right way, and is unknown for ever.
    pub(super) fn odd_answer(&mut self, asked: Asked, expected: Refusal, reply: UserReply) {
        let Asked {
            request, id, tries, ..
        } = asked;
        match reply {
            UserReply::Created(_) | UserReply::Status(_) => {
                let what = format!("{id}, {expected:?}: {reply:?}");
                self.rules.broke("accepted_invalid", what, self.now);
            }
            UserReply::Invalid(_) => self.check_refusal(id, expected, Refusal::Malformed),
            UserReply::Rejected(_) => self.check_refusal(id, expected, Refusal::NeverRuns),
            UserReply::NotFound => {}
            UserReply::Busy { retry_after_s } => self.ask_again(request, id, tries, retry_after_s),
        }
    }

    fn check_refusal(&mut self, id: String, expected: Refusal, refusal: Refusal) {
        if refusal == expected {
            self.refused_odd(id, refusal);
        } else {
            let what = format!("{id} is refused as {refusal:?}, not {expected:?}");
            self.rules.broke("refused_wrongly", what, self.now);
        }
    }

    /// What was refused is asked about at every node.
    fn refused_odd(&mut self, id: String, refusal: Refusal) {
        match refusal {
            Refusal::Malformed => self.met.refused_malformed += 1,
            Refusal::NeverRuns => self.met.refused_unfit += 1,
        }
        let Some(job) = JobId::parse(&id) else { return };
        for node in 0..NODES {
            let what = Happening::Look {
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
        if !self.cuts.contains(&Cut::OneTaskJobs) {
            return;
        }
        let job = self.one_task();
        let id = job.id.clone();
        self.met.one_task_jobs += 1;
        self.submit_job(job);
        if self.rng.random_bool(ONE_TASK_CANCELLED) {
            let after = self.rng.random_range(ONE_TASK_CANCEL);
            self.at(self.now + after, Happening::Cancel { id });
        }
        self.at(self.now + ONE_TASK_PAUSE, Happening::OneTaskJob);
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
        self.ask(UserRequest::Submit(Box::new(job)), id.clone(), 0);
        self.at(self.now + 4_000, Happening::Poll { id });
    }
}
