//! Inputs and outputs of [`plan`](crate::plan): machines, the needs of partitions, and actions.

use model::{MachineName, PartitionId, ZoneName};
use std::time::Duration;
use wire::mesh::DemandShape;

/// A machine as the fleet planner sees it.
#[derive(Debug, Clone)]
pub struct FleetMachine {
    pub name: MachineName,
    pub machine_type: String,
    pub zone: ZoneName,
    pub spot: bool,
    pub partition: PartitionId,
    /// Its worker sends heartbeats to the partition leader.
    pub reporting: bool,
    pub tasks: u32,
    pub idle_for: Duration,
    pub quarantined: bool,
    pub leaving: bool,
    pub age: Duration,
    /// For how long its partition leader could have received a heartbeat: since the machine joined the
    /// partition, or since the leader acquired the partition. A heartbeat that was missing before is no
    /// evidence against the machine.
    pub observable_for: Duration,
    /// Time since its last heartbeat; zero if it has never sent one.
    pub since_heartbeat: Duration,
    /// The cloud lists it as failed for good.
    pub failed: bool,
    /// Whether its status from the partition leader is recent enough to act on.
    pub status_is_recent: bool,
    /// It runs neither work within a guarantee nor replicas of services.
    pub transferable: bool,
    /// All its tasks are best-effort work, which can be preempted within seconds.
    pub best_effort: bool,
    /// Partition to which it is transferred once it is empty.
    pub transfer_to: Option<PartitionId>,
}

impl FleetMachine {
    /// Whether it may be transferred or its work preempted: it is up, its status is recent, it is neither
    /// leaving nor quarantined, and no transfer of it is pending.
    pub(crate) fn is_available(&self) -> bool {
        self.status_is_recent
            && self.reporting
            && !self.leaving
            && !self.quarantined
            && self.transfer_to.is_none()
    }
}

/// The waiting work of a partition, for which it needs machines.
#[derive(Debug, Clone)]
pub struct PartitionNeed {
    pub partition: PartitionId,
    /// Zone of the partition's preferred leader.
    pub preferred_zone: ZoneName,
    pub demand: Vec<DemandShape>,
}

/// An action for the fleet planner to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    /// Rent machines from the cloud.
    Rent {
        machine_type: String,
        zone: ZoneName,
        spot: bool,
        count: u32,
        partition: PartitionId,
    },
    /// Transfer an idle machine to another partition.
    TransferIdle {
        machine: MachineName,
        to: PartitionId,
    },
    /// Have a partition leader transfer machines that suit the shape once they are empty: `count` in
    /// all, including those that are to be transferred to that partition already.
    TransferWhenEmpty {
        from: PartitionId,
        to: PartitionId,
        shape: DemandShape,
        count: u32,
    },
    /// Return a machine to the cloud.
    Return { machine: MachineName },
}

/// A kind of machine that the cloud offers for rent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    pub machine_type: String,
    pub zone: ZoneName,
    pub spot: bool,
}
