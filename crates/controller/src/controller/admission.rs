//! Admission of submitted jobs: pending submissions are written to this controller's pages of accepted
//! jobs, many jobs in one write.

use super::call_kind::JobCall;
use super::linearizable_reads::CONDITIONS_PER_CHANGE;
use super::pending_request::{Rejection, RETRY_AFTER_S};
use super::{CallKind, Controller, PendingRequest, RequestKind, Ticket};
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

/// Maximum number of pending submissions, about as many as are written in a second. Further ones are
/// refused.
const MAX_PENDING_SUBMISSIONS: usize = 150;
/// A submission that has waited longer for its write is refused. The limit is below users' timeouts.
const MAX_SUBMISSION_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum number of pages of accepted jobs that one transaction writes.
const MAX_PAGES_PER_WRITE: usize = 2;
/// How long replies to accepted submissions wait for the state cache to reach the revision of their
/// write. After that they are sent after a read of changes instead.
const MAX_CACHE_LAG: Duration = Duration::from_millis(300);
/// Divisor of a page's capacity: a page is rewritten only if at least this part of it is free, because
/// rewriting a nearly full page for a job or two costs more than a new page.
const MIN_FREE_PAGE_DIVISOR: usize = 4;

/// A submission that waits to be written.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    ticket: Ticket,
    id: JobId,
    job: JobRequest,
    received_at: Timestamp,
    /// Time of submission in ms on the controllers' logical clock.
    submitted_at_ms: u64,
}

impl PendingSubmission {
    /// Converts the submission into a request that needs no write any more.
    fn into_request(self, kind: RequestKind, waiting_since: Timestamp) -> PendingRequest {
        PendingRequest {
            ticket: self.ticket,
            kind,
            id: self.id,
            waiting_since,
        }
    }

    /// Converts the submission into a repeated one, because its job has been accepted before.
    fn into_resubmission(self) -> PendingRequest {
        let waiting_since = self.received_at;
        self.into_request(RequestKind::Resubmit { rejection: None }, waiting_since)
    }
}

/// Submissions that are not answered yet, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pending: VecDeque<PendingSubmission>,
    writer: SerialWriter<Vec<PendingSubmission>>,
    /// Submissions accepted by the last write. They are answered once the state cache has reached the
    /// revision of that write, and no further write begins before that.
    awaiting_cache: Vec<PendingRequest>,
}

/// A page of accepted jobs that has room for more.
struct OpenPage {
    number: u32,
    /// Version of the page's key; 0 if the page does not exist yet.
    version: u64,
    free_bytes: usize,
}

/// A transaction that accepts jobs, while it is being assembled.
#[derive(Default)]
struct AdmissionBatch {
    txn: Transaction,
    submissions: Vec<PendingSubmission>,
    ids: HashSet<JobId>,
    /// Further submissions of jobs in the batch. They stay pending until the batch is written.
    duplicates: Vec<PendingSubmission>,
    /// Numbers of the pages that the transaction writes.
    pages: Vec<u32>,
}

impl Controller {
    /// Checks that a job's description fits on a page.
    pub(super) fn check_length(&self, job: &JobRequest) -> Result<(), Rejection> {
        let bytes = packed_bytes(&PackedJob::new(u64::MAX, job.clone()));
        if bytes > page_capacity_bytes(self.settings.state_limits.max_value_bytes) {
            return Err(Rejection::TooLong);
        }
        Ok(())
    }

    /// Queues a valid submission. It is refused as busy if too many are pending.
    pub(super) fn admit(&mut self, ticket: Ticket, id: JobId, job: JobRequest) {
        if self.admission.pending.len() >= MAX_PENDING_SUBMISSIONS {
            self.reply_busy(ticket, RETRY_AFTER_S);
            return;
        }
        let submitted_at_ms = self.logical_time_ms();
        let submission = PendingSubmission {
            ticket,
            id,
            job,
            received_at: self.now,
            submitted_at_ms,
        };
        self.admission.pending.push_back(submission);
    }

    /// Refuses overdue submissions, answers accepted ones and writes pending ones.
    pub(super) fn advance_admission(&mut self) {
        self.refuse_overdue_submissions();
        self.reply_to_accepted();
        let is_ready = self
            .admission
            .writer
            .is_ready(self.now, self.cache.revision);
        let has_pending = !self.admission.pending.is_empty();
        if has_pending
            && is_ready
            && self.state_sync.is_synced()
            && self.may_write(CallPriority::UserRequest, 1.0)
        {
            self.write_submissions();
        }
    }

    fn refuse_overdue_submissions(&mut self) {
        while let Some(first) = self.admission.pending.front() {
            if self.now.duration_since(first.received_at) <= MAX_SUBMISSION_WAIT {
                break;
            }
            let ticket = first.ticket;
            self.admission.pending.pop_front();
            self.reply_busy(ticket, RETRY_AFTER_S);
        }
    }

    /// Answers submissions whose jobs have been accepted durably, once the state cache has reached the
    /// revision of the write that accepted them.
    ///
    /// The same job may have been accepted and cancelled through another controller before this write
    /// was applied. Those changes have lower revisions, so a state cache at the revision of the write
    /// shows everything that was confirmed before the submission.
    fn reply_to_accepted(&mut self) {
        let Some(first) = self.admission.awaiting_cache.first() else {
            return;
        };
        let lag = self.now.duration_since(first.waiting_since);
        if !self.state_sync.is_synced() {
            let requests = std::mem::take(&mut self.admission.awaiting_cache);
            self.refuse_all(requests);
        } else if self.cache.revision >= self.admission.writer.settled_revision() {
            for request in std::mem::take(&mut self.admission.awaiting_cache) {
                self.reply_from_cache(request);
            }
        } else if lag > MAX_CACHE_LAG {
            let requests = std::mem::take(&mut self.admission.awaiting_cache);
            self.reads.enqueue_all(requests);
        }
    }

    /// Chooses a page of this controller that is not in `batch_pages`: the one with most room after jobs
    /// in a terminal state are removed from it, or a new page if that one is too full to be rewritten.
    fn choose_page(&self, capacity_bytes: usize, batch_pages: &[u32]) -> OpenPage {
        let mut best: Option<OpenPage> = None;
        let mut next_number = 0;
        let prefix = accepted_jobs_prefix(self.own_name());
        for (key, page) in self.cache.accepted_job_pages.range(prefix.clone()..) {
            let number = key.strip_prefix(&prefix);
            let Some(number) = number.and_then(|number| number.parse::<u32>().ok()) else {
                break;
            };
            next_number = next_number.max(number + 1);
            let free_bytes = capacity_bytes.saturating_sub(self.cache.kept_bytes(key));
            let has_more_room = best
                .as_ref()
                .is_none_or(|best| free_bytes > best.free_bytes);
            if !batch_pages.contains(&number) && has_more_room {
                best = Some(OpenPage {
                    number,
                    version: page.version.0,
                    free_bytes,
                });
            }
        }
        let number = batch_pages
            .iter()
            .fold(next_number, |next, page| next.max(page + 1));
        let new_page = OpenPage {
            number,
            version: 0,
            free_bytes: capacity_bytes,
        };
        best.filter(|page| page.free_bytes >= capacity_bytes / MIN_FREE_PAGE_DIVISOR)
            .unwrap_or(new_page)
    }

    /// Writes as many pending submissions as fit into one transaction.
    fn write_submissions(&mut self) {
        let limits = &self.settings.state_limits;
        let capacity_bytes = page_capacity_bytes(limits.max_value_bytes);
        let max_pages = MAX_PAGES_PER_WRITE.min(limits.max_txn_writes());
        // Each job adds one condition to the transaction, and each page another one.
        let max_jobs = (limits.max_txn_ops * CONDITIONS_PER_CHANGE)
            .saturating_sub(MAX_PAGES_PER_WRITE)
            .max(1);
        let mut batch = AdmissionBatch::default();
        while batch.pages.len() < max_pages && !self.admission.pending.is_empty() {
            let page = self.choose_page(capacity_bytes, &batch.pages);
            if !self.fill_page(&page, &mut batch, max_jobs) {
                break;
            }
        }
        for duplicate in batch.duplicates.into_iter().rev() {
            self.admission.pending.push_front(duplicate);
        }
        if !batch.submissions.is_empty() {
            self.admission.writer.send(
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

    /// Adds pending submissions to a page, and the page to the batch. Returns false if none was added.
    /// Submissions of jobs that are accepted already are answered after a read of changes instead.
    fn fill_page(&mut self, page: &OpenPage, batch: &mut AdmissionBatch, max_jobs: usize) -> bool {
        let key = accepted_jobs_key(self.own_name(), page.number);
        let mut jobs = self.cache.kept_entries(&key);
        let mut free_bytes = page.free_bytes;
        let initial_count = batch.submissions.len();
        while batch.submissions.len() < max_jobs {
            let Some(next) = self.admission.pending.pop_front() else {
                break;
            };
            if self.cache.jobs.contains_key(&next.id) || self.terminal_state(next.id).is_some() {
                self.reads.enqueue(next.into_resubmission());
                continue;
            }
            if batch.ids.contains(&next.id) {
                batch.duplicates.push(next);
                continue;
            }
            let packed = PackedJob::new(next.submitted_at_ms, next.job.clone());
            let bytes = packed_bytes(&packed);
            if bytes > free_bytes {
                self.admission.pending.push_front(next);
                break;
            }
            free_bytes -= bytes;
            jobs.push(serde_json::to_value(&packed).unwrap_or_default());
            batch.ids.insert(next.id);
            batch.txn = std::mem::take(&mut batch.txn).if_version(terminal_state_key(next.id), 0);
            batch.submissions.push(next);
        }
        if batch.submissions.len() == initial_count {
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

    /// Handles the reply to a write of accepted jobs.
    pub(super) fn handle_admission_reply(&mut self, reply: StateReply) {
        match self.admission.writer.handle_reply(reply, self.now) {
            WriteOutcome::Committed(batch) => {
                let now = self.now;
                let requests = batch
                    .into_iter()
                    .map(|submission| submission.into_request(RequestKind::Accepted, now));
                self.admission.awaiting_cache.extend(requests);
                self.reply_to_accepted();
            }
            WriteOutcome::Conflict(batch, failed) => {
                for submission in batch.into_iter().rev() {
                    if failed.contains(&terminal_state_key(submission.id)) {
                        // The job is in a terminal state, so the submission is a late retry.
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
                // It is unknown whether these jobs are accepted. If a user submits one again, the reply
                // depends on the outcome of this write.
                let batch = self.admission.writer.in_flight_mut().map(std::mem::take);
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
