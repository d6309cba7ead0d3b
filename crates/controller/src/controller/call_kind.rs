//! What the controller's calls are for: it tells how to handle their replies.

use super::{PendingRequest, Ticket};
use crate::controller_lease::LeaseCall;
use crate::placement_log::CommitId;
use crate::state_client::Budget;
use crate::state_sync::SyncCall;
use model::{ControllerName, MachineName, PartitionId};
use scheduler::TaskAttempt;
use wire::cloud::{ListedMachine, RentRequest};

/// The purpose of a call, by the component that handles the reply.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// A read that keeps the state cache up to date.
    Sync(SyncCall),
    /// Creation or renewal of the controller's lease.
    Lease(LeaseCall),
    /// Registration of this incarnation.
    Registration,
    /// A read that user requests wait for.
    Read(ReadCall),
    /// A change of a partition's leadership.
    Leadership(LeadershipCall),
    /// A read or write of a partition's placement log.
    Log(LogCall),
    /// A write of jobs' records.
    Job(JobCall),
    /// A write of other records.
    Record(RecordCall),
    /// A call to the cloud.
    Fleet(FleetCall),
    /// A direct call to a worker.
    Worker(WorkerCall),
}

impl CallKind {
    /// The budget that is taken to be exhausted when the state service refuses the call as throttled.
    /// A write may have met either limit; a read only that of requests.
    pub(super) fn throttled_budget(&self) -> Budget {
        match self {
            CallKind::Sync(_)
            | CallKind::Lease(_)
            | CallKind::Read(_)
            | CallKind::Log(LogCall::ReadPage { .. } | LogCall::VerifyCommit { .. }) => {
                Budget::Requests
            }
            _ => Budget::Writes,
        }
    }
}

/// A linearizable read for user requests.
#[derive(Debug)]
pub(crate) enum ReadCall {
    /// A read of changes that answers these requests.
    Changes(Vec<PendingRequest>),
    /// A comparison whether these requests' jobs have no terminal state.
    TerminalStates(Vec<PendingRequest>),
    /// A read of the terminal state of one request's job.
    TerminalRecord { request: PendingRequest },
}

/// A change of a partition's leadership.
#[derive(Debug)]
pub(crate) enum LeadershipCall {
    Acquire(PartitionId),
    Transfer {
        partition: PartitionId,
        to: ControllerName,
    },
    /// A higher fencing token for all machines of a partition.
    RaiseToken {
        partition: PartitionId,
        term: u64,
        token: u64,
    },
    /// A reclaim request for the preferred partition.
    Reclaim,
    /// A partition whose leadership is given up.
    Resign(PartitionId),
}

/// A read or write of a partition's placement log.
#[derive(Debug)]
pub(crate) enum LogCall {
    ReadPage {
        partition: PartitionId,
        term: u64,
    },
    Commit {
        partition: PartitionId,
        term: u64,
    },
    /// A read that shows whether a commit was applied.
    VerifyCommit {
        partition: PartitionId,
        term: u64,
        id: CommitId,
    },
}

/// A write of jobs' records.
#[derive(Debug)]
pub(crate) enum JobCall {
    /// Accepted jobs.
    Accept,
    /// Cancellations.
    Cancel,
    /// Terminal jobs of a partition.
    Archive { partition: PartitionId, term: u64 },
}

/// A write of records that belong to no job.
#[derive(Debug)]
pub(crate) enum RecordCall {
    /// The capacity that a partition lacks.
    Demand,
    /// Changes of machines' records.
    Machines,
    MachineTypes,
    /// Settings that operators change at run time; the ticket is the request that waits.
    Tuning {
        ticket: Ticket,
    },
}

/// A call to the cloud.
#[derive(Debug)]
pub(crate) enum FleetCall {
    ListTypes,
    Rent {
        request: RentRequest,
        partition: PartitionId,
    },
    Release(Vec<MachineName>),
    /// A page of the list of machines, with those of the pages before.
    ListMachines {
        gathered: Vec<ListedMachine>,
    },
}

/// A direct call to a worker.
#[derive(Debug)]
pub(crate) enum WorkerCall {
    Commands {
        partition: PartitionId,
        machine: MachineName,
        launches: Vec<TaskAttempt>,
    },
    /// A call to a worker of a partition that was given up: can it be reached again?
    ReachabilityProbe {
        partition: PartitionId,
        machine: MachineName,
    },
    /// A call to a machine that has missed heartbeats.
    LivenessProbe {
        partition: PartitionId,
        machine: MachineName,
    },
}
