//! Transfers of machines to other partitions, and the machine statuses from which the fleet planner
//! decides on them.

use crate::colocation::is_colocated;
use crate::job::Job;
use crate::machine::{Machine, PendingTransfer};
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{JobKind, MachineName, PartitionId, Resources, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::mesh::{DemandShape, MachineStatus};

/// How long a machine that is to be transferred is kept free for that.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(40);

/// A machine that may be transferred. Candidates are chosen in the order of their fields.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct TransferCandidate {
    /// Its tasks are not evicted: the transfer waits until they have ended.
    waits_for_tasks: bool,
    /// How long its tasks still run, as far as estimates tell.
    empty_in: Duration,
    machine: MachineName,
}

/// A machine with GPUs, in the order in which machines can be spared.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct GpuMachine<'a> {
    /// GPUs that guaranteed work uses there.
    guaranteed_milli_gpus: u64,
    name: &'a MachineName,
    milli_gpus: u64,
}

impl PartitionState {
    /// Machines with GPUs that the guaranteed work of the partition could do without, those with least of
    /// it first. There are few such machines, each large, and nearly all run something guaranteed: if only
    /// machines without any counted as spare, another partition would wait for minutes for its guarantee.
    fn spare_gpu_machines(&self) -> BTreeSet<&MachineName> {
        let needed: u64 = self
            .jobs
            .values()
            .filter(|job| job.guaranteed && !job.cancelled)
            .map(|job| job.spec.needs.milli_gpus * (job.placed.len() as u64 + job.waiting_count()))
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

    /// GPUs of a machine that guaranteed work uses.
    fn guaranteed_milli_gpus(&self, machine: &Machine) -> u64 {
        machine
            .tasks
            .iter()
            .filter_map(|task| self.jobs.get(&task.job))
            .filter(|job| job.guaranteed)
            .map(|job| job.spec.needs.milli_gpus)
            .sum()
    }

    /// Whether a machine can be transferred without loss to guaranteed work and without moving replicas.
    fn is_transferable(
        &self,
        machine: &Machine,
        spare_gpu_machines: &BTreeSet<&MachineName>,
        now: Timestamp,
    ) -> bool {
        machine.replica_count == 0
            && !self.is_needed_by_gangs(machine, now)
            && (spare_gpu_machines.contains(&machine.name) || self.runs_no_guarantee(machine))
    }

    fn runs_no_guarantee(&self, machine: &Machine) -> bool {
        let is_unguaranteed = |job: &Job| !job.guaranteed && job.spec.kind == JobKind::Array;
        machine
            .tasks
            .iter()
            .all(|task| self.jobs.get(&task.job).is_some_and(is_unguaranteed))
    }

    /// Marks machines to be transferred to another partition once they are empty, until `count` of them
    /// are marked: first those with best-effort work only, which is evicted, then those that will be empty
    /// soonest.
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

    /// Machines for work of a shape that can be transferred within the timeout, in the order in which they
    /// are chosen.
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
            // A machine that runs tasks for longer would only stand half empty meanwhile.
            .filter(|candidate| {
                !candidate.waits_for_tasks || candidate.empty_in <= TRANSFER_TIMEOUT
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }

    /// How long the tasks of a machine still run, as far as estimates tell. Work that runs there only next
    /// to GPU work does not count: it is evicted once the GPU work has ended.
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
                Some((placement.placed_at + job.spec.estimate).duration_since(now))
            })
            .max()
            .unwrap_or(Duration::ZERO)
    }

    /// Machines that are empty and to be transferred, with their next partition. Transfers whose time is
    /// over are dropped.
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

    /// The state of the partition's machines for the fleet planner.
    pub fn machine_statuses(&self, now: Timestamp) -> Vec<MachineStatus> {
        let spare_gpu_machines = self.spare_gpu_machines();
        self.machines
            .values()
            .map(|machine| MachineStatus {
                machine: machine.name.to_string(),
                tasks: machine.tasks.len() as u32,
                idle_ms: self.idle_time(machine, now).whole_millis(),
                up: machine.is_up(),
                quarantined: machine.quarantined,
                since_heartbeat_ms: self.time_since_heartbeat(machine, now).whole_millis(),
                transferable: self.is_transferable(machine, &spare_gpu_machines, now),
                best_effort: self.runs_only_best_effort(machine, now),
                transfer_to: machine.pending_transfer.map(|transfer| transfer.to.0),
            })
            .collect()
    }

    /// How long a machine has been idle. A machine that is reserved for a gang is not idle.
    fn idle_time(&self, machine: &Machine, now: Timestamp) -> Duration {
        if machine.tasks.is_empty() && !self.is_needed_by_gangs(machine, now) {
            now.duration_since(machine.idle_since)
        } else {
            Duration::ZERO
        }
    }

    /// How long this controller, while it ran and led the partition, has had no heartbeat of a machine;
    /// zero for a machine that no leader has had one of.
    fn time_since_heartbeat(&self, machine: &Machine, now: Timestamp) -> Duration {
        match machine.last_seen_at {
            Some(at) => now.duration_since(at.max(self.running_since)),
            None if machine.replicated_endpoint.is_some() => {
                now.duration_since(self.leading_since.max(self.running_since))
            }
            None => Duration::ZERO,
        }
    }
}
