//! Inputs and outputs of the controller.

use super::admin::{AdminReply, AdminRequest};
use autoscaler::FleetPolicy;
use model::{CallId, ControllerName, JobId, RejectReason};
use scheduler::Policy;
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest};
use wire::users::{JobRequest, JobStatus};
use wire::workers::{DirectCommands, Heartbeat, HeartbeatResponse};

/// Settings that operators may change at run time. None of them affects safety.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Tuning {
    pub queue: QueueConfig,
    pub policy: Policy,
    pub fleet: FleetPolicy,
}

/// Identifies a request of a user, a worker or an operator until its reply is sent.
pub type Ticket = u64;

/// A user's request with its body decoded.
#[derive(Debug, Clone)]
pub enum UserRequest {
    Submit(Box<JobRequest>),
    Get(JobId),
    Cancel(JobId),
}

/// A reply to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum UserReply {
    Created(JobStatus),
    Status(JobStatus),
    NotFound,
    Invalid(String),
    Rejected(RejectReason),
    /// Refused for now; the user may retry after `retry_after_s` seconds.
    Busy {
        retry_after_s: u64,
    },
}

/// A reply to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    Response(HeartbeatResponse),
    /// Another controller leads the machine's partition; `None` if it is not known which.
    Redirect(Option<ControllerName>),
    /// Neither a response nor a redirect is possible for now: the worker is asked to retry later.
    Unavailable,
    /// Status 400: the heartbeat was ignored.
    Malformed,
}

/// The result of a direct call to a worker.
#[derive(Debug, Clone)]
pub enum DirectReply {
    /// The commands were executed or all refused: none of them will be executed later.
    Answered(Box<Heartbeat>),
    /// No usable reply came: the commands may still be executed later.
    Unknown,
}

/// An input of the controller.
#[derive(Debug, Clone)]
pub enum Event {
    Tick,
    State {
        call: CallId,
        reply: StateReply,
    },
    Cloud {
        call: CallId,
        reply: CloudReply,
    },
    Worker {
        call: CallId,
        reply: DirectReply,
    },
    Mesh {
        from: ControllerName,
        message: MeshMessage,
    },
    User {
        ticket: Ticket,
        request: UserRequest,
    },
    Heartbeat {
        ticket: Ticket,
        report: Box<Heartbeat>,
    },
    Admin {
        ticket: Ticket,
        request: AdminRequest,
    },
}

/// An output of the controller, executed by the program that runs it.
#[derive(Debug, Clone)]
pub enum Effect {
    State {
        call: CallId,
        request: StateRequest,
        timeout: Duration,
    },
    Cloud {
        call: CallId,
        request: CloudRequest,
    },
    Worker {
        call: CallId,
        address: String,
        body: DirectCommands,
        timeout: Duration,
    },
    Mesh {
        to: ControllerName,
        message: MeshMessage,
    },
    User {
        ticket: Ticket,
        reply: UserReply,
    },
    Heartbeat {
        ticket: Ticket,
        reply: HeartbeatReply,
    },
    Admin {
        ticket: Ticket,
        reply: AdminReply,
    },
}
