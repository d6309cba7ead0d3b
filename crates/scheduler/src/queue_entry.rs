//! The entries of the scheduling queue and the rank by which they are ordered.

use crate::job::Job;
use model::{DurationExt, JobId, Priority, TaskId};
use std::cmp::Reverse;

/// An entry of the scheduling queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    /// A single task of a job array or service.
    Task(TaskId),
    /// A whole gang, whose tasks are placed together.
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

/// An entry's rank in the scheduling queue; the entry with the lowest rank is tried first.
///
/// The derived ordering compares the fields from first to last, so their sequence matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the job lies beyond its team's guarantee: work within a guarantee precedes all other work.
    pub beyond_guarantee: bool,
    pub priority: Reverse<Priority>,
    /// Submission time plus penalties, in milliseconds; see `Job::scheduling_time_ms`.
    pub scheduling_time_ms: u64,
    /// Index of the task within its job; 0 for a gang.
    pub task_index: u32,
}

impl Rank {
    /// The rank of the job's first task, or of the whole gang.
    pub(crate) fn of_job(job: &Job) -> Self {
        Rank {
            beyond_guarantee: !job.guaranteed,
            priority: Reverse(job.spec.priority),
            scheduling_time_ms: job.scheduling_time_ms(),
            task_index: 0,
        }
    }

    /// The rank of another task of the same job.
    pub(crate) fn for_task(self, task_index: u32) -> Self {
        Rank { task_index, ..self }
    }
}

impl Job {
    /// The time by which jobs of the same priority are ordered: the submission time plus the penalties for
    /// size and overload, which are multiples of the time that the job takes with its team's whole limit.
    ///
    /// Short jobs therefore do not wait behind long ones. Since the penalties are bounded, a long job is
    /// not deferred for ever.
    pub(crate) fn scheduling_time_ms(&self) -> u64 {
        self.submitted_at_ms
            .saturating_add(self.size_penalty.whole_millis() + self.overload_penalty.whole_millis())
    }
}
