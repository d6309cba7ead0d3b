//! Archived terminal states of jobs and the progress that peers report, kept in memory for replies to users.

use model::{JobId, JobState};
use std::collections::HashMap;

/// Maximum number of archived terminal states that are kept.
const MAX_ARCHIVED_STATES: usize = 100_000;

/// Numbers of a job's tasks that are done and running. They are for display only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u64,
    pub running: u64,
}

/// Archived terminal states of jobs, and the progress of jobs in other controllers' partitions. A job of which
/// this cache has no state may have one in the archive, or be on a page of terminal jobs.
#[derive(Debug, Default)]
pub struct JobStatusCache {
    archived_states: HashMap<JobId, JobState>,
    progress: HashMap<JobId, TaskCounts>,
}

impl JobStatusCache {
    /// The archived terminal state of a job, if it is cached.
    pub fn archived_state(&self, id: JobId) -> Option<JobState> {
        self.archived_states.get(&id).copied()
    }

    /// Records a terminal state that is archived. If the cache is full, an arbitrary tenth of the entries is
    /// evicted first: each of them can be read again from the archive.
    pub fn record_archived_state(&mut self, id: JobId, state: JobState) {
        if self.archived_states.len() >= MAX_ARCHIVED_STATES {
            self.evict_tenth();
        }
        self.archived_states.insert(id, state);
        self.progress.remove(&id);
    }

    fn evict_tenth(&mut self) {
        let evicted: Vec<JobId> = self
            .archived_states
            .keys()
            .take(MAX_ARCHIVED_STATES / 10)
            .copied()
            .collect();
        for id in evicted {
            self.archived_states.remove(&id);
        }
    }

    /// The progress of a job as a peer last reported it.
    pub fn progress(&self, id: JobId) -> Option<TaskCounts> {
        self.progress.get(&id).copied()
    }

    /// Records the progress of a job that a peer reports.
    pub fn record_progress(&mut self, id: JobId, counts: TaskCounts) {
        self.progress.insert(id, counts);
    }

    /// Removes the progress of a job that is no longer open.
    pub fn forget_progress(&mut self, id: JobId) {
        self.progress.remove(&id);
    }
}
