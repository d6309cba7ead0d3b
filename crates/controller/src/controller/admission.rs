//! Admission of submissions: pending ones are written together, many jobs to a write.

use super::call_kind::JobCall;
use super::linearizable_reads::{CONDITIONS_PER_CHANGE, RETRY_AFTER_S};
use super::{CallKind, Controller, PendingRequest, RequestKind, Ticket, UserReply};
use crate::records::{
    accepted_jobs_key, accepted_jobs_prefix, packed_bytes, page_capacity_bytes, terminal_state_key,
    AcceptedJobsPage, PackedJob,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{SerialWriter, WriteOutcome, UNKNOWN_OUTCOME_RETRY_DELAY};
use model::{JobId, Timestamp};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::JobRequest;

/// Pending submissions above which further ones are refused: about what is written in a second.
const MAX_PENDING_SUBMISSIONS: usize = 150;
/// Longest wait of a submission for its write, which users' timeouts bound; later it is refused.
const MAX_SUBMISSION_WAIT: Duration = Duration::from_millis(1_500);
/// Pages of accepted jobs that one transaction writes at most.
const MAX_PAGES_PER_WRITE: usize = 2;
/// How long the state cache may lag behind a write of accepted jobs before their replies are given
/// after a read.
const MAX_CACHE_LAG: Duration = Duration::from_millis(300);
/// Part of a page that must be free for it to be written again: rewriting a nearly full page for a
/// job or two costs more than a new page.
const MIN_FREE_PAGE_DIVISOR: usize = 4;

/// A submission that waits for its write.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    ticket: Ticket,
    id: JobId,
    job: JobRequest,
    since: Timestamp,
    /// When it was received, in ms on the controllers' common clock.
    submitted_at_ms: u64,
}

impl PendingSubmission {
    /// The same request, waiting for a read instead of a write.
    fn into_request(self, kind: RequestKind, since: Timestamp) -> PendingRequest {
        PendingRequest {
            ticket: self.ticket,
            kind,
            id: self.id,
            waiting_since: since,
        }
    }

    /// The same request for a job that is registered already.
    fn into_resubmission(self) -> PendingRequest {
        let since = self.since;
        self.into_request(RequestKind::Resubmit { rejection: None }, since)
    }
}

/// Submissions on their way into the state service.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pending: VecDeque<PendingSubmission>,
    writes: SerialWriter<Vec<PendingSubmission>>,
    /// Accepted by the writer's last write; answered once the state cache has reached its revision.
    /// No further write begins before that.
    awaiting_cache: Vec<PendingRequest>,
}

/// A page of accepted jobs with room for more.
struct OpenPage {
    number: u32,
    /// Version of its key; 0 for a page that does not exist yet.
    version: u64,
    free_bytes: usize,
}

/// A transaction that accepts jobs, while it is assembled.
#[derive(Default)]
struct AdmissionBatch {
    txn: Transaction,
    submissions: Vec<PendingSubmission>,
    ids: HashSet<JobId>,
    /// Further submissions of jobs in the batch: they stay pending until it is written.
    duplicates: Vec<PendingSubmission>,
    pages: Vec<u32>,
}

impl Controller {
    /// Queues a valid submission, or refuses it at once.
    pub(super) fn admit(&mut self, ticket: Ticket, id: JobId, job: JobRequest) {
        if self.admission.pending.len() >= MAX_PENDING_SUBMISSIONS {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        }
        if packed_bytes(&PackedJob::new(u64::MAX, job.clone()))
            > page_capacity_bytes(self.settings.state_limits.max_value_bytes)
        {
            let problem = "the job's description is too long".to_owned();
            self.reply_user(ticket, UserReply::Invalid(problem));
            return;
        }
        let submitted_at_ms = self.logical_time_ms();
        let submission = PendingSubmission {
            ticket,
            id,
            job,
            since: self.now,
            submitted_at_ms,
        };
        self.admission.pending.push_back(submission);
    }

    /// Refuses, answers and writes submissions as far as that is due.
    pub(super) fn advance_admission(&mut self) {
        self.refuse_overdue_submissions();
        self.reply_to_accepted();
        let ready = self
            .admission
            .writes
            .is_ready(self.now, self.cache.revision);
        let has_pending = !self.admission.pending.is_empty();
        if has_pending
            && ready
            && self.state_sync.is_synced()
            && self.may_write(CallPriority::UserRequest, 1.0)
        {
            self.write_submissions();
        }
    }

    fn refuse_overdue_submissions(&mut self) {
        while let Some(first) = self.admission.pending.front() {
            if self.now.duration_since(first.since) <= MAX_SUBMISSION_WAIT {
                break;
            }
            let ticket = first.ticket;
            self.admission.pending.pop_front();
            self.reply_busy(ticket, RETRY_AFTER_S);
        }
    }

    /// Answers submissions whose acceptance is durable.
    ///
    /// The same job may have been accepted and cancelled through another controller before this
    /// write was applied. All of that has a lower revision than the write, so a state cache that has
    /// reached the write's revision shows everything that was confirmed before the submission.
    fn reply_to_accepted(&mut self) {
        let Some(first) = self.admission.awaiting_cache.first() else {
            return;
        };
        let lag = self.now.duration_since(first.waiting_since);
        if !self.state_sync.is_synced() {
            let requests = std::mem::take(&mut self.admission.awaiting_cache);
            self.refuse_all(requests);
        } else if self.cache.revision >= self.admission.writes.settled_revision() {
            for request in std::mem::take(&mut self.admission.awaiting_cache) {
                self.reply_from_cache(request);
            }
        } else if lag > MAX_CACHE_LAG {
            let requests = std::mem::take(&mut self.admission.awaiting_cache);
            self.reads.enqueue_all(requests);
        }
    }

    /// This controller's page with the most room once terminal jobs have left it, or a new one.
    fn choose_page(&self, capacity: usize, taken: &[u32]) -> OpenPage {
        let mut best: Option<OpenPage> = None;
        let mut next = 0;
        let prefix = accepted_jobs_prefix(self.own_name());
        for (key, page) in self.cache.accepted_job_pages.range(prefix.clone()..) {
            let number = key.strip_prefix(&prefix);
            let Some(number) = number.and_then(|number| number.parse::<u32>().ok()) else {
                break;
            };
            next = next.max(number + 1);
            let free_bytes = capacity.saturating_sub(self.cache.kept_bytes(key));
            let better = best
                .as_ref()
                .is_none_or(|best| free_bytes > best.free_bytes);
            if !taken.contains(&number) && better {
                best = Some(OpenPage {
                    number,
                    version: page.version.0,
                    free_bytes,
                });
            }
        }
        let number = taken.iter().fold(next, |next, page| next.max(page + 1));
        let fresh = OpenPage {
            number,
            version: 0,
            free_bytes: capacity,
        };
        best.filter(|page| page.free_bytes >= capacity / MIN_FREE_PAGE_DIVISOR)
            .unwrap_or(fresh)
    }

    /// Writes as many pending submissions as a transaction takes.
    fn write_submissions(&mut self) {
        let limits = &self.settings.state_limits;
        let capacity = page_capacity_bytes(limits.max_value_bytes);
        let max_pages = MAX_PAGES_PER_WRITE.min(limits.max_txn_ops);
        // Each job adds a condition.
        let max_jobs = (limits.max_txn_ops * CONDITIONS_PER_CHANGE)
            .saturating_sub(MAX_PAGES_PER_WRITE)
            .max(1);
        let mut batch = AdmissionBatch::default();
        while batch.pages.len() < max_pages && !self.admission.pending.is_empty() {
            let page = self.choose_page(capacity, &batch.pages);
            if !self.fill_page(&page, &mut batch, max_jobs) {
                break;
            }
        }
        for duplicate in batch.duplicates.into_iter().rev() {
            self.admission.pending.push_front(duplicate);
        }
        if !batch.submissions.is_empty() {
            self.admission.writes.send(
                batch.submissions,
                batch.txn.clone(),
                self.now,
                Duration::ZERO,
            );
            self.queue_state_request(
                CallPriority::UserRequest,
                StateRequest::Transaction(batch.txn),
                CallKind::Job(JobCall::Accept),
            );
        }
    }

    /// Adds pending submissions to a page and the page to the batch; false if the page takes none.
    fn fill_page(&mut self, page: &OpenPage, batch: &mut AdmissionBatch, max_jobs: usize) -> bool {
        let key = accepted_jobs_key(self.own_name(), page.number);
        let mut jobs = self.cache.kept_entries(&key);
        let mut free_bytes = page.free_bytes;
        let before = batch.submissions.len();
        while batch.submissions.len() < max_jobs {
            let Some(next) = self.admission.pending.pop_front() else {
                break;
            };
            if self.cache.jobs.contains_key(&next.id) || self.job_status.is_terminal(next.id) {
                self.reads.enqueue(next.into_resubmission());
                continue;
            }
            if batch.ids.contains(&next.id) {
                batch.duplicates.push(next);
                continue;
            }
            let packed = PackedJob::new(next.submitted_at_ms, next.job.clone());
            let size = packed_bytes(&packed);
            if size > free_bytes {
                self.admission.pending.push_front(next);
                break;
            }
            free_bytes -= size;
            jobs.push(serde_json::to_value(&packed).unwrap_or_default());
            batch.ids.insert(next.id);
            batch.txn = std::mem::take(&mut batch.txn).if_version(terminal_state_key(next.id), 0);
            batch.submissions.push(next);
        }
        if batch.submissions.len() == before {
            return false;
        }
        let value = serde_json::to_value(AcceptedJobsPage { jobs }).unwrap_or_default();
        let txn = std::mem::take(&mut batch.txn);
        batch.txn = txn
            .if_version(&key, page.version)
            .write(Write::put(&key, value));
        batch.pages.push(page.number);
        true
    }

    /// Takes in the outcome of a write of accepted jobs.
    pub(super) fn handle_admission_reply(&mut self, reply: StateReply) {
        match self.admission.writes.handle_reply(reply, self.now) {
            WriteOutcome::Committed(batch) => {
                let since = self.now;
                let requests = batch
                    .into_iter()
                    .map(|job| job.into_request(RequestKind::Accepted, since));
                self.admission.awaiting_cache.extend(requests);
                self.reply_to_accepted();
            }
            WriteOutcome::Conflict(batch, failed) => {
                for submission in batch.into_iter().rev() {
                    if failed.contains(&terminal_state_key(submission.id)) {
                        // The job is in a terminal state: this is a late retry.
                        self.reads.enqueue(submission.into_resubmission());
                    } else {
                        self.admission.pending.push_front(submission);
                    }
                }
            }
            WriteOutcome::Refused {
                contents: batch,
                throttled: true,
            } => {
                for submission in batch.into_iter().rev() {
                    self.admission.pending.push_front(submission);
                }
            }
            WriteOutcome::Refused {
                contents: batch,
                throttled: false,
            } => {
                let pending = std::mem::take(&mut self.admission.pending);
                for submission in batch.into_iter().chain(pending) {
                    self.reply_busy(submission.ticket, RETRY_AFTER_S);
                }
            }
            WriteOutcome::Unknown(txn) => {
                // Whether these are written is unknown; their users' retries are answered accordingly.
                let batch = self.admission.writes.in_flight_mut().map(std::mem::take);
                for submission in batch.into_iter().flatten() {
                    self.reply_busy(submission.ticket, RETRY_AFTER_S);
                }
                let request = StateRequest::Transaction(txn);
                self.retry_later(
                    UNKNOWN_OUTCOME_RETRY_DELAY,
                    CallPriority::UserRequest,
                    request,
                    CallKind::Job(JobCall::Accept),
                );
            }
            WriteOutcome::NotInFlight => {}
        }
    }
}
