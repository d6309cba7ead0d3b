//! Entries of the scheduling queue and their order.

use crate::job::Job;
use model::{DurationExt, JobId, Priority, TaskId};
use std::cmp::Reverse;

/// An entry of the scheduling queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    /// A single task of a job array or service.
    Task(TaskId),
    /// A whole gang, which is placed at once.
    Gang(JobId),
}

impl EntryKey {
    /// The job that the entry belongs to.
    pub fn job(&self) -> JobId {
        match self {
            EntryKey::Task(task) => task.job,
            EntryKey::Gang(job) => *job,
        }
    }
}

/// An entry's rank in the scheduling queue; the least is scheduled first.
///
/// The derived order compares the fields from first to last, so their sequence matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Work within its team's guarantee precedes all other work.
    pub beyond_guarantee: bool,
    pub priority: Reverse<Priority>,
    /// Submission time plus penalties, in milliseconds, see `Job::scheduling_time_ms`.
    pub scheduling_time_ms: u64,
    /// Index of the task within its job; 0 for a gang.
    pub task_index: u32,
}

impl Rank {
    /// Rank of the job's first task, or of the whole gang.
    pub(crate) fn of_job(job: &Job) -> Self {
        Rank {
            beyond_guarantee: !job.guaranteed,
            priority: Reverse(job.spec.priority),
            scheduling_time_ms: job.scheduling_time_ms(),
            task_index: 0,
        }
    }

    /// Rank of one task of the same job.
    pub(crate) fn for_task(self, task_index: u32) -> Self {
        Rank { task_index, ..self }
    }
}

impl Job {
    /// The job's position among jobs of the same priority: its submission time, deferred by a
    /// multiple of the time that the job takes with its team's whole limit.
    ///
    /// A short job does not wait behind one that takes long anyway, and since the penalty is bounded
    /// a long job is not deferred for ever.
    pub(crate) fn scheduling_time_ms(&self) -> u64 {
        self.submitted_at_ms
            .saturating_add(self.size_penalty.whole_millis() + self.overload_penalty.whole_millis())
    }
}
