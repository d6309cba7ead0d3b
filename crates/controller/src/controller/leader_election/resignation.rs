//! Resignation of partitions whose workers do not reach this controller, and what peers announce of theirs.

use super::reacquisition::MAX_REACQUISITION_BACKOFF;
use super::UNKNOWN_OUTCOME_TIMEOUT;
use crate::controller::call_kind::LeadershipCall;
use crate::controller::{CallKind, Controller};
use crate::records::partition_key;
use crate::request_budget::CallPriority;
use model::{ControllerName, PartitionId, Timestamp};
use std::collections::HashMap;
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// A resigned partition that has been vacant for longer may be acquired again by a controller that
/// resigned it: a leader that few workers reach is better than none.
pub(super) const MAX_RESIGNED_VACANCY: Duration = Duration::from_secs(5);
/// Number of workers that are probed before a resigned partition is acquired again.
const REACHABILITY_PROBE_COUNT: usize = 6;

/// When each peer last announced that it resigned a partition.
#[derive(Debug, Default)]
pub(super) struct PeerResignations(HashMap<PartitionId, HashMap<ControllerName, Timestamp>>);

impl PeerResignations {
    fn record(&mut self, partition: PartitionId, peer: ControllerName, now: Timestamp) {
        self.0.entry(partition).or_default().insert(peer, now);
    }

    /// Whether this peer has resigned the partition within this time.
    fn has_resigned(
        &self,
        partition: PartitionId,
        peer: &ControllerName,
        within: Duration,
        now: Timestamp,
    ) -> bool {
        self.0
            .get(&partition)
            .and_then(|peers| peers.get(peer))
            .is_some_and(|at| now.duration_since(*at) < within)
    }

    /// Whether any peer has resigned the partition within this time.
    fn any_has_resigned(&self, partition: PartitionId, within: Duration, now: Timestamp) -> bool {
        self.0
            .get(&partition)
            .is_some_and(|peers| peers.values().any(|at| now.duration_since(*at) < within))
    }
}

impl Controller {
    /// Records that a peer has resigned the leadership of a partition.
    pub(in crate::controller) fn record_peer_resignation(
        &mut self,
        partition: PartitionId,
        peer: ControllerName,
    ) {
        self.leader_election
            .resignations
            .record(partition, peer, self.now);
    }

    /// Whether a peer has resigned this partition within [`MAX_RESIGNED_VACANCY`].
    pub(super) fn was_recently_resigned(&self, partition: PartitionId) -> bool {
        self.leader_election.resignations.any_has_resigned(
            partition,
            MAX_RESIGNED_VACANCY,
            self.now,
        )
    }

    /// Whether a live peer may lead a partition instead of this controller. Peers that resigned it recently
    /// do not count: if all machines of a partition were dead, the controllers would resign it in turn
    /// forever.
    fn has_candidate(&self, partition: PartitionId) -> bool {
        self.peers.eligible_leaders(self.now).any(|peer| {
            !self.leader_election.resignations.has_resigned(
                partition,
                peer,
                MAX_REACQUISITION_BACKOFF,
                self.now,
            )
        })
    }

    /// Resigns a partition whose workers do not reach this controller while they may reach a peer:
    /// without heartbeats no lease is renewed and no work is placed.
    pub(in crate::controller) fn resign_leadership(&mut self, partition: PartitionId) {
        let has_candidate = self.has_candidate(partition);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if !has_candidate || !leadership.may_transfer() {
            return;
        }
        tracing::warn!(%partition, "workers unreachable, resigning partition leadership");
        // No worker is answered from here on. The token counter names this controller as the last leader,
        // so the next leader assumes that this one may still answer workers until it reports that it has
        // read the change.
        leadership.begin_transfer();
        let key = partition_key(partition);
        let txn = Transaction::default()
            .if_version(&key, leadership.version().0)
            .write(Write::delete(&key));
        let workers = leadership
            .partition_state()
            .map(|partition_state| partition_state.addresses(REACHABILITY_PROBE_COUNT))
            .unwrap_or_default();
        self.leader_election
            .backoffs
            .begin(partition, workers, self.now);
        self.broadcast(MeshMessage::LeadershipResigned {
            partition: partition.0,
        });
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(txn),
            CallKind::Leadership(LeadershipCall::Resign(partition)),
        );
    }

    /// Handles the reply to a resignation's transaction.
    pub(in crate::controller) fn handle_resignation_reply(
        &mut self,
        partition: PartitionId,
        reply: StateReply,
    ) {
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        match reply {
            StateReply::Committed { .. } => {
                let term = leadership.term();
                self.leader_election
                    .acquisitions
                    .relinquish(partition, term);
                self.leaderships.remove(&partition);
            }
            // The transaction may still be applied.
            StateReply::Unknown => {
                leadership.await_transfer_outcome(self.now + UNKNOWN_OUTCOME_TIMEOUT);
            }
            _ => leadership.abort_transfer(),
        }
    }
}
