//! What workers and users saw, for the report and the rules.

use serde::{Deserialize, Serialize};
use wire::users::JobState;

/// What became of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskChange {
    /// It got its image there.
    Started,
    /// It was completed there.
    Done,
    /// It is no longer there.
    Ended,
}

/// A task changed on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// Microseconds since the begin of the run.
    pub at_us: u64,
    pub machine: u32,
    pub job: u64,
    pub task: u64,
    pub change: TaskChange,
}

/// What a user did, or was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UserAnswer {
    /// The first submission was sent.
    Submitted,
    /// 201 or 200 to a submission.
    Accepted,
    /// The first request to cancel was sent.
    CancelAsked,
    /// A state in an answer.
    Told(JobState),
    /// 404 to a poll, or 400 or 422 to a submission.
    Missing,
}

/// An event at a user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UserEvent {
    /// When the answer had come, in microseconds since the begin of the run.
    pub at_us: u64,
    /// When the request was sent.
    pub asked_us: u64,
    pub job: u64,
    pub answer: UserAnswer,
}
