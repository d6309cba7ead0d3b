//! Counts of old heartbeats that a new leader received first of their machines, by circumstances.

use std::collections::BTreeMap;

/// Whom an old heartbeat reaches as the first status received of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeartbeatRecipient {
    /// The next leader of the machine's partition.
    NewLeader,
    /// A leader of a partition that the machine has been transferred to since it sent the heartbeat.
    NewOwner,
}

/// What had become of an attempt, listed by an old heartbeat as not exited, when that heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptHistory {
    LaunchedOnce,
    /// Launched more than once on the same machine.
    LaunchedAgain,
    /// The task is on another machine.
    Moved,
    Stopped,
    /// The task is done.
    Done,
}

/// A combination of circumstances under which an old heartbeat was the first status received of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OldHeartbeatCase {
    pub recipient: HeartbeatRecipient,
    /// Whether all controllers were down for longer than a lease after the heartbeat was sent.
    pub after_outage: bool,
    pub history: AttemptHistory,
}

impl OldHeartbeatCase {
    /// All combinations.
    pub fn all() -> impl Iterator<Item = OldHeartbeatCase> {
        use AttemptHistory::{Done, LaunchedAgain, LaunchedOnce, Moved, Stopped};
        use HeartbeatRecipient::{NewLeader, NewOwner};
        let circumstances = [
            (NewLeader, false),
            (NewLeader, true),
            (NewOwner, false),
            (NewOwner, true),
        ];
        circumstances
            .into_iter()
            .flat_map(|(recipient, after_outage)| {
                [LaunchedOnce, LaunchedAgain, Moved, Stopped, Done].map(|history| {
                    OldHeartbeatCase {
                        recipient,
                        after_outage,
                        history,
                    }
                })
            })
    }
}

/// Counts of old heartbeats that were the first status received of their machine.
#[derive(Debug, Clone, Default)]
pub struct OldHeartbeatCounts {
    /// Attempts that such heartbeats listed, by circumstances.
    pub cases: BTreeMap<OldHeartbeatCase, u64>,
    pub first_statuses: u64,
    /// First statuses from earlier worker epochs, from earlier leaders, and older than a lease.
    pub earlier_epoch: u64,
    pub earlier_token: u64,
    pub older_than_lease: u64,
    /// First statuses of machines that were disconnected.
    pub of_disconnected: u64,
    /// Tasks on a machine that its first status omitted, and those that it showed as exited.
    pub omitted_tasks: u64,
    pub exited_tasks: u64,
    /// First statuses that a further old heartbeat followed before any other.
    pub followed_by_another: u64,
}

impl OldHeartbeatCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &OldHeartbeatCounts) {
        for (case, count) in &other.cases {
            *self.cases.entry(*case).or_default() += count;
        }
        self.first_statuses += other.first_statuses;
        self.earlier_epoch += other.earlier_epoch;
        self.earlier_token += other.earlier_token;
        self.older_than_lease += other.older_than_lease;
        self.of_disconnected += other.of_disconnected;
        self.omitted_tasks += other.omitted_tasks;
        self.exited_tasks += other.exited_tasks;
        self.followed_by_another += other.followed_by_another;
    }
}
