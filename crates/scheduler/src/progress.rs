//! Progress of jobs that is not durable yet.

use crate::placement::TaskAttempt;
use crate::task_chunk::TASKS_PER_CHUNK;
use model::{JobId, TaskId};
use std::collections::{BTreeSet, HashSet};
use std::ops::RangeInclusive;

/// Names a chunk of a job's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkKey {
    pub job: JobId,
    /// Number of the chunk within the job: task `i` belongs to chunk `i / TASKS_PER_CHUNK`.
    pub chunk: u32,
}

impl ChunkKey {
    /// The range of all chunks of a job.
    pub fn all_of(job: JobId) -> RangeInclusive<ChunkKey> {
        let first = ChunkKey { job, chunk: 0 };
        let last = ChunkKey {
            job,
            chunk: u32::MAX,
        };
        first..=last
    }
}

impl From<TaskId> for ChunkKey {
    fn from(task: TaskId) -> Self {
        ChunkKey {
            job: task.job,
            chunk: task.index / TASKS_PER_CHUNK,
        }
    }
}

/// What a commit of the placement log contains, to be confirmed when it is durable.
#[derive(Debug, Clone, Default)]
pub struct CommittedChanges {
    pub placements: Vec<TaskAttempt>,
    pub outcomes: Vec<TaskAttempt>,
}

/// What has changed since it was last written to the placement log.
#[derive(Debug, Default)]
pub(crate) struct UncommittedProgress {
    dirty_chunks: BTreeSet<ChunkKey>,
    /// Outcomes that are not durable yet: the worker must not forget these tasks.
    outcomes: HashSet<TaskAttempt>,
    /// Number of placements that are not durable yet.
    placements: usize,
}

impl UncommittedProgress {
    /// The progress of a task has changed.
    pub(crate) fn mark_dirty(&mut self, task: TaskId) {
        self.dirty_chunks.insert(ChunkKey::from(task));
    }

    /// Chunks that are to be written after all.
    pub(crate) fn mark_chunks_dirty(&mut self, keys: impl IntoIterator<Item = ChunkKey>) {
        self.dirty_chunks.extend(keys);
    }

    /// The chunks that changed since the last call.
    pub(crate) fn take_dirty_chunks(&mut self) -> BTreeSet<ChunkKey> {
        std::mem::take(&mut self.dirty_chunks)
    }

    /// Whether chunks are to be written.
    pub(crate) fn has_dirty_chunks(&self) -> bool {
        !self.dirty_chunks.is_empty()
    }

    /// A task has exited.
    pub(crate) fn add_outcome(&mut self, outcome: TaskAttempt) {
        self.outcomes.insert(outcome);
    }

    /// The outcome is durable.
    pub(crate) fn confirm_outcome(&mut self, outcome: &TaskAttempt) {
        self.outcomes.remove(outcome);
    }

    /// Whether the outcome is known and not durable yet.
    pub(crate) fn has_outcome(&self, outcome: &TaskAttempt) -> bool {
        self.outcomes.contains(outcome)
    }

    /// Outcomes of tasks in these chunks that are not durable yet, in no particular order.
    pub(crate) fn outcomes_in(&self, keys: &[ChunkKey]) -> Vec<TaskAttempt> {
        let included: BTreeSet<&ChunkKey> = keys.iter().collect();
        self.outcomes
            .iter()
            .filter(|outcome| included.contains(&ChunkKey::from(outcome.task)))
            .copied()
            .collect()
    }

    /// A placement that is not durable has been added.
    pub(crate) fn add_placement(&mut self) {
        self.placements += 1;
    }

    /// A placement has become durable, or was removed before it did.
    pub(crate) fn remove_placement(&mut self) {
        self.placements -= 1;
    }

    /// Whether placements are not durable yet.
    pub(crate) fn has_placements(&self) -> bool {
        self.placements > 0
    }

    /// The job's terminal state is durable, which settles the outcomes of all its tasks.
    pub(crate) fn forget_job(&mut self, id: JobId, tasks: u32) {
        self.outcomes.retain(|outcome| outcome.task.job != id);
        for chunk in 0..tasks.div_ceil(TASKS_PER_CHUNK) {
            self.dirty_chunks.remove(&ChunkKey { job: id, chunk });
        }
    }
}
