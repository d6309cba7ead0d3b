//! User API bodies.

use serde::{Deserialize, Serialize};

/// Shape of a job.
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

/// Priority classes, lowest first so that `Ord` follows importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "low")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "critical")]
    Production,
}

/// `POST /v1/jobs`, and the form in which the state service keeps a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u64,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pull_gb")]
    pub image_gb: f64,
    #[serde(rename = "rigs", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    #[serde(rename = "notch_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "stash_s")]
    pub save_s: f64,
    #[serde(rename = "due_s", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Job states as users see them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    #[serde(rename = "pending")]
    Queued,
    Running,
    Done,
    Cancelled,
}

/// Answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    pub id: String,
    #[serde(rename = "status")]
    pub state: JobState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
}

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
