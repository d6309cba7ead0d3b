//! Leadership of a partition: its state from the acquisition to the loss of the partition's record.
//!
//! [`PartitionLeadership`] holds what a leader knows under one term. The submodules drive it, one
//! concern each: scheduling cycles, loading of the partition, commits of the placement log, machines
//! that have stopped responding, fencing tokens, transfers of machines, changes of records, and the
//! statuses that are sent to the fleet planner.

mod advance;
mod commits;
mod loading;
mod machine_failures;
mod machine_transfers;
mod partition_status;
mod record_changes;
mod token_raises;

pub(super) use loading::{CompletedLogRead, LogPageOutcome};
pub(super) use partition_status::DemandWrite;

use super::job_archiver::JobArchiver;
use crate::job_status_cache::TaskCounts;
use crate::placement_log::{LogCommit, PlacementLog};
use crate::records::ControllerIncarnation;
use loading::Loading;
use model::{ControllerName, FencingToken, JobId, MachineName, Timestamp, Version};
use scheduler::{
    CommandRoute, CommittedChanges, LeaseRenewalBlocker, PartitionState, StatusSource,
};
use std::time::Duration;
use token_raises::TokenRaise;
use wire::workers::{Command, Heartbeat};

/// Minimum time between a commit and a following commit that carries placements.
const PLACEMENT_COMMIT_INTERVAL: Duration = Duration::from_millis(60);
/// Delay of the next wakeup while scheduling cycles remain to be run.
const NEXT_CYCLE_DELAY: Duration = Duration::from_millis(2);

/// A partition that this controller leads under one term.
///
/// Invariants: `token()` never decreases; workers are answered only while no transfer is pending and
/// no successor is known; at most one commit of the placement log is pending at a time.
#[derive(Debug)]
pub(crate) struct PartitionLeadership {
    term: FencingToken,
    token_raise: TokenRaise,
    version: Version,
    leading_since: Timestamp,
    load_state: LoadState,
    unconfirmed_predecessors: Vec<ControllerIncarnation>,
    predecessors_valid_until: Timestamp,
    transfer: TransferState,
    successor: Option<ControllerName>,
    committed_at: Timestamp,
    scanned_at: Timestamp,
}

/// Whether the partition's state has been built.
#[derive(Debug)]
enum LoadState {
    Loading(Box<Loading>),
    Loaded(Box<LoadedPartition>),
}

/// Whether a transaction that ends this leadership is pending. A known successor is recorded separately,
/// since it may announce itself with or without such a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransferState {
    /// No such transaction is pending.
    Leading,
    /// The transaction was sent and its reply is awaited.
    Transferring,
    /// The outcome is unknown: the transaction may still be applied until this time.
    OutcomeUnknown { until: Timestamp },
}

/// The state of a partition whose placement log has been read and all readiness checks passed.
#[derive(Debug)]
struct LoadedPartition {
    log: PlacementLog,
    partition_state: PartitionState,
    pending_commit: Option<PendingCommit>,
    archiver: JobArchiver,
    more_cycles: bool,
}

/// A commit of the placement log whose outcome is not known yet.
#[derive(Debug)]
struct PendingCommit {
    commit: LogCommit,
    changes: CommittedChanges,
}

/// How a worker's heartbeat is to be answered.
#[derive(Debug)]
pub(super) enum HeartbeatOutcome {
    Answered(Vec<Command>),
    /// A newer status of the machine is known, so this one is no evidence of its state. It is answered
    /// with these commands.
    Stale(Vec<Command>),
    /// The heartbeat must not be answered.
    Withheld(LeaseRenewalBlocker),
}

impl PartitionLeadership {
    /// A new leadership: the partition's record with this term has just been read, at this version.
    /// Unconfirmed predecessors may answer workers until `predecessors_valid_until`.
    pub(super) fn new(
        term: FencingToken,
        version: Version,
        predecessors_valid_until: Timestamp,
        unconfirmed_predecessors: Vec<ControllerIncarnation>,
        now: Timestamp,
    ) -> Self {
        PartitionLeadership {
            term,
            token_raise: TokenRaise::default(),
            version,
            leading_since: now,
            load_state: LoadState::Loading(Box::default()),
            unconfirmed_predecessors,
            predecessors_valid_until,
            transfer: TransferState::Leading,
            successor: None,
            committed_at: now,
            scanned_at: Timestamp::default(),
        }
    }

    /// The term of the partition's record.
    pub(super) fn term(&self) -> FencingToken {
        self.term
    }

    /// Lower bound of the tokens in replies to the partition's machines.
    pub(super) fn token(&self) -> FencingToken {
        self.term.max(self.token_raise.token())
    }

    /// The version of the partition's record, on which every write of the leader is conditional.
    pub(super) fn version(&self) -> Version {
        self.version
    }

    /// Records the new version after the partition's record was written again under the same term.
    pub(super) fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// When this controller learned that it leads.
    pub(super) fn leading_since(&self) -> Timestamp {
        self.leading_since
    }

    /// Former leaders that may not know yet that they lost the partition.
    pub(super) fn unconfirmed_predecessors(&self) -> &[ControllerIncarnation] {
        &self.unconfirmed_predecessors
    }

    /// Until when unconfirmed predecessors may answer workers.
    pub(super) fn predecessors_valid_until(&self) -> Timestamp {
        self.predecessors_valid_until
    }

    /// The controller that has announced a higher term.
    pub(super) fn successor(&self) -> Option<&ControllerName> {
        self.successor.as_ref()
    }

    /// Records a controller that has announced a higher term.
    pub(super) fn set_successor(&mut self, successor: ControllerName) {
        self.successor = Some(successor);
    }

    /// Whether a transaction that ends this leadership is pending or may still be applied.
    pub(super) fn is_transferring(&self) -> bool {
        self.transfer != TransferState::Leading
    }

    /// Records that a transaction that ends this leadership is being sent. No worker is answered from
    /// now on.
    pub(super) fn begin_transfer(&mut self) {
        self.transfer = TransferState::Transferring;
    }

    /// Records that the transaction has failed: the leadership continues.
    pub(super) fn abort_transfer(&mut self) {
        self.transfer = TransferState::Leading;
    }

    /// Records that the transaction's outcome is unknown: it may be applied until the given time.
    pub(super) fn await_transfer_outcome(&mut self, until: Timestamp) {
        self.transfer = TransferState::OutcomeUnknown { until };
    }

    /// Resumes the leadership once a transfer with an unknown outcome can no longer be applied.
    fn expire_transfer(&mut self, now: Timestamp) {
        match self.transfer {
            TransferState::OutcomeUnknown { until } if now >= until => self.abort_transfer(),
            _ => {}
        }
    }

    /// Whether the partition may be transferred: no commit is pending whose outcome a successor would
    /// have to find out.
    pub(super) fn may_transfer(&self) -> bool {
        !self.is_transferring()
            && self.successor.is_none()
            && self
                .loaded()
                .is_some_and(|loaded| loaded.pending_commit.is_none())
    }

    fn loaded(&self) -> Option<&LoadedPartition> {
        match &self.load_state {
            LoadState::Loaded(loaded) => Some(loaded),
            LoadState::Loading(_) => None,
        }
    }

    fn loaded_mut(&mut self) -> Option<&mut LoadedPartition> {
        match &mut self.load_state {
            LoadState::Loaded(loaded) => Some(loaded),
            LoadState::Loading(_) => None,
        }
    }

    /// The partition's state, once it is loaded.
    pub(super) fn partition_state(&self) -> Option<&PartitionState> {
        self.loaded().map(|loaded| &loaded.partition_state)
    }

    /// The partition's state, once it is loaded.
    pub(super) fn partition_state_mut(&mut self) -> Option<&mut PartitionState> {
        self.loaded_mut().map(|loaded| &mut loaded.partition_state)
    }

    /// The partition's state with the archiver of its jobs, once it is loaded.
    pub(super) fn partition_state_and_archiver(
        &mut self,
    ) -> Option<(&mut PartitionState, &mut JobArchiver)> {
        self.loaded_mut()
            .map(|loaded| (&mut loaded.partition_state, &mut loaded.archiver))
    }

    /// Removes a job whose terminal state is durable.
    pub(super) fn forget_job(&mut self, id: JobId, now: Timestamp) {
        if let Some(loaded) = self.loaded_mut() {
            loaded.partition_state.remove_job(id, now);
            loaded.log.forget_job(id);
        }
    }

    /// Records that a peer has read all changes up to this revision. A former leader that has read this
    /// leader's record knows that it no longer leads and no longer answers the partition's workers, so
    /// it is removed from the unconfirmed predecessors.
    pub(super) fn record_peer_revision(
        &mut self,
        peer: &ControllerName,
        incarnation: u64,
        revision: u64,
        now: Timestamp,
    ) {
        if revision < self.version.0 || self.unconfirmed_predecessors.is_empty() {
            return;
        }
        let informed = ControllerIncarnation::from((peer.clone(), incarnation));
        self.unconfirmed_predecessors
            .retain(|predecessor| *predecessor != informed);
        self.end_predecessor_wait_if_none_left(now);
    }

    /// Removes predecessors whose incarnations have exited.
    fn remove_exited_predecessors(&mut self, exited: &[ControllerIncarnation], now: Timestamp) {
        if exited.is_empty() {
            return;
        }
        self.unconfirmed_predecessors
            .retain(|predecessor| !exited.contains(predecessor));
        self.end_predecessor_wait_if_none_left(now);
    }

    /// If no unconfirmed predecessor is left, none can answer workers from now on.
    fn end_predecessor_wait_if_none_left(&mut self, now: Timestamp) {
        if self.unconfirmed_predecessors.is_empty() && self.predecessors_valid_until > now {
            self.predecessors_valid_until = now;
            if let Some(loaded) = self.loaded_mut() {
                loaded.partition_state.predecessors_valid_until = now;
            }
        }
    }

    /// Numbers of done and running tasks of a job of this partition.
    pub(super) fn task_counts(&self, id: JobId) -> Option<TaskCounts> {
        let job = self.partition_state()?.jobs.get(&id)?;
        Some(TaskCounts {
            done: u64::from(job.done_count()),
            running: u64::from(job.running_count()),
        })
    }

    /// Reconciles a heartbeat with the partition's state and returns the commands for the response;
    /// none of them starts a task unless `may_launch` is set.
    ///
    /// `kill_commands` returns the commands for tasks that are cancelled according to the records. It is
    /// called only where the partition's state gives no commands: while it is not loaded, and for an
    /// unknown machine or a stale heartbeat.
    pub(super) fn handle_heartbeat(
        &mut self,
        name: &MachineName,
        heartbeat: &Heartbeat,
        token: FencingToken,
        may_launch: bool,
        kill_commands: impl FnOnce() -> Vec<Command>,
        now: Timestamp,
    ) -> HeartbeatOutcome {
        let loaded = match &mut self.load_state {
            LoadState::Loaded(loaded) => loaded,
            LoadState::Loading(loading) => {
                // The response renews the worker's lease. Which of its tasks it is to keep is not
                // known yet, except that tasks cancelled by a user are killed. The token of this
                // term voids commands that a predecessor has sent.
                loading.record_heartbeat(name, heartbeat, now);
                return HeartbeatOutcome::Answered(kill_commands());
            }
        };
        let partition_state = &mut loaded.partition_state;
        let Some(machine) = partition_state.machines.get_mut(name) else {
            return HeartbeatOutcome::Answered(kill_commands());
        };
        machine.token = machine.token.max(token);
        let is_newer = partition_state.reconcile(heartbeat, StatusSource::Heartbeat, now);
        if let Some(blocker) = partition_state.lease_renewal_blocker(name, now) {
            return HeartbeatOutcome::Withheld(blocker);
        }
        if let Some(machine) = partition_state.machines.get_mut(name) {
            machine.renew_lease(is_newer, now);
        }
        if !is_newer {
            let kills = partition_state.kills_that_fit(name, kill_commands(), now);
            return HeartbeatOutcome::Stale(kills);
        }
        let mut commands = partition_state.commands_for(name, CommandRoute::HeartbeatResponse, now);
        if !may_launch {
            commands.retain(|command| !matches!(command, Command::Launch { .. }));
        }
        HeartbeatOutcome::Answered(commands)
    }

    /// When the partition next has work to do if no event occurs.
    pub(super) fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let loaded = self.loaded()?;
        if loaded.more_cycles {
            return Some(now + NEXT_CYCLE_DELAY);
        }
        let flush_at = loaded.partition_state.queue.next_flush_at();
        let commit_at = (loaded.pending_commit.is_none()
            && loaded.partition_state.has_dirty_chunks())
        .then(|| self.committed_at + PLACEMENT_COMMIT_INTERVAL);
        [flush_at, commit_at].into_iter().flatten().min()
    }
}
