//! Cancellations by users: pending ones are written together to this controller's cancellations record.

use super::call_kind::JobCall;
use super::pending_request::RETRY_AFTER_S;
use super::{CallKind, Controller, PendingRequest, RequestKind};
use crate::records::{cancellations_key, CancellationsRecord};
use crate::request_budget::CallPriority;
use crate::serial_writer::{SerialWriter, WriteOutcome, UNKNOWN_OUTCOME_RETRY_DELAY};
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// How often a cancellation is retried after its write met a conflict or was throttled.
const MAX_WRITE_RETRIES: u32 = 5;

/// Cancellations that are not answered yet, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    pending: Vec<PendingRequest>,
    writer: SerialWriter<Vec<PendingRequest>>,
}

impl Controller {
    /// Queues the cancellation of a job that is not in a terminal state.
    pub(super) fn cancel(&mut self, request: PendingRequest) {
        self.cancellations.pending.push(request);
    }

    /// Writes pending cancellations if no other write of them is in flight and the write budget allows it.
    pub(super) fn advance_cancellations(&mut self) {
        let is_ready = self
            .cancellations
            .writer
            .is_ready(self.now, self.cache.revision);
        let has_pending = !self.cancellations.pending.is_empty();
        if has_pending
            && is_ready
            && self.state_sync.is_synced()
            && self.may_write(CallPriority::UserRequest, 1.0)
        {
            self.write_cancellations();
        }
    }

    fn write_cancellations(&mut self) {
        let key = cancellations_key(self.own_name());
        let recorded = self.cache.cancellations.get(self.own_name());
        let version = recorded.map_or(0, |cancellations| cancellations.version.0);
        // Cancellations of jobs that are in a terminal state by now are dropped from the record.
        let mut jobs: Vec<u64> = recorded
            .into_iter()
            .flat_map(|cancellations| &cancellations.record)
            .filter(|id| self.cache.jobs.contains_key(id))
            .map(|id| id.0)
            .collect();
        let max_jobs = self.max_ids_per_page();
        let mut batch = Vec::new();
        for request in std::mem::take(&mut self.cancellations.pending) {
            if jobs.len() >= max_jobs {
                self.reply_busy(request.ticket, RETRY_AFTER_S);
                continue;
            }
            if !jobs.contains(&request.id.0) {
                jobs.push(request.id.0);
            }
            batch.push(request);
        }
        let value = serde_json::to_value(CancellationsRecord { jobs }).unwrap_or_default();
        let txn = Transaction::default()
            .if_version(&key, version)
            .write(Write::put(&key, value));
        self.cancellations
            .writer
            .send(batch, txn.clone(), self.now, Duration::ZERO);
        self.queue_state_request(
            CallPriority::UserRequest,
            StateRequest::Transaction(txn),
            CallKind::Job(JobCall::Cancel),
        );
    }

    /// Handles the reply to a write of cancellations.
    pub(super) fn handle_cancellation_reply(&mut self, reply: StateReply) {
        match self.cancellations.writer.handle_reply(reply, self.now) {
            // A job may have finished before its cancellation was written. A read of changes that begins
            // now shows which of the two came first.
            WriteOutcome::Committed(requests) => {
                // The partition leader may be cut off from the state service, so it is told directly.
                let jobs = requests.iter().map(|request| request.id.0).collect();
                self.broadcast(MeshMessage::JobsCancelled { jobs });
                self.reads.enqueue_all(requests);
            }
            WriteOutcome::Conflict(requests, _)
            | WriteOutcome::Refused {
                contents: requests,
                throttled: true,
            } => {
                for mut request in requests {
                    match &mut request.kind {
                        RequestKind::Cancel { retries } if *retries < MAX_WRITE_RETRIES => {
                            *retries += 1;
                            self.reads.enqueue(request);
                        }
                        _ => self.reply_busy(request.ticket, RETRY_AFTER_S),
                    }
                }
            }
            WriteOutcome::Refused {
                contents: requests, ..
            } => self.refuse_all(requests),
            WriteOutcome::Unknown(txn) => {
                let requests = self
                    .cancellations
                    .writer
                    .in_flight_mut()
                    .map(std::mem::take);
                self.refuse_all(requests.unwrap_or_default());
                let request = StateRequest::Transaction(txn);
                self.retry_later(
                    UNKNOWN_OUTCOME_RETRY_DELAY,
                    CallPriority::UserRequest,
                    request,
                    CallKind::Job(JobCall::Cancel),
                );
            }
            WriteOutcome::NotInFlight => {}
        }
    }
}
