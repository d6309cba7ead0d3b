//! Worker leases: when a lease may be renewed, and what follows from its expiry.
//!
//! A worker whose lease expires kills all its tasks, so its placements can be dropped then.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::Placement;
use model::{JobId, MachineName, TaskId, Timestamp};

impl PartitionState {
    /// Sets the time until which the leases of a cancelled job's machines may be renewed although a launch
    /// of the job could still arrive there.
    pub fn bound_lease_renewal(&mut self, id: JobId, until: Timestamp) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.cancelled) {
            job.leases_renewable_until = until;
        }
    }

    /// Whether the machine's lease may be renewed: not if a task of a cancelled job could then run beyond
    /// the job's cancel deadline.
    ///
    /// The reply to a heartbeat stops the tasks that the heartbeat lists, and supersedes launches by a
    /// previous leader or under a lower token. It does not supersede an unconfirmed direct launch by this
    /// leader under the present token. As long as the state service provides no higher token, only the
    /// expiry of the lease does.
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
        let prevents_renewal = |task: &TaskId| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let overdue = job.cancelled && now >= job.leases_renewable_until;
            overdue && job.placed.get(&task.index).is_some_and(launch_may_arrive)
        };
        !machine.tasks.iter().any(prevents_renewal)
    }

    /// Drops the placements on machines whose leases have expired: every task there is gone.
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
