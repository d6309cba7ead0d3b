//! Messages from the HTTP server to the event loop, and the state that both share.

use crate::metrics::Metrics;
use controller::{AdminReply, AdminRequest, HeartbeatReply, UserReply};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A request for the event loop, with the channel for its reply.
pub enum Inbound {
    /// A request of a user.
    User(controller::UserRequest, oneshot::Sender<UserReply>),
    /// A heartbeat of a worker.
    Heartbeat(
        Box<wire::workers::Heartbeat>,
        oneshot::Sender<HeartbeatReply>,
    ),
    /// A request of an operator.
    Admin(AdminRequest, oneshot::Sender<AdminReply>),
}

/// Requests that may be queued for the event loop before others are rejected with status 503: a
/// heartbeat of each machine of a large site, and as many requests of users.
const MAX_WAITING_REQUESTS: usize = 16_384;

/// The queue from the server to the event loop.
pub fn request_queue() -> (mpsc::Sender<Inbound>, mpsc::Receiver<Inbound>) {
    mpsc::channel(MAX_WAITING_REQUESTS)
}

/// What the server uses without going through the event loop.
#[derive(Clone)]
pub struct Shared {
    /// Queue of requests for the event loop.
    pub inbound: mpsc::Sender<Inbound>,
    /// Whether the controller is ready to serve, for `/healthz`.
    pub healthy: Arc<AtomicBool>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}
