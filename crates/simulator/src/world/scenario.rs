//! A simulated run: its seed, length, size and faults.

use crate::cloud::BootBehavior;
use crate::worker::MachineMemory;

/// Time from the crash of [`Fault::CrashBeforeEffect`] to the controller's restart.
pub(super) const RESTART_AFTER_CRASH_POINT_MS: u64 = 6_000;

/// A fault to inject. `controller` is the index of a controller. `machine_index` is taken modulo the number of
/// machines that are up, in the order of their names; `count` machines are chosen at random from these.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Crashes a controller and restarts it after `restart_after_ms`.
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
    /// A network partition between the two zones.
    PartitionZones { duration_ms: u64 },
    /// Disconnects one machine from the network.
    DisconnectMachine {
        machine_index: usize,
        duration_ms: u64,
    },
    /// A machine hangs: its tasks make no progress, and messages from and to it are held back.
    HangMachine {
        machine_index: usize,
        duration_ms: u64,
    },
    /// This many machines restart within a fraction of a second.
    RestartMachines { count: usize, memory: MachineMemory },
    /// Every direct call with launches is copied eight times; the copies arrive 50 ms to 70 s later.
    CopyLaunches { duration_ms: u64 },
    /// A machine crashes for good.
    CrashMachine { machine_index: usize },
    /// A machine fails every task from now on.
    FailTasksOnMachine { machine_index: usize },
    /// The cloud's API refuses all requests.
    CloudOutage { duration_ms: u64 },
    /// Pauses a controller while its clock runs on. It still handles the next event, but the effects of that
    /// event are applied only after the pause, and all later events are delivered at once then.
    PauseController { controller: usize, duration_ms: u64 },
    /// Disconnects a controller from the state service, all workers, the other controllers and users.
    IsolateController { controller: usize, duration_ms: u64 },
    /// Machines rented during the fault boot as `behavior` says: early, late, fast or never.
    ChangeBootBehavior {
        behavior: BootBehavior,
        duration_ms: u64,
    },
    /// 40 % of the jobs submitted during the fault fail on every machine; they are cancelled 10 to 50 s after
    /// their submission.
    FailingJobs { duration_ms: u64 },
    /// Users poll the status of each job every 0.3 s instead of every 5 s.
    StatusRequestStorm { duration_ms: u64 },
    /// The guest team, which has neither a guarantee nor a limit, submits this many arrays of low priority.
    GuestJobs { jobs: u64 },
    /// One team submits an array of this many tasks, so small that up to 1,333 of them fit on one machine.
    SmallTasks { tasks: u64 },
    /// On average, one team submits ten times as many jobs as each of the others.
    SkewedLoad { duration_ms: u64 },
    /// Users submit this many jobs at once.
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
    /// Crashes a controller just before its nth effect that others can observe: a write, a command, a cloud
    /// request, a mesh message or a reply. It restarts after 6 s.
    CrashBeforeEffect { controller: usize, nth: u64 },
    /// Messages from controllers to this many machines are lost; the heartbeats of these machines arrive.
    DropMessagesToMachines { count: usize, duration_ms: u64 },
    /// Messages from controllers to all machines of zone b are lost; their heartbeats arrive.
    DropMessagesToZone { duration_ms: u64 },
    /// Heartbeats, direct commands, transactions and cloud requests are duplicated. The duplicates arrive after
    /// one second to three lease durations, those of heartbeats at a random controller.
    DuplicateMessages { duration_ms: u64 },
    /// Disconnects a controller from the other controllers and from the state service, but neither from workers
    /// nor from users. With `refused`, the state service refuses its requests instead.
    DisconnectStateAndMesh {
        controller: usize,
        duration_ms: u64,
        refused: bool,
    },
    /// This percentage of the transactions gets no reply and is applied 2 to 12 s later, possibly after newer
    /// ones of the same controller.
    DelayTransactions { percent: u64, duration_ms: u64 },
    /// Tasks of the jobs submitted during the fault run longer by this factor. Every other job, unless it is a
    /// service, saves checkpoints.
    LongTasks { factor: u64, duration_ms: u64 },
    /// Users cancel every accepted job that is not in a terminal state, all at one controller.
    CancelAllJobs { controller: usize },
    /// Users send follow-up requests to every controller within milliseconds of each confirmation, and some
    /// cancel at once.
    FollowUpRequests { duration_ms: u64 },
    /// This percentage of the jobs is cancelled at or shortly after the completion of its last task.
    CancelAtCompletion { percent: u64, duration_ms: u64 },
    /// Cancels, within 200 ms, this many running jobs that have a task with at least 10 s of run time left; up
    /// to eight of their machines hang for `hang_ms`.
    CancelRunningJobs { count: usize, hang_ms: u64 },
    /// Users repeat submissions, cancel completed jobs, and submit jobs that can never run or lack a field.
    UnusualRequests { duration_ms: u64 },
    /// Users submit four jobs of one task each per second and cancel a quarter of them.
    OneTaskJobs { duration_ms: u64 },
    /// The first page of a partition's placement log is unreadable.
    CorruptLogPage { partition: u32, duration_ms: u64 },
    /// The connections from this many machines to controllers fail; direct commands and probes reach them.
    RefuseMachineConnections { count: usize, duration_ms: u64 },
    /// This percentage of the transactions is applied without delay, but the reply is lost.
    DropTransactionReplies { percent: u64, duration_ms: u64 },
    /// This percentage of the heartbeats is copied. The copies are replayed to every controller just after the
    /// next change of a partition's leadership.
    ReplayHeartbeats { percent: u64, duration_ms: u64 },
    /// This percentage of the heartbeats is kept for four lease durations. At each change of a partition's leader, and
    /// of a machine's partition, copies of one to four of them are delivered to the new leader of each machine
    /// concerned, in any order and as soon as it acts. Every other such machine is disconnected for up to `cut_ms`.
    DeliverOldHeartbeatsFirst {
        percent: u64,
        cut_ms: u64,
        duration_ms: u64,
    },
    /// This percentage of the heartbeats is held back until the next change of a partition's leadership, and
    /// delivered to the new leader 1 to 6 s later, when it has already acted.
    HoldHeartbeats { percent: u64, duration_ms: u64 },
    /// This percentage of the direct commands gets no reply and reaches the worker 2 to 16 s later, which
    /// executes them unless it has seen a higher fencing token or is in another worker epoch.
    DelayCommands { percent: u64, duration_ms: u64 },
    /// Mesh messages from one controller to another are lost; those in the other direction arrive.
    OneWayMeshPartition {
        from: usize,
        to: usize,
        duration_ms: u64,
    },
    /// This percentage of the mesh messages is duplicated. The duplicate arrives one second to three lease
    /// durations later, at whatever incarnation of the receiver runs by then.
    DuplicateMeshMessages { percent: u64, duration_ms: u64 },
    /// Links among controllers and between controllers and machines are slower by this factor.
    SlowLinks { factor: u64, duration_ms: u64 },
}

/// A defect that is injected into the simulated system to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Commits of the placement log are acknowledged but not written.
    LogCommitsNotWritten,
    /// Transaction conditions on partition records and the placement log are ignored.
    NoFencing,
    /// Controllers assume that workers' leases expire much earlier than they do.
    ShortLease,
    /// Controllers assume a cancellation deadline of minutes.
    LongCancellationDeadline,
    /// Workers accept heartbeat responses with an outdated fencing token.
    TokensIgnored,
    /// Terminal states of jobs are reported to watches, but their stored values are emptied.
    TerminalStatesNotWritten,
    /// Most reads of the placement log return its state of some seconds before.
    StalePlacementLog,
    /// Partition records and the token counter's record do not list unconfirmed predecessors, and the latter no
    /// last leaders.
    PredecessorsNotRecorded,
    /// Replication streams carry false records: wrong addresses and worker epochs, machines that are gone,
    /// failures that never happened.
    FalseReplicationRecords,
    /// Messages of the replication streams are lost, truncated, or carry wrong terms and positions.
    LostReplicationRecords,
    /// Delayed transactions are applied without their conditions.
    DelayedWritesUnconditional,
    /// Heartbeat responses carry no stop commands.
    RepliesWithoutStopCommands,
    /// Duplicated heartbeats get high sequence numbers, so that they look like new ones.
    DuplicatedHeartbeatsLookNew,
    /// Answers to requests about every seventh job are not counted as answers.
    SomeStatusRequestsUnanswered,
    /// Workers execute delayed direct commands whatever their fencing token and worker epoch.
    DelayedCommandsUnfenced,
    /// Of every seventh job no task is ever started.
    SomeJobsNeverStarted,
    /// Direct commands and probes renew the workers' leases.
    DirectCommandsRenewLease,
    /// Duplicated heartbeats between controllers carry the highest possible revision, as if their sender knew
    /// all changes.
    MeshDuplicatesClaimAllChanges,
    /// Transactions that are to lose their replies are reported as committed but not applied.
    LostRepliesNotApplied,
    /// Linearizable reads of changes return nothing new.
    StaleLinearizableReads,
    /// Terminal states are written without the conditions on cancellation records.
    TerminalStatesIgnoreCancellations,
    /// The cloud advertises machine types so large that jobs that fit no machine seem schedulable.
    UnschedulableJobsFit,
    /// Submissions that should lack a field are complete.
    MissingFieldsFilled,
    /// Machines that hang or have hung ignore stop commands.
    HungMachinesIgnoreStops,
}

/// A simulated run: its seed, length, size and faults.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub duration_ms: u64,
    /// Faults with their start times in ms.
    pub faults: Vec<(u64, Fault)>,
    pub mutation: Option<Mutation>,
    /// Users submit random jobs until this time; jobs that faults submit come on top.
    pub submit_until_ms: u64,
    /// Size relative to the smallest site, which has size 1: a factor for limits of teams, machines and jobs.
    pub size: u64,
}

impl Plan {
    /// A small site whose tasks run 30 times as long, with services, and with arrays and gangs of which half save
    /// checkpoints.
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
            | Fault::DeliverOldHeartbeatsFirst { duration_ms, .. }
            | Fault::HoldHeartbeats { duration_ms, .. }
            | Fault::DelayCommands { duration_ms, .. }
            | Fault::OneWayMeshPartition { duration_ms, .. }
            | Fault::DuplicateMeshMessages { duration_ms, .. }
            | Fault::CopyLaunches { duration_ms }
            | Fault::SlowLinks { duration_ms, .. } => *duration_ms,
            Fault::CrashBeforeEffect { .. } => RESTART_AFTER_CRASH_POINT_MS,
            Fault::CrashMachine { .. }
            | Fault::FailTasksOnMachine { .. }
            | Fault::GuestJobs { .. }
            | Fault::SmallTasks { .. }
            | Fault::RestartMachines { .. }
            | Fault::JobBurst { .. }
            | Fault::CrashMachines { .. }
            | Fault::FailTasksOnMachines { .. }
            | Fault::CancelAllJobs { .. }
            | Fault::CancelRunningJobs { .. } => 0,
        }
    }
}
