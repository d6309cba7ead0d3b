//! Writing the ends of jobs: done or cancelled, whichever came first.
//!
//! Each end is a record of its own, since it is kept for ever and found by the job's id, and
//! an entry on a watched page that tells all nodes, until no page of accepted jobs shows the
//! job any more. The write is conditional on every node's cancellations, so that done and
//! cancelled exclude each other.

use super::{Node, Purpose};
use crate::budget::Importance;
use crate::pipe::{Outcome, Pipe};
use crate::records::{
    cancels_key, ends_key, final_key, page_room, partition_key, EndsPage, FinalRecord,
};
use model::{JobId, JobState, PartitionId, Span};
use std::collections::BTreeSet;
use wire::state::{StateReply, StateRequest, Txn, Write};

/// Least time between two writes of ends, so that several go together.
const GAP: Span = Span(150);

/// Ends of a partition's jobs on their way.
#[derive(Debug, Default)]
pub(crate) struct Ending {
    jobs: BTreeSet<JobId>,
    pipe: Pipe<()>,
}

impl Node {
    pub(super) fn step_ends(&mut self, partition: PartitionId) {
        let (now, revision) = (self.now, self.mirror.revision);
        let most = self.settings.state_limits.txn_ops - 1;
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let (version, term) = (holding.version(), holding.term().0);
        let Some((share, ending)) = holding.share_and_ending() else { return };
        ending.jobs.extend(share.take_finished());
        if ending.jobs.is_empty() || !ending.pipe.ready(now, revision) {
            return;
        }
        ending.jobs.retain(|id| self.mirror.jobs.contains_key(id));
        let batch: Vec<JobId> = ending.jobs.iter().copied().take(most).collect();
        if batch.is_empty() {
            return;
        }
        // Jobs leave the page when no page of accepted jobs shows them: none can come back,
        // since an acceptance is conditional on there being no final state.
        let listed = self.mirror.listed();
        let room = page_room(self.settings.state_limits.value_bytes) / 21;
        let mut chosen = (0, 0, EndsPage::default());
        for number in 0.. {
            let old = self.mirror.ends.get(&(partition, number));
            let mut page = old.map(|p| p.record.clone()).unwrap_or_default();
            page.done.retain(|id| listed.contains(&JobId(*id)));
            page.cancelled.retain(|id| listed.contains(&JobId(*id)));
            if old.is_none() || page.done.len() + page.cancelled.len() + batch.len() <= room {
                chosen = (number, old.map_or(0, |p| p.version.0), page);
                break;
            }
        }
        let (number, page_version, mut page) = chosen;
        let key = ends_key(partition, number);
        let mut txn =
            Txn::default().when(partition_key(partition), version.0).when(&key, page_version);
        for (node, _) in &self.nodes {
            let version = self.mirror.cancels.get(node).map_or(0, |c| c.version.0);
            txn = txn.when(cancels_key(node), version);
        }
        for id in &batch {
            let state = match self.mirror.is_cancelled(*id) {
                true => JobState::Cancelled,
                false => JobState::Done,
            };
            page.push(*id, state);
            let value = serde_json::to_value(FinalRecord { state }).unwrap_or_default();
            txn = txn.write(Write::put(final_key(*id), value));
        }
        let value = serde_json::to_value(page).unwrap_or_default();
        txn = txn.write(Write::put(&key, value));
        ending.pipe.send((), txn.clone(), now, GAP);
        let purpose = Purpose::Ends { partition, term };
        self.state(Importance::Accept, StateRequest::Txn(txn), purpose);
    }

    pub(super) fn on_ends(&mut self, partition: PartitionId, term: u64, reply: StateReply) {
        let now = self.now;
        let Some(holding) = self.current(partition, term) else { return };
        let Some((_, ending)) = holding.share_and_ending() else { return };
        // Whatever came of it, the mirror shows: what is not over by then is written anew.
        if let Outcome::Again(txn) = ending.pipe.answered(reply, now) {
            let purpose = Purpose::Ends { partition, term };
            self.again(Span(200), Importance::Accept, StateRequest::Txn(txn), purpose);
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
