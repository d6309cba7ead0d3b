//! The controller's own lease in the state service: creation, renewal and loss.
//!
//! A controller binds some of its records to its lease. The state service deletes them when the lease
//! expires, so that the other controllers see that this one has gone.

use model::{DurationExt, LeaseId, Timestamp};
use std::time::Duration;
use wire::state::{StateReply, StateRequest};

/// Time to live of the lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_500);
/// Time between renewals.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// Delay of the next call after one that did not succeed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A call that creates or renews the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseCall {
    Create,
    Renew(LeaseId),
}

impl LeaseCall {
    /// The request of the call.
    pub fn request(self) -> StateRequest {
        match self {
            LeaseCall::Create => StateRequest::GrantLease {
                ttl_ms: LEASE_DURATION.whole_millis(),
            },
            LeaseCall::Renew(lease) => StateRequest::RenewLease { lease: lease.0 },
        }
    }
}

/// The lease of this controller.
#[derive(Debug, Default)]
pub struct ControllerLease {
    current: Option<LeaseId>,
    call_pending: bool,
    next_call_at: Timestamp,
}

impl ControllerLease {
    /// The lease; `None` before it is created and after it has expired.
    pub fn current(&self) -> Option<LeaseId> {
        self.current
    }

    /// Returns the call that is due, if any. No other call is due until the reply to it is handled.
    pub fn begin_call(&mut self, now: Timestamp) -> Option<LeaseCall> {
        if self.call_pending || now < self.next_call_at {
            return None;
        }
        self.call_pending = true;
        Some(self.current.map_or(LeaseCall::Create, LeaseCall::Renew))
    }

    /// Handles the reply to the creation of the lease.
    pub fn handle_creation(&mut self, reply: &StateReply, now: Timestamp) {
        self.call_pending = false;
        match reply {
            StateReply::Lease(lease) => {
                self.current = Some(LeaseId(*lease));
                self.next_call_at = now + LEASE_RENEWAL_INTERVAL;
            }
            _ => self.next_call_at = now + RETRY_DELAY,
        }
    }

    /// Handles the reply to a renewal that was sent at `sent_at`.
    pub fn handle_renewal(
        &mut self,
        lease: LeaseId,
        reply: &StateReply,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.call_pending = false;
        match reply {
            StateReply::Ok => {
                self.current = Some(lease);
                self.next_call_at = sent_at + LEASE_RENEWAL_INTERVAL;
            }
            StateReply::LeaseGone => {
                tracing::warn!(%lease, "controller lease expired");
                self.current = None;
                self.next_call_at = now;
            }
            _ => self.next_call_at = now + RETRY_DELAY,
        }
    }
}
