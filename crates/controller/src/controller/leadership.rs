//! Holding a partition: scheduling, writing rounds, ending jobs.

use super::job_archiver::JobArchiver;
use super::machine_records::MachineChange;
use super::{CallKind, Controller};
use crate::placement_log::{CommitId, LogCommit, PlacementLog};
use crate::records::{demand_key, partition_key, DemandRecord, COUNTER};
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
const ROUND_GAP: Duration = Duration::from_millis(60);
/// Pause between rounds that carry outcomes only.
const OUTCOME_GAP: Duration = Duration::from_millis(400);
/// Time between writes of what a partition lacks while the leader cannot be told.
const DEMAND_PACE: Duration = Duration::from_secs(2);
/// Shapes of waiting work that are written then.
const MOST_SHAPES: usize = 8;
/// Time between two looks at all machines of the share, for what comes with time and not with an
/// event. Events come a thousand a second, and with a look at each the cost grew with the square
/// of the fleet.
const LOOK: Duration = Duration::from_millis(100);
/// Patience with a machine that is asked whether it is there.
const ASK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two tries to take a higher token for all machines of a partition.
const RAISE_PACE: Duration = Duration::from_secs(2);
/// Entries tried in one step; the rest follow in the next.
const CYCLES: usize = 400;

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
    suspects: Vec<(ControllerName, u64)>,
    pub(super) entitled_until: Timestamp,
    yielding: bool,
    yield_until: Option<Timestamp>,
    successor: Option<ControllerName>,
    round_at: Timestamp,
    looked_at: Timestamp,
}

#[derive(Debug)]
pub(super) struct LoadedPartition {
    ledger: PlacementLog,
    share: PartitionState,
    writing: Option<Writing>,
    ending: JobArchiver,
    more_cycles: bool,
}

impl LoadedPartition {
    pub(super) fn new(ledger: PlacementLog, share: PartitionState, ending: JobArchiver) -> Self {
        LoadedPartition { ledger, share, writing: None, ending, more_cycles: true }
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
        entitled_until: Timestamp,
        suspects: Vec<(ControllerName, u64)>,
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
            suspects,
            entitled_until,
            yielding: false,
            yield_until: None,
            successor: None,
            round_at: now,
            looked_at: Timestamp::default(),
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
    pub(super) fn suspects(&self) -> &[(ControllerName, u64)] {
        &self.suspects
    }
    pub(super) fn successor(&self) -> Option<&ControllerName> {
        self.successor.as_ref()
    }
    pub(super) fn set_successor(&mut self, successor: ControllerName) {
        self.successor = Some(successor);
    }
    pub(super) fn is_yielding(&self) -> bool {
        self.yielding
    }
    pub(super) fn set_yielding(&mut self, yielding: bool) {
        self.yielding = yielding;
        self.yield_until = None;
    }
    pub(super) fn yield_until(&mut self, until: Timestamp) {
        self.yield_until = Some(until);
    }
    pub(super) fn share_mut(&mut self) -> Option<&mut PartitionState> {
        self.loaded.as_mut().map(|l| &mut l.share)
    }
    pub(super) fn share_and_ending(&mut self) -> Option<(&mut PartitionState, &mut JobArchiver)> {
        self.loaded.as_mut().map(|l| (&mut l.share, &mut l.ending))
    }
    /// A job is over, and that is durable.
    pub(super) fn forget_job(&mut self, id: JobId, now: Timestamp) {
        if let Some(loaded) = &mut self.loaded {
            loaded.share.remove_job(id, now);
            loaded.ledger.forget_job(id);
        }
    }
    pub(super) fn share(&self) -> Option<&PartitionState> {
        self.loaded.as_ref().map(|l| &l.share)
    }

    /// Nothing is on its way to the state service that a successor would have to guess at.
    pub(super) fn may_hand_over(&self) -> bool {
        !self.yielding
            && self.successor.is_none()
            && self.loaded.as_ref().is_some_and(|l| l.writing.is_none())
    }

    /// A peer says up to which revision it knows the changes: beyond our own record it knows
    /// that it holds this partition no more, and answers for it no more.
    pub(super) fn peer_knows(
        &mut self,
        peer: &ControllerName,
        boot: u64,
        revision: u64,
        now: Timestamp,
    ) {
        if revision < self.version.0 || self.suspects.is_empty() {
            return;
        }
        self.suspects.retain(|suspect| suspect != &(peer.clone(), boot));
        self.clear_suspicion(now);
    }

    fn clear_suspicion(&mut self, now: Timestamp) {
        if self.suspects.is_empty() && self.entitled_until > now {
            self.entitled_until = now;
            if let Some(loaded) = &mut self.loaded {
                loaded.share.entitled_until = now;
            }
        }
    }

    /// Done and running tasks of a job of this partition.
    pub(super) fn progress_of(&self, id: JobId) -> Option<(u64, u64)> {
        let job = self.share()?.jobs.get(&id)?;
        Some((u64::from(job.done_count()), u64::from(job.running_count())))
    }

    /// Takes in a report and works out the commands for its answer. `halts`
    /// are those of tasks that are cancelled by the records alone, worked out only where the share does not tell.
    pub(super) fn answer_report(
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
        let share = &mut loaded.share;
        let Some(machine) = share.machines.get_mut(name) else {
            return HeartbeatOutcome::Answered(halts());
        };
        machine.token = machine.token.max(token);
        let newer = share.observe(report, StatusSource::Heartbeat, now);
        if !share.may_answer(name, now) {
            return HeartbeatOutcome::Withheld;
        }
        if let Some(machine) = share.machines.get_mut(name) {
            machine.answer(newer, now);
        }
        if !newer {
            return HeartbeatOutcome::Stale(halts());
        }
        let mut commands = share.commands_for(name, CommandRoute::Answer, now);
        if !launches {
            commands.retain(|c| !matches!(c, Command::Start { .. }));
        }
        HeartbeatOutcome::Answered(commands)
    }

    pub(super) fn wants_tick(&self, now: Timestamp) -> Option<Timestamp> {
        let loaded = self.loaded.as_ref()?;
        if loaded.more_cycles {
            return Some(now + Duration::from_millis(2));
        }
        let flush = loaded.share.queue.next_flush();
        let round = (loaded.writing.is_none() && loaded.share.has_dirty())
            .then(|| self.round_at + ROUND_GAP);
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
        self.holdings.get_mut(&partition).filter(|h| h.term.0 == term)
    }

    /// A job's record has changed.
    pub(super) fn job_changed(&mut self, id: JobId) {
        let Some(open) = self.mirror.jobs.get(&id).cloned() else {
            self.progress.remove(&id);
            return;
        };
        self.clock_ahead = self
            .clock_ahead
            .max(Duration::from_millis(open.order().saturating_sub(self.now.as_millis())));
        let Some(partition) = self.partition_of_team(&open.spec.team) else { return };
        let cancelled = self.mirror.is_cancelled(id);
        let now = self.now;
        let until = self.contact_before.unwrap_or_default() + self.settings.blind_span();
        let Some(share) = self.holdings.get_mut(&partition).and_then(|h| h.share_mut()) else {
            return;
        };
        if !share.jobs.contains_key(&id) {
            share.add_job(open.spec.clone(), open.order(), &[], now);
        }
        if cancelled {
            share.cancel_job(id, now);
            // It was confirmed after the contact before this one at the earliest.
            share.bound_answers(id, until);
        }
    }

    /// Another node says that a job is recorded as cancelled, which stays true whenever it comes. Its
    /// tasks are stopped at once, also by a holder without the state service; what is said of the job, and
    /// its end, follow the records.
    pub(super) fn stop_cancelled(&mut self, id: JobId) {
        let Some(team) = self.mirror.jobs.get(&id).map(|open| open.spec.team.clone()) else {
            return;
        };
        let Some(partition) = self.partition_of_team(&team) else { return };
        let now = self.now;
        let until = self.contact_at.unwrap_or_default() + self.settings.blind_span();
        let share = self.holdings.get_mut(&partition).and_then(|h| h.share_mut());
        let Some(share) = share.filter(|s| s.jobs.get(&id).is_some_and(|j| !j.cancelled)) else {
            return;
        };
        self.counters.cancelled_by_word += 1;
        share.cancel_job(id, now);
        share.bound_answers(id, until);
    }

    /// A machine's record has changed.
    pub(super) fn machine_changed(&mut self, name: &MachineName) {
        let record = self.mirror.machines.get(name).map(|m| m.record.clone());
        let now = self.now;
        if record.is_none() {
            self.leader.machine_gone(name);
        }
        let mut add = None;
        for (partition, holding) in &mut self.holdings {
            let least = holding.token();
            let Some(loaded) = holding.loaded.as_mut() else { continue };
            match &record {
                Some(record) if record.partition == *partition => {
                    match loaded.share.machines.get_mut(name) {
                        Some(machine) => {
                            machine.token = least.max(FencingToken(record.token));
                            machine.leaving =
                                record.leaving || self.machine_changes.take_away(name);
                        }
                        None => add = Some((*partition, record.clone(), least)),
                    }
                }
                // Deleted only after the cloud has confirmed its release; moved only while idle.
                _ => loaded.share.remove_machine(name, now),
            }
        }
        if let Some((partition, record, term)) = add {
            let machine = self.machine_from(name, &record, term);
            if let (Some(machine), Some(share)) =
                (machine, self.holdings.get_mut(&partition).and_then(|h| h.share_mut()))
            {
                share.add_machine(machine, now);
            }
        }
    }

    pub(super) fn step_holdings(&mut self) {
        let partitions: Vec<PartitionId> = self.holdings.keys().copied().collect();
        for partition in partitions {
            self.step_holding(partition);
        }
        if self.now.duration_since(self.load_at) >= Duration::from_millis(500) {
            self.load_at = self.now;
            self.tell_loads();
        }
    }

    fn step_holding(&mut self, partition: PartitionId) {
        let now = self.now;
        let contact = self.in_contact(super::LAUNCH_CONTACT);
        let ended: Vec<_> = self
            .holdings
            .get(&partition)
            .map(|h| h.suspects.iter().filter(|s| self.surely_ended(s)).cloned().collect())
            .unwrap_or_default();
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        if holding.yield_until.is_some_and(|until| now >= until) {
            holding.set_yielding(false);
        }
        if !ended.is_empty() {
            holding.suspects.retain(|s| !ended.contains(s));
            holding.clear_suspicion(now);
        }
        if holding.yielding || holding.successor.is_some() {
            return;
        }
        let look = now.duration_since(holding.looked_at) >= LOOK;
        if holding.loaded.is_none() {
            self.take_on(partition);
        }
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let Some(loaded) = holding.loaded.as_mut() else { return };
        if look {
            holding.looked_at = now;
            loaded.share.drain_noticed(now);
            if contact {
                // Without contact a successor may be answering them.
                loaded.share.expire_leases(now);
            }
        }
        if contact {
            loaded.more_cycles = loaded.share.run_cycles(now, CYCLES);
            loaded.share.consolidate(now);
        }
        self.counters.waits.append(&mut loaded.share.waits);
        self.step_ends(partition);
        self.write_round(partition);
        self.send_direct(partition);
        if look {
            self.raise_tokens(partition);
            self.raise_all(partition);
            self.hand_over_ceded(partition);
            self.ask_quiet(partition);
            self.give_up_silent(partition);
            if contact && self.unreached(partition) {
                self.give_up(partition);
            }
        }
    }

    /// Writes what has changed, one round at a time.
    fn write_round(&mut self, partition: PartitionId) {
        let now = self.now;
        // What is made up only when it can go out carries more and is fresher.
        if self.machine_changes.held_up(now) || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let (version, term, since) =
            (holding.version, holding.term.0, now.duration_since(holding.round_at));
        let Some(loaded) = holding.loaded.as_mut() else { return };
        if loaded.writing.is_some() || !loaded.share.has_dirty() {
            return;
        }
        let gap = if loaded.share.has_unrecorded() { ROUND_GAP } else { OUTCOME_GAP };
        if since < gap {
            return;
        }
        let changes = loaded.share.take_dirty();
        if changes.is_empty() {
            return;
        }
        let (round, left) = loaded.ledger.prepare(version, changes);
        loaded.share.put_back(left);
        let written = loaded.share.written_by(&round.keys);
        let txn = round.txn.clone();
        loaded.writing = Some(Writing { round, written });
        holding.round_at = now;
        let purpose = CallKind::LedgerWrite { partition, term };
        self.state(CallPriority::Placement, StateRequest::Transaction(txn), purpose);
    }

    pub(super) fn on_round(&mut self, partition: PartitionId, term: u64, reply: StateReply) {
        let now = self.now;
        let Some(holding) = self.current(partition, term) else { return };
        let Some(loaded) = holding.loaded.as_mut() else { return };
        let Some(writing) = &loaded.writing else { return };
        match reply {
            StateReply::Committed { revision } => {
                loaded.ledger.commit(&writing.round, revision);
                loaded.share.confirm(&writing.written);
                loaded.writing = None;
                holding.round_at = now;
            }
            // Either an earlier copy of this very round was applied, or the right is lost.
            StateReply::Conflict { .. } => {
                if let Some((key, id)) = loaded.ledger.proof(&writing.round) {
                    let purpose = CallKind::LedgerProof { partition, term, id };
                    self.state(CallPriority::Placement, StateRequest::Get { key }, purpose);
                }
            }
            StateReply::Invalid(problem) => {
                tracing::error!(%partition, problem, "a round is malformed");
                self.reload(partition);
            }
            // The same round again: its conditions let it be applied once at most.
            other => {
                let request = StateRequest::Transaction(writing.round.txn.clone());
                let after = match other {
                    StateReply::Refused { throttled: true } => Duration::from_millis(80),
                    _ => Duration::from_millis(200),
                };
                let purpose = CallKind::LedgerWrite { partition, term };
                self.again(after, CallPriority::Placement, request, purpose);
            }
        }
    }

    pub(super) fn on_proof(
        &mut self,
        partition: PartitionId,
        term: u64,
        id: CommitId,
        reply: StateReply,
    ) {
        let Some(holding) = self.current(partition, term) else { return };
        let Some(loaded) = holding.loaded.as_mut() else { return };
        let Some(writing) = &loaded.writing else { return };
        match reply {
            StateReply::Item(item) if PlacementLog::proves(&item.value, id) => {
                loaded.ledger.commit(&writing.round, item.version);
                loaded.share.confirm(&writing.written);
                loaded.writing = None;
            }
            StateReply::Item(_) | StateReply::Missing => self.reload(partition),
            _ => {
                if let Some((key, id)) = loaded.ledger.proof(&writing.round) {
                    let purpose = CallKind::LedgerProof { partition, term, id };
                    let request = StateRequest::Get { key };
                    self.again(
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
    fn unreached(&self, partition: PartitionId) -> bool {
        let now = self.now;
        // Workers report every 1.25 times the interval at the latest; their leases run meanwhile.
        let silence = Duration::from_millis(self.settings.workers.report.whole_millis() * 2 + 500);
        let Some(holding) = self.holdings.get(&partition) else { return false };
        let Some(share) = holding.share() else { return false };
        // Machines that boot say nothing about us.
        let known = share.machines.values().filter(|m| m.heard_at.is_some() || !m.tasks.is_empty());
        let (mut all, mut silent) = (0, 0);
        for machine in known {
            all += 1;
            silent +=
                u32::from(machine.reported_at.is_none_or(|at| now.duration_since(at) > silence));
        }
        // Workers turn elsewhere while we stand still, and need as long to find us again.
        let since = holding.since.max(self.awake_since);
        now.duration_since(since) >= silence + Duration::from_secs(3)
            && all >= 2
            && silent * 10 >= all * 9
    }

    /// Asks machines that have been quiet whether they are there.
    fn ask_quiet(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let since = holding.since;
        let Some(share) = holding.share_mut() else { return };
        for question in share.to_be_asked(since, now) {
            let Probe { machine, address, token, session } = question;
            let purpose = CallKind::Ask { partition, machine };
            self.ask_worker(address, token, session, purpose, ASK_TIMEOUT);
        }
    }

    /// Gives silent machines back to the cloud, whose confirmation proves that everything on them
    /// is gone.
    fn give_up_silent(&mut self, partition: PartitionId) {
        let now = self.now;
        let report = self.settings.workers.report;
        let (late, patience) = (
            Duration::from_millis(report.whole_millis() * 5 / 4 + 200),
            Duration::from_millis(report.whole_millis() * 9 / 4 + 500),
        );
        let contact = self.in_contact(super::LAUNCH_CONTACT);
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        // Workers need a moment to find a new holder, or one that stood still.
        let since = holding.since.max(self.awake_since);
        if !contact {
            return;
        }
        let Some(loaded) = holding.loaded.as_mut() else { return };
        let mut silent = loaded.share.lost();
        if now.duration_since(since) >= patience + Duration::from_millis(1_500) {
            silent.extend(loaded.share.silent_with_replicas(since, now, late, patience));
        }
        silent.retain(|name| !self.machine_changes.concern(name));
        for name in silent {
            tracing::info!(machine = %name, "a machine is silent: giving it up");
            if let Some(machine) = loaded.share.machines.get_mut(&name) {
                machine.leaving = true;
            }
            self.machine_changes.want(&name, MachineChange::Leave);
        }
    }

    /// Machines whose lost direct launches can only be voided by a higher token.
    fn raise_tokens(&mut self, partition: PartitionId) {
        let Some(share) = self.holdings.get(&partition).and_then(|h| h.share()) else { return };
        for machine in share.machines.values() {
            if machine.wants_token() {
                self.machine_changes.want(&machine.name, MachineChange::Raise);
            }
        }
    }

    /// Takes a higher token for all machines of a partition, where some have kept exited tasks for long: a
    /// worker that has seen it executes no copy of an earlier launch, and may forget them. The counter is
    /// written first, so whoever comes after us has a higher one still; the record of the partition and
    /// its term stay as they are.
    fn raise_all(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        let keeps = |share: &PartitionState| share.machines.values().any(|m| m.keeps_exited(now));
        if holding.raising || now < holding.raise_at || !holding.share().is_some_and(keeps) {
            return;
        }
        (holding.raising, holding.raise_at) = (true, now + RAISE_PACE);
        let (version, term) = (holding.version.0, holding.term.0);
        let token = self.mirror.next_token();
        let mut counter =
            self.mirror.counter.as_ref().map(|c| c.record.clone()).unwrap_or_default();
        counter.next = token + 1;
        let value = serde_json::to_value(counter).unwrap_or_default();
        let txn = Transaction::default()
            .when(partition_key(partition), version)
            .when(COUNTER, self.mirror.counter_version())
            .write(Write::put(COUNTER, value));
        let purpose = CallKind::RaiseAll { partition, term, token };
        self.state(CallPriority::Placement, StateRequest::Transaction(txn), purpose);
    }

    pub(super) fn on_raised(
        &mut self,
        partition: PartitionId,
        term: u64,
        token: u64,
        reply: StateReply,
    ) {
        let Some(holding) = self.current(partition, term) else { return };
        holding.raising = false;
        // Whatever else came of it: a number that nobody uses, and another is taken.
        if let StateReply::Committed { .. } = reply {
            holding.raised = holding.raised.max(FencingToken(token));
            let token = holding.token();
            if let Some(share) = holding.share_mut() {
                share.machines.values_mut().for_each(|m| m.token = m.token.max(token));
            }
        }
    }

    /// The leader asks for an idle machine, for another partition or for the cloud.
    pub(super) fn on_release_asked(&mut self, machine: &str, to: Option<u32>) {
        let name = MachineName::from(machine);
        let Some(record) = self.mirror.machines.get(&name).map(|m| m.record.clone()) else {
            return;
        };
        let partition = record.partition;
        if to.is_some_and(|to| to >= self.partition_count()) {
            self.counters.rejections.add(MessageSource::Peer, MessageFault::Malformed);
            return;
        }
        let Some(loaded) = self.holdings.get_mut(&partition).and_then(|h| h.loaded.as_mut()) else {
            return;
        };
        let Some(machine) = loaded.share.machines.get_mut(&name) else { return };
        if !machine.tasks.is_empty() || machine.leaving || self.machine_changes.concern(&name) {
            return;
        }
        // Nothing is placed here from now on, whether or not the write succeeds at once.
        machine.leaving = true;
        match to {
            None => self.machine_changes.want(&name, MachineChange::Leave),
            Some(other) => {
                self.machine_changes.want(&name, MachineChange::Shift(PartitionId(other)));
            }
        }
    }

    /// The leader asks for machines as they empty, for a partition that has greater need.
    pub(super) fn on_cede_asked(&mut self, message: &MeshMessage) {
        let MeshMessage::Cede { from, to, count, shape } = message else { return };
        if *to >= self.partition_count() || from == to {
            self.counters.rejections.add(MessageSource::Peer, MessageFault::Malformed);
            return;
        }
        let now = self.now;
        let share = self.holdings.get_mut(&PartitionId(*from)).and_then(|h| h.share_mut());
        if let Some(share) = share {
            share.cede(PartitionId(*to), *count as usize, shape, now);
        }
    }

    /// Hands over machines that were asked for and are empty now.
    fn hand_over_ceded(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(share) = self.holdings.get_mut(&partition).and_then(|h| h.share_mut()) else {
            return;
        };
        for (name, to) in share.ceded(now) {
            if !self.machine_changes.concern(&name) {
                if let Some(machine) = share.machines.get_mut(&name) {
                    // Nothing is placed here from now on, whether or not the write succeeds.
                    machine.leaving = true;
                }
                tracing::debug!(machine = %name, %to, "empty: handed over");
                self.machine_changes.want(&name, MachineChange::Shift(to));
            }
        }
    }

    /// Tells a leader that we do not reach over the mesh what a partition lacks, so that machines
    /// are rented for it all the same.
    fn write_demand(&mut self, load: PartitionStatus) {
        let partition = PartitionId(load.partition);
        let lacks = !load.demand.is_empty();
        let (at, lacked) = self.demand_at.get(&partition).copied().unwrap_or_default();
        let due = at == Timestamp::default() || self.now.duration_since(at) >= DEMAND_PACE;
        if !(lacks || lacked) || !due || !self.may_write(CallPriority::Placement, 1.0) {
            return;
        }
        self.demand_at.insert(partition, (self.now, lacks));
        let mut demand = load.demand;
        demand.truncate(MOST_SHAPES);
        let record = DemandRecord { term: load.term, demand };
        let value = serde_json::to_value(record).unwrap_or_default();
        // Late, it would name a want that has been met, or that of an earlier holder.
        let right = self.holdings.get(&partition).map_or(0, |h| h.version.0);
        let version = self.mirror.demands.get(&partition).map_or(0, |version| version.0);
        let key = demand_key(partition);
        let txn = Transaction::default()
            .when(partition_key(partition), right)
            .when(&key, version)
            .write(Write::put(&key, value));
        self.state(CallPriority::Placement, StateRequest::Transaction(txn), CallKind::Demand);
    }

    /// What each of our partitions lacks and could spare, and how far its jobs are.
    fn tell_loads(&mut self) {
        let now = self.now;
        let leader = self.leader_node();
        let mut loads = Vec::new();
        let mut jobs = Vec::new();
        for (partition, holding) in &mut self.holdings {
            let Some(loaded) = holding.loaded.as_mut() else { continue };
            // A change of a record that came to nothing leaves the machine as recorded.
            for machine in loaded.share.machines.values_mut() {
                if machine.leaving && !self.machine_changes.concern(&machine.name) {
                    machine.leaving =
                        self.mirror.machines.get(&machine.name).is_some_and(|m| m.record.leaving);
                }
            }
            if now.as_millis() % 5_000 < 500 {
                loaded.share.describe(*partition, now);
            }
            loaded.share.tidy_best_effort(now);
            loaded.share.tidy_beside(now);
            loaded.share.look_for_shortage();
            loads.push(PartitionStatus {
                partition: partition.0,
                term: holding.term.0,
                demand: loaded.share.demand(now),
                machines: loaded.share.loads(now),
            });
            jobs.extend(loaded.share.jobs.iter().filter(|(_, j)| !j.placed.is_empty()).map(
                |(id, job)| (id.0, u64::from(job.done_count()), u64::from(job.running_count())),
            ));
        }
        if !jobs.is_empty() {
            self.broadcast(MeshMessage::Progress { jobs });
        }
        for load in loads {
            match &leader {
                Some(name) if name == self.me() => self.on_load(load),
                Some(name) if !self.peer_lives(name) || !self.is_heard_by(name) => {
                    self.write_demand(load);
                }
                Some(name) => {
                    let name = name.clone();
                    self.mesh(&name, MeshMessage::Load(load));
                }
                None => {}
            }
        }
    }
}
