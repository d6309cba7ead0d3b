//! The queue of requests from the HTTP server to the event loop, and the data that both share.

use crate::metrics::Metrics;
use controller::{AdminReply, AdminRequest, HeartbeatReply, UserReply};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A request for the event loop, with the channel on which its reply is sent.
pub enum InboundRequest {
    /// Request of a user.
    User(controller::UserRequest, oneshot::Sender<UserReply>),
    /// Heartbeat of a worker.
    Heartbeat(
        Box<wire::workers::Heartbeat>,
        oneshot::Sender<HeartbeatReply>,
    ),
    /// Request of an operator.
    Admin(AdminRequest, oneshot::Sender<AdminReply>),
}

/// Capacity of the request queue: a heartbeat of each machine of a large site, and as many requests of
/// users. Further requests are rejected with status 503.
const MAX_QUEUED_REQUESTS: usize = 16_384;

/// Creates the queue of requests from the HTTP server to the event loop.
pub fn request_queue() -> (mpsc::Sender<InboundRequest>, mpsc::Receiver<InboundRequest>) {
    mpsc::channel(MAX_QUEUED_REQUESTS)
}

/// What the handlers of the HTTP server share with the event loop.
#[derive(Clone)]
pub struct ServerContext {
    /// Queue of requests for the event loop.
    pub requests: mpsc::Sender<InboundRequest>,
    /// Whether the controller is ready to serve, for `/healthz`.
    pub healthy: Arc<AtomicBool>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
}
