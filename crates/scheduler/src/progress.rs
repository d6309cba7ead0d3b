//! Tracks which progress of jobs is not durable in the placement log yet.

use crate::placement::TaskAttempt;
use crate::task_chunk::TASKS_PER_CHUNK;
use model::{JobId, TaskId};
use std::collections::{BTreeSet, HashSet};
use std::ops::RangeInclusive;

/// Identifies a chunk of a job's tasks, whose progress the placement log stores together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkKey {
    pub job: JobId,
    /// Number of the chunk within the job: task `i` belongs to chunk `i / TASKS_PER_CHUNK`.
    pub chunk: u32,
}

impl ChunkKey {
    /// The range of the keys of all chunks of a job.
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

/// The placements and outcomes that a commit of the placement log makes durable. They are confirmed by
/// [`PartitionState::confirm_commit`](crate::PartitionState::confirm_commit).
#[derive(Debug, Clone, Default)]
pub struct CommittedChanges {
    pub placements: Vec<TaskAttempt>,
    /// Attempts of tasks that have exited.
    pub outcomes: Vec<TaskAttempt>,
}

/// Progress that is not durable in the placement log yet.
#[derive(Debug, Default)]
pub(crate) struct UncommittedProgress {
    /// Chunks that have changed since they were last taken for a commit.
    dirty_chunks: BTreeSet<ChunkKey>,
    /// Attempts of exited tasks whose outcome is not durable yet. Workers must not forget them.
    outcomes: HashSet<TaskAttempt>,
    /// Number of placements that are not durable yet.
    placements: usize,
}

impl UncommittedProgress {
    /// Marks the chunk of a task dirty, since the task's progress has changed.
    pub(crate) fn mark_dirty(&mut self, task: TaskId) {
        self.dirty_chunks.insert(ChunkKey::from(task));
    }

    /// Marks chunks dirty again that were taken but did not get into a commit.
    pub(crate) fn mark_chunks_dirty(&mut self, keys: impl IntoIterator<Item = ChunkKey>) {
        self.dirty_chunks.extend(keys);
    }

    /// Returns the chunks that have changed since the last call.
    pub(crate) fn take_dirty_chunks(&mut self) -> BTreeSet<ChunkKey> {
        std::mem::take(&mut self.dirty_chunks)
    }

    /// Whether any chunk has to be written.
    pub(crate) fn has_dirty_chunks(&self) -> bool {
        !self.dirty_chunks.is_empty()
    }

    /// Records that a task has exited and that its outcome is not durable yet.
    pub(crate) fn add_outcome(&mut self, outcome: TaskAttempt) {
        self.outcomes.insert(outcome);
    }

    /// Records that an outcome is durable.
    pub(crate) fn confirm_outcome(&mut self, outcome: &TaskAttempt) {
        self.outcomes.remove(outcome);
    }

    /// Whether the outcome of an exited task is not durable yet.
    pub(crate) fn has_outcome(&self, outcome: &TaskAttempt) -> bool {
        self.outcomes.contains(outcome)
    }

    /// The outcomes in these chunks that are not durable yet, in no particular order.
    pub(crate) fn outcomes_in(&self, keys: &[ChunkKey]) -> Vec<TaskAttempt> {
        let included: BTreeSet<&ChunkKey> = keys.iter().collect();
        self.outcomes
            .iter()
            .filter(|outcome| included.contains(&ChunkKey::from(outcome.task)))
            .copied()
            .collect()
    }

    /// Counts a new placement, which is not durable.
    pub(crate) fn add_placement(&mut self) {
        self.placements += 1;
    }

    /// Records that a placement has become durable, or was removed before that.
    pub(crate) fn remove_placement(&mut self) {
        self.placements -= 1;
    }

    /// Whether any placement is not durable yet.
    pub(crate) fn has_placements(&self) -> bool {
        self.placements > 0
    }

    /// Drops everything about a job whose terminal state is durable: it includes the outcomes of its tasks.
    pub(crate) fn forget_job(&mut self, id: JobId, tasks: u32) {
        self.outcomes.retain(|outcome| outcome.task.job != id);
        for chunk in 0..tasks.div_ceil(TASKS_PER_CHUNK) {
            self.dirty_chunks.remove(&ChunkKey { job: id, chunk });
        }
    }
}
