//! Leader election: which controller leads which partition.
//!
//! A controller leads a partition while the partition's record in the state service names it with its
//! present incarnation. The record is bound to the leader's lease and is deleted with it; a partition
//! without a record is vacant. The submodules acquire vacant partitions, fail over those whose leader has
//! crashed, resign those whose workers do not reach this controller, and return partitions to their
//! preferred leaders.

mod acquisition;
mod reacquisition;
mod reclaim;
mod record_changes;
mod resignation;
mod transfer;

use super::Controller;
use acquisition::Acquisitions;
use model::{ControllerName, PartitionId, Timestamp};
use reacquisition::ReacquisitionBackoffs;
use reclaim::Reclaim;
use resignation::PeerResignations;
use std::time::Duration;

/// Maximum age of the last read of changes at which a controller acquires or transfers partitions.
const MAX_STATE_READ_AGE: Duration = Duration::from_secs(3);
/// How long a transaction that ends a leadership may still be applied after its outcome became unknown.
const UNKNOWN_OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

/// The state on which a controller bases its decisions about leaderships.
#[derive(Debug, Default)]
pub(super) struct LeaderElection {
    acquisitions: Acquisitions,
    backoffs: ReacquisitionBackoffs,
    resignations: PeerResignations,
    reclaim: Reclaim,
}

impl LeaderElection {
    /// Restarts the waiting times for vacant partitions after a pause of this process.
    pub(super) fn restart_vacancies(&mut self, now: Timestamp) {
        self.acquisitions.restart_vacancies(now);
    }

    /// Records that the write of a reclaim record was answered.
    pub(super) fn finish_reclaim_write(&mut self) {
        self.reclaim.finish_write();
    }
}

impl Controller {
    /// Number of partitions: one for each controller in the settings.
    pub(super) fn partition_count(&self) -> u32 {
        self.controllers.len() as u32
    }

    /// The controller to which a partition is returned whenever that controller can lead it.
    pub(super) fn preferred_leader(&self, partition: PartitionId) -> Option<&ControllerName> {
        self.controllers
            .get(partition.0 as usize)
            .map(|(name, _)| name)
    }

    /// Whether a peer's last heartbeat is recent.
    pub(super) fn peer_is_alive(&self, name: &ControllerName) -> bool {
        self.peers.is_alive(name, self.now)
    }

    /// Whether a peer receives the heartbeats of this controller.
    pub(super) fn reaches_peer(&self, peer: &ControllerName) -> bool {
        self.peers.is_receiving_from(peer, self.own_name())
    }

    /// Acquires and reclaims the partitions that this controller should lead, and transfers those that
    /// other controllers have reclaimed.
    pub(super) fn maintain_leadership(&mut self) {
        if !self.state_sync.is_synced()
            || !self.registration.is_registered()
            || self.lease.current().is_none()
            || !self.has_recent_state_read(MAX_STATE_READ_AGE)
        {
            return;
        }
        for number in 0..self.partition_count() {
            self.maintain_partition(PartitionId(number));
        }
        self.probe_workers();
        self.reclaim_preferred_partition();
        self.grant_reclaim_requests();
    }

    fn maintain_partition(&mut self, partition: PartitionId) {
        let Some(recorded) = self.cache.partitions.get(&partition) else {
            self.try_acquire_vacant(partition);
            return;
        };
        self.leader_election.acquisitions.end_vacancy(partition);
        let is_own = recorded.record.leader == *self.own_name()
            && recorded.record.incarnation == self.registration.incarnation();
        if !is_own {
            self.try_early_failover(partition);
        } else if !self.leaderships.contains_key(&partition) {
            self.handle_partition_record(partition);
            self.renew_term(partition);
        }
    }

    /// Whether a partition's preferred leader is alive and not in a crash loop.
    fn preferred_leader_is_stable(&self, partition: PartitionId) -> bool {
        self.preferred_leader(partition)
            .is_some_and(|leader| self.peer_is_alive(leader) && !self.is_crash_looping(leader))
    }

    fn is_backing_off_from(&self, partition: PartitionId) -> bool {
        self.leader_election.backoffs.is_active(partition, self.now)
    }
}
