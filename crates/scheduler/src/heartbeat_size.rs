//! Size of the heartbeats of a machine.
//!
//! A heartbeat lists every task on the machine, and exited ones until the worker is told to forget them. It is one
//! request, whose length the protocol limits: a longer one is rejected, and the machine loses its lease with all tasks.
//! So a machine gets no more tasks than its heartbeats can list, and stop commands are sent in batches if the heartbeat
//! that shows all their exits would be too long.

use crate::placement::TaskAttempt;
use wire::limits::{decimal_digits, running_task_bytes, MAX_LISTED_TASKS_BYTES};

/// Room that a heartbeat must have for one more task, in bytes: an entry with the longest ids.
const MAX_ENTRY_BYTES: usize = 128;
/// Room that placements leave in a heartbeat, so that some tasks of a full machine can be killed at once: their
/// entries grow when they exit, in bytes.
const RESERVED_BYTES: usize = MAX_LISTED_TASKS_BYTES / 24;
/// Exited tasks that must not be forgotten yet may take this much of a heartbeat before the worker gets a higher
/// token for them, in bytes.
const MAX_RETAINED_BYTES: usize = MAX_LISTED_TASKS_BYTES / 4;
/// Length of `j-/`, the characters of a task's id that are not digits.
const TASK_ID_PUNCTUATION_BYTES: usize = 3;
/// A job's id has at least this many digits.
const MIN_JOB_ID_DIGITS: usize = 6;

/// Size of the list of tasks in a machine's next heartbeat, in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeartbeatSize {
    placed_bytes: usize,
    orphaned_bytes: usize,
    retained_bytes: usize,
}

/// Length of the entry of a task that has not exited.
fn entry_bytes(id: TaskAttempt) -> usize {
    let job_digits = decimal_digits(id.task.job.0).max(MIN_JOB_ID_DIGITS);
    let index_digits = decimal_digits(u64::from(id.task.index));
    let task_id_bytes = TASK_ID_PUNCTUATION_BYTES + job_digits + index_digits;
    running_task_bytes(task_id_bytes, id.attempt.0)
}

impl HeartbeatSize {
    /// Counts a task that is placed on the machine.
    pub(crate) fn add_placed(&mut self, id: TaskAttempt) {
        self.placed_bytes += entry_bytes(id);
    }

    /// No longer counts a placed task.
    pub(crate) fn remove_placed(&mut self, id: TaskAttempt) {
        self.placed_bytes -= entry_bytes(id);
    }

    /// Sets the size of the listed tasks that are not placed on the machine, and of the exited ones among them that
    /// must not be forgotten yet.
    pub(crate) fn set_orphaned(&mut self, orphaned_bytes: usize, retained_bytes: usize) {
        self.orphaned_bytes = orphaned_bytes;
        self.retained_bytes = retained_bytes;
    }

    fn listed_bytes(&self) -> usize {
        self.placed_bytes + self.orphaned_bytes
    }

    /// Bytes by which the list may grow.
    pub(crate) fn free_bytes(&self) -> usize {
        MAX_LISTED_TASKS_BYTES.saturating_sub(self.listed_bytes())
    }

    /// Whether the heartbeat is too long to be accepted.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.listed_bytes() > MAX_LISTED_TASKS_BYTES
    }

    /// How many more tasks may be placed on the machine.
    pub(crate) fn free_entries(&self) -> u64 {
        (self.free_bytes().saturating_sub(RESERVED_BYTES) / MAX_ENTRY_BYTES) as u64
    }

    /// Whether one more task may be placed on the machine.
    pub(crate) fn has_room(&self) -> bool {
        self.free_entries() > 0
    }

    /// Whether exited tasks that must not be forgotten yet take too much of the heartbeat.
    pub(crate) fn has_many_retained(&self) -> bool {
        self.retained_bytes > MAX_RETAINED_BYTES
    }
}
