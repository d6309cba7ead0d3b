//! A job within a partition, and the placements of its tasks.

use model::{Attempt, FencingToken, JobKind, JobSpec, MachineName, TaskId, Timestamp, WorkerEpoch};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wire::workers::TaskState;

/// Number of tasks whose progress is recorded together.
pub const CHUNK: u32 = 64;

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

/// A job whose terminal state is not durable yet.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in milliseconds on a clock that all controllers share.
    pub order: u64,
    /// When this leader admitted it or loaded it.
    pub seen_at: Timestamp,
    /// How far it is deprioritised for its size.
    pub size_penalty: Duration,
    /// Time from submission within which it should complete: its own deadline, or the objective of its
    /// class.
    pub completion_objective: Option<Duration>,
    /// How far it is further deprioritised for its remaining work during overload.
    pub overload_penalty: Duration,
    pub cancelled: bool,
    /// Until when the leases of its machines may be renewed while a launch of it could still arrive:
    /// a later renewal could keep it running for longer than a cancellation allows.
    pub(crate) renew_until: Timestamp,
    /// Its terminal state is being written or has been written.
    pub finishing: bool,
    /// One bit for each task, in words of [`CHUNK`] bits: the task is done.
    done: Vec<u64>,
    done_count: u32,
    /// Placements by the tasks' indexes.
    pub placed: BTreeMap<u32, Placement>,
    /// First task that has never been queued; further tasks are queued as the window allows.
    pub cursor: u32,
    /// Consecutive failures by the tasks' indexes.
    pub failures: BTreeMap<u32, u32>,
    /// The last few machines on which a task of this job failed.
    pub failed_on: Vec<MachineName>,
    pub successes: u32,
    /// The longest time that a task took to fail.
    pub longest_failure: Duration,
    /// Since when none of its tasks has been placed, in milliseconds on the clock of [`Job::order`]. A new
    /// leader, which does not know, counts from its submission. Without meaning while tasks are placed.
    pub(crate) unplaced_since_ms: u64,
    /// How many tasks of best-effort work may be placed on any machine, since it has waited for long.
    pub(crate) places_anywhere: usize,
    /// Best-effort work that has waited for so long that a machine is requested for its first task.
    pub(crate) starved: bool,
    /// It lies within its team's guarantee.
    pub guaranteed: bool,
    /// It lies within the guarantee even if the team's work of higher priority is counted first. Only
    /// such work is protected from preemption by other teams' work of higher priority, and only work
    /// beyond it may be preempted by their guaranteed work of lower priority.
    pub strictly_guaranteed: bool,
    /// On machines with GPUs it runs only beside GPU work and takes no capacity from it.
    pub only_beside: bool,
    /// When all tasks of the gang were first seen running in this attempt by this leader.
    pub gang_began: Option<Timestamp>,
}

/// A placed task in the placement log; serialised as an array of its three fields.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u64, String)")]
pub struct PlacedTask {
    /// Index of the task within its chunk.
    pub offset: u32,
    /// Number of the attempt, see [`Attempt`].
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
}

impl From<(u32, u64, String)> for PlacedTask {
    fn from((offset, attempt, machine): (u32, u64, String)) -> Self {
        PlacedTask {
            offset,
            attempt,
            machine,
        }
    }
}

impl Serialize for PlacedTask {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.offset, self.attempt, &self.machine).serialize(serializer)
    }
}

/// Progress of one chunk of a job's tasks in the placement log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Bit i: task i of the chunk is done. Hexadecimal, because JSON readers do not agree on integers
    /// beyond 53 bits.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedTask>,
}

impl TaskChunk {
    /// Whether there is no progress to be recorded.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.placed.is_empty()
    }

    /// Whether all of it can be restored.
    pub fn is_sound(&self) -> bool {
        let done = self.done.is_empty() || u64::from_str_radix(&self.done, 16).is_ok();
        let is_sound = |task: &PlacedTask| task.offset < CHUNK && !task.machine.is_empty();
        done && self.placed.iter().all(is_sound)
    }
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

impl Job {
    /// A job without progress.
    pub fn new(spec: impl Into<Arc<JobSpec>>, order: u64, now: Timestamp) -> Self {
        let spec = spec.into();
        let words = spec.tasks.div_ceil(CHUNK) as usize;
        Job {
            spec,
            order,
            seen_at: now,
            size_penalty: Duration::ZERO,
            completion_objective: None,
            overload_penalty: Duration::ZERO,
            cancelled: false,
            renew_until: Timestamp::default(),
            finishing: false,
            done: vec![0; words],
            done_count: 0,
            placed: BTreeMap::new(),
            cursor: 0,
            failures: BTreeMap::new(),
            failed_on: Vec::new(),
            successes: 0,
            longest_failure: Duration::ZERO,
            unplaced_since_ms: order,
            places_anywhere: 0,
            starved: false,
            guaranteed: false,
            strictly_guaranteed: false,
            only_beside: false,
            gang_began: None,
        }
    }

    /// Whether it is best-effort work: work within a guarantee is not.
    pub fn is_best_effort(&self) -> bool {
        self.spec.is_best_effort() && !self.guaranteed
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get((index / CHUNK) as usize)
            .is_some_and(|word| word & (1 << (index % CHUNK)) != 0)
    }

    /// Marks a task done. Returns false if it was done already or does not exist.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.spec.tasks || self.is_done(index) {
            return false;
        }
        self.done[(index / CHUNK) as usize] |= 1 << (index % CHUNK);
        self.done_count += 1;
        self.failures.remove(&index);
        true
    }

    /// Number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Number of tasks that are neither placed nor done.
    pub(crate) fn waiting(&self) -> u64 {
        u64::from(self.spec.tasks - self.done_count()).saturating_sub(self.placed.len() as u64)
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Number of tasks that run now, for display.
    pub fn running_count(&self) -> u32 {
        let is_running = |placement: &&Placement| {
            let status = placement.last_status;
            matches!(status, Some(TaskState::Running | TaskState::Saving))
        };
        self.placed.values().filter(is_running).count() as u32
    }

    /// The chunk's progress for the placement log.
    pub fn chunk(&self, chunk: u32) -> TaskChunk {
        let word = self.done.get(chunk as usize).copied().unwrap_or(0);
        let from = chunk * CHUNK;
        let placed = self
            .placed
            .range(from..from + CHUNK)
            .map(|(index, placement)| PlacedTask {
                offset: index - from,
                attempt: placement.attempt.0,
                machine: placement.machine.to_string(),
            })
            .collect();
        TaskChunk {
            done: if word == 0 {
                String::new()
            } else {
                format!("{word:x}")
            },
            placed,
        }
    }

    /// Restores a chunk from the placement log. Its placements are inherited.
    pub fn restore(&mut self, chunk: u32, body: &TaskChunk, now: Timestamp) {
        let from = chunk * CHUNK;
        if let Ok(word) = u64::from_str_radix(&body.done, 16) {
            for bit in (0..CHUNK).filter(|bit| word & (1 << bit) != 0) {
                self.mark_done(from + bit);
            }
        }
        for task in &body.placed {
            let index = from + task.offset;
            // All tasks of a gang are done with the first one, also those that are still placed.
            let is_over = self.is_done(index) && self.spec.kind != JobKind::Gang;
            if task.offset >= CHUNK || index >= self.spec.tasks || is_over {
                continue;
            }
            let machine = MachineName::from(task.machine.as_str());
            let placement = Placement::inherited(machine, Attempt(task.attempt), now);
            self.placed.insert(index, placement);
        }
    }
}
