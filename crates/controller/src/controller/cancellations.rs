//! Cancellations by users: those that wait are recorded together.

use super::call_kind::JobCall;
use super::{CallKind, Controller, PendingRequest, RequestKind};
use crate::records::{cancellations_key, CancellationsRecord};
use crate::request_budget::CallPriority;
use crate::serial_writer::{SerialWriter, WriteOutcome};
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// How often a cancellation whose write met a conflict is tried again.
const MAX_CONFLICTS: u32 = 5;

/// Cancellations on their way into the state service.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    pending: Vec<PendingRequest>,
    writes: SerialWriter<Vec<PendingRequest>>,
}

impl Controller {
    /// Takes a cancellation of an open job in.
    pub(super) fn cancel(&mut self, request: PendingRequest) {
        self.cancellations.pending.push(request);
    }

    pub(super) fn advance_cancellations(&mut self) {
        let ready = self
            .cancellations
            .writes
            .ready(self.now, self.cache.revision);
        let waiting = !self.cancellations.pending.is_empty();
        if waiting
            && ready
            && self.state_sync.is_synced()
            && self.may_write(CallPriority::Accept, 1.0)
        {
            self.write_cancellations();
        }
    }

    fn write_cancellations(&mut self) {
        let key = cancellations_key(self.own_name());
        let old = self.cache.cancellations.get(self.own_name());
        let version = old.map_or(0, |c| c.version.0);
        // Those of finished jobs have served.
        let open = old.into_iter().flat_map(|c| &c.record);
        let mut jobs: Vec<u64> = open
            .filter(|id| self.cache.jobs.contains_key(id))
            .map(|id| id.0)
            .collect();
        let room = self.page_entries();
        let mut batch = Vec::new();
        for request in std::mem::take(&mut self.cancellations.pending) {
            if jobs.len() >= room {
                self.reply_busy(request.ticket, 1);
                continue;
            }
            if !jobs.contains(&request.id.0) {
                jobs.push(request.id.0);
            }
            batch.push(request);
        }
        let value = serde_json::to_value(CancellationsRecord { jobs }).unwrap_or_default();
        let txn = Transaction::default()
            .when(&key, version)
            .write(Write::put(&key, value));
        self.cancellations
            .writes
            .send(batch, txn.clone(), self.now, Duration::ZERO);
        self.queue_state_request(
            CallPriority::Accept,
            StateRequest::Transaction(txn),
            CallKind::Job(JobCall::Cancel),
        );
    }

    pub(super) fn handle_cancellation_written(&mut self, reply: StateReply) {
        match self.cancellations.writes.handle_reply(reply, self.now) {
            // The job may have finished before: a read that begins now tells which came first.
            WriteOutcome::Committed(requests) => {
                // The leader of its partition may be without the state service.
                let jobs = requests.iter().map(|request| request.id.0).collect();
                self.broadcast(MeshMessage::JobsCancelled { jobs });
                self.reads.enqueue_all(requests);
            }
            WriteOutcome::Conflict(requests, _)
            | WriteOutcome::Refused {
                what: requests,
                throttled: true,
            } => {
                for mut request in requests {
                    match &mut request.kind {
                        RequestKind::Cancel { conflicts } if *conflicts < MAX_CONFLICTS => {
                            *conflicts += 1;
                            self.reads.enqueue(request);
                        }
                        _ => self.reply_busy(request.ticket, 1),
                    }
                }
            }
            WriteOutcome::Refused { what, .. } => self.refuse_all(what),
            WriteOutcome::Unknown(txn) => {
                let requests = self
                    .cancellations
                    .writes
                    .in_flight_mut()
                    .map(std::mem::take);
                self.refuse_all(requests.unwrap_or_default());
                let request = StateRequest::Transaction(txn);
                self.retry_later(
                    Duration::from_millis(200),
                    CallPriority::Accept,
                    request,
                    CallKind::Job(JobCall::Cancel),
                );
            }
            WriteOutcome::NotInFlight => {}
        }
    }
}
