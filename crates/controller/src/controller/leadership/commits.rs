//! Commits of the placement log, one at a time.

use super::{LoadedPartition, PartitionLeadership, PendingCommit, PLACEMENT_COMMIT_INTERVAL};
use crate::controller::call_kind::LogCall;
use crate::controller::{CallKind, Controller};
use crate::placement_log::{CommitId, PlacementLog};
use crate::request_budget::CallPriority;
use model::{PartitionId, Timestamp, Version};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction};

/// Pause between commits that carry outcomes only.
const OUTCOME_COMMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause before a commit is sent again that the state service has throttled.
const THROTTLED_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Pause before a commit is sent again whose outcome is unknown.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Pause before a page is read again that shows whether a commit was applied.
const VERIFICATION_RETRY_DELAY: Duration = Duration::from_millis(150);

impl LoadedPartition {
    /// Prepares a commit of what has changed, if anything has and the pause since the last one is
    /// over, and returns its transaction.
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
        let (commit, left) = self.log.prepare_commit(version, changes);
        self.partition_state.mark_chunks_dirty(left);
        let changes = self.partition_state.changes_in_chunks(&commit.chunk_keys);
        let txn = commit.txn.clone();
        self.pending_commit = Some(PendingCommit { commit, changes });
        Some(txn)
    }

    /// The open commit is durable at this revision.
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

    /// Key of a page that shows whether the open commit was applied.
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
    /// Writes what has changed in a partition, if the budget allows the write at once: a commit that
    /// is prepared only then carries more and is fresher.
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

    /// Handles the reply to a commit's transaction.
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
            // Either an earlier copy of this very commit was applied, or the leadership is lost.
            StateReply::Conflict { .. } => self.verify_commit(partition, term, None),
            StateReply::Invalid(problem) => {
                tracing::error!(%partition, problem, "commit rejected as invalid");
                self.reload_partition(partition);
            }
            // The same commit again: its conditions let it be applied once at most.
            other => {
                let request = StateRequest::Transaction(pending.commit.txn.clone());
                let delay = match other {
                    StateReply::Refused { throttled: true } => THROTTLED_RETRY_DELAY,
                    _ => COMMIT_RETRY_DELAY,
                };
                let purpose = CallKind::Log(LogCall::Commit { partition, term });
                self.retry_later(delay, CallPriority::Placement, request, purpose);
            }
        }
    }

    /// Reads a page that the open commit writes, at once or after a delay.
    fn verify_commit(&mut self, partition: PartitionId, term: u64, delay: Option<Duration>) {
        let proof = self
            .leaderships
            .get(&partition)
            .and_then(PartitionLeadership::verification_page);
        let Some((key, id)) = proof else {
            return;
        };
        let request = StateRequest::Get { key };
        let purpose = CallKind::Log(LogCall::VerifyCommit {
            partition,
            term,
            id,
        });
        match delay {
            None => self.queue_state_request(CallPriority::Placement, request, purpose),
            Some(delay) => self.retry_later(delay, CallPriority::Placement, request, purpose),
        }
    }

    /// Handles the page that shows whether a commit was applied.
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
            StateReply::Item(_) | StateReply::Missing => self.reload_partition(partition),
            _ => self.verify_commit(partition, term, Some(VERIFICATION_RETRY_DELAY)),
        }
    }
}
