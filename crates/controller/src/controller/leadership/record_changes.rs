//! Application of changed job and machine records to the partitions that this controller leads.

use super::PartitionLeadership;
use crate::controller::Controller;
use crate::records::MachineRecord;
use model::{FencingToken, JobId, MachineName, PartitionId, TeamName};
use std::time::Duration;

/// A machine that its record assigns to a partition led by this controller, and that is not part of the
/// partition's state yet.
struct NewMachine {
    partition: PartitionId,
    record: MachineRecord,
    token: FencingToken,
}

impl Controller {
    /// The partition of a team. Teams are assigned to partitions round-robin, in the order of the
    /// settings.
    pub(in crate::controller) fn partition_of_team(&self, team: &TeamName) -> Option<PartitionId> {
        let index = self
            .settings
            .teams
            .iter()
            .position(|settings| settings.name == *team)?;
        Some(PartitionId(index as u32 % self.partition_count().max(1)))
    }

    /// The leadership of a partition, if it still has this term.
    pub(in crate::controller) fn leadership_in_term(
        &mut self,
        partition: PartitionId,
        term: u64,
    ) -> Option<&mut PartitionLeadership> {
        self.leaderships
            .get_mut(&partition)
            .filter(|leadership| leadership.term.0 == term)
    }

    /// Applies a job's changed record.
    pub(in crate::controller) fn handle_job_record(&mut self, id: JobId) {
        let Some(job) = self.cache.jobs.get(&id).cloned() else {
            self.job_status.forget_progress(id);
            return;
        };
        self.logical_clock_offset = self.logical_clock_offset.max(Duration::from_millis(
            job.submitted_at_ms().saturating_sub(self.now.as_millis()),
        ));
        let Some(partition) = self.partition_of_team(&job.spec.team) else {
            return;
        };
        let cancelled = self.cache.is_cancelled(id);
        let now = self.now;
        let logical_clock_offset = self.logical_clock_offset;
        let leases_renewable_until =
            self.state_sync.previous_read_at().unwrap_or_default() + self.settings.lease_validity();
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(PartitionLeadership::partition_state_mut)
        else {
            return;
        };
        partition_state.logical_clock_offset = logical_clock_offset;
        if !partition_state.jobs.contains_key(&id) {
            partition_state.add_job(job.spec.clone(), job.submitted_at_ms(), &[], now);
        }
        if cancelled {
            partition_state.cancel_job(id, now);
            // The cancellation was confirmed no earlier than the previous read of changes.
            partition_state.bound_lease_renewal(id, leases_renewable_until);
        }
    }

    /// Stops the tasks of a job whose cancellation a peer has announced. The message says that the
    /// cancellation is recorded, which stays true however late it arrives. So the tasks are stopped at
    /// once, also by a leader that cannot read the state service. The job's status and its terminal
    /// state follow the records.
    pub(in crate::controller) fn stop_cancelled_job(&mut self, id: JobId) {
        let Some(team) = self.cache.jobs.get(&id).map(|job| job.spec.team.clone()) else {
            return;
        };
        let Some(partition) = self.partition_of_team(&team) else {
            return;
        };
        let now = self.now;
        let leases_renewable_until =
            self.state_sync.last_read_at().unwrap_or_default() + self.settings.lease_validity();
        let partition_state = self
            .leaderships
            .get_mut(&partition)
            .and_then(PartitionLeadership::partition_state_mut);
        let Some(partition_state) = partition_state.filter(|partition_state| {
            partition_state
                .jobs
                .get(&id)
                .is_some_and(|job| !job.cancelled)
        }) else {
            return;
        };
        self.counters.cancelled_by_message += 1;
        partition_state.cancel_job(id, now);
        partition_state.bound_lease_renewal(id, leases_renewable_until);
    }

    /// Applies a machine's changed record.
    pub(in crate::controller) fn handle_machine_record(&mut self, name: &MachineName) {
        let record = self
            .cache
            .machines
            .get(name)
            .map(|machine| machine.record.clone());
        if record.is_none() {
            self.fleet_planner.forget_machine(name);
        }
        if let Some(new_machine) = self.update_machine(name, record.as_ref()) {
            self.add_machine(name, &new_machine);
        }
    }

    /// Updates a machine in the partition that its record names and removes it from all others that
    /// this controller leads. Returns the machine if it has to be added to a partition.
    fn update_machine(
        &mut self,
        name: &MachineName,
        record: Option<&MachineRecord>,
    ) -> Option<NewMachine> {
        let now = self.now;
        let mut new_machine = None;
        for (partition, leadership) in &mut self.leaderships {
            let token = leadership.token();
            let Some(partition_state) = leadership.partition_state_mut() else {
                continue;
            };
            let Some(record) = record.filter(|record| record.partition == *partition) else {
                // A record is deleted only after the cloud has confirmed the machine's release, and
                // moved only while the machine is idle.
                partition_state.remove_machine(name, now);
                continue;
            };
            let Some(machine) = partition_state.machines.get_mut(name) else {
                new_machine = Some(NewMachine {
                    partition: *partition,
                    record: record.clone(),
                    token,
                });
                continue;
            };
            machine.token = token.max(FencingToken(record.token));
            machine.leaving = record.leaving || self.machine_changes.removes_from_partition(name);
        }
        new_machine
    }

    fn add_machine(&mut self, name: &MachineName, new_machine: &NewMachine) {
        let now = self.now;
        let Some(machine) = self.machine_from_record(name, &new_machine.record, new_machine.token)
        else {
            return;
        };
        let partition_state = self
            .leaderships
            .get_mut(&new_machine.partition)
            .and_then(PartitionLeadership::partition_state_mut);
        if let Some(partition_state) = partition_state {
            partition_state.add_machine(machine, now);
        }
    }
}
