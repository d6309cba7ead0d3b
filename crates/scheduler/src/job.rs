//! A job within a partition.

use crate::placement::Placement;
use crate::task_chunk::{PlacedTask, TaskChunk, TASKS_PER_CHUNK};
use model::{Attempt, JobKind, JobSpec, MachineName, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wire::workers::TaskState;

/// A job whose terminal state is not durable yet.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in milliseconds on a clock that all controllers share.
    pub submitted_at_ms: u64,
    /// When this leader admitted it or loaded it.
    pub added_at: Timestamp,
    /// How far it is deprioritised for its size.
    pub size_penalty: Duration,
    /// Time from submission within which it should complete: its own deadline, or the objective of its
    /// class.
    pub completion_objective: Option<Duration>,
    /// How far it is further deprioritised for its remaining work during overload.
    pub overload_penalty: Duration,
    pub cancelled: bool,
    /// Until when the leases of its machines may be renewed while a launch of it could still arrive:
    /// a later renewal could keep it running for longer than a cancellation allows.
    pub(crate) leases_renewable_until: Timestamp,
    /// Its terminal state is being written or has been written.
    pub finishing: bool,
    /// One bit for each task, in words of [`TASKS_PER_CHUNK`] bits: the task is done.
    done: Vec<u64>,
    done_count: u32,
    /// Placements by the tasks' indexes.
    pub placed: BTreeMap<u32, Placement>,
    /// First task that has never been queued; further tasks are queued as the window allows.
    pub next_index_to_queue: u32,
    /// Consecutive failures by the tasks' indexes.
    pub failures: BTreeMap<u32, u32>,
    /// The last few machines on which a task of this job failed.
    pub failed_on: Vec<MachineName>,
    pub successes: u32,
    /// The longest time that a task took to fail.
    pub longest_failure: Duration,
    /// Since when none of its tasks has been placed, in milliseconds on the clock of [`Job::submitted_at_ms`]. A new
    /// leader, which does not know, counts from its submission. Without meaning while tasks are placed.
    pub(crate) unplaced_since_ms: u64,
    /// How many tasks of best-effort work may be placed on any machine, since it has waited for long.
    pub(crate) max_tasks_anywhere: usize,
    /// Best-effort work that has waited for so long that a machine is requested for its first task.
    pub(crate) starved: bool,
    /// It lies within its team's guarantee.
    pub guaranteed: bool,
    /// It lies within the guarantee even if the team's work of higher priority is counted first. Only
    /// such work is protected from preemption by other teams' work of higher priority, and only work
    /// beyond it may be preempted by their guaranteed work of lower priority.
    pub strictly_guaranteed: bool,
    /// On machines with GPUs it runs only beside GPU work and takes no capacity from it.
    pub colocated_only: bool,
    /// When all tasks of the gang were first seen running in this attempt by this leader.
    pub gang_started_at: Option<Timestamp>,
}

impl Job {
    /// A job without progress.
    pub fn new(spec: impl Into<Arc<JobSpec>>, submitted_at_ms: u64, now: Timestamp) -> Self {
        let spec = spec.into();
        let words = spec.tasks.div_ceil(TASKS_PER_CHUNK) as usize;
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

    /// Whether it is best-effort work: work within a guarantee is not.
    pub fn is_best_effort(&self) -> bool {
        self.spec.is_best_effort() && !self.guaranteed
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get((index / TASKS_PER_CHUNK) as usize)
            .is_some_and(|word| word & (1 << (index % TASKS_PER_CHUNK)) != 0)
    }

    /// Marks a task done. Returns false if it was done already or does not exist.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.spec.tasks || self.is_done(index) {
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
        u64::from(self.spec.tasks - self.done_count()).saturating_sub(self.placed.len() as u64)
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Number of tasks that run now, for display.
    pub fn running_count(&self) -> u32 {
        let is_running = |placement: &&Placement| {
            let status = placement.last_status;
            matches!(status, Some(TaskState::Running | TaskState::Saving))
        };
        self.placed.values().filter(is_running).count() as u32
    }

    /// The chunk's progress for the placement log.
    pub fn chunk(&self, chunk: u32) -> TaskChunk {
        let word = self.done.get(chunk as usize).copied().unwrap_or(0);
        let from = chunk * TASKS_PER_CHUNK;
        let placed = self
            .placed
            .range(from..from + TASKS_PER_CHUNK)
            .map(|(index, placement)| PlacedTask {
                offset: index - from,
                attempt: placement.attempt.0,
                machine: placement.machine.to_string(),
            })
            .collect();
        TaskChunk {
            done: if word == 0 {
                String::new()
            } else {
                format!("{word:x}")
            },
            placed,
        }
    }

    /// Restores a chunk from the placement log. Its placements are inherited.
    pub fn restore_chunk(&mut self, chunk: u32, body: &TaskChunk, now: Timestamp) {
        let from = chunk * TASKS_PER_CHUNK;
        if let Ok(word) = u64::from_str_radix(&body.done, 16) {
            for bit in (0..TASKS_PER_CHUNK).filter(|bit| word & (1 << bit) != 0) {
                self.mark_done(from + bit);
            }
        }
        for task in &body.placed {
            let index = from + task.offset;
            // All tasks of a gang are done with the first one, also those that are still placed.
            let is_over = self.is_done(index) && self.spec.kind != JobKind::Gang;
            if task.offset >= TASKS_PER_CHUNK || index >= self.spec.tasks || is_over {
                continue;
            }
            let machine = MachineName::from(task.machine.as_str());
            let placement = Placement::inherited(machine, Attempt(task.attempt), now);
            self.placed.insert(index, placement);
        }
    }
}
