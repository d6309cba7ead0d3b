//! Users' requests: submissions, status queries and cancellations of jobs.
//!
//! A reply reports a terminal state only once that is durable. It reports any other state only after a
//! read of the state service that began after the request arrived.

use super::pending_request::{
    status_without_counts, PendingRequest, Rejection, RequestKind, RETRY_AFTER_S,
};
use super::{Controller, Ticket, UserReply, UserRequest};
use model::{JobId, JobSpec, JobState};
use std::time::Duration;
use wire::users::{JobRequest, JobStatus};

/// Maximum age of the last confirmed read of changes when a submission is accepted.
const MAX_READ_AGE_FOR_SUBMISSIONS: Duration = Duration::from_secs(6);

impl Controller {
    /// Handles a user's request. The reply is an [`Effect`](super::Effect) of this event or of a later one.
    pub(super) fn handle_user_request(&mut self, ticket: Ticket, request: UserRequest) {
        match request {
            UserRequest::Submit(job) => self.handle_submission(ticket, *job),
            UserRequest::Get(id) => self.read_then_reply(ticket, id, RequestKind::Get),
            UserRequest::Cancel(id) => {
                self.read_then_reply(ticket, id, RequestKind::Cancel { retries: 0 })
            }
        }
    }

    /// Tells a user to send the request again later.
    pub(super) fn reply_busy(&mut self, ticket: Ticket, retry_after_s: u64) {
        self.reply_user(ticket, UserReply::Busy { retry_after_s });
    }

    /// The terminal state of a job, if it is known. It is durable, so it may be reported to users: it is on a
    /// page of terminal jobs or in the archive.
    pub(super) fn terminal_state(&self, id: JobId) -> Option<JobState> {
        self.cache
            .listed_terminal_state(id)
            .or_else(|| self.job_status.archived_state(id))
    }

    /// Replies at once if the job is known to be in a terminal state, and otherwise after a read of
    /// changes.
    fn read_then_reply(&mut self, ticket: Ticket, id: JobId, kind: RequestKind) {
        if let Some(state) = self.terminal_state(id) {
            let status = status_without_counts(id, state);
            self.reply_user(ticket, UserReply::Status(status));
            return;
        }
        if !self.state_sync.is_synced() {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        }
        self.reads.enqueue(PendingRequest {
            ticket,
            kind,
            id,
            waiting_since: self.now,
        });
    }

    fn handle_submission(&mut self, ticket: Ticket, job: JobRequest) {
        let spec = match JobSpec::try_from(&job) {
            Ok(spec) => spec,
            Err(error) => {
                self.reply_user(ticket, UserReply::Invalid(error.to_string()));
                return;
            }
        };
        let id = spec.id;
        if !self.state_sync.is_synced() {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        }
        if self.terminal_state(id).is_some() || self.cache.jobs.contains_key(&id) {
            self.read_then_reply(ticket, id, RequestKind::Resubmit { rejection: None });
            return;
        }
        let Some(types) = &self.cache.machine_types else {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        };
        let feasibility = spec
            .check_feasibility(&self.settings, &types.record.types)
            .map_err(Rejection::Unschedulable);
        if let Err(rejection) = feasibility.and_then(|()| self.check_length(&job)) {
            // A job that was accepted before must not be rejected now, so a read of changes comes first.
            let rejection = Some(rejection);
            self.read_then_reply(ticket, id, RequestKind::Resubmit { rejection });
            return;
        }
        if !self.has_recent_state_read(MAX_READ_AGE_FOR_SUBMISSIONS) {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        }
        self.admit(ticket, id, job);
    }

    /// Explains to operators what state a job is in and why it waits.
    pub fn explain(&self, id: &str) -> String {
        let Some(id) = JobId::parse(id) else {
            return "no such job".into();
        };
        let explanation = self.leaderships.values().find_map(|leadership| {
            leadership
                .partition_state()
                .and_then(|partition| partition.explain(id, self.now))
        });
        match explanation {
            Some(text) => text,
            None if self.cache.jobs.contains_key(&id) => "open, held by another node".into(),
            None => "not open".into(),
        }
    }

    /// Number of tasks in the partitions led here that a previous leader has placed and of which no status has proved
    /// yet what has become of them.
    pub fn inherited_task_count(&self) -> usize {
        self.leaderships
            .values()
            .filter_map(|leadership| leadership.partition_state())
            .map(|partition_state| partition_state.inherited_task_count())
            .sum()
    }

    /// Status of a job that is not in a terminal state.
    pub(super) fn open_job_status(&self, id: JobId) -> JobStatus {
        let own_counts = self
            .leaderships
            .values()
            .find_map(|leadership| leadership.task_counts(id));
        let counts = own_counts
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
