//! Handing changed progress to the placement log, and what follows when it is durable.

use crate::partition_state::PartitionState;
use crate::placement::TaskAttempt;
use crate::progress::{ChunkKey, CommittedChanges};
use crate::task_chunk::{TaskChunk, TASKS_PER_CHUNK};
use model::TaskId;

impl PartitionState {
    /// Whether progress is to be written.
    pub fn has_dirty_chunks(&self) -> bool {
        self.uncommitted.has_dirty_chunks()
    }

    /// Whether a placement is to be written, so that a launch depends on the next commit.
    pub fn has_uncommitted_placements(&self) -> bool {
        self.uncommitted.has_placements()
    }

    /// The chunks that changed since the last call, with their progress.
    pub fn take_dirty_chunks(&mut self) -> Vec<(ChunkKey, TaskChunk)> {
        self.uncommitted
            .take_dirty_chunks()
            .into_iter()
            .filter_map(|key| Some((key, self.jobs.get(&key.job)?.chunk(key.chunk))))
            .collect()
    }

    /// Marks chunks dirty again that did not fit into the commit.
    pub fn mark_chunks_dirty(&mut self, keys: impl IntoIterator<Item = ChunkKey>) {
        self.uncommitted.mark_chunks_dirty(keys);
    }

    /// What a commit with these chunks would make durable.
    pub fn changes_in_chunks(&self, keys: &[ChunkKey]) -> CommittedChanges {
        CommittedChanges {
            placements: keys
                .iter()
                .flat_map(|key| self.uncommitted_placements(*key))
                .collect(),
            outcomes: self.uncommitted.outcomes_in(keys),
        }
    }

    fn uncommitted_placements(&self, key: ChunkKey) -> impl Iterator<Item = TaskAttempt> + '_ {
        let from = key.chunk * TASKS_PER_CHUNK;
        let placed = self
            .jobs
            .get(&key.job)
            .map(|job| job.placed.range(from..from + TASKS_PER_CHUNK));
        placed
            .into_iter()
            .flatten()
            .filter(|(_, placement)| !placement.durable)
            .map(move |(index, placement)| TaskAttempt {
                task: TaskId {
                    job: key.job,
                    index: *index,
                },
                attempt: placement.attempt,
            })
    }

    /// The commit is durable: its placements may be launched, and workers may forget its outcomes.
    pub fn confirm_commit(&mut self, committed: &CommittedChanges) {
        for TaskAttempt { task, attempt } in &committed.placements {
            let placement = self
                .placement_mut(*task)
                .filter(|placement| placement.attempt == *attempt);
            let Some(placement) = placement else {
                continue;
            };
            let was_durable = std::mem::replace(&mut placement.durable, true);
            let machine = placement.machine.clone();
            if !was_durable {
                self.uncommitted.remove_placement();
            }
            self.urgent_machines.insert(machine);
        }
        for outcome in &committed.outcomes {
            self.uncommitted.confirm_outcome(outcome);
        }
    }
}
