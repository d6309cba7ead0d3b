//! Passes changed progress to the placement log, and acts on it once the log has made it durable.

use crate::partition_state::PartitionState;
use crate::placement::TaskAttempt;
use crate::progress::{ChunkKey, CommittedChanges};
use crate::task_chunk::{TaskChunk, TASKS_PER_CHUNK};
use model::TaskId;

impl PartitionState {
    /// Whether any changed progress has to be written.
    pub fn has_dirty_chunks(&self) -> bool {
        self.uncommitted.has_dirty_chunks()
    }

    /// Whether any placement is not durable yet, so that a launch waits for a commit.
    pub fn has_uncommitted_placements(&self) -> bool {
        self.uncommitted.has_placements()
    }

    /// Returns the chunks that have changed since the last call, with their progress.
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

    /// The placements and outcomes that a commit with these chunks makes durable.
    pub fn changes_in_chunks(&self, keys: &[ChunkKey]) -> CommittedChanges {
        CommittedChanges {
            placements: keys
                .iter()
                .flat_map(|key| self.uncommitted_placements(*key))
                .collect(),
            outcomes: self.uncommitted.outcomes_in(keys),
        }
    }

    /// The placements in a chunk that are not durable yet.
    fn uncommitted_placements(&self, key: ChunkKey) -> impl Iterator<Item = TaskAttempt> + '_ {
        let first_index = key.chunk * TASKS_PER_CHUNK;
        let placed = self
            .jobs
            .get(&key.job)
            .map(|job| job.placed.range(first_index..first_index + TASKS_PER_CHUNK));
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

    /// Records that a commit is durable: its placements may be launched, and workers may forget the tasks
    /// whose outcomes it contains.
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
