//! Co-location: work without GPUs on machines that have them.
//!
//! Machines with GPUs cost a hundred times as much as others. While GPU work runs there, the CPUs and memory
//! that its GPUs do not need are free of charge, and tasks without GPUs may use them, but never the part
//! that belongs to free GPUs. Co-located tasks are no reason to rent or keep such a machine: once no GPU
//! work is left on it they are stopped, so that it can be used elsewhere or returned to the cloud. Jobs that
//! fit on no other type of machine are not concerned.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{Resources, TaskId, Timestamp};
use std::time::Duration;

/// How long a machine may be without GPU work before its co-located tasks are stopped.
const EVICTION_DELAY: Duration = Duration::from_secs(3);
/// Tasks that end within this time are not stopped.
const NEAR_END: Duration = Duration::from_secs(3);

/// Whether tasks of a job run on a machine only next to GPU work.
pub(crate) fn is_colocated(machine: &Machine, job: &Job) -> bool {
    job.colocated_only && machine.capacity.milli_gpus > 0
}

/// How many tasks of a job fit into resources on a machine, if free GPUs keep their part of these.
pub(crate) fn tasks_that_fit(job: &Job, machine: &Machine, free: Resources) -> u64 {
    if !is_colocated(machine, job) {
        return free.how_many_fit(&job.spec.needs);
    }
    if machine.used.milli_gpus == 0 {
        return 0;
    }
    without_gpu_parts(free, &machine.capacity).how_many_fit(&job.spec.needs)
}

/// Free resources less the part of each free GPU: an even share of the machine's CPUs and memory.
fn without_gpu_parts(free: Resources, capacity: &Resources) -> Resources {
    let part = |all: u64| all * free.milli_gpus / capacity.milli_gpus.max(1);
    free.saturating_sub(&Resources {
        milli_cpus: part(capacity.milli_cpus),
        milli_gpus: 0,
        memory_mb: part(capacity.memory_mb),
    })
}

impl PartitionState {
    /// Stops co-located tasks on machines with GPUs on which no GPU work is left.
    pub fn evict_colocated(&mut self, now: Timestamp) {
        let mut evicted: Vec<TaskId> = Vec::new();
        for machine in self.machines.values_mut() {
            if machine.capacity.milli_gpus == 0 {
                continue;
            }
            if machine.used.milli_gpus > 0 || machine.tasks.is_empty() {
                machine.no_gpu_work_since = None;
                continue;
            }
            let since = *machine.no_gpu_work_since.get_or_insert(now);
            if now.duration_since(since) < EVICTION_DELAY {
                continue;
            }
            let is_evicted = |task: &&TaskId| {
                self.jobs
                    .get(&task.job)
                    .is_some_and(|job| is_to_be_evicted(job, task.index, now))
            };
            evicted.extend(machine.tasks.iter().filter(is_evicted));
        }
        for task in evicted {
            let grace = self.grace_period_ms(task);
            self.stop_task(task, grace, now);
        }
    }
}

/// Whether a task is co-located, not being stopped and not about to end.
fn is_to_be_evicted(job: &Job, index: u32, now: Timestamp) -> bool {
    let Some(placement) = job.placed.get(&index) else {
        return false;
    };
    let ran_ms = now.duration_since(placement.placed_at).whole_millis();
    let left_ms = job.spec.estimate.whole_millis().saturating_sub(ran_ms);
    job.colocated_only && placement.stop.is_none() && Duration::from_millis(left_ms) > NEAR_END
}
