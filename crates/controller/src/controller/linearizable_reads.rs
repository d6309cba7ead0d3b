//! Linearizable reads for users' requests that only the state service can answer, many to a read.
//!
//! One read of changes answers all requests that came before it was sent; one comparison tells which
//! of many jobs have no final state. Reads keep a pace, so that users who ask many times as often
//! leave the budget to submissions and placements.

use super::user_requests::status;
use super::{CallKind, Controller, PendingRequest, RequestKind, UserReply};
use crate::records::{final_state_key, FinalStateRecord};
use crate::request_budget::CallPriority;
use model::{JobId, JobState, Timestamp};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction};

/// Fraction of the requests a second that one kind of these reads takes at most, for all nodes.
const READ_FRACTION: f64 = 0.2;
/// A request whose read is refused for want of budget is read for again for so long.
const MAX_RETRY_TIME: Duration = Duration::from_secs(1);
/// Pause after such a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);

/// Requests that wait for reads.
#[derive(Debug, Default)]
pub(crate) struct LinearizableReads {
    /// They need a read of changes that begins now or later.
    queued: Vec<PendingRequest>,
    reading: bool,
    read_next: Timestamp,
    /// Their jobs are not open, by such a read: is there a final state?
    not_open: Vec<PendingRequest>,
    comparing: bool,
    compare_next: Timestamp,
}

impl LinearizableReads {
    pub(super) fn enqueue(&mut self, request: PendingRequest) {
        self.queued.push(request);
    }

    pub(super) fn enqueue_all(&mut self, requests: impl IntoIterator<Item = PendingRequest>) {
        self.queued.extend(requests);
    }
}

impl Controller {
    /// Least time between two reads of a kind.
    fn read_pace(&self) -> Duration {
        let all = self.settings.state_limits.requests_per_s * READ_FRACTION;
        Duration::from_millis((1_000.0 * f64::from(self.partition_count()) / all.max(1.0)) as u64)
    }

    pub(super) fn advance_reads(&mut self) {
        let now = self.now;
        let pace = self.read_pace();
        let reads = &mut self.reads;
        if !self.synced {
            return;
        }
        if !reads.queued.is_empty() && !reads.reading && now >= reads.read_next {
            reads.reading = true;
            reads.read_next = now + pace;
            let requests = std::mem::take(&mut reads.queued);
            let read = self.watch_request(Duration::ZERO);
            self.state(CallPriority::Accept, read, CallKind::ReadChanges(requests));
        }
        let reads = &mut self.reads;
        if !reads.not_open.is_empty() && !reads.comparing && now >= reads.compare_next {
            reads.comparing = true;
            reads.compare_next = now + pace;
            // Four conditions are allowed for each change.
            let most = self.settings.state_limits.txn_ops * 4;
            let ids: BTreeSet<JobId> = reads
                .not_open
                .iter()
                .map(|request| request.id)
                .take(most)
                .collect();
            let requests = reads
                .not_open
                .extract_if(.., |request| ids.contains(&request.id))
                .collect();
            let txn = ids.iter().fold(Transaction::default(), |txn, id| {
                txn.when(final_state_key(*id), 0)
            });
            self.state(
                CallPriority::Accept,
                StateRequest::Transaction(txn),
                CallKind::CompareFinals(requests),
            );
        }
    }

    /// When the next read is due, if one waits for its pace.
    pub(super) fn next_read(&self) -> Option<Timestamp> {
        let reads = &self.reads;
        let read = (!reads.queued.is_empty() && !reads.reading).then_some(reads.read_next);
        let check = (!reads.not_open.is_empty() && !reads.comparing).then_some(reads.compare_next);
        [read, check].into_iter().flatten().min()
    }

    pub(super) fn handle_changes_read(
        &mut self,
        requests: Vec<PendingRequest>,
        reply: StateReply,
        sent: Timestamp,
    ) {
        self.reads.reading = false;
        match reply {
            StateReply::Changes(changes) => {
                self.take_changes(&changes, sent);
                for request in requests {
                    self.answer(request);
                }
            }
            StateReply::Compacted => {
                self.synced = false;
                self.refuse_all(requests);
            }
            StateReply::Refused { throttled: true } => {
                self.reads.read_next = self.now + REFUSAL_PAUSE;
                let retryable = self.retryable(requests);
                self.reads.enqueue_all(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// Those that may be read for once more; the others are refused.
    fn retryable(&mut self, requests: Vec<PendingRequest>) -> Vec<PendingRequest> {
        let now = self.now;
        let (retryable, late): (Vec<PendingRequest>, Vec<PendingRequest>) = requests
            .into_iter()
            .partition(|request| now.duration_since(request.since) < MAX_RETRY_TIME);
        self.refuse_all(late);
        retryable
    }

    pub(super) fn refuse_all(&mut self, requests: Vec<PendingRequest>) {
        for request in requests {
            self.busy(request.ticket, 1);
        }
    }

    /// Which of the jobs have no final state, by a comparison.
    pub(super) fn handle_final_states_compared(
        &mut self,
        requests: Vec<PendingRequest>,
        reply: StateReply,
    ) {
        self.reads.comparing = false;
        match reply {
            StateReply::Committed { .. } => {
                for request in requests {
                    self.handle_final_state_read(request, StateReply::Missing);
                }
            }
            StateReply::Conflict { failed, .. } => {
                for request in requests {
                    let key = final_state_key(request.id);
                    if failed.contains(&key) {
                        let read = StateRequest::Get { key };
                        self.state(CallPriority::Accept, read, CallKind::FinalRead { request });
                    } else {
                        self.handle_final_state_read(request, StateReply::Missing);
                    }
                }
            }
            StateReply::Refused { throttled: true } => {
                self.reads.compare_next = self.now + REFUSAL_PAUSE;
                let retryable = self.retryable(requests);
                self.reads.not_open.extend(retryable);
            }
            _ => self.refuse_all(requests),
        }
    }

    /// Answers from a mirror that is fresh enough for this request.
    pub(super) fn answer(&mut self, request: PendingRequest) {
        let id = request.id;
        if let Some(state) = self.finals.get(&id) {
            let answer = status(id, *state);
            self.reply_user(request.ticket, UserReply::Status(answer));
            return;
        }
        if !self.cache.jobs.contains_key(&id) {
            self.reads.not_open.push(request);
            return;
        }
        if self.cache.is_cancelled(id) {
            let answer = status(id, JobState::Cancelled);
            self.reply_user(request.ticket, UserReply::Status(answer));
            return;
        }
        let reply = match request.kind {
            RequestKind::Cancel { .. } => {
                self.cancel(request);
                return;
            }
            RequestKind::Accepted => UserReply::Created(status(id, JobState::Queued)),
            RequestKind::Get | RequestKind::Resubmit { .. } => {
                UserReply::Status(self.open_status(id))
            }
        };
        self.reply_user(request.ticket, reply);
    }

    pub(super) fn handle_final_state_read(&mut self, request: PendingRequest, reply: StateReply) {
        if self.finals.contains_key(&request.id) || self.cache.jobs.contains_key(&request.id) {
            // Accepted or ended while we read: the mirror knows more than that read.
            self.answer(request);
            return;
        }
        match reply {
            StateReply::Item(item) => match FinalStateRecord::deserialize(&item.value) {
                Ok(record) => {
                    self.cache_final_state(request.id, record.state);
                    let answer = status(request.id, record.state);
                    self.reply_user(request.ticket, UserReply::Status(answer));
                }
                Err(_) => self.busy(request.ticket, 5),
            },
            StateReply::Missing => match request.kind {
                RequestKind::Resubmit {
                    reject: Some(reason),
                } => {
                    self.reply_user(request.ticket, UserReply::Rejected(reason));
                }
                RequestKind::Resubmit { reject: None } | RequestKind::Accepted => {
                    self.busy(request.ticket, 1)
                }
                RequestKind::Get | RequestKind::Cancel { .. } => {
                    self.reply_user(request.ticket, UserReply::NotFound)
                }
            },
            _ => self.busy(request.ticket, 1),
        }
    }
}
