//! Reads the cloud's machine types and keeps their record in the state service up to date.

use crate::controller::call_kind::{FleetCall, RecordCall};
use crate::controller::{CallKind, Controller};
use crate::records::MACHINE_TYPES_KEY;
use crate::request_budget::CallPriority;
use model::{MachineName, PartitionId, Timestamp};
use std::time::Duration;
use wire::cloud::{CloudRequest, MachineType, MachineTypes};
use wire::state::{StateRequest, Transaction, Write};

/// Time between two reads of the machine types while none are recorded.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reads of the machine types once they are recorded. They are read again because their
/// prices change.
const READ_INTERVAL: Duration = Duration::from_secs(60);

/// State of the reads and writes of the machine types.
#[derive(Debug, Default)]
pub(super) struct MachineTypesReader {
    requested_at: Option<Timestamp>,
    /// The types with their prices as last read from the cloud.
    latest: Option<MachineTypes>,
    write_pending: bool,
}

impl MachineTypesReader {
    /// The types with their prices as last read from the cloud.
    pub(super) fn latest(&self) -> Option<&MachineTypes> {
        self.latest.as_ref()
    }

    /// Ends the write of the record, so that the next one may begin.
    pub(super) fn finish_write(&mut self) {
        self.write_pending = false;
    }
}

/// The machine types without their prices. A change of prices alone is not written, because prices change
/// too often.
fn without_prices(types: &MachineTypes) -> Vec<MachineType> {
    let mut types = types.types.clone();
    for machine_type in &mut types {
        machine_type.price_per_hour = 0.0;
        machine_type.spot_price_per_hour = 0.0;
    }
    types
}

impl Controller {
    /// Requests the machine types from the cloud if a read is due.
    pub(super) fn request_machine_types(&mut self) {
        let interval = if self.cache.machine_types.is_none() {
            INITIAL_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        let is_due = self
            .fleet_planner
            .machine_types
            .requested_at
            .is_none_or(|at| self.now.duration_since(at) >= interval);
        if is_due && self.fleet_planner.cloud.take_call(self.now) {
            self.fleet_planner.machine_types.requested_at = Some(self.now);
            self.send_cloud_request(
                CloudRequest::MachineTypes,
                CallKind::Fleet(FleetCall::ListTypes),
            );
        }
    }

    /// Handles the machine types from the cloud, and writes their record if more than prices has changed.
    pub(super) fn handle_machine_types(&mut self, types: MachineTypes) {
        let recorded = self.cache.machine_types.as_ref();
        let is_changed =
            recorded.map(|types| without_prices(&types.record)) != Some(without_prices(&types));
        let version = recorded.map_or(0, |types| types.version.0);
        let reader = &mut self.fleet_planner.machine_types;
        reader.latest = Some(types.clone());
        if !is_changed || reader.write_pending {
            return;
        }
        reader.write_pending = true;
        let value = serde_json::to_value(types).unwrap_or_default();
        let txn = Transaction::default()
            .if_version(MACHINE_TYPES_KEY, version)
            .write(Write::put(MACHINE_TYPES_KEY, value));
        self.queue_state_request(
            CallPriority::Coordination,
            StateRequest::Transaction(txn),
            CallKind::Record(RecordCall::MachineTypes),
        );
    }

    /// Applies a change of the recorded machine types to the partitions that this controller leads.
    pub(in crate::controller) fn handle_machine_types_record(&mut self) {
        let partitions: Vec<PartitionId> = self.leaderships.keys().copied().collect();
        for partition in partitions {
            let zones = self.zones_near(partition);
            let partition_state = self
                .leaderships
                .get_mut(&partition)
                .and_then(|leadership| leadership.partition_state_mut());
            let Some(partition_state) = partition_state else {
                continue;
            };
            partition_state.zones = zones;
            if let Some(types) = &self.cache.machine_types {
                partition_state.set_machine_types(&types.record.types);
            }
        }
        // Machines whose type was unknown until now can join their partitions.
        let names: Vec<MachineName> = self.cache.machines.keys().cloned().collect();
        for name in names {
            self.handle_machine_record(&name);
        }
    }
}
