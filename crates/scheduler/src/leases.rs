//! When a worker's lease may be renewed, and what its expiry proves.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use model::{JobId, MachineName, TaskId, Timestamp};

impl PartitionState {
    /// A job was cancelled: until `until` the partition's leader may renew the leases of its machines
    /// even if a launch of it could still arrive, and no longer.
    pub fn bound_lease_renewal(&mut self, id: JobId, until: Timestamp) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.cancelled) {
            job.leases_renewable_until = until;
        }
    }

    /// Whether renewing the machine's lease is certain not to keep a task of a cancelled job running
    /// beyond the time that a cancellation allows.
    ///
    /// The reply to a heartbeat stops a task that the heartbeat shows, and voids launches by a
    /// predecessor or under a lower token. It does not void a direct launch of this leader that is
    /// unconfirmed: where the state service gives no higher token, only lease expiry does.
    pub fn may_renew_lease(&self, name: &MachineName, now: Timestamp) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return true;
        };
        let launch_may_arrive = |placement: &Placement| {
            let launch = placement.launch.unconfirmed_direct();
            placement.last_status.is_none()
                && launch.is_some_and(|launch| {
                    !launch.is_superseded_by(machine.token, machine.worker_epoch)
                })
        };
        let forbids_renewal = |task: &TaskId| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let overdue = job.cancelled && now >= job.leases_renewable_until;
            overdue && job.placed.get(&task.index).is_some_and(launch_may_arrive)
        };
        !machine.tasks.iter().any(forbids_renewal)
    }

    /// Drops the placements on machines whose leases have expired: since no leader can have renewed
    /// them for a whole lease, every task there is gone.
    pub fn expire_leases(&mut self, now: Timestamp) {
        let is_expired = |machine: &&Machine| {
            !machine.tasks.is_empty()
                && machine.lease_expired(now, self.predecessors_valid_until, self.lease_duration)
        };
        let expired: Vec<MachineName> = self
            .machines
            .values()
            .filter(is_expired)
            .map(|machine| machine.name.clone())
            .collect();
        for name in expired {
            self.drop_expired_placements(&name, now);
        }
    }

    fn drop_expired_placements(&mut self, name: &MachineName, now: Timestamp) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        tracing::info!(machine = %name, tasks = tasks.len(), "worker lease expired");
        for task in tasks {
            self.drop_placement(task, now, true);
        }
    }
}
