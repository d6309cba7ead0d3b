//! Scheduled events of a world, messages in transit, and the state of running controllers and open requests.

use super::active_fault::ActiveFault;
use super::old_heartbeat_delivery::OldHeartbeatDelivery;
use super::scenario::Fault;
use crate::history::HistoryTime;
use controller::{Controller, Effect, Event, HeartbeatReply, UserRequest};
use model::CallId;
use wire::cloud::CloudRequest;
use wire::state::{StateRequest, Transaction};
use wire::workers::{Command, DirectCommands, Heartbeat};

/// A message in transit. `controller` sends or receives it; replies and mesh messages reach only the given
/// `incarnation`, that is, they are lost if the controller has restarted.
#[derive(Debug, Clone)]
pub(super) enum Message {
    StateRequest {
        controller: usize,
        incarnation: u64,
        call: CallId,
        request: StateRequest,
    },
    CloudRequest {
        controller: usize,
        incarnation: u64,
        call: CallId,
        request: CloudRequest,
    },
    /// A reply or a mesh message to a controller.
    ControllerEvent {
        controller: usize,
        incarnation: u64,
        event: Event,
    },
    Heartbeat {
        controller: usize,
        machine: String,
        /// Number of the heartbeat that the worker has in flight; 0 if no worker waits for the reply.
        number: u64,
        heartbeat: Box<Heartbeat>,
    },
    HeartbeatResponse {
        machine: String,
        number: u64,
        controller: usize,
        reply: HeartbeatReply,
    },
    /// A call with direct commands, or a probe, to a worker.
    DirectCall {
        controller: usize,
        incarnation: u64,
        call: CallId,
        machine: String,
        body: DirectCommands,
    },
}

/// A sender or receiver of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Controller(usize),
    State,
    Cloud,
    /// A machine by the number in its name.
    Machine(u64),
}

/// Something that happens in a world at a time of the event queue.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// A controller's timer fires.
    Tick {
        controller: usize,
        incarnation: u64,
    },
    Deliver(Box<Message>),
    /// A controller gives up waiting for the reply to a call and handles `event` instead.
    Timeout {
        controller: usize,
        incarnation: u64,
        call: CallId,
        event: Box<Event>,
    },
    /// The state service ends a watch that has seen no change.
    WatchTimeout {
        controller: usize,
        incarnation: u64,
        call: CallId,
    },
    /// All workers advance by one step.
    StepWorkers,
    /// Users submit the next random job.
    SubmitJob,
    /// A user polls the status of a job.
    PollStatus {
        id: String,
    },
    CancelJob {
        id: String,
    },
    StartController {
        controller: usize,
    },
    StartFault(Fault),
    EndFault(ActiveFault),
    /// Messages that a disconnection has held back are sent again.
    ReleaseHeldMessages,
    /// A duplicate of a message, or a replayed heartbeat, is delivered.
    DeliverDuplicate(Box<Message>),
    /// A delayed transaction is applied; its controller gets no reply.
    ApplyDelayedTransaction {
        controller: usize,
        incarnation: u64,
        /// Number of the controller's transactions that had been applied when this one was sent.
        applied_when_sent: u64,
        txn: Transaction,
    },
    /// A delayed call with direct commands is delivered.
    DeliverDelayedCommand(Box<Message>),
    /// Delivers a copy of a direct call with launches; the machine was in this partition when the call was made.
    DeliverLaunchCopy {
        message: Box<Message>,
        sent_at: u64,
        partition: Option<u64>,
    },
    /// A heartbeat that was held back is delivered to the new leader.
    DeliverHeldHeartbeat(Box<Message>),
    /// An old heartbeat is delivered to a new leader.
    DeliverOldHeartbeat(Box<OldHeartbeatDelivery>),
    /// A duplicate of a mesh message is delivered.
    DeliverMeshDuplicate {
        to: usize,
        event: Event,
    },
    /// Users query all accepted jobs.
    QueryAllJobs,
    /// A paused controller continues.
    ResumeController {
        controller: usize,
        incarnation: u64,
    },
    /// A corrupted value is restored.
    RestoreValue {
        key: String,
        value: serde_json::Value,
    },
    /// A user sends a request, or retries one, at any reachable controller.
    SendRequest {
        request: UserRequest,
        id: String,
        /// Number of attempts before this one.
        attempts: u32,
    },
    /// A user sends a request to one controller; it is not retried.
    SendFollowUp {
        controller: usize,
        request: UserRequest,
        id: String,
    },
    SendUnusualRequest,
    SubmitOneTaskJob,
}

/// A controller process from its start to its crash.
pub(super) struct RunningController {
    pub(super) controller: Controller,
    pub(super) incarnation: u64,
    /// When the process started, in ms; its local clock starts at 0 then.
    pub(super) started_at: u64,
    /// Speed of its local clock relative to simulated time.
    pub(super) clock_rate: f64,
    /// Time of the earliest scheduled timer event, in ms.
    pub(super) next_tick_at: u64,
    pub(super) paused: Option<PausedController>,
}

/// Effects and events of a paused controller that wait for its resumption.
#[derive(Default)]
pub(super) struct PausedController {
    /// Effects of the one event that the controller has handled since the pause began.
    pub(super) pending_effects: Vec<Effect>,
    pub(super) has_handled_event: bool,
    /// Events that arrived after that one.
    pub(super) queued_events: Vec<Event>,
}

/// Number of attempts after which users give up a request.
pub(super) const MAX_ATTEMPTS: u32 = 60;

/// A user's request that waits for a reply.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) request: UserRequest,
    pub(super) id: String,
    /// Number of attempts before this one.
    pub(super) attempts: u32,
    pub(super) sent_at: HistoryTime,
}

/// Whether one of the commands launches a task.
pub(super) fn contains_launch(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Launch { .. }))
}
