//! The network's state: faults that are in force, and messages that a disconnection holds back.

use super::events::{Endpoint, Message};

/// A fault that is in force for some time. Faults of machines name the machine, faults of controllers its index.
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

/// A message that is sent again once a fault has ended.
#[derive(Debug)]
pub(super) struct HeldMessage {
    pub(super) from: Endpoint,
    pub(super) to: Endpoint,
    pub(super) message: Message,
}

/// Faults in force, in the order in which they began, and the messages that they hold back.
#[derive(Debug, Default)]
pub(super) struct Network {
    faults: Vec<ActiveFault>,
    held: Vec<HeldMessage>,
}

impl Network {
    /// A fault begins. The same fault may be in force several times.
    pub(super) fn activate(&mut self, fault: ActiveFault) {
        self.faults.push(fault);
    }

    /// One fault that equals this one ends.
    pub(super) fn deactivate(&mut self, ended: &ActiveFault) {
        if let Some(index) = self.faults.iter().position(|fault| fault == ended) {
            self.faults.remove(index);
        }
    }

    /// Whether this fault is in force.
    pub(super) fn is_active(&self, fault: &ActiveFault) -> bool {
        self.faults.contains(fault)
    }

    /// Whether a fault in force matches.
    pub(super) fn any_active(&self, matches: impl FnMut(&ActiveFault) -> bool) -> bool {
        self.faults.iter().any(matches)
    }

    /// What `select` gives for the first fault in force for which it gives something.
    pub(super) fn find_active<T>(
        &self,
        select: impl FnMut(&ActiveFault) -> Option<T>,
    ) -> Option<T> {
        self.faults.iter().find_map(select)
    }

    /// Holds a message back until some fault has ended.
    pub(super) fn hold(&mut self, held: HeldMessage) {
        self.held.push(held);
    }

    /// Takes all messages that are held back, in the order in which they were sent.
    pub(super) fn take_held(&mut self) -> Vec<HeldMessage> {
        std::mem::take(&mut self.held)
    }
}
