//! Requests of users and the responses to them.

use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// Priority classes, lowest first, so that `Ord` follows importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Scheduled after all other work; an array is best-effort work unless it has a deadline.
    #[serde(rename = "low")]
    Low,
    /// The ordinary class.
    #[serde(rename = "standard")]
    Normal,
    /// Scheduled before the ordinary class.
    #[serde(rename = "high")]
    High,
    /// The most important class.
    #[serde(rename = "critical")]
    Production,
}

/// Body of `POST /v1/jobs`: the submission of a job, which the state service keeps in a packed form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Id of the job, such as `j-000412`; it makes a repeated submission idempotent.
    pub id: String,
    /// Class of the job, to which service-level objectives refer.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team that owns the job.
    #[serde(rename = "crew")]
    pub team: String,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority class.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub task_count: u64,
    /// CPUs of one task.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    /// Machine types that are allowed; all if absent.
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub allowed_machine_types: Option<Vec<String>>,
    /// Zone that is required; any if absent.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether the tasks must be spread over zones.
    #[serde(rename = "spread")]
    pub spread_over_zones: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "loaners")]
    pub spot_allowed: bool,
    /// Owner's estimate of a task's run time in seconds.
    #[serde(rename = "expect_s")]
    pub estimated_run_time_s: f64,
    /// Time between two checkpoints of a task in seconds; 0 if it saves none.
    #[serde(rename = "notch_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task takes to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stash_s")]
    pub checkpoint_save_time_s: f64,
    /// Time after the submission within which the job should be finished, in seconds.
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// State of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// Response to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    pub id: String,
    /// State of the job.
    #[serde(rename = "status")]
    pub state: JobState,
    /// Number of tasks that are done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Number of tasks that run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Explanation for the client.
    pub error: String,
}
