//! What the server and the loop say to each other.

use crate::metrics::Metrics;
use controller::{AdminReply, AdminRequest, HeartbeatReply, UserReply};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// What the server hands to the loop.
pub enum Inbound {
    User(controller::UserRequest, oneshot::Sender<UserReply>),
    Heartbeat(
        Box<wire::workers::Heartbeat>,
        oneshot::Sender<HeartbeatReply>,
    ),
    Admin(AdminRequest, oneshot::Sender<AdminReply>),
}

/// Requests that may wait for the loop, before others are refused with 503: a report of each machine of a
/// large site, when all turn to one node at once, and as many requests of users.
const MAX_WAITING_REQUESTS: usize = 16_384;

/// The queue between the server and the loop.
pub fn request_queue() -> (mpsc::Sender<Inbound>, mpsc::Receiver<Inbound>) {
    mpsc::channel(MAX_WAITING_REQUESTS)
}

/// What the server may ask without going through the loop.
#[derive(Clone)]
pub struct Shared {
    pub inbound: mpsc::Sender<Inbound>,
    pub healthy: Arc<AtomicBool>,
    pub metrics: Arc<Metrics>,
}
