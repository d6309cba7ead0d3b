//! What a run consists of.

use crate::cloud::BootBehavior;

/// A trouble at a time.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Ends a node without a word; it is back after `back` ms.
    CrashController { node: usize, back: u64 },
    /// Cuts a node from the state service.
    DisconnectStateService { node: usize, ms: u64 },
    /// The state service refuses one node, or all.
    RefuseStateRequests { node: Option<usize>, ms: u64 },
    /// Cuts a node from workers.
    DisconnectWorkers { node: usize, ms: u64 },
    /// Cuts a node from the other nodes.
    DisconnectMesh { node: usize, ms: u64 },
    /// Cuts two zones from each other.
    PartitionZones { ms: u64 },
    /// A machine loses the network.
    DisconnectMachine { nth: usize, ms: u64 },
    /// A machine hangs.
    HangMachine { nth: usize, ms: u64 },
    /// A machine ends.
    CrashMachine { nth: usize },
    /// A machine fails every task.
    FailTasksOnMachine { nth: usize },
    /// The cloud's interface is down.
    CloudOutage { ms: u64 },
    /// A node stands still while its clock runs on: what it has decided last is sent afterwards,
    /// and all that has come meanwhile is there at once.
    PauseController { node: usize, ms: u64 },
    /// A node loses the network altogether; users' connections to it as well.
    IsolateController { node: usize, ms: u64 },
    /// Machines come up early, late or never.
    ChangeBootBehavior { how: BootBehavior, ms: u64 },
    /// Many jobs are submitted with a mistake, and cancelled much later.
    FailingJobs { ms: u64 },
    /// Users ask many times as often.
    StatusRequestStorm { ms: u64 },
    /// A team without guarantee and limit submits so many arrays of low priority.
    GuestJobs { jobs: u64 },
    /// One team submits ten times as much as each of the others.
    SkewedLoad { ms: u64 },
    /// So many jobs come at once.
    JobBurst { jobs: usize },
    /// So many machines end at once.
    CrashMachines { count: usize },
    /// So many hang at once.
    HangMachines { count: usize, ms: u64 },
    /// So many fail every task from one moment on.
    FailTasksOnMachines { count: usize },
    /// Zone b, its node and machines, is cut off from everything.
    IsolateZone { ms: u64 },
    /// The state service answers so many times slower.
    SlowStateService { times: u64, ms: u64 },
    /// Ends a node as it is about to do the nth thing that others would see: a write, an order, a
    /// rental, a message, an answer. It is back after 6 s.
    CrashBeforeEffect { node: usize, nth: u64 },
    /// So many machines are heard and not reached: their reports arrive, answers and commands to them are
    /// lost.
    DropMessagesToMachines { count: usize, ms: u64 },
    /// So are all machines of zone b.
    DropMessagesToZone { ms: u64 },
    /// Copies of reports, commands, writes, rentals and releases come again, after a second to three
    /// leases, reports to any node.
    DuplicateMessages { ms: u64 },
    /// A node loses the state service and the other nodes, by cuts or refusals, but neither its workers
    /// nor users.
    DisconnectStateAndMesh { node: usize, ms: u64, refused: bool },
    /// So many per cent of the transactions get no answer and are carried out 2 to 12 s later, after newer
    /// ones of the same node.
    DelayTransactions { percent: u64, ms: u64 },
    /// Jobs submitted meanwhile run so many times as long, every other of them with checkpoints.
    LongTasks { times: u64, ms: u64 },
    /// Users cancel every job that is accepted and not over, all through one node.
    CancelAllJobs { through: usize },
    /// Users ask every node again within milliseconds of each confirmation, and some cancel at once.
    FollowUpRequests { ms: u64 },
    /// So many per cent of the jobs that end are cancelled around the end of their last task.
    CancelAtCompletion { percent: u64, ms: u64 },
    /// So many running jobs with long to go are cancelled within a fifth of a second; up to eight of their
    /// machines hang that long.
    CancelRunningJobs { count: usize, hang_ms: u64 },
    /// Users repeat submissions, cancel jobs that are done, and send jobs that fit no machine or lack a field.
    UnusualRequests { ms: u64 },
    /// Jobs of one task come four a second, a quarter of them cancelled.
    OneTaskJobs { ms: u64 },
    /// Garbage stands on a ledger page of a partition for a time.
    CorruptLogPage { partition: u32, ms: u64 },
    /// So many machines reach no controller: their connections fail. Direct commands and questions reach
    /// them.
    RefuseMachineConnections { count: usize, ms: u64 },
    /// So many per cent of the transactions are carried out at once, and only their answers are lost.
    DropTransactionReplies { percent: u64, ms: u64 },
    /// Of so many per cent of the reports a copy is kept, which reaches every controller just as the next
    /// holder of a partition begins.
    ReplayHeartbeats { percent: u64, ms: u64 },
    /// So many per cent of the reports are held back until the next holder of a partition has acted, and
    /// arrive there.
    HoldHeartbeats { percent: u64, ms: u64 },
    /// So many per cent of the direct commands get no answer and are carried out once, 2 to 16 s later, if
    /// token and session still match.
    DelayCommands { percent: u64, ms: u64 },
    /// What one node tells another is lost; what the other tells it arrives.
    OneWayMeshPartition { from: usize, to: usize, ms: u64 },
    /// Of so many per cent of what nodes tell each other a copy arrives again, a second to three leases
    /// later, whoever lives there by then.
    DuplicateMeshMessages { percent: u64, ms: u64 },
    /// Links among nodes and to machines are so many times slower.
    SlowLinks { times: u64, ms: u64 },
}

/// A safety step that is deliberately broken, to show that the checker would tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Rounds are reported as written but are not.
    LogCommitsNotWritten,
    /// Conditions on the partition are ignored.
    NoFencing,
    /// Controllers believe in leases much shorter than the workers'.
    ShortLease,
    /// Controllers believe that cancelling may take minutes.
    LongCancel,
    /// Workers take answers that bear an old token.
    TokensIgnored,
    /// The ends of jobs are told to whoever watches but are not kept.
    TerminalStatesNotWritten,
    /// The ledger is often read as it was some seconds before.
    StalePlacementLog,
    /// Nobody records who held a partition before and may still answer its workers.
    PredecessorsForgotten,
    /// Controllers tell their followers falsehoods: addresses and sessions of other machines, machines
    /// that are gone, failures that never were.
    FalseReplicationRecords,
    /// Parts of what followers are told are lost, held back or say less than they claim.
    LostReplicationRecords,
    /// Late transactions are carried out whatever has changed since.
    DelayedWritesUnconditional,
    /// Answers to reports bear no halts.
    RepliesWithoutKills,
    /// Copies of reports pass for new ones.
    DuplicatesTrusted,
    /// Questions about every seventh job are not answered.
    SomeStatusRequestsUnanswered,
    /// Late direct commands are carried out whatever token and session they bear.
    DelayedCommandsTrusted,
    /// Nothing of every seventh job is ever started.
    SomeJobsNeverStarted,
    /// Workers take direct commands and questions for answers to reports: these keep their leases up.
    DirectCommandsRenewLease,
    /// Late copies of signs of life claim to know all changes.
    MeshDuplicatesTrusted,
    /// Transactions whose answers would be lost are called committed and are not carried out.
    LostRepliesNotApplied,
    /// Reads of changes that are to be fresh tell nothing new.
    StaleFreshReads,
    /// Ends are written whatever has been cancelled since they were decided.
    TerminalStatesIgnoreCancellations,
    /// Jobs that fit no machine seem to fit.
    UnschedulableJobsFit,
    /// Missing fields of submissions are filled in.
    MissingFieldsFilled,
    /// Machines that have hung ignore commands that stop tasks.
    HungMachinesIgnoreStops,
}

/// What a run consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub ms: u64,
    pub faults: Vec<(u64, Fault)>,
    pub mutation: Option<Mutation>,
    /// Users stop submitting after this time.
    pub submit_ms: u64,
    /// How many times the smallest site this one is: teams, machines and jobs.
    pub size: u64,
}

impl Plan {
    /// A small site with long tasks, arrays and gangs with and without checkpoints, and services.
    pub fn of_long_tasks(seed: u64, ms: u64, mut faults: Vec<(u64, Fault)>) -> Self {
        faults.insert(0, (0, Fault::LongTasks { times: 30, ms }));
        faults.insert(1, (2_000, Fault::JobBurst { jobs: 24 }));
        Plan {
            seed,
            ms,
            faults,
            mutation: None,
            submit_ms: 40_000,
            size: 1 + seed % 2,
        }
    }
}

impl Fault {
    /// How long it lasts, in ms.
    pub fn lasts(&self) -> u64 {
        match self {
            Fault::CrashController { back, .. } => *back,
            Fault::DisconnectStateService { ms, .. }
            | Fault::RefuseStateRequests { ms, .. }
            | Fault::DisconnectWorkers { ms, .. }
            | Fault::DisconnectMesh { ms, .. }
            | Fault::PartitionZones { ms }
            | Fault::DisconnectMachine { ms, .. }
            | Fault::HangMachine { ms, .. }
            | Fault::CloudOutage { ms }
            | Fault::PauseController { ms, .. }
            | Fault::IsolateController { ms, .. }
            | Fault::ChangeBootBehavior { ms, .. }
            | Fault::FailingJobs { ms }
            | Fault::StatusRequestStorm { ms }
            | Fault::SkewedLoad { ms }
            | Fault::HangMachines { ms, .. }
            | Fault::IsolateZone { ms }
            | Fault::SlowStateService { ms, .. }
            | Fault::DropMessagesToMachines { ms, .. }
            | Fault::DropMessagesToZone { ms }
            | Fault::DuplicateMessages { ms }
            | Fault::DisconnectStateAndMesh { ms, .. }
            | Fault::DelayTransactions { ms, .. }
            | Fault::LongTasks { ms, .. }
            | Fault::FollowUpRequests { ms }
            | Fault::CancelAtCompletion { ms, .. }
            | Fault::UnusualRequests { ms }
            | Fault::OneTaskJobs { ms }
            | Fault::CorruptLogPage { ms, .. } => *ms,
            Fault::RefuseMachineConnections { ms, .. }
            | Fault::DropTransactionReplies { ms, .. }
            | Fault::ReplayHeartbeats { ms, .. }
            | Fault::HoldHeartbeats { ms, .. }
            | Fault::DelayCommands { ms, .. }
            | Fault::OneWayMeshPartition { ms, .. }
            | Fault::DuplicateMeshMessages { ms, .. }
            | Fault::SlowLinks { ms, .. } => *ms,
            Fault::CrashBeforeEffect { .. } => 6_000,
            Fault::CrashMachine { .. }
            | Fault::FailTasksOnMachine { .. }
            | Fault::GuestJobs { .. }
            | Fault::JobBurst { .. }
            | Fault::CrashMachines { .. }
            | Fault::FailTasksOnMachines { .. }
            | Fault::CancelAllJobs { .. }
            | Fault::CancelRunningJobs { .. } => 0,
        }
    }
}
