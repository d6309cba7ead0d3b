//! Addition of machines for pending work: transferred from another partition, or else rented.

use crate::capacity::IncomingMachine;
use crate::machine::{FleetAction, FleetMachine};
use crate::pending::{PendingWork, Tier};
use crate::planner::{Planner, TransferRoute};
use model::PartitionId;
use wire::mesh::DemandShape;

impl<'a> Planner<'a> {
    /// Adds one machine for the work: an idle one that its partition does not need, else one with
    /// best-effort work only, else a rented one. Returns whether tasks were assigned to it.
    pub(crate) fn add_machine(&mut self, work: &mut PendingWork<'_>, tier: Tier) -> bool {
        let partition = self.needs[work.need_index].partition;
        let spot_only = tier == Tier::BestEffort && work.shape.spot_allowed;
        let idle = self.find_idle_machine(work, spot_only);
        let best_effort = self.find_best_effort_machine(work);
        // The plan only removes machines from both lists, so the search need not be repeated.
        work.no_idle_machine = idle.is_none();
        work.no_best_effort_machine = best_effort.is_none();
        let added = match (idle, best_effort) {
            (Some(index), _) => self.transfer_idle_machine(index, partition),
            (None, Some(index)) => self.transfer_best_effort_machine(index, work),
            (None, None) => self.rent(work, spot_only),
        };
        let Some(mut machine) = added else {
            return false;
        };
        let assigned = machine.assign(work, self.policy.horizon);
        work.waiting -= assigned;
        self.incoming[work.need_index].push(machine);
        assigned > 0
    }

    /// Whether a machine belongs to another partition and suits the work.
    fn is_candidate(&self, machine: &FleetMachine, work: &PendingWork<'_>) -> bool {
        machine.partition != self.needs[work.need_index].partition
            && work.suits(&machine.machine_type, machine.zone.as_str(), machine.spot)
    }

    /// Index in [`Planner::idle_machines`] of a machine that suits the work and that its own partition
    /// does not need.
    fn find_idle_machine(&self, work: &PendingWork<'_>, spot_only: bool) -> Option<usize> {
        if work.no_idle_machine || self.idle_transfers >= self.policy.max_idle_transfers {
            return None;
        }
        self.idle_machines.iter().position(|machine| {
            self.is_candidate(machine, work)
                && machine.idle_for >= self.policy.transfer_idle
                && (machine.spot || !spot_only)
                && !self.is_needed_by_own_partition(machine)
        })
    }

    /// Index in [`Planner::best_effort_machines`] of a machine that suits the work.
    fn find_best_effort_machine(&self, work: &PendingWork<'_>) -> Option<usize> {
        if work.no_best_effort_machine {
            return None;
        }
        self.best_effort_machines
            .iter()
            .position(|machine| self.is_candidate(machine, work))
    }

    /// Whether work waits in the machine's own partition for which it is suitable.
    fn is_needed_by_own_partition(&self, machine: &FleetMachine) -> bool {
        let own = self
            .needs
            .iter()
            .filter(|need| need.partition == machine.partition);
        own.flat_map(|need| &need.demand).any(|shape| {
            shape.suits(&machine.machine_type, machine.zone.as_str(), machine.spot)
                && self
                    .machine_types_for(shape)
                    .contains(&machine.machine_type.as_str())
        })
    }

    fn transfer_idle_machine(&mut self, index: usize, to: PartitionId) -> Option<IncomingMachine> {
        let machine = self.idle_machines.remove(index);
        let machine_type = self.machine_type(&machine.machine_type)?;
        self.idle_transfers += 1;
        self.actions.push(FleetAction::TransferIdle {
            machine: machine.name.clone(),
            to,
        });
        Some(IncomingMachine::emptied(machine, machine_type))
    }

    fn transfer_best_effort_machine(
        &mut self,
        index: usize,
        work: &PendingWork<'_>,
    ) -> Option<IncomingMachine> {
        let machine = self.best_effort_machines.remove(index);
        let machine_type = self.machine_type(&machine.machine_type)?;
        let to = self.needs[work.need_index].partition;
        self.request_transfer(machine.partition, to, work.planned_shape(), 1);
        Some(IncomingMachine::emptied(machine, machine_type))
    }

    /// Has a partition leader transfer `additional` machines once they are empty, beyond those that
    /// were requested before.
    pub(crate) fn request_transfer(
        &mut self,
        from: PartitionId,
        to: PartitionId,
        shape: DemandShape,
        additional: u32,
    ) {
        let is_pending =
            |machine: &&FleetMachine| machine.partition == from && machine.transfer_to == Some(to);
        let already_requested = || self.machines.iter().filter(is_pending).count() as u32;
        let total = self
            .requested_transfers
            .entry(TransferRoute { from, to })
            .or_insert_with(already_requested);
        *total += additional;
        let count = *total;
        self.actions.push(FleetAction::TransferWhenEmpty {
            from,
            to,
            shape,
            count,
        });
    }
}
