//! Linearizable reads for users' requests that only the state service can answer, many to a read.
//!
//! One read of changes answers all requests received before it was sent; one transaction of
//! conditions shows which of many jobs have no final state. Reads are rate limited, so that users
//! who poll often leave the budget to submissions and placements.

use super::call_kind::ReadCall;
use super::user_requests::status_without_counts;
use super::{CallKind, Controller, PendingRequest, RequestKind, UserReply};
use crate::records::{terminal_state_key, TerminalStateRecord};
use crate::request_budget::CallPriority;
use crate::state_sync::watch_request;
use model::{JobId, JobState, Timestamp};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction};

/// Highest fraction of the request rate for one kind of these reads, over all controllers.
const READ_FRACTION: f64 = 0.2;
/// How long a request whose read is throttled is retried.
const MAX_RETRY_TIME: Duration = Duration::from_secs(1);
/// Pause after a throttled read.
const THROTTLING_PAUSE: Duration = Duration::from_millis(60);
/// Conditions that the state service takes for each change of a transaction.
pub(super) const CONDITIONS_PER_CHANGE: usize = 4;
/// After how many seconds a user whose request is refused may retry.
pub(super) const RETRY_AFTER_S: u64 = 1;
/// After how many seconds a user may retry when a job's final state cannot be decoded.
const UNREADABLE_STATE_RETRY_AFTER_S: u64 = 5;

/// Requests that wait for reads, and the reads under way.
#[derive(Debug, Default)]
pub(crate) struct LinearizableReads {
    /// Requests that need a read of changes that begins now or later.
    queued: Vec<PendingRequest>,
    is_reading: bool,
    next_read_at: Timestamp,
    /// Requests whose jobs are not registered, by such a read: do they have a final state?
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
    /// Least time between two reads of a kind.
    fn read_interval(&self) -> Duration {
        let reads_per_s = self.settings.state_limits.requests_per_s * READ_FRACTION;
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

    /// Sends a transaction of conditions on the absence of final states.
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

    /// When the next read is due, if one waits for its interval.
    pub(super) fn next_read_due_at(&self) -> Option<Timestamp> {
        let reads = &self.reads;
        let read = (!reads.queued.is_empty() && !reads.is_reading).then_some(reads.next_read_at);
        let comparison =
            (!reads.unregistered.is_empty() && !reads.is_checking).then_some(reads.next_check_at);
        [read, comparison].into_iter().flatten().min()
    }

    /// Answers these requests from a read of changes that was sent at `sent`.
    pub(super) fn handle_changes_reply(
        &mut self,
        requests: Vec<PendingRequest>,
        reply: StateReply,
        sent: Timestamp,
    ) {
        self.reads.is_reading = false;
        match reply {
            StateReply::Changes(changes) => {
                self.apply_changes(&changes, sent);
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
                let retryable = self.retryable(requests);
                self.reads.enqueue_all(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// The requests that may be retried; the others are refused.
    fn retryable(&mut self, requests: Vec<PendingRequest>) -> Vec<PendingRequest> {
        let now = self.now;
        let (retryable, late): (Vec<PendingRequest>, Vec<PendingRequest>) = requests
            .into_iter()
            .partition(|request| now.duration_since(request.waiting_since) < MAX_RETRY_TIME);
        self.refuse_all(late);
        retryable
    }

    /// Refuses requests; their users may retry them.
    pub(super) fn refuse_all(&mut self, requests: Vec<PendingRequest>) {
        for request in requests {
            self.reply_busy(request.ticket, RETRY_AFTER_S);
        }
    }

    /// Takes in which of the jobs have no final state: a transaction of conditions only.
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
                let retryable = self.retryable(requests);
                self.reads.unregistered.extend(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// Answers a request from a state cache that is fresh enough for it.
    pub(super) fn reply_from_cache(&mut self, request: PendingRequest) {
        let id = request.id;
        if let Some(state) = self.job_status.terminal_state(id) {
            let answer = status_without_counts(id, state);
            self.reply_user(request.ticket, UserReply::Status(answer));
            return;
        }
        if !self.cache.jobs.contains_key(&id) {
            self.reads.unregistered.push(request);
            return;
        }
        if self.cache.is_cancelled(id) {
            let answer = status_without_counts(id, JobState::Cancelled);
            self.reply_user(request.ticket, UserReply::Status(answer));
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

    /// Answers a request from a read of its job's final state.
    pub(super) fn handle_terminal_state_reply(
        &mut self,
        request: PendingRequest,
        reply: StateReply,
    ) {
        if self.job_status.is_terminal(request.id) || self.cache.jobs.contains_key(&request.id) {
            // Accepted or ended during the read: the state cache is ahead of it.
            self.reply_from_cache(request);
            return;
        }
        match reply {
            StateReply::Item(item) => match TerminalStateRecord::deserialize(&item.value) {
                Ok(record) => {
                    self.job_status
                        .record_terminal_state(request.id, record.state);
                    let answer = status_without_counts(request.id, record.state);
                    self.reply_user(request.ticket, UserReply::Status(answer));
                }
                Err(_) => self.reply_busy(request.ticket, UNREADABLE_STATE_RETRY_AFTER_S),
            },
            StateReply::NotFound if self.cache.is_unreadable(request.id) => {
                self.reply_busy(request.ticket, UNREADABLE_STATE_RETRY_AFTER_S);
            }
            StateReply::NotFound => match request.kind {
                RequestKind::Resubmit {
                    rejection: Some(reason),
                } => {
                    self.reply_user(request.ticket, UserReply::Rejected(reason));
                }
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
