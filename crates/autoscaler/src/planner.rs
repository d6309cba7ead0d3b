//! The planner's state and the order in which it plans.

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

/// Maximum number of machines rented by one request, or transferred for one shape.
pub(crate) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Added to the time for which a booting machine counts as capacity, for its first report.
const REPORT_DELAY: Duration = Duration::from_secs(2);

/// A machine type that gangs wait for.
pub(crate) struct GangMachineType<'a> {
    pub(crate) name: &'a str,
    /// Whether spot machines are of use to the gangs too.
    pub(crate) spot: bool,
}

/// The direction of transfers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TransferRoute {
    pub(crate) from: PartitionId,
    pub(crate) to: PartitionId,
}

/// Machines of one kind that are rented for one partition.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rental {
    /// Index of the partition's need in [`Planner::needs`].
    pub(crate) need_index: usize,
    pub(crate) offer: Offer,
}

/// The state of a plan while it is made.
pub(crate) struct Planner<'a> {
    pub(crate) policy: &'a FleetPolicy,
    pub(crate) machine_types: &'a [MachineType],
    pub(crate) machines: &'a [FleetMachine],
    pub(crate) needs: &'a [PartitionNeed],
    /// Offers that were refused lately, with the number of machines that may still be requested.
    pub(crate) refused: &'a HashMap<Offer, u32>,
    /// Idle machines that are not planned for yet, longest idle first.
    pub(crate) idle_machines: Vec<&'a FleetMachine>,
    /// Machines with best-effort work only that are not planned for yet.
    pub(crate) best_effort_machines: Vec<&'a FleetMachine>,
    /// Machines to be transferred from one partition to another as they become empty, in all.
    pub(crate) requested_transfers: BTreeMap<TransferRoute, u32>,
    /// Number of idle machines transferred by this plan.
    pub(crate) idle_transfers: usize,
    /// Machines rented by this plan, by offer.
    pub(crate) rented_by_offer: BTreeMap<Offer, u32>,
    /// Number of machines rented by this plan, by partition and offer.
    pub(crate) rentals: BTreeMap<Rental, u32>,
    /// Machine types that gangs wait for: work that can run on others leaves them to the gangs,
    /// in whatever zone they are.
    pub(crate) gang_types: Vec<GangMachineType<'a>>,
    /// Machines that boot or are being transferred, by index of the partition's need.
    pub(crate) incoming: Vec<Vec<IncomingMachine>>,
    pub(crate) actions: Vec<FleetAction>,
}

/// Makes a plan. `refused` holds offers that were refused lately, with the number of machines that
/// may still be requested.
///
/// Urgent work (replicas, work inside a guarantee) is planned first, for all partitions. For the
/// rest, each partition gets one machine in turn, so that the partition planned for first does
/// not get all available machines. Best-effort work comes last: only spot machines are rented for
/// it if it may run there, and machines that run nothing else are transferred to partitions with
/// other work before any are rented.
///
/// When no more machines can be rented, partitions that run work beyond their teams' guarantees
/// transfer machines to others: as many as those lack for urgent work, and for the rest until all
/// have about the same number for such work.
pub fn plan(
    policy: &FleetPolicy,
    types: &[MachineType],
    machines: &[FleetMachine],
    needs: &[PartitionNeed],
    refused: &HashMap<Offer, u32>,
) -> Vec<FleetAction> {
    let mut planner = Planner::new(policy, types, machines, needs, refused);
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
        let mut idle: Vec<&FleetMachine> = available().filter(|m| m.tasks == 0).collect();
        idle.sort_by_key(|machine| Reverse(machine.idle_for));
        let mut planner = Planner {
            policy,
            machine_types,
            machines,
            needs,
            refused,
            idle_machines: idle,
            best_effort_machines: available().filter(|machine| machine.best_effort).collect(),
            requested_transfers: BTreeMap::new(),
            idle_transfers: 0,
            rented_by_offer: BTreeMap::new(),
            rentals: BTreeMap::new(),
            gang_types: Vec::new(),
            incoming: Vec::new(),
            actions: Vec::new(),
        };
        planner.gang_types = planner.types_for_gangs();
        planner.incoming = needs
            .iter()
            .map(|need| planner.incoming_to(need.partition))
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
        // Work that few kinds of machines suit goes first: more flexible work would take them.
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

    /// Adds one machine at a time for each piece of work, until none waits or none can be had.
    fn add_machines_in_turn(&mut self, pending: &mut [PendingWork<'_>], tier: Tier) {
        while pending.iter().any(PendingWork::needs_machine) {
            for work in pending.iter_mut().filter(|work| work.needs_machine()) {
                work.unavailable = !self.add_machine(work, tier);
            }
        }
    }

    /// Assigns tasks to machines that boot or are being transferred.
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

    /// Machine types that are planned for a shape: those that fit a task, and of these only types
    /// without GPUs if it needs none. Machines with GPUs cost a hundred times as much: work
    /// without GPUs may use their remaining resources, but is no reason to rent or keep one.
    pub(crate) fn machine_types_for(&self, shape: &DemandShape) -> Vec<&'a str> {
        let size = task_size(shape);
        let zone = shape.zone.as_ref().filter(|_| shape.gang == 0);
        let fits = |candidate: &&MachineType| {
            let listed = shape
                .types
                .as_ref()
                .is_none_or(|names| names.contains(&candidate.name));
            listed
                && zone.is_none_or(|zone| candidate.zones.contains(zone))
                && size.fits(&capacity_of(candidate))
        };
        let fitting: Vec<&MachineType> = self.machine_types.iter().filter(fits).collect();
        let without_spare_gpus: Vec<&str> = fitting
            .iter()
            .filter(|candidate| size.milli_gpus > 0 || candidate.gpus == 0.0)
            .map(|candidate| candidate.name.as_str())
            .collect();
        if without_spare_gpus.is_empty() {
            return fitting
                .iter()
                .map(|candidate| candidate.name.as_str())
                .collect();
        }
        without_spare_gpus
    }

    /// Machine types that gangs wait for.
    fn types_for_gangs(&self) -> Vec<GangMachineType<'a>> {
        let shapes = self.needs.iter().flat_map(|need| &need.demand);
        let gangs = shapes.filter(|shape| shape.gang > 0);
        gangs
            .flat_map(|shape| {
                let names = self.machine_types_for(shape).into_iter();
                names.map(|name| GangMachineType {
                    name,
                    spot: shape.spot,
                })
            })
            .collect()
    }

    /// Machines that boot in the partition or are being transferred to it.
    fn incoming_to(&self, partition: PartitionId) -> Vec<IncomingMachine> {
        let mut incoming = Vec::new();
        for machine in self
            .machines
            .iter()
            .filter(|m| !m.leaving && !m.quarantined)
        {
            let Some(machine_type) = self.machine_type(&machine.machine_type) else {
                continue;
            };
            let boots = machine.partition == partition && self.is_booting(machine, machine_type);
            if boots || machine.transfer_to == Some(partition) {
                incoming.push(IncomingMachine::emptied(machine, machine_type));
            }
        }
        incoming
    }

    /// Whether the machine is expected to report soon. One that is late may never report, so work
    /// must not wait for it; what tasks on a machine that does not report use is not known.
    fn is_booting(&self, machine: &FleetMachine, machine_type: &MachineType) -> bool {
        let expected = duration_from_secs(machine_type.boot_s * self.policy.boot_capacity_factor)
            + REPORT_DELAY;
        !machine.reporting && machine.tasks == 0 && machine.observable_for <= expected
    }

    fn into_actions(self) -> Vec<FleetAction> {
        let mut actions = self.actions;
        for (
            Rental {
                need_index: need,
                offer,
            },
            count,
        ) in self.rentals
        {
            let Offer {
                machine_type,
                zone,
                spot,
            } = offer;
            let partition = self.needs[need].partition;
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
