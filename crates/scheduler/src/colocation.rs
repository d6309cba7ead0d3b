//! Co-location: running work that needs no GPUs on machines that have GPUs.
//!
//! Machines with GPUs cost a hundred times as much as others. While GPU work runs on such a machine, tasks
//! without GPUs may use the CPUs and memory that the GPUs do not need, at no extra cost. They never use the
//! share of a free GPU. Co-located tasks are no reason to rent or keep the machine: once no GPU work is left on
//! it, they are stopped, so that it can be used elsewhere or returned to the cloud. Jobs that fit on no machine
//! type without GPUs are not subject to these rules.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{Resources, TaskId, Timestamp};
use std::time::Duration;

/// How long a machine with GPUs may be without GPU work before its co-located tasks are stopped.
const EVICTION_DELAY: Duration = Duration::from_secs(3);
/// Co-located tasks that are expected to end within this time are not stopped.
const NEAR_END: Duration = Duration::from_secs(3);

/// Whether tasks of a job may run on a machine only beside GPU work.
pub(crate) fn is_colocated(machine: &Machine, job: &Job) -> bool {
    job.colocated_only && machine.capacity.milli_gpus > 0
}

/// How many tasks of a job fit into the `free` resources of a machine. Co-located tasks get no share of free
/// GPUs, and nothing on a machine without GPU work.
pub(crate) fn tasks_that_fit(job: &Job, machine: &Machine, free: Resources) -> u64 {
    if !is_colocated(machine, job) {
        return free.how_many_fit(&job.spec.task_resources);
    }
    if machine.used.milli_gpus == 0 {
        return 0;
    }
    without_free_gpu_shares(free, &machine.capacity).how_many_fit(&job.spec.task_resources)
}

/// Free resources less the share of each free GPU, which is an equal part of the machine's CPUs and memory.
fn without_free_gpu_shares(free: Resources, capacity: &Resources) -> Resources {
    let share = |total: u64| total * free.milli_gpus / capacity.milli_gpus.max(1);
    free.saturating_sub(&Resources {
        milli_cpus: share(capacity.milli_cpus),
        milli_gpus: 0,
        memory_mb: share(capacity.memory_mb),
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
            let no_gpu_work_since = *machine.no_gpu_work_since.get_or_insert(now);
            if now.duration_since(no_gpu_work_since) < EVICTION_DELAY {
                continue;
            }
            let should_be_evicted = |task: &&TaskId| {
                self.jobs
                    .get(&task.job)
                    .is_some_and(|job| should_evict(job, task.index, now))
            };
            evicted.extend(machine.tasks.iter().filter(should_be_evicted));
        }
        for task in evicted {
            let grace_ms = self.grace_period_ms(task);
            self.stop_task(task, grace_ms, now);
        }
    }
}

/// Whether a task on a machine without GPU work has to be evicted: its job runs there only beside GPU work, and
/// it is neither being stopped nor expected to end soon.
fn should_evict(job: &Job, index: u32, now: Timestamp) -> bool {
    let Some(placement) = job.placed.get(&index) else {
        return false;
    };
    let ran_ms = now.duration_since(placement.placed_at).whole_millis();
    let left_ms = job
        .spec
        .estimated_run_time
        .whole_millis()
        .saturating_sub(ran_ms);
    job.colocated_only && placement.stop.is_none() && Duration::from_millis(left_ms) > NEAR_END
}
