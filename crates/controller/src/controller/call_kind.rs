//! The purpose of each call that the controller makes, which decides how its reply is handled.

use super::{PendingRequest, Ticket};
use crate::controller_lease::LeaseCall;
use crate::placement_log::CommitId;
use crate::state_client::Budget;
use crate::state_sync::SyncCall;
use model::{ControllerName, MachineName, PartitionId};
use scheduler::{DirectLaunch, TaskAttempt};
use wire::cloud::{ListedMachine, RentRequest};

/// The purpose of a call, grouped by the component that handles the reply.
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
    /// The budget that is assumed to be exhausted when the state service throttles this call. A read can
    /// only have met the request limit; a write may have met either limit and counts against the writes.
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
    /// A read of changes, after which these requests can be answered.
    Changes(Vec<PendingRequest>),
    /// A transaction of conditions only, which tells which of these requests' jobs have a terminal state.
    TerminalStates(Vec<PendingRequest>),
    /// A read of the terminal state of this request's job.
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
    /// A raise of the fencing token for all machines of a partition.
    RaiseToken {
        partition: PartitionId,
        term: u64,
        token: u64,
    },
    /// A write of this controller's request for its preferred partition.
    Reclaim,
    /// A resignation of a partition's leadership.
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
    /// A write of accepted jobs.
    Accept,
    /// A write of cancellations.
    Cancel,
    /// A write of a partition's jobs in a terminal state.
    Archive { partition: PartitionId, term: u64 },
}

/// A write of records that belong to no job.
#[derive(Debug)]
pub(crate) enum RecordCall {
    /// A partition's unmet demand.
    Demand,
    /// Changes of machines' records.
    Machines,
    MachineTypes,
    /// Settings that operators change at run time. `ticket` identifies the operator's request.
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
    /// A read of a page of the list of machines. `gathered` holds the machines of the earlier pages.
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
        /// The token and the worker epoch of the call.
        sent_as: DirectLaunch,
    },
    /// A probe that tells whether this controller reaches a worker of a partition that it has resigned.
    ReachabilityProbe {
        partition: PartitionId,
        machine: MachineName,
    },
    /// A probe of a machine that has missed heartbeats.
    LivenessProbe {
        partition: PartitionId,
        machine: MachineName,
    },
}
