//! The fleet as the planner knows it: machines' records joined with the statuses that partition leaders
//! report and with the cloud's list of machines.

use super::rented_machine_record;
use crate::controller::machine_records::MachineChange;
use crate::controller::Controller;
use crate::records::{DemandRecord, MachineRecord};
use crate::state_cache::CachedMachine;
use autoscaler::FleetMachine;
use model::{duration_from_secs, MachineName, PartitionId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::cloud::{ListedMachine, MachineState, RentRequest};
use wire::mesh::{MachineStatus, PartitionStatus};

/// How long a deleted machine is remembered, because delayed or duplicated heartbeats and old lists may
/// still mention it.
const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(120);
/// How long an entry of the cloud's list is kept after the last list that contained it.
const LISTED_MACHINE_RETENTION: Duration = Duration::from_secs(120);
/// A partition status that was received longer ago is not recent.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2_500);

/// A machine without a record, as its heartbeat or the cloud's list describes it.
#[derive(Debug, Clone, Copy)]
pub(in crate::controller) struct UnregisteredMachine<'a> {
    pub name: &'a MachineName,
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

/// The status of a partition and when it was received.
#[derive(Debug)]
struct ReceivedStatus {
    status: PartitionStatus,
    received_at: Timestamp,
}

impl ReceivedStatus {
    fn is_recent(&self, now: Timestamp) -> bool {
        now.duration_since(self.received_at) <= MAX_STATUS_AGE
    }

    /// What the partition leader reports about a machine. A status lists machines in order of their names.
    fn machine(&self, name: &MachineName) -> Option<&MachineStatus> {
        let machines = &self.status.machines;
        machines
            .binary_search_by(|status| status.machine.as_str().cmp(name.as_str()))
            .ok()
            .map(|index| &machines[index])
    }
}

/// The term of a partition's leader and when this planner first received a status from it.
#[derive(Debug, Clone, Copy)]
struct ObservedTerm {
    term: u64,
    since: Timestamp,
}

/// The partition of a machine and since when this planner has known that the machine belongs to it.
#[derive(Debug, Clone, Copy)]
struct PartitionAssignment {
    partition: PartitionId,
    since: Timestamp,
}

/// A machine from the cloud's list and when that list was received completely.
#[derive(Debug)]
struct ListedMachineEntry {
    machine: ListedMachine,
    listed_at: Timestamp,
}

/// What the planner knows about partitions and machines apart from their records.
#[derive(Debug, Default)]
pub(super) struct FleetInventory {
    statuses: HashMap<PartitionId, ReceivedStatus>,
    observed_terms: HashMap<PartitionId, ObservedTerm>,
    assignments: HashMap<MachineName, PartitionAssignment>,
    listed_machines: HashMap<MachineName, ListedMachineEntry>,
    /// Machines that exist but have no record, with the record to be created for each.
    unregistered: BTreeMap<MachineName, MachineRecord>,
    /// When the deletion of each released machine's record was requested.
    deleted_at: HashMap<MachineName, Timestamp>,
}

impl FleetInventory {
    /// Records the status of a partition, unless one from a leader with a higher term is known.
    fn record_status(&mut self, status: PartitionStatus, now: Timestamp) {
        let partition = PartitionId(status.partition);
        let is_current = self
            .statuses
            .get(&partition)
            .is_none_or(|known| known.status.term <= status.term);
        if !is_current {
            return;
        }
        let observed = ObservedTerm {
            term: status.term,
            since: now,
        };
        let known = self.observed_terms.entry(partition).or_insert(observed);
        if known.term != observed.term {
            *known = observed;
        }
        let received = ReceivedStatus {
            status,
            received_at: now,
        };
        self.statuses.insert(partition, received);
    }

    /// The status of a partition, if it is recent.
    pub(super) fn recent_status(
        &self,
        partition: PartitionId,
        now: Timestamp,
    ) -> Option<&PartitionStatus> {
        self.statuses
            .get(&partition)
            .filter(|received| received.is_recent(now))
            .map(|received| &received.status)
    }

    /// Adds a machine that has no record, unless it has been deleted recently.
    pub(super) fn add_unregistered_machine(
        &mut self,
        machine: UnregisteredMachine<'_>,
        partition: PartitionId,
        now: Timestamp,
    ) {
        // A delayed heartbeat or an old list may still mention a machine that has just been released.
        let is_deleted = self
            .deleted_at
            .get(machine.name)
            .is_some_and(|at| now.duration_since(*at) < DELETED_MACHINE_RETENTION);
        if is_deleted || self.unregistered.contains_key(machine.name) {
            return;
        }
        let record = MachineRecord {
            machine_type: machine.machine_type.into(),
            zone: machine.zone.into(),
            spot: machine.spot,
            partition,
            token: 0,
            leaving: false,
        };
        self.unregistered.insert(machine.name.clone(), record);
    }

    /// Adds a machine that has just been rented for this partition.
    pub(super) fn add_rented_machine(
        &mut self,
        name: MachineName,
        request: &RentRequest,
        partition: PartitionId,
        now: Timestamp,
    ) {
        let assignment = PartitionAssignment {
            partition,
            since: now,
        };
        self.assignments.insert(name.clone(), assignment);
        self.unregistered
            .insert(name, rented_machine_record(request, partition));
    }

    /// Records that the cloud has released a machine, so that its record is to be deleted.
    pub(super) fn mark_deleted(&mut self, name: MachineName, now: Timestamp) {
        self.deleted_at.insert(name, now);
    }

    /// Records a machine from a complete list of the cloud.
    pub(super) fn record_listed_machine(
        &mut self,
        name: MachineName,
        machine: ListedMachine,
        now: Timestamp,
    ) {
        let entry = ListedMachineEntry {
            machine,
            listed_at: now,
        };
        self.listed_machines.insert(name, entry);
    }

    /// Forgets listed and deleted machines whose retention time has passed.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.listed_machines
            .retain(|_, entry| now.duration_since(entry.listed_at) < LISTED_MACHINE_RETENTION);
        self.deleted_at
            .retain(|_, at| now.duration_since(*at) < DELETED_MACHINE_RETENTION);
    }

    /// Forgets the partition of a machine whose record has been deleted.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.assignments.remove(name);
    }

    /// Since when this planner has known that the machine belongs to this partition.
    fn assigned_since(
        &mut self,
        name: &MachineName,
        partition: PartitionId,
        now: Timestamp,
    ) -> Timestamp {
        let current = PartitionAssignment {
            partition,
            since: now,
        };
        let assignment = self.assignments.entry(name.clone()).or_insert(current);
        if assignment.partition != partition {
            *assignment = current;
        }
        assignment.since
    }

    /// The planner's view of a machine that has a record. Details of its state come from the last status
    /// of its partition, and its age from the cloud's list if that shows a higher one.
    fn registered_machine(
        &mut self,
        name: &MachineName,
        record: &MachineRecord,
        now: Timestamp,
    ) -> FleetMachine {
        let assigned_since = self.assigned_since(name, record.partition, now);
        let led_since = self
            .observed_terms
            .get(&record.partition)
            .map(|observed| observed.since);
        let observable_since =
            led_since.map_or(assigned_since, |led_since| led_since.max(assigned_since));
        let listed = self.listed_machines.get(name).map(|entry| &entry.machine);
        let listed_age = listed.map_or(Duration::ZERO, |machine| duration_from_secs(machine.age_s));
        let mut machine = FleetMachine {
            leaving: record.leaving,
            age: listed_age.max(now.duration_since(assigned_since)),
            observable_for: now.duration_since(observable_since),
            failed: listed.is_some_and(|machine| machine.state == MachineState::Failed),
            ..unobserved_machine(name.clone(), record)
        };
        if let Some(received) = self.statuses.get(&record.partition) {
            if let Some(status) = received.machine(name) {
                machine.reporting = status.reporting;
                machine.tasks = status.task_count;
                machine.idle_for = Duration::from_millis(status.idle_ms);
                machine.quarantined = status.quarantined;
                machine.since_heartbeat = Duration::from_millis(status.since_heartbeat_ms);
                machine.status_is_recent = received.is_recent(now);
                machine.transferable = status.transferable;
                machine.best_effort = status.best_effort;
                machine.transfer_to = status.transfer_to.map(PartitionId);
            }
        }
        machine
    }

    /// All machines: those with a record, those whose record is still to be created, and, under placeholder
    /// names, those being rented.
    pub(super) fn fleet<'a>(
        &mut self,
        registered: &BTreeMap<MachineName, CachedMachine>,
        rentals: impl Iterator<Item = (&'a RentRequest, PartitionId)>,
        now: Timestamp,
    ) -> Vec<FleetMachine> {
        let mut machines: Vec<FleetMachine> = registered
            .iter()
            .map(|(name, machine)| self.registered_machine(name, &machine.record, now))
            .collect();
        let unregistered = self
            .unregistered
            .iter()
            .filter(|(name, _)| !registered.contains_key(*name));
        for (name, record) in unregistered {
            machines.push(unobserved_machine(name.clone(), record));
        }
        for (request, partition) in rentals {
            let record = rented_machine_record(request, partition);
            for number in 0..request.count {
                let placeholder = format!("{}#{number}", request.idempotency_key);
                let name = MachineName::from(placeholder.as_str());
                machines.push(unobserved_machine(name, &record));
            }
        }
        machines
    }
}

/// A machine about which neither its partition leader nor the cloud has reported anything yet.
fn unobserved_machine(name: MachineName, record: &MachineRecord) -> FleetMachine {
    FleetMachine {
        name,
        machine_type: record.machine_type.clone(),
        zone: ZoneName::from(record.zone.as_str()),
        spot: record.spot,
        partition: record.partition,
        reporting: false,
        tasks: 0,
        idle_for: Duration::ZERO,
        quarantined: false,
        leaving: false,
        age: Duration::ZERO,
        observable_for: Duration::ZERO,
        since_heartbeat: Duration::ZERO,
        failed: false,
        status_is_recent: false,
        transferable: false,
        best_effort: false,
        transfer_to: None,
    }
}

impl Controller {
    /// Handles the status that a partition leader reports about its partition.
    pub(in crate::controller) fn handle_partition_status(&mut self, status: PartitionStatus) {
        self.fleet_planner.inventory.record_status(status, self.now);
    }

    /// Handles the demand that a leader without a mesh connection to the fleet planner has written to the
    /// state service. The status of its machines is unknown then, so none of them is transferred or
    /// returned.
    pub(in crate::controller) fn handle_demand_record(
        &mut self,
        partition: PartitionId,
        record: DemandRecord,
    ) {
        let DemandRecord { term, demand } = record;
        self.handle_partition_status(PartitionStatus {
            partition: partition.0,
            term,
            demand,
            machines: Vec::new(),
        });
    }

    /// Requests the creation of records for machines that have none.
    pub(super) fn create_missing_machine_records(&mut self) {
        let registered = &self.cache.machines;
        let unregistered = &mut self.fleet_planner.inventory.unregistered;
        unregistered.retain(|name, _| !registered.contains_key(name));
        for (name, record) in unregistered {
            let change = MachineChange::Create(record.clone());
            self.machine_changes.request(name, change);
        }
    }
}
