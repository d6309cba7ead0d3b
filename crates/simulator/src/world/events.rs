//! What happens, and what is on its way.

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
        node: usize,
        incarnation: u64,
        call: CallId,
        request: StateRequest,
    },
    Cloud {
        node: usize,
        incarnation: u64,
        call: CallId,
        request: CloudRequest,
    },
    Controller {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    Heartbeat {
        node: usize,
        machine: String,
        number: u64,
        report: Box<Heartbeat>,
    },
    HeartbeatResponse {
        machine: String,
        number: u64,
        node: usize,
        reply: HeartbeatReply,
    },
    Direct {
        node: usize,
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
        node: usize,
        incarnation: u64,
    },
    Deliver(Box<Message>),
    Timeout {
        node: usize,
        incarnation: u64,
        call: CallId,
        event: Box<Event>,
    },
    WatchTimeout {
        node: usize,
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
        node: usize,
    },
    StartFault(Fault),
    EndFault(ActiveFault),
    ReleaseHeldMessages,
    /// A copy of something that was sent before comes.
    DeliverDuplicate(Box<Message>),
    /// A transaction is carried out at last, of which its node has heard nothing.
    ApplyDelayedTransaction {
        node: usize,
        incarnation: u64,
        /// Transactions of the node that had been carried out when it was sent.
        newer_than: u64,
        txn: Transaction,
    },
    /// A direct command comes late.
    DeliverDelayedCommand(Box<Message>),
    /// A report that was held back comes to the holder that has begun meanwhile.
    DeliverHeldHeartbeat(Box<Message>),
    /// Something that a node has told another before comes again.
    DeliverMeshDuplicate {
        to: usize,
        event: Event,
    },
    /// Every accepted job is asked about.
    QueryAllJobs,
    ResumeController {
        node: usize,
        incarnation: u64,
    },
    /// What stood under a key stands there again.
    RestoreValue {
        key: String,
        value: serde_json::Value,
    },
    SendRequest {
        request: UserRequest,
        id: String,
        tries: u32,
    },
    /// A question to one node that isn't repeated.
    SendFollowUp {
        node: usize,
        request: UserRequest,
        id: String,
    },
    SendUnusualRequest,
    SubmitOneTaskJob,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) enum ActiveFault {
    StateServiceDisconnected(usize),
    StateRequestsRefused(Option<usize>),
    WorkersDisconnected(usize),
    MeshDisconnected(usize),
    ZonesPartitioned,
    MachineDisconnected(String),
    CloudOutage,
    UsersDisconnected(usize),
    ChangedBootBehavior,
    FailingJobs,
    StatusRequestStorm,
    SkewedLoad,
    ZoneIsolated,
    SlowStateService(u64),
    MachineUnreachable(String),
    ZoneUnreachable,
    DuplicatedMessages,
    DelayedTransactions(u64),
    LongTasks(u64),
    MachineConnectionsRefused(String),
    LostTransactionReplies(u64),
    ReplayedHeartbeats(u64),
    HeldHeartbeats(u64),
    DelayedCommands(u64),
    OneWayMeshPartition(usize, usize),
    DuplicatedMeshMessages(u64),
    SlowLinks(u64),
    FollowUpRequests,
    CancelAtCompletion(u64),
    UnusualRequests,
    OneTaskJobs,
}

pub(super) struct RunningController {
    pub(super) node: Controller,
    pub(super) incarnation: u64,
    pub(super) since: u64,
    pub(super) rate: f64,
    pub(super) ticking: u64,
    pub(super) paused: Option<PausedController>,
}

/// What waits while a node stands still.
#[derive(Default)]
pub(super) struct PausedController {
    /// Decided, not sent.
    pub(super) decided: Vec<Effect>,
    pub(super) handled: bool,
    pub(super) waiting: Vec<Event>,
}

pub(super) struct QueueEntry {
    pub(super) at: u64,
    pub(super) sequence: u64,
    pub(super) what: ScheduledEvent,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
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
        .any(|command| matches!(command, Command::Start { .. }))
}
