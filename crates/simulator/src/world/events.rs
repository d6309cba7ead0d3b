//! Scheduled events and messages in transit.

use super::network::ActiveFault;
use super::scenario::Fault;
use crate::history::HistoryTime;
use controller::{Controller, Effect, Event, HeartbeatReply, UserRequest};
use model::CallId;
use wire::cloud::CloudRequest;
use wire::state::{StateRequest, Transaction};
use wire::workers::{Command, DirectCommands, Heartbeat};

#[derive(Debug, Clone)]
pub(super) enum Message {
    State {
        controller: usize,
        incarnation: u64,
        call: CallId,
        request: StateRequest,
    },
    Cloud {
        controller: usize,
        incarnation: u64,
        call: CallId,
        request: CloudRequest,
    },
    Controller {
        controller: usize,
        incarnation: u64,
        event: Event,
    },
    Heartbeat {
        controller: usize,
        machine: String,
        number: u64,
        report: Box<Heartbeat>,
    },
    HeartbeatResponse {
        machine: String,
        number: u64,
        controller: usize,
        reply: HeartbeatReply,
    },
    Direct {
        controller: usize,
        incarnation: u64,
        call: CallId,
        machine: String,
        body: DirectCommands,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Endpoint {
    Controller(usize),
    State,
    Cloud,
    Machine(u64),
}

#[derive(Debug)]
pub(super) enum ScheduledEvent {
    Tick {
        controller: usize,
        incarnation: u64,
    },
    Deliver(Box<Message>),
    Timeout {
        controller: usize,
        incarnation: u64,
        call: CallId,
        event: Box<Event>,
    },
    WatchTimeout {
        controller: usize,
        incarnation: u64,
        call: CallId,
    },
    StepWorkers,
    SubmitJob,
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
    ReleaseHeldMessages,
    /// A duplicate of a message is delivered.
    DeliverDuplicate(Box<Message>),
    /// A delayed transaction is applied; its controller got no reply.
    ApplyDelayedTransaction {
        controller: usize,
        incarnation: u64,
        /// Transactions of the controller that had been applied when it was sent.
        newer_than: u64,
        txn: Transaction,
    },
    /// A delayed direct command is delivered.
    DeliverDelayedCommand(Box<Message>),
    /// A held heartbeat is delivered to the new leader.
    DeliverHeldHeartbeat(Box<Message>),
    /// A duplicate of a mesh message is delivered.
    DeliverMeshDuplicate {
        to: usize,
        event: Event,
    },
    /// Status requests about all accepted jobs are sent.
    QueryAllJobs,
    ResumeController {
        controller: usize,
        incarnation: u64,
    },
    /// A corrupted value is restored.
    RestoreValue {
        key: String,
        value: serde_json::Value,
    },
    SendRequest {
        request: UserRequest,
        id: String,
        tries: u32,
    },
    /// A request to one controller that is not retried.
    SendFollowUp {
        controller: usize,
        request: UserRequest,
        id: String,
    },
    SendUnusualRequest,
    SubmitOneTaskJob,
}

pub(super) struct RunningController {
    pub(super) controller: Controller,
    pub(super) incarnation: u64,
    pub(super) since: u64,
    pub(super) rate: f64,
    pub(super) ticking: u64,
    pub(super) paused: Option<PausedController>,
}

/// Effects and events that wait while a controller is paused.
#[derive(Default)]
pub(super) struct PausedController {
    /// Effects decided by the last event that was handled.
    pub(super) decided: Vec<Effect>,
    pub(super) handled: bool,
    pub(super) waiting: Vec<Event>,
}

#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) request: UserRequest,
    pub(super) id: String,
    pub(super) tries: u32,
    pub(super) sent: HistoryTime,
}

/// Whether any of the commands starts a task.
pub(super) fn starts(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Launch { .. }))
}
