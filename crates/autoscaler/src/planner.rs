//! The state of a plan while it is made, and the order in which machines are planned for work.

use crate::capacity::{capacity_of, IncomingMachine};
use crate::machine::{FleetAction, FleetMachine, Offer, PartitionNeed};
use crate::pending::{task_size, PendingWork, Tier};
use crate::policy::FleetPolicy;
use model::duration_from_secs;
use model::PartitionId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::cloud::MachineType;
use wire::mesh::DemandShape;

/// Maximum number of machines that are rented by one request or transferred for one shape.
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Time allowed for a machine's first heartbeat, in addition to the time for which a booting machine
/// counts as capacity.
const FIRST_HEARTBEAT_DELAY: Duration = Duration::from_secs(2);

/// A machine type that a gang waits for.
pub(crate) struct GangMachineType<'a> {
    pub(crate) name: &'a str,
    /// Whether the gang may also run on spot machines.
    pub(crate) spot: bool,
}

/// The partitions between which machines are transferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TransferRoute {
    pub(crate) from: PartitionId,
    pub(crate) to: PartitionId,
}

/// Key for counting rentals: the partition for which machines are rented, and the offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RentalKey {
    /// Index of the partition in [`Planner::needs`].
    pub(crate) need_index: usize,
    pub(crate) offer: Offer,
}

/// The state of a plan while it is made.
pub(crate) struct Planner<'a> {
    pub(crate) policy: &'a FleetPolicy,
    pub(crate) machine_types: &'a [MachineType],
    pub(crate) machines: &'a [FleetMachine],
    pub(crate) needs: &'a [PartitionNeed],
    /// Offers for which the cloud recently refused machines, with the number that may still be
    /// requested.
    pub(crate) refused: &'a HashMap<Offer, u32>,
    /// Idle machines that the plan has not used yet, the longest idle first.
    pub(crate) idle_machines: Vec<&'a FleetMachine>,
    /// Machines with best-effort work only that the plan has not used yet.
    pub(crate) best_effort_machines: Vec<&'a FleetMachine>,
    /// Number of machines that are to be transferred once they are empty, by route. It includes those
    /// for which earlier plans requested the transfer.
    pub(crate) requested_transfers: BTreeMap<TransferRoute, u32>,
    /// Number of idle machines transferred by this plan.
    pub(crate) idle_transfers: usize,
    /// Number of machines rented by this plan, by offer.
    pub(crate) rented_by_offer: BTreeMap<Offer, u32>,
    /// Number of machines rented by this plan, by partition and offer.
    pub(crate) rentals: BTreeMap<RentalKey, u32>,
    /// Machine types that gangs wait for. Work that can run on other types leaves them to the gangs, in
    /// all zones.
    pub(crate) gang_types: Vec<GangMachineType<'a>>,
    /// Incoming machines of each partition, by its index in [`Planner::needs`].
    pub(crate) incoming: Vec<Vec<IncomingMachine>>,
    pub(crate) actions: Vec<FleetAction>,
}

/// Makes a plan. `refused` holds the offers for which the cloud recently refused machines, with the
/// number of machines that may still be requested.
///
/// Urgent work (replicas, and work within a guarantee) of all partitions is planned first. Within a
/// tier, partitions get one machine each in turn, so that the first one does not get all available
/// machines. Best-effort work comes last. If it may run on spot machines, only those are rented for it.
/// Machines that run best-effort work only are transferred to partitions with other work before any are
/// rented for that work.
///
/// When no more machines can be rented, partitions that run work beyond their teams' guarantees
/// transfer machines to others: for urgent work as many as those lack, and for regular work until all
/// partitions have about the same number of machines for work beyond guarantees.
pub fn plan(
    policy: &FleetPolicy,
    machine_types: &[MachineType],
    machines: &[FleetMachine],
    needs: &[PartitionNeed],
    refused: &HashMap<Offer, u32>,
) -> Vec<FleetAction> {
    let mut planner = Planner::new(policy, machine_types, machines, needs, refused);
    for tier in Tier::ALL {
        planner.plan_tier(tier);
    }
    planner.return_machines();
    planner.into_actions()
}

impl<'a> Planner<'a> {
    fn new(
        policy: &'a FleetPolicy,
        machine_types: &'a [MachineType],
        machines: &'a [FleetMachine],
        needs: &'a [PartitionNeed],
        refused: &'a HashMap<Offer, u32>,
    ) -> Self {
        let available = || machines.iter().filter(|machine| machine.is_available());
        let mut idle_machines: Vec<&FleetMachine> =
            available().filter(|machine| machine.tasks == 0).collect();
        idle_machines.sort_by_key(|machine| Reverse(machine.idle_for));
        let mut planner = Planner {
            policy,
            machine_types,
            machines,
            needs,
            refused,
            idle_machines,
            best_effort_machines: available().filter(|machine| machine.best_effort).collect(),
            requested_transfers: BTreeMap::new(),
            idle_transfers: 0,
            rented_by_offer: BTreeMap::new(),
            rentals: BTreeMap::new(),
            gang_types: Vec::new(),
            incoming: Vec::new(),
            actions: Vec::new(),
        };
        planner.gang_types = planner.machine_types_for_gangs();
        planner.incoming = needs
            .iter()
            .map(|need| planner.incoming_machines(need.partition))
            .collect();
        planner
    }

    /// Plans machines for the work of one tier in all partitions.
    fn plan_tier(&mut self, tier: Tier) {
        let mut pending = self.pending_work(tier);
        for work in &mut pending {
            self.assign_to_incoming(work);
            self.reconsider_zone(work);
        }
        // Work that only few kinds of machines suit goes first. Otherwise more flexible work would take
        // them.
        pending.sort_by_key(PendingWork::option_count);
        for equally_flexible in
            pending.chunk_by_mut(|left, right| left.option_count() == right.option_count())
        {
            self.add_machines_in_turn(equally_flexible, tier);
        }
        if tier != Tier::BestEffort {
            self.rebalance(&pending, tier == Tier::Urgent);
        }
    }

    /// Adds one machine for each piece of work in turn, until no task waits or no machine can be added.
    fn add_machines_in_turn(&mut self, pending: &mut [PendingWork<'_>], tier: Tier) {
        while pending.iter().any(PendingWork::needs_machine) {
            for work in pending.iter_mut().filter(|work| work.needs_machine()) {
                work.unavailable = !self.add_machine(work, tier);
            }
        }
    }

    /// Assigns tasks of the work to the incoming machines of its partition.
    pub(crate) fn assign_to_incoming(&mut self, work: &mut PendingWork<'_>) {
        for machine in &mut self.incoming[work.need_index] {
            if work.suits(&machine.machine_type, machine.zone.as_str(), machine.spot) {
                work.waiting -= machine.assign(work, self.policy.horizon);
            }
        }
    }

    pub(crate) fn machine_type(&self, name: &str) -> Option<&'a MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }

    /// Machine types that are planned for a shape: those that it allows and that fit a task. If the
    /// task needs no GPUs, types with GPUs are left out unless no other type fits. Machines with GPUs
    /// cost a hundred times as much as others: work without GPUs may use their remaining resources, but
    /// is no reason to rent or keep one.
    pub(crate) fn machine_types_for(&self, shape: &DemandShape) -> Vec<&'a str> {
        let size = task_size(shape);
        let zone = shape.zone.as_ref().filter(|_| shape.gang_size == 0);
        let fits = |candidate: &&MachineType| {
            let is_allowed = shape
                .allowed_machine_types
                .as_ref()
                .is_none_or(|names| names.contains(&candidate.name));
            is_allowed
                && zone.is_none_or(|zone| candidate.zones.contains(zone))
                && size.fits(&capacity_of(candidate))
        };
        let fitting: Vec<&MachineType> = self.machine_types.iter().filter(fits).collect();
        let without_unused_gpus: Vec<&str> = fitting
            .iter()
            .filter(|candidate| size.milli_gpus > 0 || candidate.gpus == 0.0)
            .map(|candidate| candidate.name.as_str())
            .collect();
        if without_unused_gpus.is_empty() {
            return fitting
                .iter()
                .map(|candidate| candidate.name.as_str())
                .collect();
        }
        without_unused_gpus
    }

    /// Machine types that gangs wait for.
    fn machine_types_for_gangs(&self) -> Vec<GangMachineType<'a>> {
        let shapes = self.needs.iter().flat_map(|need| &need.demand);
        let gangs = shapes.filter(|shape| shape.gang_size > 0);
        gangs
            .flat_map(|shape| {
                let names = self.machine_types_for(shape).into_iter();
                names.map(|name| GangMachineType {
                    name,
                    spot: shape.spot_allowed,
                })
            })
            .collect()
    }

    /// Machines that boot in a partition or are to be transferred to it.
    fn incoming_machines(&self, partition: PartitionId) -> Vec<IncomingMachine> {
        let mut incoming = Vec::new();
        for machine in self
            .machines
            .iter()
            .filter(|machine| !machine.leaving && !machine.quarantined)
        {
            let Some(machine_type) = self.machine_type(&machine.machine_type) else {
                continue;
            };
            let is_booting =
                machine.partition == partition && self.is_booting(machine, machine_type);
            if is_booting || machine.transfer_to == Some(partition) {
                incoming.push(IncomingMachine::emptied(machine, machine_type));
            }
        }
        incoming
    }

    /// Whether the first heartbeat of the machine is expected soon. One that is overdue may never send
    /// any, so no work must wait for it. A machine with tasks does not count, because its free
    /// resources are not known without heartbeats.
    fn is_booting(&self, machine: &FleetMachine, machine_type: &MachineType) -> bool {
        let expected_within =
            duration_from_secs(machine_type.boot_s * self.policy.boot_capacity_factor)
                + FIRST_HEARTBEAT_DELAY;
        !machine.reporting && machine.tasks == 0 && machine.observable_for <= expected_within
    }

    fn into_actions(self) -> Vec<FleetAction> {
        let mut actions = self.actions;
        for (RentalKey { need_index, offer }, count) in self.rentals {
            let Offer {
                machine_type,
                zone,
                spot,
            } = offer;
            let partition = self.needs[need_index].partition;
            let count = count.min(MAX_MACHINES_PER_REQUEST);
            actions.push(FleetAction::Rent {
                machine_type,
                zone,
                spot,
                count,
                partition,
            });
        }
        actions
    }
}
