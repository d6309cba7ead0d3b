//! Faults that are active for some time.

/// A fault that is active for some time, see [`Fault`](super::scenario::Fault). Faults of machines contain the
/// machine's name, faults of controllers the controller's index (`None` for all controllers), and the others
/// their factor or percentage.
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
    OldHeartbeatsFirst(u64, u64),
    HeldHeartbeats(u64),
    DelayedCommands(u64),
    CopiedLaunches,
    OneWayMeshPartition(usize, usize),
    DuplicatedMeshMessages(u64),
    SlowLinks(u64),
    FollowUpRequests,
    CancelAtCompletion(u64),
    UnusualRequests,
    OneTaskJobs,
}
