//! Recording of the terminal states of jobs: done or cancelled, whichever comes first.
//!
//! Terminal jobs are first recorded on watched pages, many jobs in one write. This write is conditional
//! on the cancellation records of all controllers, so that a job cannot be both done and cancelled.
//! When the write budget has room to spare, terminal states are archived under the jobs' ids, where they
//! stay for ever: a full transaction at a time, or what there is once jobs have waited for a while. A job is dropped from its page once it is archived and no page of accepted jobs lists
//! it any more. It cannot be accepted again after that, since acceptances are conditional on there
//! being no archived terminal state.

use super::call_kind::JobCall;
use super::{CallKind, Controller};
use crate::records::{
    cancellations_key, page_capacity_bytes, partition_key, terminal_jobs_key, terminal_state_key,
    TerminalJobsPage, TerminalStateRecord,
};
use crate::request_budget::{CallPriority, TokenBucket};
use crate::serial_writer::{SerialWriter, WriteOutcome, UNKNOWN_OUTCOME_RETRY_DELAY};
use crate::state_cache::{StateCache, Versioned};
use model::settings::StateLimits;
use model::{ControllerName, JobId, JobState, PartitionId, Timestamp, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Minimum time between two writes of terminal jobs, so that several are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which jobs are archived although they do not fill a transaction.
const MAX_ARCHIVE_DELAY: Duration = Duration::from_secs(10);
/// Fraction of a controller's even share of the write rate that archiving uses at most. The rest is left to
/// users and placements while many jobs wait to be archived.
const ARCHIVE_RATE_FRACTION: f64 = 0.5;
/// Maximum bytes of a job's id on a page: 20 digits and a separator.
const MAX_ID_BYTES: usize = 21;

/// Jobs of a partition whose terminal states are not recorded yet, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct JobArchiver {
    jobs: BTreeSet<JobId>,
    writer: SerialWriter<()>,
    /// When jobs were last archived or none waited to be archived.
    archived_at: Timestamp,
    /// When the archiver next looks for jobs to archive.
    next_check_at: Timestamp,
}

/// The budget of a controller for archiving, for all partitions that it leads.
pub(super) fn archive_budget(limits: &StateLimits, controller_count: usize) -> TokenBucket {
    let even_share = limits.writes_per_s / controller_count.max(1) as f64;
    TokenBucket::new(
        even_share * ARCHIVE_RATE_FRACTION,
        limits.max_txn_writes() as f64,
    )
}

impl Controller {
    /// Records terminal jobs of a partition or, if there are none, archives recorded ones.
    pub(super) fn archive_terminal_jobs(&mut self, partition: PartitionId) {
        let Some(terminal) = self.unrecorded_terminal_jobs(partition) else {
            return;
        };
        let txn = if terminal.is_empty() {
            self.archiving_transaction(partition)
        } else {
            let max_ids = self.max_ids_per_page();
            let txn = record_jobs(
                &self.cache,
                &self.controllers,
                partition,
                &terminal,
                max_ids,
            );
            Some(txn)
        };
        if let Some(txn) = txn {
            self.write_terminal_jobs(partition, txn);
        }
    }

    fn archiver(&mut self, partition: PartitionId) -> Option<&mut JobArchiver> {
        let leadership = self.leaderships.get_mut(&partition)?;
        let (_, archiver) = leadership.partition_state_and_archiver()?;
        Some(archiver)
    }

    /// The terminal jobs of a partition that no page lists yet, or none if no page can be written now.
    fn unrecorded_terminal_jobs(&mut self, partition: PartitionId) -> Option<BTreeSet<JobId>> {
        let (now, revision) = (self.now, self.cache.revision);
        let may_record = self.may_write(CallPriority::UserRequest, 1.0);
        let leadership = self.leaderships.get_mut(&partition)?;
        let (partition_state, archiver) = leadership.partition_state_and_archiver()?;
        archiver.jobs.extend(partition_state.take_finished());
        if !may_record || !archiver.writer.is_ready(now, revision) {
            return None;
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
        Some(archiver.jobs.iter().filter(is_terminal).copied().collect())
    }

    /// A transaction that archives recorded jobs of a partition, if there are enough for a full one or some
    /// have waited for long, and the budgets allow it.
    fn archiving_transaction(&mut self, partition: PartitionId) -> Option<Transaction> {
        let now = self.now;
        let max_jobs = self.settings.state_limits.max_txn_writes() - 1;
        let archiver = self.archiver(partition)?;
        if now < archiver.next_check_at {
            return None;
        }
        let is_overdue = now.duration_since(archiver.archived_at) >= MAX_ARCHIVE_DELAY;
        // A busy controller archives fewer jobs at a time rather than none.
        let smaller = |count: &usize| (is_overdue && *count > 1).then_some(count / 2);
        let affordable = std::iter::successors(Some(max_jobs), smaller)
            .find(|count| self.may_archive(*count))?;
        let waiting = waiting_jobs(&self.cache, partition);
        let archiver = self.archiver(partition)?;
        archiver.next_check_at = now + WRITE_INTERVAL;
        if waiting == 0 {
            archiver.archived_at = now;
        }
        if waiting == 0 || waiting < max_jobs && !is_overdue {
            return None;
        }
        archiver.archived_at = now;
        let txn = archive_jobs(&self.cache, partition, affordable)?;
        self.archive_budget.take(now, txn.writes.len() as f64, 0.0);
        Some(txn)
    }

    /// Whether the budgets allow a transaction that archives this many jobs and rewrites their page.
    fn may_archive(&mut self, jobs: usize) -> bool {
        let writes = jobs as f64 + 1.0;
        self.archive_budget.allows(self.now, writes, 0.0)
            && self.may_write(CallPriority::Background, writes)
    }

    fn write_terminal_jobs(&mut self, partition: PartitionId, txn: Transaction) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let (version, term) = (leadership.version(), leadership.term().0);
        let Some((_, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        let txn = txn.if_version(partition_key(partition), version.0);
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
    pub(super) fn handle_terminal_job(&mut self, id: JobId) {
        let now = self.now;
        self.job_status.forget_progress(id);
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
        if recorded.record.unarchived_count() < max_ids_per_page {
            let mut page = recorded.record.clone();
            page.drop_unregistered(|id| cache.is_registered(id));
            if page.len() < max_ids_per_page {
                break (recorded.version.0, page);
            }
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

/// Pages of terminal jobs of a partition, by their numbers.
fn pages(
    cache: &StateCache,
    partition: PartitionId,
) -> impl DoubleEndedIterator<Item = (u32, &Versioned<TerminalJobsPage>)> {
    cache
        .terminal_job_pages
        .range((partition, 0)..=(partition, u32::MAX))
        .map(|((_, number), page)| (*number, page))
}

/// Number of recorded jobs of a partition that wait to be archived.
fn waiting_jobs(cache: &StateCache, partition: PartitionId) -> usize {
    pages(cache, partition)
        .map(|(_, page)| page.record.unarchived_count())
        .sum()
}

/// A transaction that archives up to `max_jobs` jobs of the last page with jobs that are not archived. New
/// jobs are recorded on the first page with room, so the last pages become empty.
fn archive_jobs(
    cache: &StateCache,
    partition: PartitionId,
    max_jobs: usize,
) -> Option<Transaction> {
    let (number, recorded) = pages(cache, partition)
        .rev()
        .find(|(_, page)| page.record.unarchived_count() > 0)?;
    let mut page = recorded.record.clone();
    page.drop_unregistered(|id| cache.is_registered(id));
    let key = terminal_jobs_key(partition, number);
    let mut txn = Transaction::default().if_version(&key, recorded.version.0);
    for (id, state) in page.archive(max_jobs) {
        let value = serde_json::to_value(TerminalStateRecord { state }).unwrap_or_default();
        txn = txn.write(Write::put(terminal_state_key(id), value));
    }
    Some(txn.write(Write::put(
        &key,
        serde_json::to_value(page).unwrap_or_default(),
    )))
}
