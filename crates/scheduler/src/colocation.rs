//! Work without GPUs on machines that have them.
//!
//! Such machines cost a hundred times as much as others. While GPU work runs there, the CPUs and memory
//! that its GPUs leave over cost nothing, and tasks that need no GPUs may take them: never the part that
//! free GPUs need. They are no reason to rent or keep such a machine: once no GPU work is left on it, they
//! are stopped, so that it can go where it is needed or back to the cloud. A job that no other type of
//! machine holds is not concerned.

use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{Resources, TaskId, Timestamp};
use std::time::Duration;

/// How long a machine may be without GPU work before what ran beside that is stopped.
const EVICTION_DELAY: Duration = Duration::from_secs(3);
/// What ends within this time is not stopped.
const NEAR_END: Duration = Duration::from_secs(3);

/// Whether tasks of a job run on a machine only beside GPU work.
pub(crate) fn is_colocated(machine: &Machine, job: &Job) -> bool {
    job.only_beside && machine.capacity.milli_gpus > 0
}

/// How many tasks of a job a room on a machine takes, if free GPUs keep their part of it.
pub(crate) fn colocation_capacity(job: &Job, machine: &Machine, room: Resources) -> u64 {
    if !is_colocated(machine, job) {
        return room.how_many_fit(&job.spec.needs);
    }
    if machine.used.milli_gpus == 0 {
        return 0;
    }
    left_by_gpus(room, &machine.capacity).how_many_fit(&job.spec.needs)
}

/// What of a room is beyond the even part of CPUs and memory of each free GPU.
fn left_by_gpus(free: Resources, capacity: &Resources) -> Resources {
    let part = |all: u64| all * free.milli_gpus / capacity.milli_gpus.max(1);
    free.saturating_sub(&Resources {
        milli_cpus: part(capacity.milli_cpus),
        milli_gpus: 0,
        memory_mb: part(capacity.memory_mb),
    })
}

impl PartitionState {
    /// Stops what runs on machines with GPUs on which no GPU work is left.
    pub fn evict_colocated(&mut self, now: Timestamp) {
        let mut stops: Vec<TaskId> = Vec::new();
        for machine in self
            .machines
            .values_mut()
            .filter(|m| m.capacity.milli_gpus > 0)
        {
            if machine.used.milli_gpus > 0 || machine.tasks.is_empty() {
                machine.no_gpu_work_since = None;
                continue;
            }
            if now.duration_since(*machine.no_gpu_work_since.get_or_insert(now)) < EVICTION_DELAY {
                continue;
            }
            for task in &machine.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(placement) = job.placed.get(&task.index) else {
                    continue;
                };
                let ran = now.duration_since(placement.placed_at).whole_millis();
                let left =
                    Duration::from_millis(job.spec.estimate.whole_millis().saturating_sub(ran));
                if job.only_beside && placement.stop.is_none() && left > NEAR_END {
                    stops.push(*task);
                }
            }
        }
        for task in stops {
            let grace = self.grace_period(task);
            self.stop_task(task, grace, now);
        }
    }
}
