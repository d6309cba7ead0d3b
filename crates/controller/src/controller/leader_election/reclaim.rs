//! Reclaim requests: a preferred leader asks the present leader to transfer the partition to it.
//!
//! The request goes over the mesh or, where the two controllers do not reach each other, through a
//! reclaim record in the state service.

use crate::controller::call_kind::LeadershipCall;
use crate::controller::standby::MAX_REPLICA_CATCH_UP;
use crate::controller::{CallKind, Controller};
use crate::records::{partition_key, reclaim_key, ReclaimRecord};
use crate::request_budget::CallPriority;
use model::{ControllerName, LeaseId, PartitionId, Timestamp};
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateRequest, Transaction, Write};

/// How long another controller may lead the preferred partition before it is requested through the state
/// service too.
const RECLAIM_RECORD_DELAY: Duration = Duration::from_secs(2);
/// Time between two reclaim requests over the mesh.
const RECLAIM_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// What this controller has done to reclaim its preferred partition while another controller leads it.
#[derive(Debug, Default)]
pub(super) struct Reclaim {
    /// Since when another controller has led the partition although this one could.
    displaced_since: Option<Timestamp>,
    /// When the partition was last requested over the mesh.
    requested_at: Option<Timestamp>,
    /// Whether the write of a reclaim record is in flight.
    write_pending: bool,
}

impl Reclaim {
    /// Records that another controller leads the partition, and returns for how long it has.
    fn record_displacement(&mut self, now: Timestamp) -> Duration {
        now.duration_since(*self.displaced_since.get_or_insert(now))
    }

    fn is_request_due(&self, now: Timestamp) -> bool {
        self.requested_at
            .is_none_or(|at| now.duration_since(at) >= RECLAIM_REQUEST_INTERVAL)
    }

    pub(super) fn finish_write(&mut self) {
        self.write_pending = false;
    }
}

impl Controller {
    /// The partition that this controller is the preferred leader of.
    fn preferred_partition(&self) -> Option<PartitionId> {
        let number = self
            .controllers
            .iter()
            .position(|(name, _)| name == self.own_name())?;
        Some(PartitionId(number as u32))
    }

    /// Asks the leader of this controller's preferred partition to transfer it.
    pub(super) fn reclaim_preferred_partition(&mut self) {
        let Some(partition) = self.preferred_partition() else {
            return;
        };
        let Some(lease) = self.lease.current() else {
            return;
        };
        let Some(recorded) = self.cache.partitions.get(&partition) else {
            return;
        };
        let leader = recorded.record.leader.clone();
        if leader == *self.own_name() || self.leader_election.acquisitions.is_pending(partition) {
            self.leader_election.reclaim.displaced_since = None;
            return;
        }
        if self.is_backing_off_from(partition)
            || self.cache.machine_types.is_none()
            || self.defers_to_peers()
        {
            return;
        }
        let displaced_for = self.leader_election.reclaim.record_displacement(self.now);
        self.write_reclaim_record(partition, &leader, lease, displaced_for);
        self.send_reclaim_request(partition, &leader, lease, displaced_for);
    }

    /// Writes a reclaim record if requests over the mesh cannot reach the leader or have had no effect. A
    /// leader that receives them transfers the partition, but they are sent only when this controller's
    /// replica is in sync or the wait for that has reached its limit.
    fn write_reclaim_record(
        &mut self,
        partition: PartitionId,
        leader: &ControllerName,
        lease: LeaseId,
        displaced_for: Duration,
    ) {
        let mesh_requests_fail = !self.peer_is_alive(leader)
            || displaced_for >= RECLAIM_RECORD_DELAY + MAX_REPLICA_CATCH_UP;
        if displaced_for < RECLAIM_RECORD_DELAY
            || !mesh_requests_fail
            || self.leader_election.reclaim.write_pending
        {
            return;
        }
        let recorded = self.cache.reclaim_requests.get(&partition);
        if recorded.is_some_and(|request| request.record.lease == lease.0) {
            return;
        }
        let reclaim_version = recorded.map_or(0, |request| request.version.0);
        let partition_version = self
            .cache
            .partitions
            .get(&partition)
            .map_or(0, |partition| partition.version.0);
        let record = ReclaimRecord {
            controller: self.own_name().clone(),
            incarnation: self.registration.incarnation(),
            lease: lease.0,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        // Without these conditions, a write that is applied late would request the partition once more,
        // although it has been transferred already and may have another leader by now.
        let txn = Transaction::default()
            .if_version(reclaim_key(partition), reclaim_version)
            .if_version(partition_key(partition), partition_version)
            .write(Write::put_leased(reclaim_key(partition), value, lease.0));
        self.leader_election.reclaim.write_pending = true;
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(txn),
            CallKind::Leadership(LeadershipCall::Reclaim),
        );
    }

    fn send_reclaim_request(
        &mut self,
        partition: PartitionId,
        leader: &ControllerName,
        lease: LeaseId,
        displaced_for: Duration,
    ) {
        if !self.leader_election.reclaim.is_request_due(self.now)
            || !self.peer_is_alive(leader)
            || !self.is_ready_to_reclaim(partition, displaced_for)
        {
            return;
        }
        self.leader_election.reclaim.requested_at = Some(self.now);
        let message = MeshMessage::ReclaimRequest {
            partition: partition.0,
            lease: lease.0,
            incarnation: self.registration.incarnation(),
        };
        self.send_to_peer(leader, message);
    }

    /// Grants the reclaim requests that preferred leaders have written to the state service.
    pub(super) fn grant_reclaim_requests(&mut self) {
        let requests: Vec<(PartitionId, ReclaimRecord)> = self
            .cache
            .reclaim_requests
            .iter()
            .filter(|(partition, _)| self.leaderships.contains_key(partition))
            .filter(|(_, request)| request.record.controller != *self.own_name())
            .map(|(partition, request)| (*partition, request.record.clone()))
            .collect();
        for (partition, request) in requests {
            self.transfer_leadership(
                partition,
                &request.controller,
                request.lease,
                request.incarnation,
            );
        }
    }
}
