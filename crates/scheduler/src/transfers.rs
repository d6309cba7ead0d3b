//! Transfers of machines to other partitions, and the machine statuses on which the fleet planner bases its
//! decisions.

use crate::colocation::is_colocated;
use crate::job::Job;
use crate::machine::{Machine, PendingTransfer};
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobKind, MachineName, PartitionId, Resources, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::mesh::{DemandShape, MachineStatus};

/// How long a machine may take to become empty for a transfer; until then it gets no new tasks.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(40);

/// A machine that may be transferred. Candidates are chosen in the derived order, so the order of the
/// fields matters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TransferCandidate {
    /// Whether the transfer waits until its tasks have ended; otherwise they are evicted.
    waits_for_tasks: bool,
    /// Estimated time until all its tasks have ended.
    empty_in: Duration,
    machine: MachineName,
}

/// A machine with GPUs. The derived order is the one in which machines are given away, so the order of the
/// fields matters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct GpuMachine<'a> {
    /// GPUs that guaranteed work uses on it, in thousandths.
    guaranteed_milli_gpus: u64,
    name: &'a MachineName,
    milli_gpus: u64,
}

impl PartitionState {
    /// Machines with GPUs that the partition's guaranteed work can do without, chosen from those on which
    /// it uses the fewest GPUs.
    ///
    /// Machines with GPUs are few and large, and nearly all run some guaranteed work. If only machines
    /// without any counted as spare, another partition would wait minutes for its guaranteed resources.
    fn spare_gpu_machines(&self) -> BTreeSet<&MachineName> {
        let needed: u64 = self
            .jobs
            .values()
            .filter(|job| job.guaranteed && !job.cancelled)
            .map(|job| {
                job.spec.task_resources.milli_gpus * (job.placed.len() as u64 + job.waiting_count())
            })
            .sum();
        let mut machines: Vec<GpuMachine> = self
            .machines
            .values()
            .filter(|machine| machine.capacity.milli_gpus > 0)
            .map(|machine| GpuMachine {
                guaranteed_milli_gpus: self.guaranteed_milli_gpus(machine),
                name: &machine.name,
                milli_gpus: machine.capacity.milli_gpus,
            })
            .collect();
        machines.sort_unstable();
        let total: u64 = machines.iter().map(|machine| machine.milli_gpus).sum();
        let mut spare = total.saturating_sub(needed);
        let mut names = BTreeSet::new();
        for machine in machines {
            if machine.milli_gpus > spare {
                break;
            }
            spare -= machine.milli_gpus;
            names.insert(machine.name);
        }
        names
    }

    /// GPUs that guaranteed work uses on a machine, in thousandths.
    fn guaranteed_milli_gpus(&self, machine: &Machine) -> u64 {
        machine
            .tasks
            .iter()
            .filter_map(|task| self.jobs.get(&task.job))
            .filter(|job| job.guaranteed)
            .map(|job| job.spec.task_resources.milli_gpus)
            .sum()
    }

    /// Whether a machine can be transferred without taking capacity from guaranteed work and without moving
    /// replicas.
    fn is_transferable(
        &self,
        machine: &Machine,
        spare_gpu_machines: &BTreeSet<&MachineName>,
        now: Timestamp,
    ) -> bool {
        machine.replica_count == 0
            && !self.is_needed_by_gangs(machine, now)
            && (spare_gpu_machines.contains(&machine.name) || self.runs_nothing_guaranteed(machine))
    }

    /// Whether all tasks on a machine belong to arrays outside their team's guarantee.
    fn runs_nothing_guaranteed(&self, machine: &Machine) -> bool {
        let is_unguaranteed = |job: &Job| !job.guaranteed && job.spec.kind == JobKind::Array;
        machine
            .tasks
            .iter()
            .all(|task| self.jobs.get(&task.job).is_some_and(is_unguaranteed))
    }

    /// Marks machines for transfer to another partition once they are empty, until `count` machines are
    /// marked for it: first those with best-effort work only, which is evicted, then those that will be
    /// empty soonest. The machines suit work of the given shape.
    pub fn request_transfers(
        &mut self,
        to: PartitionId,
        count: usize,
        shape: &DemandShape,
        now: Timestamp,
    ) {
        let is_pending = |machine: &&Machine| {
            machine
                .pending_transfer
                .is_some_and(|transfer| transfer.to == to)
        };
        let missing = count.saturating_sub(self.machines.values().filter(is_pending).count());
        let candidates = self.transfer_candidates(shape, now);
        for candidate in candidates.into_iter().take(missing) {
            let Some(machine) = self.machines.get_mut(&candidate.machine) else {
                continue;
            };
            tracing::debug!(machine = %candidate.machine, %to, tasks = machine.tasks.len(), "machine transfer pending");
            machine.pending_transfer = Some(PendingTransfer {
                to,
                until: now + TRANSFER_TIMEOUT,
            });
            if !candidate.waits_for_tasks {
                let tasks = machine.tasks.iter().copied().collect();
                self.stop_best_effort_tasks(tasks, now);
            }
        }
    }

    /// Machines that suit a shape and can be transferred within the timeout, in the order in which they are
    /// chosen.
    fn transfer_candidates(&self, shape: &DemandShape, now: Timestamp) -> Vec<TransferCandidate> {
        let needs = Resources {
            milli_cpus: shape.milli_cpus,
            milli_gpus: shape.milli_gpus,
            memory_mb: shape.memory_mb,
        };
        let spare_gpu_machines = self.spare_gpu_machines();
        let suits = |machine: &&Machine| {
            machine.usable(now, self.heartbeat_timeout())
                && shape.suits(&machine.machine_type, machine.zone.as_str(), machine.spot)
                && machine.capacity.how_many_fit(&needs) > 0
                && self.is_transferable(machine, &spare_gpu_machines, now)
        };
        let mut candidates: Vec<TransferCandidate> = self
            .machines
            .values()
            .filter(suits)
            .map(|machine| TransferCandidate {
                waits_for_tasks: !self.runs_only_best_effort(machine, now),
                empty_in: self.remaining_time(machine, now),
                machine: machine.name.clone(),
            })
            // A machine whose tasks run for longer would only be partly empty until the transfer times out.
            .filter(|candidate| {
                !candidate.waits_for_tasks || candidate.empty_in <= TRANSFER_TIMEOUT
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }

    /// Estimated time until all tasks of a machine have ended. Co-located work without GPUs does not count:
    /// it is evicted once the GPU work has ended.
    fn remaining_time(&self, machine: &Machine, now: Timestamp) -> Duration {
        machine
            .tasks
            .iter()
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                if is_colocated(machine, job) {
                    return None;
                }
                let placement = job.placed.get(&task.index)?;
                Some((placement.placed_at + job.spec.estimated_run_time).duration_since(now))
            })
            .max()
            .unwrap_or(Duration::ZERO)
    }

    /// Machines that are to be transferred and are empty now, with the partition that receives them.
    /// Transfers that have timed out are dropped.
    pub fn machines_ready_for_transfer(
        &mut self,
        now: Timestamp,
    ) -> Vec<(MachineName, PartitionId)> {
        let mut ready = Vec::new();
        for machine in self.machines.values_mut() {
            let Some(transfer) = machine.pending_transfer else {
                continue;
            };
            if transfer.until <= now {
                tracing::debug!(machine = %machine.name, to = %transfer.to, tasks = machine.tasks.len(), "machine transfer timed out");
                machine.pending_transfer = None;
            } else if machine.tasks.is_empty() && !machine.leaving {
                ready.push((machine.name.clone(), transfer.to));
            }
        }
        ready
    }

    /// The statuses of the partition's machines for the fleet planner.
    pub fn machine_statuses(&self, now: Timestamp) -> Vec<MachineStatus> {
        let spare_gpu_machines = self.spare_gpu_machines();
        self.machines
            .values()
            .map(|machine| MachineStatus {
                machine: machine.name.to_string(),
                task_count: machine.tasks.len() as u32,
                idle_ms: self.idle_time(machine, now).whole_millis(),
                reporting: machine.is_up(),
                quarantined: machine.quarantined,
                since_heartbeat_ms: self.time_since_status(machine, now).whole_millis(),
                transferable: self.is_transferable(machine, &spare_gpu_machines, now),
                best_effort: self.runs_only_best_effort(machine, now),
                transfer_to: machine.pending_transfer.map(|transfer| transfer.to.0),
            })
            .collect()
    }

    /// How long a machine has been idle. A machine that gangs need is not idle.
    fn idle_time(&self, machine: &Machine, now: Timestamp) -> Duration {
        if machine.tasks.is_empty() && !self.is_needed_by_gangs(machine, now) {
            now.duration_since(machine.idle_since)
        } else {
            Duration::ZERO
        }
    }

    /// How long this controller has had no status of a machine while it was running and led the partition;
    /// zero for a machine that no leader has had a status of.
    fn time_since_status(&self, machine: &Machine, now: Timestamp) -> Duration {
        match machine.last_seen_at {
            Some(at) => now.duration_since(at.max(self.running_since)),
            None if machine.replicated_endpoint.is_some() => {
                now.duration_since(self.leading_since.max(self.running_since))
            }
            None => Duration::ZERO,
        }
    }
}
