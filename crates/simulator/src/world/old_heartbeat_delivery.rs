//! The delivery of an old heartbeat to a new leader.

use wire::workers::Heartbeat;

/// A heartbeat as it was sent.
#[derive(Debug, Clone)]
pub(super) struct SentHeartbeat {
    pub(super) heartbeat: Box<Heartbeat>,
    pub(super) sent_at: u64,
    /// The machine's partition at that time.
    pub(super) partition: Option<u32>,
}

/// A leadership of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Leadership {
    pub(super) partition: u32,
    pub(super) term: u64,
}

/// The delivery of an old heartbeat to a new leader.
#[derive(Debug, Clone)]
pub(super) struct OldHeartbeatDelivery {
    pub(super) sent: SentHeartbeat,
    pub(super) to: Leadership,
    pub(super) until: u64,
}
