//! A job of the partition: its spec, the progress of its tasks, and what scheduling has decided about it.

use crate::placement::Placement;
use crate::task_chunk::{PlacedTask, TaskChunk, TASKS_PER_CHUNK};
use model::{Attempt, JobKind, JobSpec, MachineName, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wire::workers::TaskState;

/// An open job: one whose terminal state is not durable yet.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// Time of submission in milliseconds, on a logical clock that all controllers share.
    pub submitted_at_ms: u64,
    /// When this leader admitted the job, or loaded it after a failover.
    pub added_at: Timestamp,
    /// By how much the job is deferred in the queue for its size.
    pub size_penalty: Duration,
    /// Time from submission within which the job should complete: its own deadline, or the objective of its
    /// class.
    pub completion_objective: Option<Duration>,
    /// By how much the job is deferred further during overload, for the work that remains.
    pub overload_penalty: Duration,
    pub cancelled: bool,
    /// For a cancelled job: until when the lease of a machine may be renewed while a launch of one of its
    /// tasks could still arrive there. A later renewal could keep that task running for longer than a
    /// cancellation allows.
    pub(crate) leases_renewable_until: Timestamp,
    /// Whether the job has reached its terminal state, which is being written or has been written.
    pub finishing: bool,
    /// One bit for each task, set if the task is done; one word for each chunk of [`TASKS_PER_CHUNK`] tasks.
    done: Vec<u64>,
    done_count: u32,
    /// Placements by task index.
    pub placed: BTreeMap<u32, Placement>,
    /// Index of the next task to be queued. The queue holds only some tasks of a large job at a time, see
    /// [`Policy::max_queued_tasks_per_job`](crate::Policy::max_queued_tasks_per_job).
    pub next_index_to_queue: u32,
    /// Consecutive failures by task index.
    pub failures: BTreeMap<u32, u32>,
    /// The last few machines on which tasks of the job failed, the oldest first.
    pub failed_on: Vec<MachineName>,
    /// Number of tasks that were done, and of tasks of a suspect job that ran for long enough to count.
    pub successes: u32,
    /// The longest time from a task's placement to its failure.
    pub longest_failure: Duration,
    /// Since when none of the job's tasks has been placed, in milliseconds on the clock of
    /// [`Job::submitted_at_ms`]. A new leader does not know this time and uses the time of submission.
    /// Meaningless while tasks are placed.
    pub(crate) unplaced_since_ms: u64,
    /// How many tasks of a best-effort job may be placed on any machine, because the job has waited for long.
    pub(crate) max_tasks_anywhere: usize,
    /// Whether this best-effort job has waited for so long that a machine is requested for its first task.
    pub(crate) starved: bool,
    /// Whether the job lies within its team's guarantee.
    pub guaranteed: bool,
    /// Whether the job lies within the guarantee even if the team's jobs of higher priority are counted
    /// first. Only such a job is protected from preemption by other teams' jobs of higher priority. A job
    /// that is not strictly guaranteed may be preempted even by other teams' guaranteed jobs of lower
    /// priority.
    pub strictly_guaranteed: bool,
    /// Whether the job runs on machines with GPUs only beside GPU work, see the module `colocation`.
    pub colocated_only: bool,
    /// When this leader first saw a task of the gang running in its present attempt. No task of a gang runs
    /// before all of them are ready.
    pub gang_started_at: Option<Timestamp>,
}

impl Job {
    /// A job without any progress.
    pub fn new(spec: impl Into<Arc<JobSpec>>, submitted_at_ms: u64, now: Timestamp) -> Self {
        let spec = spec.into();
        let words = spec.task_count.div_ceil(TASKS_PER_CHUNK) as usize;
        Job {
            spec,
            submitted_at_ms,
            added_at: now,
            size_penalty: Duration::ZERO,
            completion_objective: None,
            overload_penalty: Duration::ZERO,
            cancelled: false,
            leases_renewable_until: Timestamp::default(),
            finishing: false,
            done: vec![0; words],
            done_count: 0,
            placed: BTreeMap::new(),
            next_index_to_queue: 0,
            failures: BTreeMap::new(),
            failed_on: Vec::new(),
            successes: 0,
            longest_failure: Duration::ZERO,
            unplaced_since_ms: submitted_at_ms,
            max_tasks_anywhere: 0,
            starved: false,
            guaranteed: false,
            strictly_guaranteed: false,
            colocated_only: false,
            gang_started_at: None,
        }
    }

    /// Whether the job is best-effort work. Work within its team's guarantee is not.
    pub fn is_best_effort(&self) -> bool {
        self.spec.is_best_effort() && !self.guaranteed
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get((index / TASKS_PER_CHUNK) as usize)
            .is_some_and(|word| word & (1 << (index % TASKS_PER_CHUNK)) != 0)
    }

    /// Marks a task as done. Returns false if it was already done or does not exist.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.spec.task_count || self.is_done(index) {
            return false;
        }
        self.done[(index / TASKS_PER_CHUNK) as usize] |= 1 << (index % TASKS_PER_CHUNK);
        self.done_count += 1;
        self.failures.remove(&index);
        true
    }

    /// Number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Number of tasks that are neither placed nor done.
    pub(crate) fn waiting_count(&self) -> u64 {
        u64::from(self.spec.task_count - self.done_count()).saturating_sub(self.placed.len() as u64)
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.task_count
    }

    /// Number of tasks that run or save a checkpoint by their newest status, for display.
    pub fn running_count(&self) -> u32 {
        let is_running = |placement: &&Placement| {
            let status = placement.last_status;
            matches!(status, Some(TaskState::Running | TaskState::Saving))
        };
        self.placed.values().filter(is_running).count() as u32
    }

    /// The progress of one chunk of tasks, as the placement log stores it.
    pub fn chunk(&self, chunk_number: u32) -> TaskChunk {
        let done_bits = self.done.get(chunk_number as usize).copied().unwrap_or(0);
        let first_index = chunk_number * TASKS_PER_CHUNK;
        let placed = self
            .placed
            .range(first_index..first_index + TASKS_PER_CHUNK)
            .map(|(index, placement)| PlacedTask {
                offset: index - first_index,
                attempt: placement.attempt.0,
                machine: placement.machine.to_string(),
            })
            .collect();
        TaskChunk {
            done: if done_bits == 0 {
                String::new()
            } else {
                format!("{done_bits:x}")
            },
            placed,
        }
    }

    /// Restores a chunk that a previous leader wrote to the placement log.
    pub fn restore_chunk(&mut self, chunk_number: u32, chunk: &TaskChunk, now: Timestamp) {
        let first_index = chunk_number * TASKS_PER_CHUNK;
        if let Ok(done_bits) = u64::from_str_radix(&chunk.done, 16) {
            for offset in (0..TASKS_PER_CHUNK).filter(|offset| done_bits & (1 << offset) != 0) {
                self.mark_done(first_index + offset);
            }
        }
        for task in &chunk.placed {
            let index = first_index + task.offset;
            // The first task of a gang that is done completes all of them, also those that are still placed.
            let is_over = self.is_done(index) && self.spec.kind != JobKind::Gang;
            if task.offset >= TASKS_PER_CHUNK || index >= self.spec.task_count || is_over {
                continue;
            }
            let machine = MachineName::from(task.machine.as_str());
            let placement = Placement::inherited(machine, Attempt(task.attempt), now);
            self.placed.insert(index, placement);
        }
    }
}
