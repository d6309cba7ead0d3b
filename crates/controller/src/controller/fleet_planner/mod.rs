//! The fleet planner rents machines from the cloud, distributes them to partitions and releases them. The
//! leader of the first partition is the fleet planner; no other controller rents or releases machines.
//!
//! - [`inventory`]: the fleet as the planner knows it from records, partition statuses and the cloud's
//!   lists;
//! - [`cloud_calls`]: calls to the cloud, their replies and their retries;
//! - [`planning`]: makes plans and carries them out;
//! - [`machine_types`]: keeps the record of the cloud's machine types up to date.

mod cloud_calls;
mod inventory;
mod machine_types;
mod planning;

use super::{Controller, FLEET_PLANNER_PARTITION, MAX_LAUNCH_READ_AGE};
use crate::records::MachineRecord;
use cloud_calls::CloudCalls;
use inventory::FleetInventory;
pub(super) use inventory::UnregisteredMachine;
use machine_types::MachineTypesReader;
use model::{ControllerName, MachineName, PartitionId, Timestamp};
use planning::PlanningState;
use std::time::Duration;
use wire::cloud::RentRequest;

/// Time between two scans for machines that have no record or are to be released.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// The state of the fleet planner. Every controller has one, but only the leader of the first partition
/// plans.
#[derive(Debug)]
pub(crate) struct FleetPlanner {
    inventory: FleetInventory,
    cloud: CloudCalls,
    machine_types: MachineTypesReader,
    planning: PlanningState,
    last_scan_at: Timestamp,
}

impl FleetPlanner {
    /// Creates the state for a cloud with this limit of requests per second.
    pub(super) fn new(cloud_requests_per_s: f64) -> Self {
        FleetPlanner {
            inventory: FleetInventory::default(),
            cloud: CloudCalls::new(cloud_requests_per_s),
            machine_types: MachineTypesReader::default(),
            planning: PlanningState::default(),
            last_scan_at: Timestamp::default(),
        }
    }

    /// Adds a machine that exists but has no record, so that one is created for it.
    pub(super) fn record_unregistered_machine(
        &mut self,
        machine: UnregisteredMachine<'_>,
        now: Timestamp,
    ) {
        // Until the replies to rentals arrive, it is unknown which of them the machine belongs to. The
        // oldest one is assumed.
        let partition = self
            .cloud
            .oldest_rental_partition()
            .unwrap_or(FLEET_PLANNER_PARTITION);
        self.inventory
            .add_unregistered_machine(machine, partition, now);
    }

    /// Forgets a machine whose record has been deleted.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.inventory.forget_machine(name);
        self.cloud.forget_machine(name);
        self.planning.forget_machine(name);
    }

    /// Ends the write of the machine types, whatever its outcome was.
    pub(super) fn finish_machine_types_write(&mut self) {
        self.machine_types.finish_write();
    }
}

/// The record to be created for a machine that this request rents.
fn rented_machine_record(request: &RentRequest, partition: PartitionId) -> MachineRecord {
    MachineRecord {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
        partition,
        token: 0,
        leaving: false,
    }
}

impl Controller {
    /// The controller that is the fleet planner, according to the state cache.
    pub(super) fn fleet_planner_controller(&self) -> Option<ControllerName> {
        self.leader_of(FLEET_PLANNER_PARTITION)
    }

    /// The leader of a partition, according to the state cache.
    fn leader_of(&self, partition: PartitionId) -> Option<ControllerName> {
        self.cache
            .partitions
            .get(&partition)
            .map(|partition| partition.record.leader.clone())
    }

    /// Whether this controller is the fleet planner, has loaded that partition and is not transferring it.
    fn is_fleet_planner(&self) -> bool {
        self.leaderships
            .get(&FLEET_PLANNER_PARTITION)
            .is_some_and(|leadership| {
                leadership.partition_state().is_some() && !leadership.is_transferring()
            })
    }

    /// Runs the work of the fleet planner that is due, if this controller is the fleet planner.
    pub(super) fn run_fleet_planner(&mut self) {
        let is_fleet_planner = self.is_fleet_planner();
        // While no machine types are recorded, any controller may read them.
        if self.state_sync.is_synced() && (is_fleet_planner || self.cache.machine_types.is_none()) {
            self.request_machine_types();
        }
        if !is_fleet_planner || !self.has_recent_state_read(MAX_LAUNCH_READ_AGE) {
            return;
        }
        if self.now.duration_since(self.fleet_planner.last_scan_at) >= SCAN_INTERVAL {
            self.fleet_planner.last_scan_at = self.now;
            self.create_missing_machine_records();
            self.release_leaving_machines();
        }
        self.request_machine_list();
        self.retry_rentals();
        self.plan_fleet();
    }
}
