//! What happens, and what is on its way.

use super::plan::Fault;
use crate::history::Instant;
use controller::{Controller, Effect, Event, HeartbeatReply, UserRequest};
use model::CallId;
use wire::cloud::CloudRequest;
use wire::state::{StateRequest, Transaction};
use wire::workers::{Command, DirectCommands, Heartbeat};

#[derive(Debug, Clone)]
pub(super) enum Message {
    State {
        node: usize,
        life: u64,
        call: CallId,
        request: StateRequest,
    },
    Cloud {
        node: usize,
        life: u64,
        call: CallId,
        request: CloudRequest,
    },
    Controller {
        node: usize,
        life: u64,
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
        life: u64,
        call: CallId,
        machine: String,
        body: DirectCommands,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Place {
    Controller(usize),
    State,
    Cloud,
    Machine(u64),
}

#[derive(Debug)]
pub(super) enum Happening {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver(Box<Message>),
    Timeout {
        node: usize,
        life: u64,
        call: CallId,
        event: Box<Event>,
    },
    WatchEnds {
        node: usize,
        life: u64,
        call: CallId,
    },
    Workers,
    Submit,
    Poll {
        id: String,
    },
    Cancel {
        id: String,
    },
    Boot {
        node: usize,
    },
    Fault(Fault),
    Heal(Cut),
    Flush,
    /// A copy of something that was sent before comes.
    Copy(Box<Message>),
    /// A transaction is carried out at last, of which its node has heard nothing.
    LateWrite {
        node: usize,
        life: u64,
        /// Transactions of the node that had been carried out when it was sent.
        newer_than: u64,
        txn: Transaction,
    },
    /// A direct command comes late.
    LateCommand(Box<Message>),
    /// A report that was held back comes to the holder that has begun meanwhile.
    HeldReport(Box<Message>),
    /// Something that a node has told another before comes again.
    MeshCopy {
        to: usize,
        event: Event,
    },
    /// Every accepted job is asked about.
    AskAll,
    Thaw {
        node: usize,
        life: u64,
    },
    /// What stood under a key stands there again.
    Mend {
        key: String,
        value: serde_json::Value,
    },
    Ask {
        request: UserRequest,
        id: String,
        tries: u32,
    },
    /// A question to one node that isn't repeated.
    Look {
        node: usize,
        request: UserRequest,
        id: String,
    },
    OddRequest,
    OneTaskJob,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Cut {
    State(usize),
    Refuse(Option<usize>),
    Workers(usize),
    Mesh(usize),
    Zones,
    Machine(String),
    Cloud,
    Users(usize),
    Boots,
    Mistakes,
    Questions,
    Heavy,
    Zone,
    Slow(u64),
    Unreached(String),
    UnreachedZone,
    Copies,
    LateWrites(u64),
    Long(u64),
    Mute(String),
    LostAnswers(u64),
    KeptCopies(u64),
    HeldReports(u64),
    LateCommands(u64),
    OneWay(usize, usize),
    MeshCopies(u64),
    SlowLinks(u64),
    CloseLooks,
    CancelAtEnd(u64),
    OddRequests,
    OneTaskJobs,
}

pub(super) struct Running {
    pub(super) node: Controller,
    pub(super) life: u64,
    pub(super) since: u64,
    pub(super) rate: f64,
    pub(super) ticking: u64,
    pub(super) frozen: Option<Frozen>,
}

/// What waits while a node stands still.
#[derive(Default)]
pub(super) struct Frozen {
    /// Decided, not sent.
    pub(super) decided: Vec<Effect>,
    pub(super) handled: bool,
    pub(super) waiting: Vec<Event>,
}

pub(super) struct Queued {
    pub(super) at: u64,
    pub(super) order: u64,
    pub(super) what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Clone)]
pub(super) struct Asked {
    pub(super) request: UserRequest,
    pub(super) id: String,
    pub(super) tries: u32,
    pub(super) sent: Instant,
}

/// Whether any of the commands starts a task.
pub(super) fn starts(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. }))
}
