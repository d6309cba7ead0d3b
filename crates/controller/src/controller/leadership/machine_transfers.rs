//! Machines that leave a partition at the request of the fleet planner: they are transferred to
//! another partition or released to the cloud.

use super::PartitionLeadership;
use crate::controller::machine_records::MachineChange;
use crate::controller::Controller;
use crate::rejections::{MessageFault, MessageSource};
use model::{MachineName, PartitionId};
use scheduler::PartitionState;
use wire::mesh::MeshMessage;

impl Controller {
    fn reject_malformed_peer_message(&mut self) {
        self.counters
            .rejections
            .add(MessageSource::Peer, MessageFault::Malformed);
    }

    /// The state of a partition that this controller leads, once it is loaded.
    pub(in crate::controller) fn partition_state_of(
        &mut self,
        partition: PartitionId,
    ) -> Option<&mut PartitionState> {
        self.leaderships
            .get_mut(&partition)
            .and_then(PartitionLeadership::partition_state_mut)
    }

    /// Handles the fleet planner's request for an idle machine, which is transferred to the partition
    /// `to`, or released to the cloud if `to` is none.
    pub(in crate::controller) fn handle_release_request(&mut self, machine: &str, to: Option<u32>) {
        let name = MachineName::from(machine);
        let Some(partition) = self
            .cache
            .machines
            .get(&name)
            .map(|machine| machine.record.partition)
        else {
            return;
        };
        if to.is_some_and(|to| to >= self.partition_count()) {
            self.reject_malformed_peer_message();
            return;
        }
        let has_pending_change = self.machine_changes.has_change(&name);
        let Some(machine) = self
            .partition_state_of(partition)
            .and_then(|partition_state| partition_state.machines.get_mut(&name))
        else {
            return;
        };
        if !machine.tasks.is_empty() || machine.leaving || has_pending_change {
            return;
        }
        // No task is placed on the machine from now on, even if the write does not succeed at once.
        machine.leaving = true;
        let change = match to {
            None => MachineChange::Release,
            Some(to) => MachineChange::Transfer(PartitionId(to)),
        };
        self.machine_changes.request(&name, change);
    }

    /// Handles the fleet planner's request to transfer machines, as they become idle, to a partition
    /// with greater demand.
    pub(in crate::controller) fn handle_transfer_request(&mut self, message: &MeshMessage) {
        let MeshMessage::TransferMachines {
            from,
            to,
            count,
            shape,
        } = message
        else {
            return;
        };
        if *to >= self.partition_count() || from == to {
            self.reject_malformed_peer_message();
            return;
        }
        let now = self.now;
        if let Some(partition_state) = self.partition_state_of(PartitionId(*from)) {
            partition_state.request_transfers(PartitionId(*to), *count as usize, shape, now);
        }
    }

    /// Requests the transfer of machines that the fleet planner has asked for and that are idle now.
    pub(super) fn transfer_drained_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(PartitionLeadership::partition_state_mut)
        else {
            return;
        };
        for (name, to) in partition_state.machines_ready_for_transfer(now) {
            if self.machine_changes.has_change(&name) {
                continue;
            }
            if let Some(machine) = partition_state.machines.get_mut(&name) {
                // No task is placed on the machine from now on, even if the write does not succeed.
                machine.leaving = true;
            }
            tracing::debug!(%partition, machine = %name, %to, "transfer of idle machine requested");
            self.machine_changes
                .request(&name, MachineChange::Transfer(to));
        }
    }
}
