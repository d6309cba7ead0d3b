//! The fleet planner: the leader of the first partition, the only controller that rents and
//! releases machines.
//!
//! - [`inventory`]: the fleet as the planner knows it, from records, partition statuses and the
//!   cloud's lists;
//! - [`cloud_calls`]: calls to the cloud, their replies and their retries;
//! - [`planning`]: makes plans and has them carried out;
//! - [`machine_types`]: keeps the record of the cloud's machine types current.

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

/// Time between two scans for machines that lack a record or are to be released.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a fleet planner.
#[derive(Debug)]
pub(crate) struct FleetPlanner {
    inventory: FleetInventory,
    cloud: CloudCalls,
    machine_types: MachineTypesReader,
    planning: PlanningState,
    last_scan_at: Timestamp,
}

impl FleetPlanner {
    /// A planner that may make so many calls to the cloud per second.
    pub(super) fn new(cloud_requests_per_s: f64) -> Self {
        FleetPlanner {
            inventory: FleetInventory::default(),
            cloud: CloudCalls::new(cloud_requests_per_s),
            machine_types: MachineTypesReader::default(),
            planning: PlanningState::default(),
            last_scan_at: Timestamp::default(),
        }
    }

    /// Records that a machine without a record exists, so that it gets one.
    pub(super) fn record_unregistered_machine(
        &mut self,
        machine: UnregisteredMachine<'_>,
        now: Timestamp,
    ) {
        // Which rental a machine belongs to is unknown until its reply arrives.
        let partition = self
            .cloud
            .oldest_rental_partition()
            .unwrap_or(FLEET_PLANNER_PARTITION);
        self.inventory
            .add_unregistered_machine(machine, partition, now);
    }

    /// Forgets a machine whose record is gone.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.inventory.forget_machine(name);
        self.cloud.forget_machine(name);
        self.planning.forget_machine(name);
    }

    /// Notes that the write of the machine types has ended, whatever its outcome.
    pub(super) fn finish_machine_types_write(&mut self) {
        self.machine_types.finish_write();
    }
}

/// The record of a machine rented by this request.
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
    /// The current fleet planner, as far as the state cache shows.
    pub(super) fn fleet_planner_controller(&self) -> Option<ControllerName> {
        self.leader_of(FLEET_PLANNER_PARTITION)
    }

    /// The leader of a partition, as far as the state cache shows.
    fn leader_of(&self, partition: PartitionId) -> Option<ControllerName> {
        self.cache
            .partitions
            .get(&partition)
            .map(|partition| partition.record.leader.clone())
    }

    /// Whether this controller is the fleet planner and its partition is loaded.
    fn is_fleet_planner(&self) -> bool {
        self.leaderships
            .get(&FLEET_PLANNER_PARTITION)
            .is_some_and(|leadership| {
                leadership.partition_state().is_some() && !leadership.is_transferring()
            })
    }

    /// Does what is due for the fleet planner.
    pub(super) fn run_fleet_planner(&mut self) {
        let is_fleet_planner = self.is_fleet_planner();
        // Any controller may read the machine types while none are known.
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
