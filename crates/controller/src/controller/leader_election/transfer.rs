//! Transfer of a leadership to the partition's preferred leader, in one transaction.

use super::{MAX_STATE_READ_AGE, UNKNOWN_OUTCOME_TIMEOUT};
use crate::controller::call_kind::LeadershipCall;
use crate::controller::{CallKind, Controller};
use crate::records::{reclaim_key, ControllerIncarnation, PartitionRecord};
use crate::request_budget::CallPriority;
use model::{ControllerName, PartitionId};
use wire::state::{StateReply, StateRequest, Write};

impl Controller {
    /// Transfers a partition to its preferred leader by a record that is bound to that controller's lease.
    pub(in crate::controller) fn transfer_leadership(
        &mut self,
        partition: PartitionId,
        to: &ControllerName,
        lease: u64,
        incarnation: u64,
    ) {
        if self.preferred_leader(partition) != Some(to)
            || !self.has_recent_state_read(MAX_STATE_READ_AGE)
        {
            return;
        }
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if !leadership.may_transfer() {
            return;
        }
        // No worker is answered from here on, as long as the transaction may be applied.
        leadership.begin_transfer();
        let version = leadership.version();
        // If the outcome stays unknown, this controller may answer workers again before it learns that the
        // transaction was applied. So the successor waits until this controller reports that it has read
        // the change.
        let mut unconfirmed_predecessors = leadership.unconfirmed_predecessors().to_vec();
        unconfirmed_predecessors.push(ControllerIncarnation {
            controller: self.settings.name.clone(),
            incarnation: self.registration.incarnation(),
        });
        let record = PartitionRecord {
            leader: to.clone(),
            incarnation,
            term: self.cache.next_token(),
            unconfirmed_predecessors,
        };
        let mut txn = self.leader_change_txn(partition, version.0, &record, lease);
        // A request that does not fit into the transaction ends with the lease of its controller.
        let has_room = txn.writes.len() < self.settings.state_limits.max_txn_writes();
        if has_room && self.cache.reclaim_requests.contains_key(&partition) {
            txn = txn.write(Write::delete(reclaim_key(partition)));
        }
        let purpose = CallKind::Leadership(LeadershipCall::Transfer {
            partition,
            to: to.clone(),
        });
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(txn),
            purpose,
        );
    }

    /// Handles the reply to a transfer's transaction.
    pub(in crate::controller) fn handle_transfer_reply(
        &mut self,
        partition: PartitionId,
        to: ControllerName,
        reply: StateReply,
    ) {
        let leadership = self.leaderships.get_mut(&partition);
        match reply {
            StateReply::Committed { .. } => {
                let term = leadership.map(|leadership| leadership.term());
                tracing::info!(%partition, %to, "partition leadership transferred");
                self.counters.transfers += 1;
                if let Some(term) = term {
                    self.leaderships.remove(&partition);
                    self.leader_election
                        .acquisitions
                        .relinquish(partition, term);
                }
            }
            // The transaction may still be applied.
            StateReply::Unknown => {
                if let Some(leadership) = leadership {
                    leadership.await_transfer_outcome(self.now + UNKNOWN_OUTCOME_TIMEOUT);
                }
            }
            _ => {
                if let Some(leadership) = leadership {
                    leadership.abort_transfer();
                }
            }
        }
    }
}
