//! Writing the ends of jobs: done or cancelled, whichever came first.
//!
//! An end is an entry on a watched page, many to a put. That write is conditional on every
//! node's cancellations, so that done and cancelled exclude each other. When there is budget to
//! spare, the final state is filed under the job's id, where it stays for ever. An entry
//! leaves its page when it is filed and no page of accepted jobs shows the job any more; the
//! job cannot come back then, since acceptances are conditional on there being no final state.

use super::{CallKind, Controller};
use crate::records::{
    cancels_key, ends_key, final_key, page_room, partition_key, FinalRecord, TerminalJobsPage,
};
use crate::request_budget::CallPriority;
use crate::serial_writer::{Outcome, SerialWriter};
use crate::state_cache::StateCache;
use model::{ControllerName, JobId, JobState, PartitionId, ZoneName};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Least time between two writes of ends, so that several go together.
const GAP: Duration = Duration::from_millis(150);

/// Ends of a partition's jobs on their way.
#[derive(Debug, Default)]
pub(crate) struct JobArchiver {
    jobs: BTreeSet<JobId>,
    pipe: SerialWriter<()>,
}

impl Controller {
    pub(super) fn step_ends(&mut self, partition: PartitionId) {
        let (now, revision) = (self.now, self.mirror.revision);
        let budget = self.may_write(CallPriority::Accept, 1.0);
        let most = self.settings.state_limits.txn_ops - 1;
        let room = self.page_entries();
        let spare = self.may_write(CallPriority::Rest, most as f64 + 1.0);
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let (version, term) = (holding.version(), holding.term().0);
        let Some((share, ending)) = holding.share_and_ending() else { return };
        ending.jobs.extend(share.take_finished());
        if !budget || !ending.pipe.ready(now, revision) {
            return;
        }
        ending.jobs.retain(|id| self.mirror.jobs.contains_key(id));
        // One that is over by another node's word that it is cancelled waits for the record of that.
        let all_done = |id: &JobId| share.jobs.get(id).is_some_and(scheduler::Job::all_done);
        let recorded = |id: &&JobId| self.mirror.is_cancelled(**id) || all_done(id);
        let over: BTreeSet<JobId> = ending.jobs.iter().filter(recorded).copied().collect();
        let txn = if !over.is_empty() {
            write_ends(&self.mirror, &self.nodes, partition, &over, room)
        } else if spare {
            match file_ends(&self.mirror, partition, most) {
                Some(txn) => txn,
                None => return,
            }
        } else {
            return;
        };
        let txn = txn.when(partition_key(partition), version.0);
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let Some((_, ending)) = holding.share_and_ending() else { return };
        ending.pipe.send((), txn.clone(), now, GAP);
        let purpose = CallKind::Ends { partition, term };
        self.state(CallPriority::Accept, StateRequest::Transaction(txn), purpose);
    }

    /// How many ids a page takes: each has 20 digits at most.
    pub(super) fn page_entries(&self) -> usize {
        page_room(self.settings.state_limits.value_bytes) / 21
    }

    pub(super) fn on_ends(&mut self, partition: PartitionId, term: u64, reply: StateReply) {
        let now = self.now;
        let Some(holding) = self.current(partition, term) else { return };
        let Some((_, ending)) = holding.share_and_ending() else { return };
        // Whatever came of it, the mirror shows: what is not over by then is written anew.
        if let Outcome::Again(txn) = ending.pipe.answered(reply, now) {
            let purpose = CallKind::Ends { partition, term };
            self.again(
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
        self.keep_final(id, state);
        for holding in self.holdings.values_mut() {
            holding.forget_job(id, now);
        }
    }
}

/// The ends of these jobs, as many as their page takes.
fn write_ends(
    mirror: &StateCache,
    nodes: &[(ControllerName, ZoneName)],
    partition: PartitionId,
    jobs: &BTreeSet<JobId>,
    room: usize,
) -> Transaction {
    let mut number = 0;
    let (page_version, mut page) = loop {
        let Some(old) = mirror.ends.get(&(partition, number)) else {
            break (0, TerminalJobsPage::default());
        };
        let mut page = old.record.clone();
        page.drop_unlisted(|id| mirror.is_listed(id));
        if page.len() < room {
            break (old.version.0, page);
        }
        number += 1;
    };
    let free = room.saturating_sub(page.len());
    for id in jobs.iter().take(free) {
        let cancelled = mirror.is_cancelled(*id);
        page.push(*id, if cancelled { JobState::Cancelled } else { JobState::Done });
    }
    let key = ends_key(partition, number);
    let mut txn = Transaction::default().when(&key, page_version);
    for (node, _) in nodes {
        txn = txn.when(cancels_key(node), mirror.cancels.get(node).map_or(0, |c| c.version.0));
    }
    txn.write(Write::put(&key, serde_json::to_value(page).unwrap_or_default()))
}

/// Files as many final states as a transaction takes.
fn file_ends(mirror: &StateCache, partition: PartitionId, most: usize) -> Option<Transaction> {
    let pages = mirror.ends.range((partition, 0)..=(partition, u32::MAX));
    let ((_, number), old) =
        pages.max_by_key(|(_, page)| page.record.done.len() + page.record.cancelled.len())?;
    let mut page = old.record.clone();
    page.drop_unlisted(|id| mirror.is_listed(id));
    let filed = page.file(most);
    // A few are not worth a put of the page.
    if filed.len() < most {
        return None;
    }
    let key = ends_key(partition, *number);
    let mut txn = Transaction::default().when(&key, old.version.0);
    for (id, state) in filed {
        let value = serde_json::to_value(FinalRecord { state }).unwrap_or_default();
        txn = txn.write(Write::put(final_key(id), value));
    }
    Some(txn.write(Write::put(&key, serde_json::to_value(page).unwrap_or_default())))
}
