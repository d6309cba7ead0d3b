//! Terminal states of jobs and the progress that peers report, kept in memory for replies to users.

use model::{JobId, JobState};
use std::collections::HashMap;

/// Maximum number of terminal states that are kept.
const MAX_TERMINAL_STATES: usize = 200_000;

/// Numbers of a job's tasks that are done and running. They are for display only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u64,
    pub running: u64,
}

/// Terminal states of jobs, and the progress of jobs in other controllers' partitions.
#[derive(Debug, Default)]
pub struct JobStatusCache {
    terminal_states: HashMap<JobId, JobState>,
    progress: HashMap<JobId, TaskCounts>,
}

impl JobStatusCache {
    /// The terminal state of a job, if it is known. It is durable, so it may be reported to users.
    pub fn terminal_state(&self, id: JobId) -> Option<JobState> {
        self.terminal_states.get(&id).copied()
    }

    /// Whether a job is known to be in a terminal state.
    pub fn is_terminal(&self, id: JobId) -> bool {
        self.terminal_states.contains_key(&id)
    }

    /// Records a terminal state that is durable. If the cache is full, an arbitrary tenth of the entries is
    /// evicted first: each of them can be read again from the state service.
    pub fn record_terminal_state(&mut self, id: JobId, state: JobState) {
        if self.terminal_states.len() >= MAX_TERMINAL_STATES {
            self.evict_tenth();
        }
        self.terminal_states.insert(id, state);
        self.progress.remove(&id);
    }

    fn evict_tenth(&mut self) {
        let evicted: Vec<JobId> = self
            .terminal_states
            .keys()
            .take(MAX_TERMINAL_STATES / 10)
            .copied()
            .collect();
        for id in evicted {
            self.terminal_states.remove(&id);
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
