//! What the server and the loop say to each other.

use crate::metrics::Metrics;
use coordination::{AdminReply, AdminRequest, ReportReply, UserReply};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// What the server hands to the loop.
pub enum Inbound {
    User(coordination::UserRequest, oneshot::Sender<UserReply>),
    Report(Box<wire::workers::Report>, oneshot::Sender<ReportReply>),
    Admin(AdminRequest, oneshot::Sender<AdminReply>),
}

/// What the server may ask without going through the loop.
#[derive(Clone)]
pub struct Shared {
    pub inbound: mpsc::Sender<Inbound>,
    pub healthy: Arc<AtomicBool>,
    pub metrics: Arc<Metrics>,
}
