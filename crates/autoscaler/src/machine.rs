//! Inputs and outputs of a plan: machines, the needs of partitions, actions.

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
    /// Its worker reports to the partition leader.
    pub reporting: bool,
    pub tasks: u32,
    pub idle_for: Duration,
    pub quarantined: bool,
    pub leaving: bool,
    pub age: Duration,
    /// How long its partition leader could have received a report: since the machine joined the
    /// partition, or since the leader took the partition over. Before that, a missing report is
    /// no evidence against the machine.
    pub observable_for: Duration,
    /// Time since its last report, if it has ever reported.
    pub since_heartbeat: Duration,
    /// The cloud reports that it stopped of its own accord.
    pub failed: bool,
    /// Whether the partition leader's view of it is fresh.
    pub status_is_recent: bool,
    /// It runs neither work that its partition's teams are guaranteed nor replicas.
    pub transferable: bool,
    /// It runs best-effort work only, which can be preempted within seconds.
    pub best_effort: bool,
    /// The partition to which it is transferred as soon as it is empty.
    pub transfer_to: Option<PartitionId>,
}

impl FleetMachine {
    /// Whether it may be transferred or preempted: it reports, and nothing else is planned for it.
    pub(crate) fn is_available(&self) -> bool {
        self.status_is_recent
            && self.reporting
            && !self.leaving
            && !self.quarantined
            && self.transfer_to.is_none()
    }
}

/// The waiting work of a partition.
#[derive(Debug, Clone)]
pub struct PartitionNeed {
    pub partition: PartitionId,
    pub preferred_zone: ZoneName,
    pub demand: Vec<DemandShape>,
}

/// A step for the fleet planner to carry out.
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
    /// Have a partition leader transfer machines that suit the shape as they become empty:
    /// `count` in all, including those it is transferring already.
    TransferWhenEmpty {
        from: PartitionId,
        to: PartitionId,
        shape: DemandShape,
        count: u32,
    },
    /// Return a machine to the cloud.
    Return { machine: MachineName },
}

/// A kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Offer {
    pub machine_type: String,
    pub zone: ZoneName,
    pub spot: bool,
}
