//! What a run consists of.

use crate::cloud::Boots;

/// A trouble at a time.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Ends a node without a word; it is back after `back` ms.
    Crash { node: usize, back: u64 },
    /// Cuts a node from the state service.
    CutState { node: usize, ms: u64 },
    /// The state service refuses one node, or all.
    Refuse { node: Option<usize>, ms: u64 },
    /// Cuts a node from workers.
    CutWorkers { node: usize, ms: u64 },
    /// Cuts a node from the other nodes.
    CutMesh { node: usize, ms: u64 },
    /// Cuts two zones from each other.
    CutZones { ms: u64 },
    /// A machine loses the network.
    CutMachine { nth: usize, ms: u64 },
    /// A machine hangs.
    Hang { nth: usize, ms: u64 },
    /// A machine ends.
    Kill { nth: usize },
    /// A machine fails every task.
    Sick { nth: usize },
    /// The cloud's interface is down.
    CloudOutage { ms: u64 },
    /// A node stands still while its clock runs on: what it has decided last is sent afterwards,
    /// and all that has come meanwhile is there at once.
    Freeze { node: usize, ms: u64 },
    /// A node loses the network altogether; users' connections to it as well.
    Isolate { node: usize, ms: u64 },
    /// Machines come up early, late or never.
    Boots { how: Boots, ms: u64 },
    /// Many jobs are submitted with a mistake, and cancelled much later.
    Mistakes { ms: u64 },
    /// Users ask many times as often.
    Questions { ms: u64 },
    /// A team without guarantee and limit submits so many arrays of low priority.
    Guests { jobs: u64 },
    /// One team submits ten times as much as each of the others.
    Heavy { ms: u64 },
    /// So many jobs come at once.
    Burst { jobs: usize },
    /// So many machines end at once.
    KillMany { count: usize },
    /// So many hang at once.
    HangMany { count: usize, ms: u64 },
    /// So many fail every task from one moment on.
    SickMany { count: usize },
    /// Zone b, its node and machines, is cut off from everything.
    CutZone { ms: u64 },
    /// The state service answers so many times slower.
    SlowState { times: u64, ms: u64 },
    /// Ends a node as it is about to do the nth thing that others would see: a write, an order, a
    /// rental, a message, an answer. It is back after 6 s.
    CrashAt { node: usize, nth: u64 },
    /// So many machines are heard and not reached: their reports arrive, answers and commands to them are
    /// lost.
    Unreached { count: usize, ms: u64 },
    /// So are all machines of zone b.
    UnreachedZone { ms: u64 },
    /// Copies of reports, commands, writes, rentals and releases come again, after a second to three
    /// leases, reports to any node.
    Copies { ms: u64 },
    /// A node loses the state service and the other nodes, by cuts or refusals, but neither its workers
    /// nor users.
    Blind { node: usize, ms: u64, refused: bool },
    /// So many per cent of the transactions get no answer and are carried out 2 to 12 s later, after newer
    /// ones of the same node.
    LateWrites { percent: u64, ms: u64 },
    /// Jobs submitted meanwhile run so many times as long, every other of them with checkpoints.
    Long { times: u64, ms: u64 },
    /// Users cancel every job that is accepted and not over, all through one node.
    CancelAll { through: usize },
    /// Users ask every node again within milliseconds of each confirmation, and some cancel at once.
    CloseLooks { ms: u64 },
    /// So many per cent of the jobs that end are cancelled around the end of their last task.
    CancelAtEnd { percent: u64, ms: u64 },
    /// So many running jobs with long to go are cancelled within a fifth of a second; up to eight of their
    /// machines hang that long.
    CancelNow { count: usize, hang_ms: u64 },
    /// Users repeat submissions, cancel jobs that are done, and send jobs that fit no machine or lack a field.
    OddRequests { ms: u64 },
    /// Jobs of one task come four a second, a quarter of them cancelled.
    OneTaskJobs { ms: u64 },
    /// Garbage stands on a ledger page of a partition for a time.
    SpoilPage { partition: u32, ms: u64 },
    /// So many machines reach no controller: their connections fail. Direct commands and questions reach
    /// them.
    Mute { count: usize, ms: u64 },
    /// So many per cent of the transactions are carried out at once, and only their answers are lost.
    LostAnswers { percent: u64, ms: u64 },
    /// Of so many per cent of the reports a copy is kept, which reaches every controller just as the next
    /// holder of a partition begins.
    KeptCopies { percent: u64, ms: u64 },
    /// So many per cent of the reports are held back until the next holder of a partition has acted, and
    /// arrive there.
    HeldReports { percent: u64, ms: u64 },
    /// So many per cent of the direct commands get no answer and are carried out once, 2 to 16 s later, if
    /// token and session still match.
    LateCommands { percent: u64, ms: u64 },
    /// What one node tells another is lost; what the other tells it arrives.
    OneWay { from: usize, to: usize, ms: u64 },
    /// Of so many per cent of what nodes tell each other a copy arrives again, a second to three leases
    /// later, whoever lives there by then.
    MeshCopies { percent: u64, ms: u64 },
    /// Links among nodes and to machines are so many times slower.
    SlowLinks { times: u64, ms: u64 },
}

/// A safety step that is deliberately broken, to show that the checker would tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// Rounds are reported as written but are not.
    RoundsNotWritten,
    /// Conditions on the partition are ignored.
    NoFencing,
    /// Controllers believe in leases much shorter than the workers'.
    ShortLease,
    /// Controllers believe that cancelling may take minutes.
    LongCancel,
    /// Workers take answers that bear an old token.
    TokensIgnored,
    /// The ends of jobs are told to whoever watches but are not kept.
    EndsNotWritten,
    /// The ledger is often read as it was some seconds before.
    OldLedger,
    /// Nobody records who held a partition before and may still answer its workers.
    PredecessorsForgotten,
    /// Controllers tell their followers falsehoods: addresses and sessions of other machines, machines
    /// that are gone, failures that never were.
    HintsLie,
    /// Parts of what followers are told are lost, held back or say less than they claim.
    HintsLost,
    /// Late transactions are carried out whatever has changed since.
    LateUnconditional,
    /// Answers to reports bear no halts.
    AnswersWithoutHalts,
    /// Copies of reports pass for new ones.
    CopiesTrusted,
    /// Questions about every seventh job are not answered.
    SomeUnanswered,
    /// Late direct commands are carried out whatever token and session they bear.
    LateCommandsTrusted,
    /// Nothing of every seventh job is ever started.
    SomeNeverStarted,
    /// Workers take direct commands and questions for answers to reports: these keep their leases up.
    DirectKeepsLease,
    /// Late copies of signs of life claim to know all changes.
    MeshCopiesTrusted,
    /// Transactions whose answers would be lost are called committed and are not carried out.
    LostNotCarriedOut,
    /// Reads of changes that are to be fresh tell nothing new.
    FreshReadsOld,
    /// Ends are written whatever has been cancelled since they were decided.
    EndsIgnoreCancellations,
    /// Jobs that fit no machine seem to fit.
    UnfitJobsFit,
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
    pub sabotage: Option<Sabotage>,
    /// Users stop submitting after this time.
    pub submit_ms: u64,
    /// How many times the smallest site this one is: teams, machines and jobs.
    pub size: u64,
}

impl Plan {
    /// A small site with long tasks, arrays and gangs with and without checkpoints, and services.
    pub fn of_long_tasks(seed: u64, ms: u64, mut faults: Vec<(u64, Fault)>) -> Self {
        faults.insert(0, (0, Fault::Long { times: 30, ms }));
        faults.insert(1, (2_000, Fault::Burst { jobs: 24 }));
        Plan {
            seed,
            ms,
            faults,
            sabotage: None,
            submit_ms: 40_000,
            size: 1 + seed % 2,
        }
    }
}

impl Fault {
    /// How long it lasts, in ms.
    pub fn lasts(&self) -> u64 {
        match self {
            Fault::Crash { back, .. } => *back,
            Fault::CutState { ms, .. }
            | Fault::Refuse { ms, .. }
            | Fault::CutWorkers { ms, .. }
            | Fault::CutMesh { ms, .. }
            | Fault::CutZones { ms }
            | Fault::CutMachine { ms, .. }
            | Fault::Hang { ms, .. }
            | Fault::CloudOutage { ms }
            | Fault::Freeze { ms, .. }
            | Fault::Isolate { ms, .. }
            | Fault::Boots { ms, .. }
            | Fault::Mistakes { ms }
            | Fault::Questions { ms }
            | Fault::Heavy { ms }
            | Fault::HangMany { ms, .. }
            | Fault::CutZone { ms }
            | Fault::SlowState { ms, .. }
            | Fault::Unreached { ms, .. }
            | Fault::UnreachedZone { ms }
            | Fault::Copies { ms }
            | Fault::Blind { ms, .. }
            | Fault::LateWrites { ms, .. }
            | Fault::Long { ms, .. }
            | Fault::CloseLooks { ms }
            | Fault::CancelAtEnd { ms, .. }
            | Fault::OddRequests { ms }
            | Fault::OneTaskJobs { ms }
            | Fault::SpoilPage { ms, .. } => *ms,
            Fault::Mute { ms, .. }
            | Fault::LostAnswers { ms, .. }
            | Fault::KeptCopies { ms, .. }
            | Fault::HeldReports { ms, .. }
            | Fault::LateCommands { ms, .. }
            | Fault::OneWay { ms, .. }
            | Fault::MeshCopies { ms, .. }
            | Fault::SlowLinks { ms, .. } => *ms,
            Fault::CrashAt { .. } => 6_000,
            Fault::Kill { .. }
            | Fault::Sick { .. }
            | Fault::Guests { .. }
            | Fault::Burst { .. }
            | Fault::KillMany { .. }
            | Fault::SickMany { .. }
            | Fault::CancelAll { .. }
            | Fault::CancelNow { .. } => 0,
        }
    }
}
