//! Recording of the terminal states of jobs: done or cancelled, whichever comes first.
//!
//! Terminal jobs are first recorded on watched pages, many jobs in one write. This write is conditional
//! on the cancellation records of all controllers, so that a job cannot be both done and cancelled.
//! When the write budget has room to spare, terminal states are archived under the jobs' ids, where they
//! stay for ever. A job is dropped from its page once it is archived and no page of accepted jobs lists
//! it any more. It cannot be accepted again after that, since acceptances are conditional on there
//! being no archived terminal state.

use super::call_kind::JobCall;
use super::{CallKind, Controller};
use crate::records::{
    cancellations_key, page_capacity_bytes, partition_key, terminal_jobs_key, terminal_state_key,
    TerminalJobsPage, TerminalStateRecord,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{SerialWriter, WriteOutcome, UNKNOWN_OUTCOME_RETRY_DELAY};
use crate::state_cache::StateCache;
use model::{ControllerName, JobId, JobState, PartitionId, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Minimum time between two writes of terminal jobs, so that several are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum bytes of a job's id on a page: 20 digits and a separator.
const MAX_ID_BYTES: usize = 21;

/// Jobs of a partition whose terminal states are not recorded yet, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct JobArchiver {
    jobs: BTreeSet<JobId>,
    writer: SerialWriter<()>,
}

impl Controller {
    /// Records terminal jobs of a partition or, if there are none, archives recorded ones.
    pub(super) fn archive_terminal_jobs(&mut self, partition: PartitionId) {
        let (now, revision) = (self.now, self.cache.revision);
        let may_record = self.may_write(CallPriority::UserRequest, 1.0);
        let max_archived = self.settings.state_limits.max_txn_ops - 1;
        let max_ids_per_page = self.max_ids_per_page();
        let may_archive = self.may_write(CallPriority::Background, max_archived as f64 + 1.0);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let (version, term) = (leadership.version(), leadership.term().0);
        let Some((partition_state, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        archiver.jobs.extend(partition_state.take_finished());
        if !may_record || !archiver.writer.is_ready(now, revision) {
            return;
        }
        archiver.jobs.retain(|id| self.cache.jobs.contains_key(id));
        // A job that only a peer's message reports as cancelled waits until the state cache shows the
        // cancellation.
        let all_done = |id: &JobId| {
            partition_state
                .jobs
                .get(id)
                .is_some_and(scheduler::Job::all_done)
        };
        let is_terminal = |id: &&JobId| self.cache.is_cancelled(**id) || all_done(id);
        let terminal: BTreeSet<JobId> = archiver.jobs.iter().filter(is_terminal).copied().collect();
        let txn = if !terminal.is_empty() {
            record_jobs(
                &self.cache,
                &self.controllers,
                partition,
                &terminal,
                max_ids_per_page,
            )
        } else if may_archive {
            match archive_jobs(&self.cache, partition, max_archived) {
                Some(txn) => txn,
                None => return,
            }
        } else {
            return;
        };
        let txn = txn.if_version(partition_key(partition), version.0);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let Some((_, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        archiver.writer.send((), txn.clone(), now, WRITE_INTERVAL);
        let kind = CallKind::Job(JobCall::Archive { partition, term });
        self.queue_state_request(
            CallPriority::UserRequest,
            StateRequest::Transaction(txn),
            kind,
        );
    }

    /// Maximum number of job ids on a page.
    pub(super) fn max_ids_per_page(&self) -> usize {
        page_capacity_bytes(self.settings.state_limits.max_value_bytes) / MAX_ID_BYTES
    }

    /// Handles the reply to a write of terminal jobs.
    pub(super) fn handle_terminal_jobs_written(
        &mut self,
        partition: PartitionId,
        term: u64,
        reply: StateReply,
    ) {
        let now = self.now;
        let Some(leadership) = self.leadership_in_term(partition, term) else {
            return;
        };
        let Some((_, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        // The state cache will show the outcome; jobs that are not recorded then are written again.
        if let WriteOutcome::Unknown(txn) = archiver.writer.handle_reply(reply, now) {
            let kind = CallKind::Job(JobCall::Archive { partition, term });
            self.retry_later(
                UNKNOWN_OUTCOME_RETRY_DELAY,
                CallPriority::UserRequest,
                StateRequest::Transaction(txn),
                kind,
            );
        }
    }

    /// Applies a job's terminal state that has been recorded.
    pub(super) fn handle_terminal_job(&mut self, id: JobId, state: JobState) {
        let now = self.now;
        self.job_status.record_terminal_state(id, state);
        for leadership in self.leaderships.values_mut() {
            leadership.forget_job(id, now);
        }
    }
}

/// A transaction that records these jobs as terminal, as many as fit on one page.
fn record_jobs(
    cache: &StateCache,
    nodes: &[(ControllerName, ZoneName)],
    partition: PartitionId,
    jobs: &BTreeSet<JobId>,
    max_ids_per_page: usize,
) -> Transaction {
    let mut number = 0;
    let (page_version, mut page) = loop {
        let Some(recorded) = cache.terminal_job_pages.get(&(partition, number)) else {
            break (0, TerminalJobsPage::default());
        };
        let mut page = recorded.record.clone();
        page.drop_unregistered(|id| cache.is_registered(id));
        if page.len() < max_ids_per_page {
            break (recorded.version.0, page);
        }
        number += 1;
    };
    let free_entries = max_ids_per_page.saturating_sub(page.len());
    for id in jobs.iter().take(free_entries) {
        let cancelled = cache.is_cancelled(*id);
        page.push(
            *id,
            if cancelled {
                JobState::Cancelled
            } else {
                JobState::Done
            },
        );
    }
    let key = terminal_jobs_key(partition, number);
    let mut txn = Transaction::default().if_version(&key, page_version);
    for (node, _) in nodes {
        txn = txn.if_version(
            cancellations_key(node),
            cache
                .cancellations
                .get(node)
                .map_or(0, |cancellations| cancellations.version.0),
        );
    }
    txn.write(Write::put(
        &key,
        serde_json::to_value(page).unwrap_or_default(),
    ))
}

/// A transaction that archives `count` terminal states, or none if there are fewer: they would not justify
/// rewriting the page.
fn archive_jobs(cache: &StateCache, partition: PartitionId, count: usize) -> Option<Transaction> {
    let pages = cache
        .terminal_job_pages
        .range((partition, 0)..=(partition, u32::MAX));
    let ((_, number), recorded) =
        pages.max_by_key(|(_, page)| page.record.done.len() + page.record.cancelled.len())?;
    let mut page = recorded.record.clone();
    page.drop_unregistered(|id| cache.is_registered(id));
    let archived = page.archive(count);
    if archived.len() < count {
        return None;
    }
    let key = terminal_jobs_key(partition, *number);
    let mut txn = Transaction::default().if_version(&key, recorded.version.0);
    for (id, state) in archived {
        let value = serde_json::to_value(TerminalStateRecord { state }).unwrap_or_default();
        txn = txn.write(Write::put(terminal_state_key(id), value));
    }
    Some(txn.write(Write::put(
        &key,
        serde_json::to_value(page).unwrap_or_default(),
    )))
}
