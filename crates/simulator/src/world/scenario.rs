//! A simulated run: its seed, length, size and faults.

use crate::cloud::BootBehavior;

/// Time from a crash before an effect to the restart, in ms.
pub(super) const RESTART_AFTER_CRASH_POINT_MS: u64 = 6_000;

/// A fault to inject. Times and durations are in ms, machines are chosen by their position among those that
/// are up.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Crashes a controller; it restarts after `restart_after_ms` ms.
    CrashController {
        controller: usize,
        restart_after_ms: u64,
    },
    /// Disconnects a controller from the state service.
    DisconnectStateService { controller: usize, duration_ms: u64 },
    /// The state service refuses the requests of one controller, or of all.
    RefuseStateRequests {
        controller: Option<usize>,
        duration_ms: u64,
    },
    /// Disconnects a controller from all workers.
    DisconnectWorkers { controller: usize, duration_ms: u64 },
    /// Disconnects a controller from the other controllers.
    DisconnectMesh { controller: usize, duration_ms: u64 },
    /// A network partition between two zones.
    PartitionZones { duration_ms: u64 },
    /// Disconnects one machine from the network.
    DisconnectMachine {
        machine_index: usize,
        duration_ms: u64,
    },
    /// A machine hangs.
    HangMachine {
        machine_index: usize,
        duration_ms: u64,
    },
    /// A machine crashes for good.
    CrashMachine { machine_index: usize },
    /// A machine fails every task.
    FailTasksOnMachine { machine_index: usize },
    /// The cloud's API refuses all requests.
    CloudOutage { duration_ms: u64 },
    /// Pauses a controller while its clock runs on: effects decided last are sent after the pause, and all
    /// events that arrived meanwhile are delivered at once.
    PauseController { controller: usize, duration_ms: u64 },
    /// Disconnects a controller from everything, users included.
    IsolateController { controller: usize, duration_ms: u64 },
    /// Machines rented meanwhile boot early, late, fast or never.
    ChangeBootBehavior {
        behavior: BootBehavior,
        duration_ms: u64,
    },
    /// Many jobs fail on every machine, and are cancelled much later.
    FailingJobs { duration_ms: u64 },
    /// Users poll the status of their jobs many times as often.
    StatusRequestStorm { duration_ms: u64 },
    /// A team without quota submits this many arrays of low priority.
    GuestJobs { jobs: u64 },
    /// One team submits ten times as much as each of the others.
    SkewedLoad { duration_ms: u64 },
    /// This many jobs are submitted at once.
    JobBurst { jobs: usize },
    /// This many machines crash at once.
    CrashMachines { count: usize },
    /// This many machines hang at once.
    HangMachines { count: usize, duration_ms: u64 },
    /// This many machines fail every task from now on.
    FailTasksOnMachines { count: usize },
    /// Disconnects zone b, its controller and its machines, from everything.
    IsolateZone { duration_ms: u64 },
    /// The state service is slower by this factor.
    SlowStateService { factor: u64, duration_ms: u64 },
    /// Crashes a controller before its nth effect that is visible to others: a write, a command, a cloud
    /// request, a mesh message, a reply. It restarts after 6 s.
    CrashBeforeEffect { controller: usize, nth: u64 },
    /// Messages to this many machines are lost; their own heartbeats arrive.
    DropMessagesToMachines { count: usize, duration_ms: u64 },
    /// Messages to all machines of zone b are lost.
    DropMessagesToZone { duration_ms: u64 },
    /// Heartbeats, commands, writes and cloud requests are duplicated; the duplicates arrive after one second
    /// to three leases, those of heartbeats at any controller.
    DuplicateMessages { duration_ms: u64 },
    /// A controller loses the state service and the other controllers, by disconnection or refusal, but
    /// neither workers nor users.
    DisconnectStateAndMesh {
        controller: usize,
        duration_ms: u64,
        refused: bool,
    },
    /// This percentage of the transactions gets no reply and is applied 2 to 12 s later, after newer ones of
    /// the same controller.
    DelayTransactions { percent: u64, duration_ms: u64 },
    /// Jobs submitted meanwhile run longer by this factor, every other one with checkpoints.
    LongTasks { factor: u64, duration_ms: u64 },
    /// Users cancel every accepted job that is not in a terminal state, all through one controller.
    CancelAllJobs { controller: usize },
    /// Users send follow-up requests to every controller within milliseconds of each confirmation, and some
    /// cancel at once.
    FollowUpRequests { duration_ms: u64 },
    /// This percentage of the jobs is cancelled around the completion of its last task.
    CancelAtCompletion { percent: u64, duration_ms: u64 },
    /// This many running jobs with much remaining run time are cancelled within 200 ms; up to eight of their
    /// machines hang for `hang_ms`.
    CancelRunningJobs { count: usize, hang_ms: u64 },
    /// Users repeat submissions, cancel completed jobs, and submit jobs that fit no machine or lack a field.
    UnusualRequests { duration_ms: u64 },
    /// Four jobs of one task are submitted per second; a quarter is cancelled.
    OneTaskJobs { duration_ms: u64 },
    /// A page of a partition's placement log is unreadable for a time.
    CorruptLogPage { partition: u32, duration_ms: u64 },
    /// The connections of this many machines to controllers fail. Direct commands and probes reach them.
    RefuseMachineConnections { count: usize, duration_ms: u64 },
    /// This percentage of the transactions is applied at once, and only the reply is lost.
    DropTransactionReplies { percent: u64, duration_ms: u64 },
    /// This percentage of the heartbeats is recorded and replayed to every controller just after the next
    /// leader of a partition has acquired it.
    ReplayHeartbeats { percent: u64, duration_ms: u64 },
    /// This percentage of the heartbeats is held back and delivered to the next leader of a partition after
    /// its first actions.
    HoldHeartbeats { percent: u64, duration_ms: u64 },
    /// This percentage of the direct commands gets no reply and is executed 2 to 16 s later, if fencing token
    /// and worker epoch still match.
    DelayCommands { percent: u64, duration_ms: u64 },
    /// Mesh messages of one controller to another are lost; those in the other direction arrive.
    OneWayMeshPartition {
        from: usize,
        to: usize,
        duration_ms: u64,
    },
    /// This percentage of the mesh messages is duplicated; the duplicate arrives one second to three leases
    /// later, at whatever incarnation runs there by then.
    DuplicateMeshMessages { percent: u64, duration_ms: u64 },
    /// Links among controllers and to machines are slower by this factor.
    SlowLinks { factor: u64, duration_ms: u64 },
}

/// A defect that is injected into the system under test, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Commits of the placement log are reported as written but are not.
    LogCommitsNotWritten,
    /// Transaction conditions on partition records and the placement log are ignored.
    NoFencing,
    /// Controllers assume leases much shorter than the workers'.
    ShortLease,
    /// Controllers assume a cancellation deadline of minutes.
    LongCancellationDeadline,
    /// Workers accept replies with an old fencing token.
    TokensIgnored,
    /// Terminal states of jobs are sent to watches but are not kept.
    TerminalStatesNotWritten,
    /// The placement log is often read as it was some seconds before.
    StalePlacementLog,
    /// Unconfirmed predecessors are not recorded.
    PredecessorsNotRecorded,
    /// Replication streams carry false records: addresses and epochs of other machines, machines that are
    /// gone, failures that never happened.
    FalseReplicationRecords,
    /// Parts of the replication streams are lost, misnumbered or truncated.
    LostReplicationRecords,
    /// Delayed transactions are applied without their conditions.
    DelayedWritesUnconditional,
    /// Heartbeat replies carry no stop commands.
    RepliesWithoutStopCommands,
    /// Duplicated heartbeats look like new ones.
    DuplicatedHeartbeatsLookNew,
    /// Status requests about every seventh job are not answered.
    SomeStatusRequestsUnanswered,
    /// Delayed direct commands are executed whatever their fencing token and worker epoch.
    DelayedCommandsUnfenced,
    /// No task of every seventh job is ever started.
    SomeJobsNeverStarted,
    /// Direct commands and probes renew the workers' leases.
    DirectCommandsRenewLease,
    /// Duplicated mesh heartbeats claim to know all changes.
    MeshDuplicatesClaimAllChanges,
    /// Transactions whose replies would be lost are reported as committed and not applied.
    LostRepliesNotApplied,
    /// Linearizable reads of changes return nothing new.
    StaleLinearizableReads,
    /// Terminal states are written without conditions on cancellations.
    TerminalStatesIgnoreCancellations,
    /// Jobs that fit no machine seem schedulable.
    UnschedulableJobsFit,
    /// Missing fields of submissions are filled in.
    MissingFieldsFilled,
    /// Machines that have hung ignore stop commands.
    HungMachinesIgnoreStops,
}

/// A simulated run: its seed, length, size and faults.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub duration_ms: u64,
    pub faults: Vec<(u64, Fault)>,
    pub mutation: Option<Mutation>,
    /// Users stop submitting after this time.
    pub submit_until_ms: u64,
    /// Factor of size over the smallest site, for teams, machines and jobs.
    pub size: u64,
}

impl Plan {
    /// A small site with long tasks, arrays and gangs with and without checkpoints, and services.
    pub fn with_long_tasks(seed: u64, duration_ms: u64, mut faults: Vec<(u64, Fault)>) -> Self {
        faults.insert(
            0,
            (
                0,
                Fault::LongTasks {
                    factor: 30,
                    duration_ms,
                },
            ),
        );
        faults.insert(1, (2_000, Fault::JobBurst { jobs: 24 }));
        Plan {
            seed,
            duration_ms,
            faults,
            mutation: None,
            submit_until_ms: 40_000,
            size: 1 + seed % 2,
        }
    }
}

impl Fault {
    /// How long the fault lasts, in ms.
    pub fn duration_ms(&self) -> u64 {
        match self {
            Fault::CrashController {
                restart_after_ms, ..
            } => *restart_after_ms,
            Fault::DisconnectStateService { duration_ms, .. }
            | Fault::RefuseStateRequests { duration_ms, .. }
            | Fault::DisconnectWorkers { duration_ms, .. }
            | Fault::DisconnectMesh { duration_ms, .. }
            | Fault::PartitionZones { duration_ms }
            | Fault::DisconnectMachine { duration_ms, .. }
            | Fault::HangMachine { duration_ms, .. }
            | Fault::CloudOutage { duration_ms }
            | Fault::PauseController { duration_ms, .. }
            | Fault::IsolateController { duration_ms, .. }
            | Fault::ChangeBootBehavior { duration_ms, .. }
            | Fault::FailingJobs { duration_ms }
            | Fault::StatusRequestStorm { duration_ms }
            | Fault::SkewedLoad { duration_ms }
            | Fault::HangMachines { duration_ms, .. }
            | Fault::IsolateZone { duration_ms }
            | Fault::SlowStateService { duration_ms, .. }
            | Fault::DropMessagesToMachines { duration_ms, .. }
            | Fault::DropMessagesToZone { duration_ms }
            | Fault::DuplicateMessages { duration_ms }
            | Fault::DisconnectStateAndMesh { duration_ms, .. }
            | Fault::DelayTransactions { duration_ms, .. }
            | Fault::LongTasks { duration_ms, .. }
            | Fault::FollowUpRequests { duration_ms }
            | Fault::CancelAtCompletion { duration_ms, .. }
            | Fault::UnusualRequests { duration_ms }
            | Fault::OneTaskJobs { duration_ms }
            | Fault::CorruptLogPage { duration_ms, .. } => *duration_ms,
            Fault::RefuseMachineConnections { duration_ms, .. }
            | Fault::DropTransactionReplies { duration_ms, .. }
            | Fault::ReplayHeartbeats { duration_ms, .. }
            | Fault::HoldHeartbeats { duration_ms, .. }
            | Fault::DelayCommands { duration_ms, .. }
            | Fault::OneWayMeshPartition { duration_ms, .. }
            | Fault::DuplicateMeshMessages { duration_ms, .. }
            | Fault::SlowLinks { duration_ms, .. } => *duration_ms,
            Fault::CrashBeforeEffect { .. } => RESTART_AFTER_CRASH_POINT_MS,
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
