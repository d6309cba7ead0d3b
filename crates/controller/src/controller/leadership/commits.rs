//! Commits of a partition's placement log, one at a time.

use super::{LoadedPartition, PartitionLeadership, PendingCommit, PLACEMENT_COMMIT_INTERVAL};
use crate::controller::call_kind::LogCall;
use crate::controller::{CallKind, Controller};
use crate::placement_log::{CommitId, PlacementLog};
use crate::request_budget::CallPriority;
use model::{PartitionId, Timestamp, Version};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction};

/// Minimum time between a commit and a following commit that carries task outcomes only.
const OUTCOME_COMMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before a commit that the state service has throttled is sent again.
const THROTTLED_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Delay before a commit is sent again that was refused for another reason or whose outcome is unknown.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before the page that shows whether a commit was applied is read again.
const VERIFICATION_RETRY_DELAY: Duration = Duration::from_millis(150);

impl LoadedPartition {
    /// Prepares a commit of the changed chunks and returns its transaction. Returns none if nothing has
    /// changed, a commit is pending, or the last one is too recent.
    fn prepare_commit(
        &mut self,
        version: Version,
        since_last_commit: Duration,
    ) -> Option<Transaction> {
        if self.pending_commit.is_some() || !self.partition_state.has_dirty_chunks() {
            return None;
        }
        let interval = if self.partition_state.has_uncommitted_placements() {
            PLACEMENT_COMMIT_INTERVAL
        } else {
            OUTCOME_COMMIT_INTERVAL
        };
        if since_last_commit < interval {
            return None;
        }
        let changes = self.partition_state.take_dirty_chunks();
        if changes.is_empty() {
            return None;
        }
        let (commit, left_out) = self.log.prepare_commit(version, changes);
        self.partition_state.mark_chunks_dirty(left_out);
        let changes = self.partition_state.changes_in_chunks(&commit.chunk_keys);
        let txn = commit.txn.clone();
        self.pending_commit = Some(PendingCommit { commit, changes });
        Some(txn)
    }

    /// Records that the pending commit is durable at this revision.
    fn confirm_commit(&mut self, revision: u64) {
        if let Some(pending) = self.pending_commit.take() {
            self.log.confirm_commit(&pending.commit, revision);
            self.partition_state.confirm_commit(&pending.changes);
        }
    }
}

impl PartitionLeadership {
    fn prepare_commit(&mut self, now: Timestamp) -> Option<Transaction> {
        let version = self.version;
        let since_last_commit = now.duration_since(self.committed_at);
        let txn = self
            .loaded_mut()?
            .prepare_commit(version, since_last_commit)?;
        self.committed_at = now;
        Some(txn)
    }

    fn pending_commit(&self) -> Option<&PendingCommit> {
        self.loaded()?.pending_commit.as_ref()
    }

    /// Key of a page that shows whether the pending commit was applied, and the commit's id.
    fn verification_page(&self) -> Option<(String, CommitId)> {
        let loaded = self.loaded()?;
        loaded
            .log
            .verification_page(&loaded.pending_commit.as_ref()?.commit)
    }

    fn confirm_commit(&mut self, revision: u64) {
        if let Some(loaded) = self.loaded_mut() {
            loaded.confirm_commit(revision);
        }
    }
}

impl Controller {
    /// Commits a partition's changes if the budget allows the write at once. A commit that was prepared
    /// earlier and queued would lack the changes made while it waits.
    pub(super) fn write_commit(&mut self, partition: PartitionId) {
        let now = self.now;
        if self.machine_changes.is_delayed(now) || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let Some(txn) = leadership.prepare_commit(now) else {
            return;
        };
        let term = leadership.term.0;
        self.queue_state_request(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            CallKind::Log(LogCall::Commit { partition, term }),
        );
    }

    /// Handles the reply to the transaction of a commit.
    pub(in crate::controller) fn handle_commit_reply(
        &mut self,
        partition: PartitionId,
        term: u64,
        reply: StateReply,
    ) {
        let now = self.now;
        let Some(leadership) = self.leadership_in_term(partition, term) else {
            return;
        };
        let Some(pending) = leadership.pending_commit() else {
            return;
        };
        match reply {
            StateReply::Committed { revision } => {
                leadership.confirm_commit(revision);
                leadership.committed_at = now;
            }
            // Either an earlier copy of this commit was applied, or the leadership is lost.
            StateReply::Conflict { .. } => self.verify_commit(partition, term, None),
            StateReply::Invalid(problem) => {
                tracing::error!(%partition, problem, "commit rejected as invalid");
                self.reload_partition(partition);
            }
            // Sends the same commit again: its conditions allow it to be applied at most once.
            other => {
                let request = StateRequest::Transaction(pending.commit.txn.clone());
                let delay = match other {
                    StateReply::Refused { throttled: true } => THROTTLED_RETRY_DELAY,
                    _ => COMMIT_RETRY_DELAY,
                };
                let kind = CallKind::Log(LogCall::Commit { partition, term });
                self.retry_later(delay, CallPriority::Placement, request, kind);
            }
        }
    }

    /// Reads a page that the pending commit writes, at once or after a delay, to find out whether the
    /// commit was applied.
    fn verify_commit(&mut self, partition: PartitionId, term: u64, delay: Option<Duration>) {
        let page = self
            .leaderships
            .get(&partition)
            .and_then(PartitionLeadership::verification_page);
        let Some((key, id)) = page else {
            return;
        };
        let request = StateRequest::Get { key };
        let kind = CallKind::Log(LogCall::VerifyCommit {
            partition,
            term,
            id,
        });
        match delay {
            None => self.queue_state_request(CallPriority::Placement, request, kind),
            Some(delay) => self.retry_later(delay, CallPriority::Placement, request, kind),
        }
    }

    /// Handles the read of the page that shows whether a commit was applied.
    pub(in crate::controller) fn handle_commit_verification(
        &mut self,
        partition: PartitionId,
        term: u64,
        id: CommitId,
        reply: StateReply,
    ) {
        let Some(leadership) = self.leadership_in_term(partition, term) else {
            return;
        };
        if leadership.pending_commit().is_none() {
            return;
        }
        match reply {
            StateReply::Item(item) if PlacementLog::is_page_of_commit(&item.value, id) => {
                leadership.confirm_commit(item.version);
            }
            StateReply::Item(_) | StateReply::NotFound => self.reload_partition(partition),
            _ => self.verify_commit(partition, term, Some(VERIFICATION_RETRY_DELAY)),
        }
    }
}
