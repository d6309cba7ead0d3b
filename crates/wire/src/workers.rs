//! Heartbeats of workers and commands to them.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// A gang's task waits for the other tasks of the gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Saving,
    /// It has exited.
    Exited,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitCause {
    /// It has completed.
    Done,
    /// A command stopped it.
    #[serde(rename = "halted")]
    Stopped,
    /// A gang's task lost contact with the other tasks of the gang.
    #[serde(rename = "mates_gone")]
    GangPeersLost,
    /// The other tasks of the gang did not start in time.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// The machine does not have enough free resources.
    #[serde(rename = "full")]
    NoFreeCapacity,
    /// Another attempt of the same task still runs on the machine.
    Busy,
    /// The worker does not know the task, for example after a restart.
    Unknown,
    /// The task failed, or the worker reports a cause that this version does not know.
    #[serde(other)]
    Error,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task, such as `j-000412/3`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited; only in the state [`TaskState::Exited`].
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the stopped task has saved a checkpoint.
    #[serde(rename = "stored", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// Body of `POST /hello` and of a worker's responses to direct commands: the status of a machine
/// and of all its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address of the worker, `host:port`.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Worker epoch: it increases whenever the worker's lease expires.
    #[serde(rename = "shift")]
    pub worker_epoch: u64,
    /// Sequence number of the message within the lifetime of the worker.
    #[serde(rename = "tick")]
    pub sequence_number: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud reclaims the spot machine; absent before the cloud announces it.
    #[serde(rename = "warning_s", default)]
    pub reclaimed_in_s: Option<f64>,
    /// All tasks on the machine, including exited ones that no [`Command::Forget`] has removed yet.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    /// Start a task.
    #[serde(rename = "launch")]
    Launch {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to save a checkpoint, in seconds; 0 kills it at once.
        #[serde(rename = "mercy_s")]
        grace_s: f64,
    },
    /// Drop the record of a task that has exited.
    #[serde(rename = "forget")]
    Forget {
        /// Id of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat with status 200. It renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader that responds.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands in the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a heartbeat with status 421: another controller is responsible.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the responsible controller, if it is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

/// Body of `POST /commands`. Without commands it is a liveness probe.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the sender; the worker rejects one that is lower than the highest it has
    /// received.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Worker epoch for which the commands are meant.
    #[serde(rename = "shift")]
    pub worker_epoch: u64,
    /// Commands in the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
