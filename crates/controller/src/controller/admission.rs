//! Admission of submissions: what waits is written together, many jobs to a write.

use super::{CallKind, Controller, PendingRequest, RequestKind, Ticket, UserReply};
use crate::records::{
    accepted_jobs_key, final_state_key, packed_size, page_capacity, AcceptedJobsPage, PackedJob,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{Outcome, SerialWriter};
use model::{JobId, Revision, Timestamp};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::JobRequest;

/// Submissions that may wait before others are refused: what is written within a second, as a rule.
const MAX_PENDING: usize = 150;
/// A submission that has waited for longer is refused: its user's patience is limited.
const MAX_PENDING_TIME: Duration = Duration::from_millis(1_500);
/// Pages of accepted jobs that one transaction writes at most.
const MAX_PAGES_PER_WRITE: usize = 2;
/// How long the mirror may lag behind a write of accepted jobs before a read is made for their answers.
const MAX_MIRROR_LAG: Duration = Duration::from_millis(300);
/// Conditions that the state service takes for each change of a transaction.
const CONDITIONS_PER_CHANGE: usize = 4;

/// A submission that waits for its write.
#[derive(Debug)]
pub(crate) struct PendingSubmission {
    ticket: Ticket,
    id: JobId,
    job: JobRequest,
    since: Timestamp,
    /// When it came, on the nodes' common clock.
    order: u64,
}

impl PendingSubmission {
    /// The same request, waiting for a read instead of a write.
    fn into_request(self, kind: RequestKind, since: Timestamp) -> PendingRequest {
        PendingRequest {
            ticket: self.ticket,
            kind,
            id: self.id,
            since,
        }
    }
}

/// Submissions on their way into the state service.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pending: VecDeque<PendingSubmission>,
    writes: SerialWriter<Vec<PendingSubmission>>,
    /// Accepted durably; answered once the mirror shows everything up to that write.
    unconfirmed: Vec<PendingRequest>,
    /// The revision of that write.
    written_at: Revision,
}

/// A page of accepted jobs that has room for more.
struct OpenPage {
    number: u32,
    /// Version of its key; 0 for a page that does not exist yet.
    version: u64,
    free_bytes: usize,
}

/// A transaction that accepts jobs, while it is made up.
#[derive(Default)]
struct AdmissionBatch {
    txn: Transaction,
    submissions: Vec<PendingSubmission>,
    ids: HashSet<JobId>,
    /// Submissions of jobs that are in the batch already: answered once it is written.
    duplicates: Vec<PendingSubmission>,
    pages: Vec<u32>,
}

impl Controller {
    /// Takes a checked submission in, or refuses it at once.
    pub(super) fn admit(&mut self, ticket: Ticket, id: JobId, job: JobRequest) {
        if self.admission.pending.len() >= MAX_PENDING {
            self.busy(ticket, 1);
            return;
        }
        if packed_size(&PackedJob::new(u64::MAX, job.clone()))
            > page_capacity(self.settings.state_limits.value_bytes)
        {
            let problem = "the job's description is too long".to_owned();
            self.reply_user(ticket, UserReply::Invalid(problem));
            return;
        }
        let order = self.logical_time();
        let submission = PendingSubmission {
            ticket,
            id,
            job,
            since: self.now,
            order,
        };
        self.admission.pending.push_back(submission);
    }

    pub(super) fn advance_admission(&mut self) {
        self.refuse_overdue_submissions();
        self.confirm_accepted();
        let ready = self.admission.writes.ready(self.now, self.cache.revision);
        let waiting = !self.admission.pending.is_empty();
        if waiting && ready && self.synced && self.may_write(CallPriority::Accept, 1.0) {
            self.write_accepted();
        }
    }

    fn refuse_overdue_submissions(&mut self) {
        while let Some(first) = self.admission.pending.front() {
            if self.now.duration_since(first.since) <= MAX_PENDING_TIME {
                break;
            }
            let ticket = first.ticket;
            self.admission.pending.pop_front();
            self.busy(ticket, 1);
        }
    }

    /// Answers submissions whose acceptance is durable.
    ///
    /// The same job may have been accepted through another node, and cancelled there, before our write
    /// was applied. All of that has a lower revision than our write, so a mirror that has reached that
    /// revision is no older than anything that was confirmed before the submission came.
    fn confirm_accepted(&mut self) {
        let Some(first) = self.admission.unconfirmed.first() else {
            return;
        };
        let lag = self.now.duration_since(first.since);
        if !self.synced {
            let requests = std::mem::take(&mut self.admission.unconfirmed);
            self.refuse_all(requests);
        } else if self.cache.revision >= self.admission.written_at {
            for request in std::mem::take(&mut self.admission.unconfirmed) {
                self.answer(request);
            }
        } else if lag > MAX_MIRROR_LAG {
            let requests = std::mem::take(&mut self.admission.unconfirmed);
            self.reads.enqueue_all(requests);
        }
    }

    /// Our page with the most room once finished jobs have left it, or a new one.
    fn choose_page(&self, room: usize, taken: &[u32]) -> OpenPage {
        let mut best: Option<OpenPage> = None;
        let mut next = 0;
        let prefix = accepted_jobs_key(self.own_name(), 0);
        let prefix = &prefix[..prefix.len() - 4];
        for (key, page) in self.cache.intake.range(prefix.to_owned()..) {
            let Some(number) = key.strip_prefix(prefix).and_then(|n| n.parse::<u32>().ok()) else {
                break;
            };
            next = next.max(number + 1);
            let open = page.record.iter().filter_map(|id| self.cache.jobs.get(id));
            let free_bytes = room.saturating_sub(open.map(|job| job.size).sum());
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
            free_bytes: room,
        };
        // A page with little room is not worth writing whole for a job or two.
        best.filter(|page| page.free_bytes >= room / 4)
            .unwrap_or(fresh)
    }

    /// Writes as many pending submissions as a transaction takes.
    fn write_accepted(&mut self) {
        let limits = &self.settings.state_limits;
        let room = page_capacity(limits.value_bytes);
        let most_pages = MAX_PAGES_PER_WRITE.min(limits.txn_ops);
        // Each job adds a condition.
        let most_jobs = (limits.txn_ops * CONDITIONS_PER_CHANGE)
            .saturating_sub(MAX_PAGES_PER_WRITE)
            .max(1);
        let mut batch = AdmissionBatch::default();
        while batch.pages.len() < most_pages && !self.admission.pending.is_empty() {
            let page = self.choose_page(room, &batch.pages);
            if !self.fill_page(&page, &mut batch, most_jobs) {
                break;
            }
        }
        for again in batch.duplicates.into_iter().rev() {
            self.admission.pending.push_front(again);
        }
        if !batch.submissions.is_empty() {
            self.admission.writes.send(
                batch.submissions,
                batch.txn.clone(),
                self.now,
                Duration::ZERO,
            );
            self.state(
                CallPriority::Accept,
                StateRequest::Transaction(batch.txn),
                CallKind::Accept,
            );
        }
    }

    /// Adds pending submissions to a page and the page to the batch; false if the page takes none.
    fn fill_page(&mut self, page: &OpenPage, batch: &mut AdmissionBatch, most_jobs: usize) -> bool {
        let key = accepted_jobs_key(self.own_name(), page.number);
        let kept = self
            .cache
            .intake
            .get(&key)
            .into_iter()
            .flat_map(|p| &p.record);
        let mut jobs: Vec<serde_json::Value> = kept
            .filter_map(|id| self.cache.jobs.get(id))
            .filter_map(|job| serde_json::to_value(&*job.packed).ok())
            .collect();
        let mut free_bytes = page.free_bytes;
        let before = batch.submissions.len();
        while batch.submissions.len() < most_jobs {
            let Some(next) = self.admission.pending.pop_front() else {
                break;
            };
            if self.cache.jobs.contains_key(&next.id) || self.finals.contains_key(&next.id) {
                let since = next.since;
                let kind = RequestKind::Resubmit { reject: None };
                self.reads.enqueue(next.into_request(kind, since));
                continue;
            }
            if batch.ids.contains(&next.id) {
                batch.duplicates.push(next);
                continue;
            }
            let packed = PackedJob::new(next.order, next.job.clone());
            let size = packed_size(&packed);
            if size > free_bytes {
                self.admission.pending.push_front(next);
                break;
            }
            free_bytes -= size;
            jobs.push(serde_json::to_value(&packed).unwrap_or_default());
            batch.ids.insert(next.id);
            batch.txn = std::mem::take(&mut batch.txn).when(final_state_key(next.id), 0);
            batch.submissions.push(next);
        }
        if batch.submissions.len() == before {
            return false;
        }
        let value = serde_json::to_value(AcceptedJobsPage { jobs }).unwrap_or_default();
        let txn = std::mem::take(&mut batch.txn);
        batch.txn = txn.when(&key, page.version).write(Write::put(&key, value));
        batch.pages.push(page.number);
        true
    }

    pub(super) fn handle_acceptance_written(&mut self, reply: StateReply) {
        match self.admission.writes.answered(reply, self.now) {
            Outcome::CommittedChanges(batch) => {
                let since = self.now;
                let requests = batch
                    .into_iter()
                    .map(|job| job.into_request(RequestKind::Accepted, since));
                self.admission.written_at = self.admission.writes.settled_at();
                self.admission.unconfirmed.extend(requests);
                self.confirm_accepted();
            }
            Outcome::Conflict(batch, failed) => {
                for submission in batch.into_iter().rev() {
                    if failed.contains(&final_state_key(submission.id)) {
                        // It is finished already: this is a late retry.
                        let since = submission.since;
                        let kind = RequestKind::Resubmit { reject: None };
                        self.reads.enqueue(submission.into_request(kind, since));
                    } else {
                        self.admission.pending.push_front(submission);
                    }
                }
            }
            Outcome::Refused {
                what,
                throttled: true,
            } => {
                for submission in what.into_iter().rev() {
                    self.admission.pending.push_front(submission);
                }
            }
            Outcome::Refused {
                what,
                throttled: false,
            } => {
                let pending = std::mem::take(&mut self.admission.pending);
                for submission in what.into_iter().chain(pending) {
                    self.busy(submission.ticket, 1);
                }
            }
            Outcome::Again(txn) => {
                // Whether these are written is open; their users' retries will find out.
                let batch = self.admission.writes.under_way().map(std::mem::take);
                for submission in batch.into_iter().flatten() {
                    self.busy(submission.ticket, 1);
                }
                let request = StateRequest::Transaction(txn);
                self.retry_later(
                    Duration::from_millis(200),
                    CallPriority::Accept,
                    request,
                    CallKind::Accept,
                );
            }
            Outcome::Nothing => {}
        }
    }
}
