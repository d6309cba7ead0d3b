//! Calls of controllers and requests to controllers that wait for a reply.

use super::events::PendingRequest;
use model::CallId;
use std::collections::{HashMap, HashSet};

/// A call of one incarnation of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallKey {
    pub(super) controller: usize,
    pub(super) incarnation: u64,
    pub(super) call: CallId,
}

/// A request to one incarnation of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct TicketKey {
    pub(super) controller: usize,
    pub(super) incarnation: u64,
    pub(super) ticket: u64,
}

/// A heartbeat that a controller has received and not answered yet.
#[derive(Debug)]
pub(super) struct ReceivedHeartbeat {
    pub(super) machine: String,
    /// Number of the heartbeat that the worker has in flight; 0 if no worker waits for the reply.
    pub(super) number: u64,
}

/// All calls and requests that wait for a reply. Tickets identify requests to controllers.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    last_ticket: u64,
    calls: HashSet<CallKey>,
    user_requests: HashMap<TicketKey, PendingRequest>,
    heartbeats: HashMap<TicketKey, ReceivedHeartbeat>,
}

impl OpenRequests {
    /// Returns a ticket that has not been used yet.
    pub(super) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Records that a controller has made a call.
    pub(super) fn add_call(&mut self, key: CallKey) {
        self.calls.insert(key);
    }

    /// Removes a call; returns whether it was still waiting for its reply.
    pub(super) fn take_call(&mut self, key: CallKey) -> bool {
        self.calls.remove(&key)
    }

    /// Records that a user's request has been sent.
    pub(super) fn add_user_request(&mut self, key: TicketKey, request: PendingRequest) {
        self.user_requests.insert(key, request);
    }

    /// Removes and returns a user's request that is answered.
    pub(super) fn take_user_request(&mut self, key: TicketKey) -> Option<PendingRequest> {
        self.user_requests.remove(&key)
    }

    /// Removes and returns all requests of users to a controller, in the order of their tickets.
    pub(super) fn take_user_requests_to(&mut self, controller: usize) -> Vec<PendingRequest> {
        let mut requests: Vec<_> = self
            .user_requests
            .extract_if(|key, _| key.controller == controller)
            .collect();
        requests.sort_by_key(|(key, _)| key.ticket);
        requests.into_iter().map(|(_, request)| request).collect()
    }

    /// Records that a controller has received a heartbeat.
    pub(super) fn add_heartbeat(&mut self, key: TicketKey, heartbeat: ReceivedHeartbeat) {
        self.heartbeats.insert(key, heartbeat);
    }

    /// Removes and returns a heartbeat that is answered.
    pub(super) fn take_heartbeat(&mut self, key: TicketKey) -> Option<ReceivedHeartbeat> {
        self.heartbeats.remove(&key)
    }

    /// The machine that sent a heartbeat that waits for its reply.
    pub(super) fn heartbeat_machine(&self, key: TicketKey) -> Option<&str> {
        Some(&self.heartbeats.get(&key)?.machine)
    }
}
