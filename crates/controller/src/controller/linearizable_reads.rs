//! Linearizable reads for users' requests that the state cache alone cannot answer.
//!
//! One read of changes serves all requests that were received before it was sent. A request for a job
//! that is not registered also needs to know whether the job has an archived terminal state: one
//! transaction that consists of conditions only shows this for many jobs. Both kinds of read are rate
//! limited, so that users who poll often leave the request budget to submissions and placements.

use super::call_kind::ReadCall;
use super::pending_request::{status_without_counts, RETRY_AFTER_S};
use super::{CallKind, Controller, PendingRequest, RequestKind, UserReply};
use crate::records::{terminal_state_key, TerminalStateRecord};
use crate::request_budget::CallPriority;
use crate::state_sync::watch_request;
use model::{JobId, JobState, Timestamp};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction};

/// Maximum fraction of the state service's request rate that all controllers together use for each kind
/// of read.
const READ_RATE_FRACTION: f64 = 0.2;
/// A request that has waited longer is refused instead of retried when its read is throttled.
const MAX_RETRY_TIME: Duration = Duration::from_secs(1);
/// Pause after a throttled read.
const THROTTLING_PAUSE: Duration = Duration::from_millis(60);
/// Number of conditions that the state service accepts for each change that a transaction may have.
pub(super) const CONDITIONS_PER_CHANGE: usize = 4;
/// Seconds after which a user may retry if the job's state cannot be decoded.
const UNREADABLE_STATE_RETRY_AFTER_S: u64 = 5;

/// Requests that wait for reads, and the reads in flight.
#[derive(Debug, Default)]
pub(crate) struct LinearizableReads {
    /// Requests that need a read of changes that begins now or later.
    queued: Vec<PendingRequest>,
    is_reading: bool,
    next_read_at: Timestamp,
    /// Requests whose jobs a read of changes has shown not to be registered. Whether these jobs have an
    /// archived terminal state is still to be checked.
    unregistered: Vec<PendingRequest>,
    is_checking: bool,
    next_check_at: Timestamp,
}

impl LinearizableReads {
    /// Queues a request for the next read of changes.
    pub(super) fn enqueue(&mut self, request: PendingRequest) {
        self.queued.push(request);
    }

    /// Queues requests for the next read of changes.
    pub(super) fn enqueue_all(&mut self, requests: impl IntoIterator<Item = PendingRequest>) {
        self.queued.extend(requests);
    }
}

impl Controller {
    /// Minimum time between two reads of the same kind.
    fn read_interval(&self) -> Duration {
        let reads_per_s = self.settings.state_limits.requests_per_s * READ_RATE_FRACTION;
        // There are as many controllers as partitions.
        let controllers = f64::from(self.partition_count());
        Duration::from_millis((1_000.0 * controllers / reads_per_s.max(1.0)) as u64)
    }

    /// Sends the reads that are due.
    pub(super) fn advance_reads(&mut self) {
        if !self.state_sync.is_synced() {
            return;
        }
        let (now, interval) = (self.now, self.read_interval());
        let reads = &mut self.reads;
        if !reads.queued.is_empty() && !reads.is_reading && now >= reads.next_read_at {
            reads.is_reading = true;
            reads.next_read_at = now + interval;
            self.read_changes();
        }
        let reads = &mut self.reads;
        if !reads.unregistered.is_empty() && !reads.is_checking && now >= reads.next_check_at {
            reads.is_checking = true;
            reads.next_check_at = now + interval;
            self.check_terminal_states();
        }
    }

    /// Sends a read of changes for all queued requests.
    fn read_changes(&mut self) {
        let requests = std::mem::take(&mut self.reads.queued);
        let read = watch_request(self.cache.revision, Duration::ZERO);
        self.queue_state_request(
            CallPriority::UserRequest,
            read,
            CallKind::Read(ReadCall::Changes(requests)),
        );
    }

    /// Sends a transaction with the condition, for each unregistered job, that it has no archived terminal
    /// state. The conditions that fail name the jobs that have one.
    fn check_terminal_states(&mut self) {
        let max_conditions = self.settings.state_limits.max_txn_ops * CONDITIONS_PER_CHANGE;
        let unregistered = &mut self.reads.unregistered;
        let ids: BTreeSet<JobId> = unregistered
            .iter()
            .map(|request| request.id)
            .take(max_conditions)
            .collect();
        let requests = unregistered
            .extract_if(.., |request| ids.contains(&request.id))
            .collect();
        let txn = ids.iter().fold(Transaction::default(), |txn, id| {
            txn.if_version(terminal_state_key(*id), 0)
        });
        self.queue_state_request(
            CallPriority::UserRequest,
            StateRequest::Transaction(txn),
            CallKind::Read(ReadCall::TerminalStates(requests)),
        );
    }

    /// When the next read is due, if requests wait for one that is not in flight yet.
    pub(super) fn next_read_due_at(&self) -> Option<Timestamp> {
        let reads = &self.reads;
        let read = (!reads.queued.is_empty() && !reads.is_reading).then_some(reads.next_read_at);
        let check =
            (!reads.unregistered.is_empty() && !reads.is_checking).then_some(reads.next_check_at);
        [read, check].into_iter().flatten().min()
    }

    /// Handles the reply to a read of changes, which was sent at `sent_at` for these requests.
    pub(super) fn handle_changes_reply(
        &mut self,
        requests: Vec<PendingRequest>,
        reply: StateReply,
        sent_at: Timestamp,
    ) {
        self.reads.is_reading = false;
        match reply {
            StateReply::Changes(changes) => {
                self.apply_changes(&changes, sent_at);
                for request in requests {
                    self.reply_from_cache(request);
                }
            }
            StateReply::Compacted => {
                self.state_sync.require_full_read();
                self.refuse_all(requests);
            }
            StateReply::Refused { throttled: true } => {
                self.reads.next_read_at = self.now + THROTTLING_PAUSE;
                let retryable = self.refuse_overdue(requests);
                self.reads.enqueue_all(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// Refuses the requests that have waited too long to be retried, and returns the others.
    fn refuse_overdue(&mut self, requests: Vec<PendingRequest>) -> Vec<PendingRequest> {
        let now = self.now;
        let (retryable, overdue): (Vec<PendingRequest>, Vec<PendingRequest>) = requests
            .into_iter()
            .partition(|request| now.duration_since(request.waiting_since) < MAX_RETRY_TIME);
        self.refuse_all(overdue);
        retryable
    }

    /// Refuses these requests as busy, so that their users retry them.
    pub(super) fn refuse_all(&mut self, requests: Vec<PendingRequest>) {
        for request in requests {
            self.reply_busy(request.ticket, RETRY_AFTER_S);
        }
    }

    /// Handles the reply to a check for archived terminal states of the requests' jobs.
    pub(super) fn handle_terminal_states_check_reply(
        &mut self,
        requests: Vec<PendingRequest>,
        reply: StateReply,
    ) {
        self.reads.is_checking = false;
        match reply {
            StateReply::Committed { .. } => {
                for request in requests {
                    self.handle_terminal_state_reply(request, StateReply::NotFound);
                }
            }
            StateReply::Conflict { failed, .. } => {
                for request in requests {
                    let key = terminal_state_key(request.id);
                    if failed.contains(&key) {
                        let read = StateRequest::Get { key };
                        self.queue_state_request(
                            CallPriority::UserRequest,
                            read,
                            CallKind::Read(ReadCall::TerminalRecord { request }),
                        );
                    } else {
                        self.handle_terminal_state_reply(request, StateReply::NotFound);
                    }
                }
            }
            StateReply::Refused { throttled: true } => {
                self.reads.next_check_at = self.now + THROTTLING_PAUSE;
                let retryable = self.refuse_overdue(requests);
                self.reads.unregistered.extend(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// Answers a request from the state cache, which must include all changes that were confirmed before the
    /// request arrived. Two kinds of requests are not answered yet: a cancellation of an open job is queued to
    /// be written, and a request for a job that is not registered waits for a check for its terminal state.
    pub(super) fn reply_from_cache(&mut self, request: PendingRequest) {
        let id = request.id;
        if let Some(state) = self.terminal_state(id) {
            let status = status_without_counts(id, state);
            self.reply_user(request.ticket, UserReply::Status(status));
            return;
        }
        if !self.cache.jobs.contains_key(&id) {
            self.reads.unregistered.push(request);
            return;
        }
        if self.cache.is_cancelled(id) {
            let status = status_without_counts(id, JobState::Cancelled);
            self.reply_user(request.ticket, UserReply::Status(status));
            return;
        }
        let reply = match request.kind {
            RequestKind::Cancel { .. } => {
                self.cancel(request);
                return;
            }
            RequestKind::Accepted => {
                UserReply::Created(status_without_counts(id, JobState::Queued))
            }
            RequestKind::Get | RequestKind::Resubmit { .. } => {
                UserReply::Status(self.open_job_status(id))
            }
        };
        self.reply_user(request.ticket, reply);
    }

    /// Answers a request after a read of its job's archived terminal state.
    pub(super) fn handle_terminal_state_reply(
        &mut self,
        request: PendingRequest,
        reply: StateReply,
    ) {
        if self.terminal_state(request.id).is_some() || self.cache.jobs.contains_key(&request.id) {
            // The job was accepted or reached a terminal state during the read: the state cache is newer
            // than the reply.
            self.reply_from_cache(request);
            return;
        }
        match reply {
            StateReply::Item(item) => match TerminalStateRecord::deserialize(&item.value) {
                Ok(record) => {
                    self.job_status
                        .record_archived_state(request.id, record.state);
                    let status = status_without_counts(request.id, record.state);
                    self.reply_user(request.ticket, UserReply::Status(status));
                }
                Err(_) => self.reply_busy(request.ticket, UNREADABLE_STATE_RETRY_AFTER_S),
            },
            StateReply::NotFound
                if self.cache.is_unreadable(request.id) || self.cache.may_miss_jobs() =>
            {
                self.reply_busy(request.ticket, UNREADABLE_STATE_RETRY_AFTER_S);
            }
            StateReply::NotFound => match request.kind {
                RequestKind::Resubmit {
                    rejection: Some(rejection),
                } => self.reply_user(request.ticket, rejection.into()),
                RequestKind::Resubmit { rejection: None } | RequestKind::Accepted => {
                    self.reply_busy(request.ticket, RETRY_AFTER_S)
                }
                RequestKind::Get | RequestKind::Cancel { .. } => {
                    self.reply_user(request.ticket, UserReply::NotFound)
                }
            },
            _ => self.reply_busy(request.ticket, RETRY_AFTER_S),
        }
    }
}
