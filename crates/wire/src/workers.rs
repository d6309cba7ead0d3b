//! Worker reports and commands.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Saving,
    Exited,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    #[serde(rename = "incomplete")]
    Alone,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    Unknown,
    #[serde(other)]
    Error,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<ExitCause>,
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// `POST /hello`, and the body of a worker's answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: String,
    pub address: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "mercy_s")]
        grace_s: f64,
    },
    #[serde(rename = "forget")]
    Forget {
        #[serde(rename = "piece")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// 200 answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// 421 answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// `POST /commands`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
