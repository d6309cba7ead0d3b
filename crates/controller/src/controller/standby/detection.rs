//! Early failover, before the leader's lease expires: the evidence of a crash, and the detection of false
//! suspicions.

use crate::controller::Controller;
use crate::controller_lease::LEASE_DURATION;
use failover::failure_detector::{Evidence, FailoverBlocker};
use failover::PartitionReplica;
use model::{ControllerName, PartitionId, Timestamp};
use std::time::Duration;

/// How much later than [`LEASE_DURATION`] a lease may expire and other controllers may learn of it.
const LEASE_EXPIRY_DELAY: Duration = Duration::from_secs(1);

/// An acquisition of a partition whose record still existed, from a leader suspected to have crashed.
#[derive(Debug)]
pub(super) struct EarlyFailover {
    former_leader: ControllerName,
    incarnation: u64,
    acquired_at: Timestamp,
}

impl Controller {
    /// The reasons against an early failover of a partition; none if the partition has no record.
    pub(in crate::controller) fn failover_blockers(
        &self,
        partition: PartitionId,
    ) -> Vec<FailoverBlocker> {
        let Some(recorded) = self.cache.partitions.get(&partition) else {
            return Vec::new();
        };
        let leader = &recorded.record.leader;
        let incarnation = recorded.record.incarnation;
        let term = recorded.record.term;
        let is_current = |replica: &&PartitionReplica| {
            replica.source().incarnation == incarnation && replica.source().term == term
        };
        let replica = self.standby.replicas.get(partition).filter(is_current);
        let leader_status = self
            .peers
            .status(leader)
            .filter(|status| status.incarnation == incarnation);
        let evidence = Evidence {
            now: self.now,
            last_heartbeat_at: leader_status.map(|status| status.last_seen_at),
            peer_heartbeat_age: self.peers.latest_heartbeat_age(leader, self.now),
            reporting_machines: replica.map_or(0, PartitionReplica::reporting_machines),
            replica_complete: replica.is_some_and(PartitionReplica::is_complete),
            last_state_read_at: self.state_sync.last_read_at(),
            resumed_at: self.running_since,
        };
        self.standby
            .failure_detector
            .failover_blockers(partition, &evidence)
    }

    /// Records that this controller acquires a partition whose leader is suspected to have crashed while
    /// the leader's record still exists.
    pub(in crate::controller) fn record_early_failover(
        &mut self,
        partition: PartitionId,
        former_leader: ControllerName,
        incarnation: u64,
    ) {
        self.counters.early_failovers += 1;
        let early_failover = EarlyFailover {
            former_leader,
            incarnation,
            acquired_at: self.now,
        };
        self.standby
            .early_failovers
            .insert(partition, early_failover);
    }

    /// Detects false suspicions when a peer shows that it is alive: partitions that were acquired from this
    /// same incarnation a short time ago were acquired on a false suspicion. A peer that returns only after
    /// its lease has expired had lost its partitions anyway.
    pub(in crate::controller) fn detect_false_suspicion(
        &mut self,
        peer: &ControllerName,
        incarnation: u64,
    ) {
        let now = self.now;
        self.standby.early_failovers.retain(|_, failover| {
            now.duration_since(failover.acquired_at) <= LEASE_DURATION + LEASE_EXPIRY_DELAY
        });
        let falsely_acquired: Vec<PartitionId> = self
            .standby
            .early_failovers
            .iter()
            .filter(|(_, failover)| {
                failover.former_leader == *peer && failover.incarnation == incarnation
            })
            .map(|(partition, _)| *partition)
            .collect();
        for partition in falsely_acquired {
            tracing::warn!(%partition, leader = %peer, "partition acquired from a live leader");
            self.standby.early_failovers.remove(&partition);
            self.standby
                .failure_detector
                .record_false_suspicion(partition, now);
            self.counters.false_failovers += 1;
        }
    }
}
