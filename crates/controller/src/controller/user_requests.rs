//! Answers to users. Done and cancelled are said only once they are durable; anything else
//! only after a read of the state service that began after the question.

use super::{Controller, PendingRequest, RequestKind, Ticket, UserReply, UserRequest};
use model::{JobId, JobSpec, JobState};
use std::time::Duration;
use wire::users::{JobRequest, JobStatus};

pub(super) fn status(id: JobId, state: JobState) -> JobStatus {
    JobStatus {
        id: id.to_string(),
        state,
        done: None,
        running: None,
    }
}

impl Controller {
    pub(super) fn handle_user_request(&mut self, ticket: Ticket, request: UserRequest) {
        match request {
            UserRequest::Submit(job) => self.handle_submission(ticket, *job),
            UserRequest::Get(id) => self.read_for(ticket, id, RequestKind::Get),
            UserRequest::Cancel(id) => {
                self.read_for(ticket, id, RequestKind::Cancel { conflicts: 0 })
            }
        }
    }

    pub(super) fn busy(&mut self, ticket: Ticket, retry_after_s: u64) {
        self.reply_user(ticket, UserReply::Busy { retry_after_s });
    }

    fn read_for(&mut self, ticket: Ticket, id: JobId, kind: RequestKind) {
        if let Some(state) = self.job_status.terminal_state(id) {
            let answer = status(id, state);
            self.reply_user(ticket, UserReply::Status(answer));
            return;
        }
        if !self.state_sync.is_synced() {
            self.busy(ticket, 1);
            return;
        }
        self.reads.enqueue(PendingRequest {
            ticket,
            kind,
            id,
            since: self.now,
        });
    }

    fn handle_submission(&mut self, ticket: Ticket, job: JobRequest) {
        let spec = match JobSpec::try_from(&job) {
            Ok(spec) => spec,
            Err(invalid) => {
                self.reply_user(ticket, UserReply::Invalid(invalid.to_string()));
                return;
            }
        };
        let id = spec.id;
        if !self.state_sync.is_synced() {
            self.busy(ticket, 1);
            return;
        }
        if self.job_status.is_terminal(id) || self.cache.jobs.contains_key(&id) {
            self.read_for(ticket, id, RequestKind::Resubmit { reject: None });
            return;
        }
        let Some(types) = &self.cache.types else {
            self.busy(ticket, 1);
            return;
        };
        if let Err(reason) = spec.check(&self.settings, &types.record.types) {
            // A job that was accepted once must never be rejected later.
            self.read_for(
                ticket,
                id,
                RequestKind::Resubmit {
                    reject: Some(reason),
                },
            );
            return;
        }
        if !self.has_recent_state_read(Duration::from_secs(6)) {
            self.busy(ticket, 1);
            return;
        }
        self.admit(ticket, id, job);
    }

    /// Where a job stands and why it waits, for operators.
    pub fn explain(&self, id: &str) -> String {
        let Some(id) = JobId::parse(id) else {
            return "no such job".into();
        };
        let held = self
            .leaderships
            .values()
            .find_map(|h| h.partition_state().and_then(|s| s.explain(id, self.now)));
        match held {
            Some(text) => text,
            None if self.cache.jobs.contains_key(&id) => "open, held by another node".into(),
            None => "not open".into(),
        }
    }

    /// Status of a job that is not over.
    pub(super) fn open_status(&self, id: JobId) -> JobStatus {
        let own = self
            .leaderships
            .values()
            .find_map(|leadership| leadership.task_counts(id));
        let counts = own
            .or_else(|| self.job_status.progress(id))
            .unwrap_or_default();
        let state = if counts.running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        JobStatus {
            id: id.to_string(),
            state,
            done: Some(counts.done),
            running: Some(counts.running),
        }
    }
}
