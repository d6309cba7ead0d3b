//! Events observed by the simulated workers and users, from which the report and the rule check are made.

use serde::{Deserialize, Serialize};
use wire::users::JobState;

/// How a task on a machine changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskChange {
    /// The machine has fetched the task's image.
    Started,
    /// The task completed on the machine.
    Done,
    /// The task is no longer on the machine.
    Ended,
}

/// A change of a task on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// Microseconds since the start of the run.
    pub at_us: u64,
    pub machine: u32,
    pub job: u64,
    pub task: u64,
    pub change: TaskChange,
}

/// A request of a user, or what its response said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UserEventKind {
    /// The first submission was sent.
    Submitted,
    /// A submission was answered with 201 or 200.
    Accepted,
    /// The first cancellation request was sent.
    #[serde(rename = "CancelAsked")]
    CancelRequested,
    /// A response contained the state of the job.
    #[serde(rename = "Told")]
    Status(JobState),
    /// A poll was answered with 404, or a submission with 400 or 422.
    Missing,
}

/// An event observed by a user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UserEvent {
    /// When the response had arrived, in microseconds since the start of the run.
    pub at_us: u64,
    /// When the request was sent, in microseconds since the start of the run.
    #[serde(rename = "asked_us")]
    pub request_sent_us: u64,
    pub job: u64,
    #[serde(rename = "answer")]
    pub kind: UserEventKind,
}
