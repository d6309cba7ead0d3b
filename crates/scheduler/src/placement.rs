//! The placement of a task on a machine, and the state of its launch.

use model::{Attempt, FencingToken, MachineName, TaskId, Timestamp, WorkerEpoch};
use wire::workers::TaskState;

/// One attempt at running a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskAttempt {
    pub task: TaskId,
    pub attempt: Attempt,
}

/// A stop that has been decided for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Grace period for saving a checkpoint, in milliseconds.
    pub grace_ms: u64,
}

/// The fencing token and the worker epoch under which a direct call sent a launch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DirectLaunch {
    pub token: FencingToken,
    pub worker_epoch: WorkerEpoch,
}

impl DirectLaunch {
    /// Whether a worker that has seen `token`, or is in `worker_epoch`, no longer executes the launch.
    /// Workers drop commands with a lower token than they have seen or with an earlier epoch than their own.
    pub fn is_superseded_by(&self, token: FencingToken, worker_epoch: WorkerEpoch) -> bool {
        token > self.token || worker_epoch > self.worker_epoch
    }
}

/// What this leader knows about the launches of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LaunchState {
    /// No launch was sent, or every launch is known to be lost.
    NotLaunched,
    /// The placement was recorded by a previous leader, which may have launched it by any route. Only a status that
    /// shows this leader's token proves what has become of it.
    Inherited,
    /// This leader has sent a launch, or a worker's status has proved that the task is there.
    Launched {
        /// A launch was sent in the response to a heartbeat, and no status has shown yet whether it
        /// arrived. Only the next heartbeat proves that it was lost: the status in the response to a direct
        /// call may have been taken before the heartbeat response arrived.
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

    /// Whether a launch was sent in a heartbeat response and may not have arrived yet.
    pub fn is_launched_in_response(&self) -> bool {
        matches!(
            self,
            LaunchState::Launched {
                in_response: true,
                ..
            }
        )
    }

    /// The direct launch that has neither been answered nor superseded.
    pub fn unconfirmed_direct(&self) -> Option<DirectLaunch> {
        match self {
            LaunchState::Launched {
                unconfirmed_direct, ..
            } => *unconfirmed_direct,
            _ => None,
        }
    }

    /// Records that a launch is sent in the response to a heartbeat.
    pub fn record_response_launch(&mut self) {
        *self = LaunchState::Launched {
            in_response: true,
            unconfirmed_direct: self.unconfirmed_direct(),
        };
    }

    /// Records that a launch is sent by a direct call.
    pub fn record_direct_launch(&mut self, launch: DirectLaunch) {
        *self = LaunchState::Launched {
            in_response: self.is_launched_in_response(),
            unconfirmed_direct: Some(launch),
        };
    }

    /// Records that a worker's status shows the task.
    pub fn record_observed(&mut self) {
        *self = LaunchState::Launched {
            in_response: false,
            unconfirmed_direct: self.unconfirmed_direct(),
        };
    }

    /// Records that the direct launch was answered or superseded, so that it cannot be executed any more.
    pub fn settle_direct_launch(&mut self) {
        if let LaunchState::Launched {
            unconfirmed_direct, ..
        } = self
        {
            *unconfirmed_direct = None;
        }
    }
}

/// The assignment of a task to the one machine on which it may run. A placement uses its machine's capacity
/// and its team's limit until the task is known not to run there any more.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub machine: MachineName,
    pub attempt: Attempt,
    /// Whether the placement is durable in the state service. Only then may the task be launched.
    pub durable: bool,
    pub launch: LaunchState,
    /// The task's state in the newest worker status that lists it.
    pub last_status: Option<TaskState>,
    /// Set while the task is being stopped.
    pub stop: Option<Stop>,
    pub placed_at: Timestamp,
}

impl Placement {
    /// A new placement, neither durable nor launched.
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

    /// The attempt that this is at running `task`.
    pub(crate) fn id(&self, task: TaskId) -> TaskAttempt {
        TaskAttempt {
            task,
            attempt: self.attempt,
        }
    }

    /// A durable placement of a previous leader, which may have launched the task.
    pub fn inherited(machine: MachineName, attempt: Attempt, now: Timestamp) -> Self {
        Placement {
            durable: true,
            launch: LaunchState::Inherited,
            ..Placement::new(machine, attempt, now)
        }
    }
}
