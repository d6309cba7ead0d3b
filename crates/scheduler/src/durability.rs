//! Handing changed progress to the placement log, and what follows when it is durable.

use crate::partition_state::PartitionState;
use crate::placement::TaskAttempt;
use crate::progress::{ChunkKey, CommittedChanges};
use crate::task_chunk::{TaskChunk, CHUNK};
use model::TaskId;

impl PartitionState {
    /// Whether progress is to be written.
    pub fn has_dirty(&self) -> bool {
        self.unrecorded.has_dirty()
    }

    /// Whether a placement is to be written, so that a launch depends on the next commit.
    pub fn has_unrecorded(&self) -> bool {
        self.unrecorded.has_placements()
    }

    /// The chunks that changed since the last call, with their progress.
    pub fn take_dirty(&mut self) -> Vec<(ChunkKey, TaskChunk)> {
        self.unrecorded
            .take_dirty()
            .into_iter()
            .filter_map(|key| Some((key, self.jobs.get(&key.job)?.chunk(key.chunk))))
            .collect()
    }

    /// Marks chunks dirty again that did not fit into the commit.
    pub fn restore_dirty(&mut self, keys: impl IntoIterator<Item = ChunkKey>) {
        self.unrecorded.restore_dirty(keys);
    }

    /// What a commit with these chunks would make durable.
    pub fn changes_in(&self, keys: &[ChunkKey]) -> CommittedChanges {
        CommittedChanges {
            placements: keys
                .iter()
                .flat_map(|key| self.undurable_placements(*key))
                .collect(),
            outcomes: self.unrecorded.outcomes_in(keys),
        }
    }

    fn undurable_placements(&self, key: ChunkKey) -> impl Iterator<Item = TaskAttempt> + '_ {
        let from = key.chunk * CHUNK;
        let placed = self
            .jobs
            .get(&key.job)
            .map(|job| job.placed.range(from..from + CHUNK));
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
    pub fn confirm(&mut self, committed: &CommittedChanges) {
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
                self.unrecorded.remove_placement();
            }
            self.urgent_machines.insert(machine);
        }
        for outcome in &committed.outcomes {
            self.unrecorded.confirm_outcome(outcome);
        }
    }
}
