//! The placement of a task on a machine, and what is known about its launch.

use model::{Attempt, FencingToken, MachineName, TaskId, Timestamp, WorkerEpoch};
use wire::workers::TaskState;

/// One attempt at running a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    pub task: TaskId,
    pub attempt: Attempt,
}

/// How a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Grace period for saving a checkpoint, in milliseconds.
    pub grace_ms: u64,
}

/// Fencing token and worker epoch under which a launch was sent by a direct call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectLaunch {
    pub token: FencingToken,
    pub worker_epoch: WorkerEpoch,
}

impl DirectLaunch {
    /// Whether a worker that has seen `token`, or is in `worker_epoch`, no longer executes the launch:
    /// it drops commands under a lower token and those that name an earlier epoch.
    pub fn is_superseded_by(&self, token: FencingToken, worker_epoch: WorkerEpoch) -> bool {
        token > self.token || worker_epoch > self.worker_epoch
    }
}

/// What is known about launches of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LaunchState {
    /// Not launched, or the launch was certainly lost.
    NotLaunched,
    /// Recorded by a previous leader, which may have launched it by any route.
    Inherited,
    /// Launched by this leader, or seen in a worker's status.
    Launched {
        /// A launch was sent in the reply to a heartbeat. Only the next heartbeat settles whether it
        /// arrived: the status in the response to a direct call may be older than that reply's arrival.
        in_response: bool,
        /// A launch was sent by a direct call that has not been answered. The worker may execute it
        /// until it is superseded.
        unconfirmed_direct: Option<DirectLaunch>,
    },
}

impl LaunchState {
    /// Whether this leader has launched the task or a worker's status has shown it.
    pub fn is_launched(&self) -> bool {
        matches!(self, LaunchState::Launched { .. })
    }

    /// Whether the outcome of a launch in the reply to a heartbeat is still open.
    pub fn is_launched_in_response(&self) -> bool {
        matches!(
            self,
            LaunchState::Launched {
                in_response: true,
                ..
            }
        )
    }

    /// The direct launch that has not been answered.
    pub fn unconfirmed_direct(&self) -> Option<DirectLaunch> {
        match self {
            LaunchState::Launched {
                unconfirmed_direct, ..
            } => *unconfirmed_direct,
            _ => None,
        }
    }

    /// A launch is sent in the reply to a heartbeat.
    pub fn record_response_launch(&mut self) {
        *self = LaunchState::Launched {
            in_response: true,
            unconfirmed_direct: self.unconfirmed_direct(),
        };
    }

    /// A launch is sent by a direct call.
    pub fn record_direct_launch(&mut self, launch: DirectLaunch) {
        *self = LaunchState::Launched {
            in_response: self.is_launched_in_response(),
            unconfirmed_direct: Some(launch),
        };
    }

    /// A worker's status shows the task.
    pub fn record_observed(&mut self) {
        *self = LaunchState::Launched {
            in_response: false,
            unconfirmed_direct: self.unconfirmed_direct(),
        };
    }

    /// The direct launch was answered or superseded, so that it will not be executed later.
    pub fn settle_direct_launch(&mut self) {
        if let LaunchState::Launched {
            unconfirmed_direct, ..
        } = self
        {
            *unconfirmed_direct = None;
        }
    }
}

/// The one machine on which a task may run. A placement counts against its machine and its team until
/// the task is proven gone.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub machine: MachineName,
    pub attempt: Attempt,
    /// Durable in the state service; only then may the task be launched.
    pub durable: bool,
    pub launch: LaunchState,
    /// The task's state in the newest status that shows it.
    pub last_status: Option<TaskState>,
    /// The task is being stopped.
    pub stop: Option<Stop>,
    pub placed_at: Timestamp,
}

impl Placement {
    /// A placement that has just been decided.
    pub fn new(machine: MachineName, attempt: Attempt, now: Timestamp) -> Self {
        Placement {
            machine,
            attempt,
            durable: false,
            launch: LaunchState::NotLaunched,
            last_status: None,
            stop: None,
            placed_at: now,
        }
    }

    /// A placement that a previous leader has recorded and may have launched.
    pub fn inherited(machine: MachineName, attempt: Attempt, now: Timestamp) -> Self {
        Placement {
            durable: true,
            launch: LaunchState::Inherited,
            ..Placement::new(machine, attempt, now)
        }
    }
}
