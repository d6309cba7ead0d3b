//! Holding a partition: scheduling, writing rounds, ending jobs.

use super::job_archiver::JobArchiver;
use super::machine_records::MachineChange;
use super::{CallKind, Controller};
use crate::job_status_cache::TaskCounts;
use crate::placement_log::{CommitId, LogCommit, PlacementLog};
use crate::records::{demand_key, partition_key, DemandRecord, TOKEN_COUNTER_KEY};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use failover::readiness::ReadinessCheck;
use model::DurationExt;
use model::{
    ControllerName, FencingToken, JobId, MachineName, PartitionId, Revision, Timestamp, Version,
};
use scheduler::{CommandRoute, CommittedChanges, PartitionState, Probe, StatusSource};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::mesh::{MeshMessage, PartitionStatus};
use wire::state::{Item, StateReply, StateRequest, Transaction, Write};
use wire::workers::{Command, Heartbeat};

/// Pause between rounds that carry placements.
const PLACEMENT_COMMIT_INTERVAL: Duration = Duration::from_millis(60);
/// Pause between rounds that carry outcomes only.
const OUTCOME_COMMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between writes of what a partition lacks while the leader cannot be told.
const DEMAND_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Shapes of waiting work that are written then.
const MAX_DEMAND_SHAPES: usize = 8;
/// Time between two looks at all machines of the share, for what comes with time and not with an
/// event. Events come a thousand a second, and with a look at each the cost grew with the square
/// of the fleet.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
/// Patience with a machine that is asked whether it is there.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two tries to take a higher token for all machines of a partition.
const TOKEN_RAISE_INTERVAL: Duration = Duration::from_secs(2);
/// Entries tried in one step; the rest follow in the next.
const MAX_CYCLES_PER_STEP: usize = 400;

/// A round that is being written.
#[derive(Debug)]
struct Writing {
    round: LogCommit,
    written: CommittedChanges,
}

/// A partition that this node holds.
#[derive(Debug)]
pub(crate) struct PartitionLeadership {
    term: FencingToken,
    /// A higher token for all its machines, taken from the counter since.
    raised: FencingToken,
    raising: bool,
    raise_at: Timestamp,
    version: Version,
    pub(super) since: Timestamp,
    /// Present once the ledger has been read and all checks held.
    pub(super) loaded: Option<Box<LoadedPartition>>,
    /// Pages read so far, and what the state service stood at when the first was.
    pub(super) pages: Vec<Item>,
    pub(super) read_at: Option<Revision>,
    /// The ledger as read, while checks do not hold: which did not when they were last tried.
    pub(super) read: Option<(Revision, PlacementLog)>,
    pub(super) failed_checks: Vec<ReadinessCheck>,
    /// Reports answered before the share was built; they still prove what they prove.
    pub(super) early: BTreeMap<MachineName, (Heartbeat, Timestamp)>,
    unconfirmed_predecessors: Vec<(ControllerName, u64)>,
    pub(super) predecessors_valid_until: Timestamp,
    transferring: bool,
    transferring_until: Option<Timestamp>,
    successor: Option<ControllerName>,
    committed_at: Timestamp,
    scanned_at: Timestamp,
}

#[derive(Debug)]
pub(super) struct LoadedPartition {
    ledger: PlacementLog,
    partition_state: PartitionState,
    writing: Option<Writing>,
    archiver: JobArchiver,
    more_cycles: bool,
}

impl LoadedPartition {
    pub(super) fn new(
        ledger: PlacementLog,
        partition_state: PartitionState,
        archiver: JobArchiver,
    ) -> Self {
        LoadedPartition {
            ledger,
            partition_state,
            writing: None,
            archiver,
            more_cycles: true,
        }
    }
}

/// What came of a report.
#[derive(Debug)]
pub(super) enum HeartbeatOutcome {
    Answered(Vec<Command>),
    /// Something newer is known of the machine: it proves nothing, and is answered with these commands.
    Stale(Vec<Command>),
    /// It must not be answered.
    Withheld,
}

impl PartitionLeadership {
    pub(super) fn new(
        term: FencingToken,
        version: Version,
        predecessors_valid_until: Timestamp,
        unconfirmed_predecessors: Vec<(ControllerName, u64)>,
        now: Timestamp,
    ) -> Self {
        PartitionLeadership {
            term,
            raised: FencingToken(0),
            raising: false,
            raise_at: Timestamp::default(),
            version,
            since: now,
            loaded: None,
            pages: Vec::new(),
            read_at: None,
            read: None,
            failed_checks: Vec::new(),
            early: BTreeMap::new(),
            unconfirmed_predecessors,
            predecessors_valid_until,
            transferring: false,
            transferring_until: None,
            successor: None,
            committed_at: now,
            scanned_at: Timestamp::default(),
        }
    }

    /// The ledger is read from the start; nothing that was read before counts.
    pub(super) fn start_reading(&mut self) {
        self.pages.clear();
        self.read_at = None;
        self.read = None;
    }

    pub(super) fn term(&self) -> FencingToken {
        self.term
    }
    /// The least token that its machines are answered with.
    pub(super) fn token(&self) -> FencingToken {
        self.term.max(self.raised)
    }
    pub(super) fn version(&self) -> Version {
        self.version
    }
    pub(super) fn set_version(&mut self, version: Version) {
        self.version = version;
    }
    pub(super) fn unconfirmed_predecessors(&self) -> &[(ControllerName, u64)] {
        &self.unconfirmed_predecessors
    }
    pub(super) fn successor(&self) -> Option<&ControllerName> {
        self.successor.as_ref()
    }
    pub(super) fn set_successor(&mut self, successor: ControllerName) {
        self.successor = Some(successor);
    }
    pub(super) fn is_transferring(&self) -> bool {
        self.transferring
    }
    pub(super) fn set_transferring(&mut self, transferring: bool) {
        self.transferring = transferring;
        self.transferring_until = None;
    }
    pub(super) fn transferring_until(&mut self, until: Timestamp) {
        self.transferring_until = Some(until);
    }
    pub(super) fn partition_state_mut(&mut self) -> Option<&mut PartitionState> {
        self.loaded.as_mut().map(|l| &mut l.partition_state)
    }
    pub(super) fn partition_state_and_archiver(
        &mut self,
    ) -> Option<(&mut PartitionState, &mut JobArchiver)> {
        self.loaded
            .as_mut()
            .map(|l| (&mut l.partition_state, &mut l.archiver))
    }
    /// A job is over, and that is durable.
    pub(super) fn forget_job(&mut self, id: JobId, now: Timestamp) {
        if let Some(loaded) = &mut self.loaded {
            loaded.partition_state.remove_job(id, now);
            loaded.ledger.forget_job(id);
        }
    }
    pub(super) fn partition_state(&self) -> Option<&PartitionState> {
        self.loaded.as_ref().map(|l| &l.partition_state)
    }

    /// Nothing is on its way to the state service that a successor would have to guess at.
    pub(super) fn may_transfer(&self) -> bool {
        !self.transferring
            && self.successor.is_none()
            && self.loaded.as_ref().is_some_and(|l| l.writing.is_none())
    }

    /// A peer says up to which revision it knows the changes: beyond our own record it knows
    /// that it holds this partition no more, and answers for it no more.
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
        self.unconfirmed_predecessors
            .retain(|predecessor| predecessor != &(peer.clone(), incarnation));
        self.clear_predecessors(now);
    }

    fn clear_predecessors(&mut self, now: Timestamp) {
        if self.unconfirmed_predecessors.is_empty() && self.predecessors_valid_until > now {
            self.predecessors_valid_until = now;
            if let Some(loaded) = &mut self.loaded {
                loaded.partition_state.predecessors_valid_until = now;
            }
        }
    }

    /// Done and running tasks of a job of this partition.
    pub(super) fn task_counts(&self, id: JobId) -> Option<TaskCounts> {
        let job = self.partition_state()?.jobs.get(&id)?;
        Some(TaskCounts {
            done: u64::from(job.done_count()),
            running: u64::from(job.running_count()),
        })
    }

    /// Takes in a report and works out the commands for its answer. `halts`
    /// are those of tasks that are cancelled by the records alone, worked out only where the share does not tell.
    pub(super) fn handle_heartbeat(
        &mut self,
        name: &MachineName,
        report: &Heartbeat,
        token: FencingToken,
        launches: bool,
        halts: impl FnOnce() -> Vec<Command>,
        now: Timestamp,
    ) -> HeartbeatOutcome {
        let Some(loaded) = &mut self.loaded else {
            // Keep the lease alive; what to do with tasks is not known yet, but for those that a user
            // has cancelled. Our token voids what a predecessor has under way.
            self.early.insert(name.clone(), (report.clone(), now));
            return HeartbeatOutcome::Answered(halts());
        };
        let partition_state = &mut loaded.partition_state;
        let Some(machine) = partition_state.machines.get_mut(name) else {
            return HeartbeatOutcome::Answered(halts());
        };
        machine.token = machine.token.max(token);
        let newer = partition_state.reconcile(report, StatusSource::Heartbeat, now);
        if !partition_state.may_renew_lease(name, now) {
            return HeartbeatOutcome::Withheld;
        }
        if let Some(machine) = partition_state.machines.get_mut(name) {
            machine.renew_lease(newer, now);
        }
        if !newer {
            return HeartbeatOutcome::Stale(halts());
        }
        let mut commands = partition_state.commands_for(name, CommandRoute::Answer, now);
        if !launches {
            commands.retain(|c| !matches!(c, Command::Start { .. }));
        }
        HeartbeatOutcome::Answered(commands)
    }

    pub(super) fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let loaded = self.loaded.as_ref()?;
        if loaded.more_cycles {
            return Some(now + Duration::from_millis(2));
        }
        let flush = loaded.partition_state.queue.next_flush();
        let round = (loaded.writing.is_none() && loaded.partition_state.has_dirty())
            .then(|| self.committed_at + PLACEMENT_COMMIT_INTERVAL);
        [flush, round].into_iter().flatten().min()
    }
}

impl Controller {
    /// The partition of a team: teams are dealt out in the order of the settings.
    pub(super) fn partition_of_team(&self, team: &model::TeamName) -> Option<PartitionId> {
        let index = self.settings.teams.iter().position(|t| t.name == *team)?;
        Some(PartitionId(index as u32 % self.partition_count().max(1)))
    }

    pub(super) fn current(
        &mut self,
        partition: PartitionId,
        term: u64,
    ) -> Option<&mut PartitionLeadership> {
        self.leaderships
            .get_mut(&partition)
            .filter(|h| h.term.0 == term)
    }

    /// A job's record has changed.
    pub(super) fn job_changed(&mut self, id: JobId) {
        let Some(open) = self.cache.jobs.get(&id).cloned() else {
            self.job_status.forget_progress(id);
            return;
        };
        self.logical_clock_offset = self.logical_clock_offset.max(Duration::from_millis(
            open.order().saturating_sub(self.now.as_millis()),
        ));
        let Some(partition) = self.partition_of_team(&open.spec.team) else {
            return;
        };
        let cancelled = self.cache.is_cancelled(id);
        let now = self.now;
        let until =
            self.state_sync.previous_read_at().unwrap_or_default() + self.settings.lease_validity();
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.partition_state_mut())
        else {
            return;
        };
        if !partition_state.jobs.contains_key(&id) {
            partition_state.add_job(open.spec.clone(), open.order(), &[], now);
        }
        if cancelled {
            partition_state.cancel_job(id, now);
            // It was confirmed after the contact before this one at the earliest.
            partition_state.bound_lease_renewal(id, until);
        }
    }

    /// Another node says that a job is recorded as cancelled, which stays true whenever it comes. Its
    /// tasks are stopped at once, also by a holder without the state service; what is said of the job, and
    /// its end, follow the records.
    pub(super) fn stop_cancelled_job(&mut self, id: JobId) {
        let Some(team) = self.cache.jobs.get(&id).map(|open| open.spec.team.clone()) else {
            return;
        };
        let Some(partition) = self.partition_of_team(&team) else {
            return;
        };
        let now = self.now;
        let until =
            self.state_sync.last_read_at().unwrap_or_default() + self.settings.lease_validity();
        let partition_state = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.partition_state_mut());
        let Some(partition_state) =
            partition_state.filter(|s| s.jobs.get(&id).is_some_and(|j| !j.cancelled))
        else {
            return;
        };
        self.counters.cancelled_by_word += 1;
        partition_state.cancel_job(id, now);
        partition_state.bound_lease_renewal(id, until);
    }

    /// A machine's record has changed.
    pub(super) fn machine_changed(&mut self, name: &MachineName) {
        let record = self.cache.machines.get(name).map(|m| m.record.clone());
        let now = self.now;
        if record.is_none() {
            self.fleet_planner.forget_machine(name);
        }
        let mut add = None;
        for (partition, leadership) in &mut self.leaderships {
            let least = leadership.token();
            let Some(loaded) = leadership.loaded.as_mut() else {
                continue;
            };
            match &record {
                Some(record) if record.partition == *partition => {
                    match loaded.partition_state.machines.get_mut(name) {
                        Some(machine) => {
                            machine.token = least.max(FencingToken(record.token));
                            machine.leaving =
                                record.leaving || self.machine_changes.removes_from_partition(name);
                        }
                        None => add = Some((*partition, record.clone(), least)),
                    }
                }
                // Deleted only after the cloud has confirmed its release; moved only while idle.
                _ => loaded.partition_state.remove_machine(name, now),
            }
        }
        if let Some((partition, record, term)) = add {
            let machine = self.machine_from(name, &record, term);
            if let (Some(machine), Some(partition_state)) = (
                machine,
                self.leaderships
                    .get_mut(&partition)
                    .and_then(|h| h.partition_state_mut()),
            ) {
                partition_state.add_machine(machine, now);
            }
        }
    }

    pub(super) fn advance_partitions(&mut self) {
        let partitions: Vec<PartitionId> = self.leaderships.keys().copied().collect();
        for partition in partitions {
            self.advance_partition(partition);
        }
        if self.now.duration_since(self.load_at) >= Duration::from_millis(500) {
            self.load_at = self.now;
            self.report_partition_statuses();
        }
    }

    fn advance_partition(&mut self, partition: PartitionId) {
        let now = self.now;
        let contact = self.has_recent_state_read(super::MAX_LAUNCH_READ_AGE);
        let ended: Vec<_> = self
            .leaderships
            .get(&partition)
            .map(|h| {
                h.unconfirmed_predecessors
                    .iter()
                    .filter(|s| self.incarnation_is_over(s))
                    .cloned()
                    .collect()
            })
            .unwrap_or_default();
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if leadership
            .transferring_until
            .is_some_and(|until| now >= until)
        {
            leadership.set_transferring(false);
        }
        if !ended.is_empty() {
            leadership
                .unconfirmed_predecessors
                .retain(|s| !ended.contains(s));
            leadership.clear_predecessors(now);
        }
        if leadership.transferring || leadership.successor.is_some() {
            return;
        }
        let look = now.duration_since(leadership.scanned_at) >= SCAN_INTERVAL;
        if leadership.loaded.is_none() {
            self.try_load_partition(partition);
        }
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let Some(loaded) = leadership.loaded.as_mut() else {
            return;
        };
        if look {
            leadership.scanned_at = now;
            loaded.partition_state.drain_reclaimed_machines(now);
            if contact {
                // Without contact a successor may be answering them.
                loaded.partition_state.expire_leases(now);
            }
        }
        if contact {
            loaded.more_cycles = loaded.partition_state.run_cycles(now, MAX_CYCLES_PER_STEP);
            loaded.partition_state.consolidate(now);
        }
        self.counters
            .waits
            .append(&mut loaded.partition_state.waits);
        self.archive_terminal_jobs(partition);
        self.write_commit(partition);
        self.send_direct(partition);
        if look {
            self.request_token_raises(partition);
            self.raise_partition_token(partition);
            self.transfer_drained_machines(partition);
            self.probe_unresponsive_machines(partition);
            self.release_unresponsive_machines(partition);
            if contact && self.workers_are_unreachable(partition) {
                self.resign_leadership(partition);
            }
        }
    }

    /// Writes what has changed, one round at a time.
    fn write_commit(&mut self, partition: PartitionId) {
        let now = self.now;
        // What is made up only when it can go out carries more and is fresher.
        if self.machine_changes.is_delayed(now) || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let (version, term, since) = (
            leadership.version,
            leadership.term.0,
            now.duration_since(leadership.committed_at),
        );
        let Some(loaded) = leadership.loaded.as_mut() else {
            return;
        };
        if loaded.writing.is_some() || !loaded.partition_state.has_dirty() {
            return;
        }
        let gap = if loaded.partition_state.has_unrecorded() {
            PLACEMENT_COMMIT_INTERVAL
        } else {
            OUTCOME_COMMIT_INTERVAL
        };
        if since < gap {
            return;
        }
        let changes = loaded.partition_state.take_dirty();
        if changes.is_empty() {
            return;
        }
        let (round, left) = loaded.ledger.prepare(version, changes);
        loaded.partition_state.restore_dirty(left);
        let written = loaded.partition_state.changes_in(&round.keys);
        let txn = round.txn.clone();
        loaded.writing = Some(Writing { round, written });
        leadership.committed_at = now;
        let purpose = CallKind::LedgerWrite { partition, term };
        self.state(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            purpose,
        );
    }

    pub(super) fn handle_commit_reply(
        &mut self,
        partition: PartitionId,
        term: u64,
        reply: StateReply,
    ) {
        let now = self.now;
        let Some(leadership) = self.current(partition, term) else {
            return;
        };
        let Some(loaded) = leadership.loaded.as_mut() else {
            return;
        };
        let Some(writing) = &loaded.writing else {
            return;
        };
        match reply {
            StateReply::Committed { revision } => {
                loaded.ledger.commit(&writing.round, revision);
                loaded.partition_state.confirm(&writing.written);
                loaded.writing = None;
                leadership.committed_at = now;
            }
            // Either an earlier copy of this very round was applied, or the right is lost.
            StateReply::Conflict { .. } => {
                if let Some((key, id)) = loaded.ledger.proof(&writing.round) {
                    let purpose = CallKind::LedgerProof {
                        partition,
                        term,
                        id,
                    };
                    self.state(CallPriority::Placement, StateRequest::Get { key }, purpose);
                }
            }
            StateReply::Invalid(problem) => {
                tracing::error!(%partition, problem, "a round is malformed");
                self.reload_partition(partition);
            }
            // The same round again: its conditions let it be applied once at most.
            other => {
                let request = StateRequest::Transaction(writing.round.txn.clone());
                let after = match other {
                    StateReply::Refused { throttled: true } => Duration::from_millis(80),
                    _ => Duration::from_millis(200),
                };
                let purpose = CallKind::LedgerWrite { partition, term };
                self.retry_later(after, CallPriority::Placement, request, purpose);
            }
        }
    }

    pub(super) fn handle_commit_proof(
        &mut self,
        partition: PartitionId,
        term: u64,
        id: CommitId,
        reply: StateReply,
    ) {
        let Some(leadership) = self.current(partition, term) else {
            return;
        };
        let Some(loaded) = leadership.loaded.as_mut() else {
            return;
        };
        let Some(writing) = &loaded.writing else {
            return;
        };
        match reply {
            StateReply::Item(item) if PlacementLog::proves(&item.value, id) => {
                loaded.ledger.commit(&writing.round, item.version);
                loaded.partition_state.confirm(&writing.written);
                loaded.writing = None;
            }
            StateReply::Item(_) | StateReply::Missing => self.reload_partition(partition),
            _ => {
                if let Some((key, id)) = loaded.ledger.proof(&writing.round) {
                    let purpose = CallKind::LedgerProof {
                        partition,
                        term,
                        id,
                    };
                    let request = StateRequest::Get { key };
                    self.retry_later(
                        Duration::from_millis(150),
                        CallPriority::Placement,
                        request,
                        purpose,
                    );
                }
            }
        }
    }

    /// Whether hardly any machine of the share reports to us, though they had time to find us.
    fn workers_are_unreachable(&self, partition: PartitionId) -> bool {
        let now = self.now;
        // Workers report every 1.25 times the interval at the latest; their leases run meanwhile.
        let silence = Duration::from_millis(
            self.settings.workers.heartbeat_interval.whole_millis() * 2 + 500,
        );
        let Some(leadership) = self.leaderships.get(&partition) else {
            return false;
        };
        let Some(partition_state) = leadership.partition_state() else {
            return false;
        };
        // Machines that boot say nothing about us.
        let known = partition_state
            .machines
            .values()
            .filter(|m| m.last_seen_at.is_some() || !m.tasks.is_empty());
        let (mut all, mut silent) = (0, 0);
        for machine in known {
            all += 1;
            silent += u32::from(
                machine
                    .last_heartbeat_at
                    .is_none_or(|at| now.duration_since(at) > silence),
            );
        }
        // Workers turn elsewhere while we stand still, and need as long to find us again.
        let since = leadership.since.max(self.running_since);
        now.duration_since(since) >= silence + Duration::from_secs(3)
            && all >= 2
            && silent * 10 >= all * 9
    }

    /// Asks machines that have been quiet whether they are there.
    fn probe_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let since = leadership.since;
        let Some(partition_state) = leadership.partition_state_mut() else {
            return;
        };
        for question in partition_state.machines_to_probe(since, now) {
            let Probe {
                machine,
                address,
                token,
                session,
            } = question;
            let purpose = CallKind::Ask { partition, machine };
            self.send_probe(address, token, session, purpose, PROBE_TIMEOUT);
        }
    }

    /// Gives silent machines back to the cloud, whose confirmation proves that everything on them
    /// is gone.
    fn release_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let report = self.settings.workers.heartbeat_interval;
        let (late, patience) = (
            Duration::from_millis(report.whole_millis() * 5 / 4 + 200),
            Duration::from_millis(report.whole_millis() * 9 / 4 + 500),
        );
        let contact = self.has_recent_state_read(super::MAX_LAUNCH_READ_AGE);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        // Workers need a moment to find a new holder, or one that stood still.
        let since = leadership.since.max(self.running_since);
        if !contact {
            return;
        }
        let Some(loaded) = leadership.loaded.as_mut() else {
            return;
        };
        let mut silent = loaded.partition_state.lost_machines();
        if now.duration_since(since) >= patience + Duration::from_millis(1_500) {
            silent.extend(
                loaded
                    .partition_state
                    .unresponsive_machines_with_replicas(since, now, late, patience),
            );
        }
        silent.retain(|name| !self.machine_changes.has_change(name));
        for name in silent {
            tracing::info!(machine = %name, "a machine is silent: giving it up");
            if let Some(machine) = loaded.partition_state.machines.get_mut(&name) {
                machine.leaving = true;
            }
            self.machine_changes.request(&name, MachineChange::Leave);
        }
    }

    /// Machines whose lost direct launches can only be voided by a higher token.
    fn request_token_raises(&mut self, partition: PartitionId) {
        let Some(partition_state) = self
            .leaderships
            .get(&partition)
            .and_then(|h| h.partition_state())
        else {
            return;
        };
        for machine in partition_state.machines.values() {
            if machine.needs_higher_token() {
                self.machine_changes
                    .request(&machine.name, MachineChange::RaiseToken);
            }
        }
    }

    /// Takes a higher token for all machines of a partition, where some have kept exited tasks for long: a
    /// worker that has seen it executes no copy of an earlier launch, and may forget them. The counter is
    /// written first, so whoever comes after us has a higher one still; the record of the partition and
    /// its term stay as they are.
    fn raise_partition_token(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let keeps = |partition_state: &PartitionState| {
            partition_state
                .machines
                .values()
                .any(|m| m.retains_exited_tasks(now))
        };
        if leadership.raising
            || now < leadership.raise_at
            || !leadership.partition_state().is_some_and(keeps)
        {
            return;
        }
        (leadership.raising, leadership.raise_at) = (true, now + TOKEN_RAISE_INTERVAL);
        let (version, term) = (leadership.version.0, leadership.term.0);
        let token = self.cache.next_token();
        let mut counter = self
            .cache
            .counter
            .as_ref()
            .map(|c| c.record.clone())
            .unwrap_or_default();
        counter.next = token + 1;
        let value = serde_json::to_value(counter).unwrap_or_default();
        let txn = Transaction::default()
            .when(partition_key(partition), version)
            .when(TOKEN_COUNTER_KEY, self.cache.counter_version())
            .write(Write::put(TOKEN_COUNTER_KEY, value));
        let purpose = CallKind::RaiseAll {
            partition,
            term,
            token,
        };
        self.state(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            purpose,
        );
    }

    pub(super) fn handle_token_raised(
        &mut self,
        partition: PartitionId,
        term: u64,
        token: u64,
        reply: StateReply,
    ) {
        let Some(leadership) = self.current(partition, term) else {
            return;
        };
        leadership.raising = false;
        // Whatever else came of it: a number that nobody uses, and another is taken.
        if let StateReply::Committed { .. } = reply {
            leadership.raised = leadership.raised.max(FencingToken(token));
            let token = leadership.token();
            if let Some(partition_state) = leadership.partition_state_mut() {
                partition_state
                    .machines
                    .values_mut()
                    .for_each(|m| m.token = m.token.max(token));
            }
        }
    }

    /// The leader asks for an idle machine, for another partition or for the cloud.
    pub(super) fn handle_release_request(&mut self, machine: &str, to: Option<u32>) {
        let name = MachineName::from(machine);
        let Some(record) = self.cache.machines.get(&name).map(|m| m.record.clone()) else {
            return;
        };
        let partition = record.partition;
        if to.is_some_and(|to| to >= self.partition_count()) {
            self.counters
                .rejections
                .add(MessageSource::Peer, MessageFault::Malformed);
            return;
        }
        let Some(loaded) = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.loaded.as_mut())
        else {
            return;
        };
        let Some(machine) = loaded.partition_state.machines.get_mut(&name) else {
            return;
        };
        if !machine.tasks.is_empty() || machine.leaving || self.machine_changes.has_change(&name) {
            return;
        }
        // Nothing is placed here from now on, whether or not the write succeeds at once.
        machine.leaving = true;
        match to {
            None => self.machine_changes.request(&name, MachineChange::Leave),
            Some(other) => {
                self.machine_changes
                    .request(&name, MachineChange::Transfer(PartitionId(other)));
            }
        }
    }

    /// The leader asks for machines as they empty, for a partition that has greater need.
    pub(super) fn handle_transfer_request(&mut self, message: &MeshMessage) {
        let MeshMessage::TransferMachines {
            from,
            to,
            count,
            shape,
        } = message
        else {
            return;
        };
        if *to >= self.partition_count() || from == to {
            self.counters
                .rejections
                .add(MessageSource::Peer, MessageFault::Malformed);
            return;
        }
        let now = self.now;
        let partition_state = self
            .leaderships
            .get_mut(&PartitionId(*from))
            .and_then(|h| h.partition_state_mut());
        if let Some(partition_state) = partition_state {
            partition_state.request_transfers(PartitionId(*to), *count as usize, shape, now);
        }
    }

    /// Hands over machines that were asked for and are empty now.
    fn transfer_drained_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(partition_state) = self
            .leaderships
            .get_mut(&partition)
            .and_then(|h| h.partition_state_mut())
        else {
            return;
        };
        for (name, to) in partition_state.machines_ready_for_transfer(now) {
            if !self.machine_changes.has_change(&name) {
                if let Some(machine) = partition_state.machines.get_mut(&name) {
                    // Nothing is placed here from now on, whether or not the write succeeds.
                    machine.leaving = true;
                }
                tracing::debug!(machine = %name, %to, "empty: handed over");
                self.machine_changes
                    .request(&name, MachineChange::Transfer(to));
            }
        }
    }

    /// Tells a leader that we do not reach over the mesh what a partition lacks, so that machines
    /// are rented for it all the same.
    fn write_demand(&mut self, load: PartitionStatus) {
        let partition = PartitionId(load.partition);
        let lacks = !load.demand.is_empty();
        let (at, lacked) = self.demand_at.get(&partition).copied().unwrap_or_default();
        let due =
            at == Timestamp::default() || self.now.duration_since(at) >= DEMAND_WRITE_INTERVAL;
        if !(lacks || lacked) || !due || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        self.demand_at.insert(partition, (self.now, lacks));
        let mut demand = load.demand;
        demand.truncate(MAX_DEMAND_SHAPES);
        let record = DemandRecord {
            term: load.term,
            demand,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        // Late, it would name a want that has been met, or that of an earlier holder.
        let right = self.leaderships.get(&partition).map_or(0, |h| h.version.0);
        let version = self
            .cache
            .demands
            .get(&partition)
            .map_or(0, |version| version.0);
        let key = demand_key(partition);
        let txn = Transaction::default()
            .when(partition_key(partition), right)
            .when(&key, version)
            .write(Write::put(&key, value));
        self.state(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            CallKind::Demand,
        );
    }

    /// What each of our partitions lacks and could spare, and how far its jobs are.
    fn report_partition_statuses(&mut self) {
        let now = self.now;
        let fleet_planner = self.fleet_planner_controller();
        let mut loads = Vec::new();
        let mut jobs = Vec::new();
        for (partition, leadership) in &mut self.leaderships {
            let Some(loaded) = leadership.loaded.as_mut() else {
                continue;
            };
            // A change of a record that came to nothing leaves the machine as recorded.
            for machine in loaded.partition_state.machines.values_mut() {
                if machine.leaving && !self.machine_changes.has_change(&machine.name) {
                    machine.leaving = self
                        .cache
                        .machines
                        .get(&machine.name)
                        .is_some_and(|m| m.record.leaving);
                }
            }
            if now.as_millis() % 5_000 < 500 {
                loaded.partition_state.log_summary(*partition, now);
            }
            loaded.partition_state.evict_best_effort(now);
            loaded.partition_state.evict_colocated(now);
            loaded.partition_state.update_overload();
            loads.push(PartitionStatus {
                partition: partition.0,
                term: leadership.term.0,
                demand: loaded.partition_state.demand(now),
                machines: loaded.partition_state.machine_statuses(now),
            });
            jobs.extend(
                loaded
                    .partition_state
                    .jobs
                    .iter()
                    .filter(|(_, j)| !j.placed.is_empty())
                    .map(|(id, job)| {
                        (
                            id.0,
                            u64::from(job.done_count()),
                            u64::from(job.running_count()),
                        )
                    }),
            );
        }
        if !jobs.is_empty() {
            self.broadcast(MeshMessage::JobProgress { jobs });
        }
        for load in loads {
            match &fleet_planner {
                Some(name) if name == self.own_name() => self.handle_partition_status(load),
                Some(name) if !self.peer_is_alive(name) || !self.is_reached_by(name) => {
                    self.write_demand(load);
                }
                Some(name) => {
                    let name = name.clone();
                    self.mesh(&name, MeshMessage::PartitionStatus(load));
                }
                None => {}
            }
        }
    }
}
