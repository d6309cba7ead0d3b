//! Writing the ends of jobs: done or cancelled, whichever came first.
//!
//! An end is an entry on a watched page, many to a put. That write is conditional on every
//! node's cancellations, so that done and cancelled exclude each other. When there is budget to
//! spare, the final state is filed under the job's id, where it stays for ever. An entry
//! leaves its page when it is filed and no page of accepted jobs shows the job any more; the
//! job cannot come back then, since acceptances are conditional on there being no final state.

use super::{CallKind, Controller};
use crate::records::{
    cancellations_key, final_state_key, page_capacity, partition_key, terminal_jobs_key,
    FinalStateRecord, TerminalJobsPage,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{Outcome, SerialWriter};
use crate::state_cache::StateCache;
use model::{ControllerName, JobId, JobState, PartitionId, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Least time between two writes of ends, so that several go together.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);

/// Ends of a partition's jobs on their way.
#[derive(Debug, Default)]
pub(crate) struct JobArchiver {
    jobs: BTreeSet<JobId>,
    pipe: SerialWriter<()>,
}

impl Controller {
    pub(super) fn archive_terminal_jobs(&mut self, partition: PartitionId) {
        let (now, revision) = (self.now, self.cache.revision);
        let budget = self.may_write(CallPriority::Accept, 1.0);
        let most = self.settings.state_limits.txn_ops - 1;
        let room = self.page_entries();
        let spare = self.may_write(CallPriority::Rest, most as f64 + 1.0);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let (version, term) = (leadership.version(), leadership.term().0);
        let Some((partition_state, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        archiver.jobs.extend(partition_state.take_finished());
        if !budget || !archiver.pipe.ready(now, revision) {
            return;
        }
        archiver.jobs.retain(|id| self.cache.jobs.contains_key(id));
        // One that is over by another node's word that it is cancelled waits for the record of that.
        let all_done = |id: &JobId| {
            partition_state
                .jobs
                .get(id)
                .is_some_and(scheduler::Job::all_done)
        };
        let recorded = |id: &&JobId| self.cache.is_cancelled(**id) || all_done(id);
        let over: BTreeSet<JobId> = archiver.jobs.iter().filter(recorded).copied().collect();
        let txn = if !over.is_empty() {
            write_ends(&self.cache, &self.nodes, partition, &over, room)
        } else if spare {
            match file_ends(&self.cache, partition, most) {
                Some(txn) => txn,
                None => return,
            }
        } else {
            return;
        };
        let txn = txn.when(partition_key(partition), version.0);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let Some((_, archiver)) = leadership.partition_state_and_archiver() else {
            return;
        };
        archiver.pipe.send((), txn.clone(), now, WRITE_INTERVAL);
        let purpose = CallKind::Ends { partition, term };
        self.state(
            CallPriority::Accept,
            StateRequest::Transaction(txn),
            purpose,
        );
    }

    /// How many ids a page takes: each has 20 digits at most.
    pub(super) fn page_entries(&self) -> usize {
        page_capacity(self.settings.state_limits.value_bytes) / 21
    }

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
        // Whatever came of it, the mirror shows: what is not over by then is written anew.
        if let Outcome::Again(txn) = archiver.pipe.answered(reply, now) {
            let purpose = CallKind::Ends { partition, term };
            self.retry_later(
                Duration::from_millis(200),
                CallPriority::Accept,
                StateRequest::Transaction(txn),
                purpose,
            );
        }
    }

    /// A job is over, and that is durable.
    pub(super) fn job_ended(&mut self, id: JobId, state: JobState) {
        let now = self.now;
        self.job_status.record_terminal_state(id, state);
        for leadership in self.leaderships.values_mut() {
            leadership.forget_job(id, now);
        }
    }
}

/// The ends of these jobs, as many as their page takes.
fn write_ends(
    cache: &StateCache,
    nodes: &[(ControllerName, ZoneName)],
    partition: PartitionId,
    jobs: &BTreeSet<JobId>,
    room: usize,
) -> Transaction {
    let mut number = 0;
    let (page_version, mut page) = loop {
        let Some(old) = cache.ends.get(&(partition, number)) else {
            break (0, TerminalJobsPage::default());
        };
        let mut page = old.record.clone();
        page.drop_unregistered(|id| cache.is_registered(id));
        if page.len() < room {
            break (old.version.0, page);
        }
        number += 1;
    };
    let free = room.saturating_sub(page.len());
    for id in jobs.iter().take(free) {
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
    let mut txn = Transaction::default().when(&key, page_version);
    for (node, _) in nodes {
        txn = txn.when(
            cancellations_key(node),
            cache.cancels.get(node).map_or(0, |c| c.version.0),
        );
    }
    txn.write(Write::put(
        &key,
        serde_json::to_value(page).unwrap_or_default(),
    ))
}

/// Files as many final states as a transaction takes.
fn file_ends(cache: &StateCache, partition: PartitionId, most: usize) -> Option<Transaction> {
    let pages = cache.ends.range((partition, 0)..=(partition, u32::MAX));
    let ((_, number), old) =
        pages.max_by_key(|(_, page)| page.record.done.len() + page.record.cancelled.len())?;
    let mut page = old.record.clone();
    page.drop_unregistered(|id| cache.is_registered(id));
    let filed = page.archive(most);
    // A few are not worth a put of the page.
    if filed.len() < most {
        return None;
    }
    let key = terminal_jobs_key(partition, *number);
    let mut txn = Transaction::default().when(&key, old.version.0);
    for (id, state) in filed {
        let value = serde_json::to_value(FinalStateRecord { state }).unwrap_or_default();
        txn = txn.write(Write::put(final_state_key(id), value));
    }
    Some(txn.write(Write::put(
        &key,
        serde_json::to_value(page).unwrap_or_default(),
    )))
}
