//! Worker leases: when a lease may be renewed, and what follows from its expiry.
//!
//! A worker whose lease expires kills all its tasks, so its placements can be dropped then.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::placement::{LaunchState, Placement};
use model::{JobId, MachineName, TaskId, Timestamp};
use std::fmt;
use std::time::Duration;

/// How long the heartbeats of a suspected machine are answered: it is probed several times meanwhile.
const SUSPECT_REPLY_TIME: Duration = Duration::from_secs(3);

/// Why the lease of a machine may not be renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRenewalBlocker {
    /// A launch of a cancelled task may still arrive.
    CancelledLaunch,
    /// Only the expiry of the lease proves that a previous leader's tasks are gone.
    UnprovenTasks,
}

impl fmt::Display for LeaseRenewalBlocker {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LeaseRenewalBlocker::CancelledLaunch => "a launch of a cancelled task may still arrive",
            LeaseRenewalBlocker::UnprovenTasks => {
                "a previous leader's tasks may run on an unreachable machine"
            }
        })
    }
}

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
    ///
    /// Nor is the lease renewed if the machine seems to receive nothing and has tasks of a previous leader: as no status
    /// shows this leader's token, only the expiry of the lease proves that they are gone.
    pub fn may_renew_lease(&self, name: &MachineName, now: Timestamp) -> bool {
        self.lease_renewal_blocker(name, now).is_none()
    }

    /// Why the machine's lease may not be renewed now; `None` if it may be.
    pub fn lease_renewal_blocker(
        &self,
        name: &MachineName,
        now: Timestamp,
    ) -> Option<LeaseRenewalBlocker> {
        let machine = self.machines.get(name)?;
        if self.cancelled_launch_may_arrive(machine, now) {
            return Some(LeaseRenewalBlocker::CancelledLaunch);
        }
        let is_unproven = machine.is_unreached(now) && self.has_inherited_task(machine);
        is_unproven.then_some(LeaseRenewalBlocker::UnprovenTasks)
    }

    /// Whether a previous leader has placed a task on the machine, and no status has proved yet what has become of
    /// it.
    fn has_inherited_task(&self, machine: &Machine) -> bool {
        machine.tasks.iter().any(|task| {
            self.placement(*task)
                .is_some_and(|placement| placement.launch == LaunchState::Inherited)
        })
    }

    /// Number of tasks that a previous leader has placed and of which no status has proved yet what has become of
    /// them.
    pub fn inherited_task_count(&self) -> usize {
        let placements = self.jobs.values().flat_map(|job| job.placed.values());
        placements
            .filter(|placement| placement.launch == LaunchState::Inherited)
            .count()
    }

    /// Whether a launch of a cancelled job's task may still arrive at the machine and the time for renewals in spite
    /// of it is over.
    fn cancelled_launch_may_arrive(&self, machine: &Machine, now: Timestamp) -> bool {
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
        machine.tasks.iter().any(prevents_renewal)
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

impl Machine {
    /// Whether the machine has been suspected for so long that a reachable worker would have answered a probe, and its
    /// worker has not seen this leader's token.
    fn is_unreached(&self, now: Timestamp) -> bool {
        let is_suspected = self
            .suspected_since
            .is_some_and(|since| now.duration_since(since) >= SUSPECT_REPLY_TIME);
        is_suspected && self.seen_token < self.token
    }
}
