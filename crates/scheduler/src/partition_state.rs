//! The partition's share: its jobs, machines, teams and queue.

use crate::capacity_index::CapacityIndex;
use crate::job::{Job, Placement, Stop, TaskChunk, CHUNK};
use crate::machine::Machine;
use crate::preemption_candidates::PreemptionCandidates;
use model::DurationExt;
use model::{
    Attempt, FencingToken, JobId, JobKind, JobSpec, MachineName, Priority, Resources, TaskId,
    TeamName, Timestamp, ZoneName,
};
use scheduling_queue::{QueueConfig, SchedulingQueue};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use wire::cloud::MachineType;

/// An entry of the queue: a task, or a whole gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKey {
    Task(TaskId),
    Gang(JobId),
}

impl EntryKey {
    /// The job it belongs to.
    pub fn job(&self) -> JobId {
        match self {
            EntryKey::Task(task) => task.job,
            EntryKey::Gang(job) => *job,
        }
    }
}

/// Order of the active heap: work inside a guarantee, then priority, then submission.
pub type Rank = (u8, std::cmp::Reverse<Priority>, u64, u32);

/// Names a chunk of a job's progress.
pub type ChunkKey = (JobId, u32);

/// What operators may tune about placement. None of it can loosen a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// A machine whose report has not come so long after the longest time between two reports
    /// gets no new tasks.
    pub heartbeat_grace: Duration,
    /// Tasks of one array that wait in the queue at a time.
    pub window: u32,
    /// Failures without a success after which a machine is set aside.
    pub quarantine_threshold: u32,
    /// Whether tasks are stopped to make room.
    pub preempt: bool,
    /// How many times the time it takes alone a job is set back in the order.
    pub size_penalty_factor: u64,
    /// Whether replicas are moved together.
    pub move_replicas: bool,
    /// Array work that running tasks make room for within this time is no demand for machines.
    pub absorb: Duration,
    /// How many further times what is left of a job sets it back in a shortage; 0: the order stays.
    pub overload_penalty_factor: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            heartbeat_grace: Duration::from_secs(2),
            window: 256,
            quarantine_threshold: 2,
            preempt: true,
            size_penalty_factor: 3,
            move_replicas: true,
            absorb: Duration::from_secs(8),
            overload_penalty_factor: 4,
        }
    }
}

/// A team's amounts.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    pub guarantee: Resources,
    pub limit: Resources,
    pub used: Resources,
    /// What is kept of the limit for entries for which the team's own tasks are being stopped.
    pub(crate) reserved: Resources,
    /// What gangs need of it on machines that are kept for them, beyond what is used there now.
    pub(crate) held: Resources,
    /// Since when its best-effort work has had hardly any place.
    pub thin_since: Option<Timestamp>,
    /// Its jobs that are neither ending nor cancelled, in the order of their submission.
    open: BTreeSet<(u64, JobId)>,
    /// Those of them that were last found to lie within its guarantee.
    within: BTreeSet<JobId>,
    /// Its jobs have changed since.
    pub(crate) stale: bool,
}

impl TeamUsage {
    fn opened(&mut self, job: &Job) {
        self.open.insert((job.order, job.spec.id));
        self.stale = true;
    }

    fn closed(&mut self, job: &Job) {
        self.stale |= self.open.remove(&(job.order, job.spec.id));
    }
}

/// Machines that are kept for a gang.
#[derive(Debug, Clone)]
pub(crate) struct GangReservation {
    pub job: JobId,
    /// The machines, and how many of its tasks each is to take.
    pub machines: BTreeMap<MachineName, u64>,
    /// When the last of them should have room.
    pub ready_at: Timestamp,
    pub chosen_at: Timestamp,
    /// Until when they are kept though the team's limit keeps the gang back.
    pub until: Timestamp,
}

/// Room kept for an entry.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub machine: MachineName,
    pub needs: Resources,
    pub until: Timestamp,
    /// The team whose limit is in the way, of which as much is kept.
    pub limit_of: Option<TeamName>,
}

/// How a suspect job is probed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobProbe {
    pub next: Timestamp,
    pub pause: Duration,
}

/// What a ledger round holds, to be confirmed when it is durable.
#[derive(Debug, Clone, Default)]
pub struct CommittedChanges {
    pub placements: Vec<(TaskId, Attempt)>,
    pub outcomes: Vec<(TaskId, Attempt)>,
}

/// The share.
#[derive(Debug)]
pub struct PartitionState {
    pub policy: Policy,
    pub lease: Duration,
    /// How long tasks of a gang wait for each other.
    pub gang_wait: Duration,
    /// How often workers report as a rule; they may take a quarter longer.
    pub report: Duration,
    /// Since when we have been running without a stop. Silence before that was our own.
    pub running_since: Timestamp,
    /// Since when we have held it.
    pub leading_since: Timestamp,
    /// Most of the machines have been heard since then, or had the time to be.
    pub(crate) inventory_known: bool,
    /// Until when a predecessor may have answered any machine.
    pub predecessors_valid_until: Timestamp,
    /// Within what time a class's jobs should be over, where they have no deadline of their own.
    pub completion_objectives: BTreeMap<String, Duration>,
    /// What waits takes longer than the users' patience lasts.
    pub(crate) overloaded: bool,
    /// Zones in which machines can be had, the nearest first.
    pub zones: Vec<ZoneName>,
    /// Gangs that have failed to fit and wait, one of each kind.
    pub(crate) waiting_gangs: Vec<JobId>,
    /// Types of machines that can be had, see [`PartitionState::set_machine_types`].
    pub(crate) types: Vec<MachineType>,
    /// Machines kept for gangs that have failed to fit.
    pub(crate) gang_reservations: BTreeMap<JobId, GangReservation>,
    pub jobs: BTreeMap<JobId, Job>,
    pub machines: BTreeMap<MachineName, Machine>,
    pub teams: HashMap<TeamName, TeamUsage>,
    pub queue: SchedulingQueue<EntryKey, Rank>,
    term: FencingToken,
    attempts: u64,
    dirty: BTreeSet<ChunkKey>,
    /// Outcomes that are not durable yet: their tasks must not be forgotten.
    pub(crate) undurable_outcomes: HashSet<(TaskId, Attempt)>,
    /// Jobs that are done, or cancelled with every task gone.
    finished: Vec<JobId>,
    /// Machines to be sent commands at once.
    pub(crate) urgent_machines: BTreeSet<MachineName>,
    /// Room kept for entries for which tasks are being stopped.
    pub(crate) reservations: HashMap<EntryKey, Reservation>,
    /// The machines by room and image, those that take nothing left out.
    pub(crate) capacity_index: CapacityIndex,
    pub(crate) sorted_at: Timestamp,
    /// Since when machines of a zone have not answered.
    pub(crate) zone_alarms: BTreeMap<ZoneName, Timestamp>,
    /// What could be stopped to make room.
    pub(crate) preemption_candidates: PreemptionCandidates,
    /// Placements that are not durable yet.
    unrecorded: usize,
    /// Jobs that are not best-effort and lately found no room: when.
    pub(crate) unplaced_since: BTreeMap<JobId, Timestamp>,
    /// Suspect jobs, which are not queued as others are.
    pub(crate) job_probes: BTreeMap<JobId, JobProbe>,
    pub(crate) consolidated_at: Timestamp,
    /// Waits from first sight to placement, for the metrics (ms).
    pub waits: Vec<u64>,
}

impl PartitionState {
    /// An empty share held under `term`.
    pub fn new(
        teams: impl IntoIterator<Item = (TeamName, Resources, Resources)>,
        lease: Duration,
        policy: Policy,
        queue: QueueConfig,
        term: FencingToken,
    ) -> Self {
        PartitionState {
            policy,
            lease,
            gang_wait: Duration::from_millis(u64::MAX),
            report: Duration::ZERO,
            running_since: Timestamp::default(),
            leading_since: Timestamp::default(),
            inventory_known: false,
            predecessors_valid_until: Timestamp::default(),
            completion_objectives: BTreeMap::new(),
            overloaded: false,
            zones: Vec::new(),
            waiting_gangs: Vec::new(),
            types: Vec::new(),
            gang_reservations: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            teams: teams
                .into_iter()
                .map(|(name, guarantee, limit)| {
                    (
                        name,
                        TeamUsage {
                            guarantee,
                            limit,
                            ..TeamUsage::default()
                        },
                    )
                })
                .collect(),
            queue: SchedulingQueue::new(queue),
            term,
            attempts: 0,
            dirty: BTreeSet::new(),
            undurable_outcomes: HashSet::new(),
            finished: Vec::new(),
            urgent_machines: BTreeSet::new(),
            reservations: HashMap::new(),
            capacity_index: CapacityIndex::default(),
            sorted_at: Timestamp::default(),
            zone_alarms: BTreeMap::new(),
            preemption_candidates: PreemptionCandidates::default(),
            unrecorded: 0,
            unplaced_since: BTreeMap::new(),
            job_probes: BTreeMap::new(),
            consolidated_at: Timestamp::default(),
            waits: Vec::new(),
        }
    }

    /// A machine that has been silent for longer gets no new tasks. Workers report every 2 s on
    /// some sites and every 6 s on others: by a fixed 4 s, idle machines of the latter took nothing
    /// for a part of the time.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(self.report.whole_millis() * 5 / 4) + self.policy.heartbeat_grace
    }

    /// Which types of machines can be had: work without GPUs runs on such with GPUs beside others only,
    /// unless no other type holds it.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        self.types = types.to_vec();
        for job in self.jobs.values_mut() {
            job.only_beside = job.spec.does_without_gpus(types);
        }
    }

    /// A number that no start of any task has had: terms only rise.
    pub(crate) fn new_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.term.0 << 24) | self.attempts)
    }

    /// Adds an open job, with what the ledger knows of it.
    pub fn add_job(
        &mut self,
        spec: impl Into<Arc<JobSpec>>,
        order: u64,
        chunks: &[(u32, TaskChunk)],
        now: Timestamp,
    ) {
        let spec = spec.into();
        let id = spec.id;
        if self.jobs.contains_key(&id) || !self.teams.contains_key(&spec.team) {
            return;
        }
        let mut job = Job::new(spec, order, now);
        job.size_penalty = self.size_penalty_of(&job.spec);
        job.only_beside = job.spec.does_without_gpus(&self.types);
        job.completion_objective = job
            .spec
            .deadline
            .or_else(|| self.completion_objectives.get(&job.spec.class).copied());
        for (chunk, body) in chunks {
            job.restore(*chunk, body, now);
        }
        for (index, placement) in &job.placed {
            self.count_in(
                TaskId {
                    job: id,
                    index: *index,
                },
                &job.spec,
                placement,
            );
        }
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.opened(&job);
        }
        let orphans: Vec<TaskId> = job
            .placed
            .iter()
            .filter(|(_, p)| !self.machines.contains_key(&p.machine))
            .map(|(index, _)| TaskId {
                job: id,
                index: *index,
            })
            .collect();
        tracing::debug!(
            job = %id,
            class = job.spec.class,
            team = %job.spec.team,
            tasks = job.spec.tasks,
            priority = ?job.spec.priority,
            spot = job.spec.spot,
            estimate_ms = job.spec.estimate.whole_millis(),
            deadline_ms = job.spec.deadline.map(|d| d.whole_millis()),
            "new job"
        );
        self.jobs.insert(id, job);
        // A machine's record is deleted only after the cloud confirmed its release, so what
        // the ledger places on a machine without a record is gone.
        for task in orphans {
            self.drop_placement(task, now, false);
        }
        if self.jobs.get(&id).is_some_and(|job| job.all_done()) {
            self.stop_gang(id, now);
        }
        self.enqueue(id);
        self.check_finished(id);
    }

    /// How far a job's size sets it back: a multiple of the time that it takes alone. A team
    /// without a limit counts as if it had the largest of the others'.
    fn size_penalty_of(&self, spec: &JobSpec) -> Duration {
        let per = Resources {
            memory_mb: 0,
            ..spec.needs
        };
        let at_once = |team: &TeamUsage| team.limit.how_many_fit(&per);
        let limited = |count: &u64| *count < u64::MAX / 1_000_000;
        let own = self.teams.get(&spec.team).map(at_once).filter(limited);
        let largest = || self.teams.values().map(at_once).filter(limited).max();
        let at_once = own.or_else(largest).unwrap_or(1).max(1);
        // A gang is one entry, and large ones would wait for ever behind small ones otherwise.
        let tasks = if spec.kind == JobKind::Gang {
            1
        } else {
            u64::from(spec.tasks)
        };
        Duration::from_millis(
            spec.estimate.whole_millis() * tasks / at_once * self.policy.size_penalty_factor,
        )
    }

    /// Adds a machine to the share.
    pub fn add_machine(&mut self, machine: Machine, now: Timestamp) {
        let name = machine.name.clone();
        if self.machines.contains_key(&name) {
            return;
        }
        self.machines.insert(name, machine);
        self.queue.move_all(now);
    }

    /// The cloud has confirmed that a machine and everything on it are gone, or it has left
    /// the share while empty.
    pub fn remove_machine(&mut self, name: &MachineName, now: Timestamp) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.tasks.iter().copied().collect();
        for task in tasks {
            self.drop_placement(task, now, true);
        }
        self.cancel_reservations_on_machine(name);
        if let Some(mut machine) = self.machines.remove(name) {
            self.capacity_index.remove(&mut machine);
        }
    }

    /// The user has cancelled: nothing is started any more, everything is stopped.
    pub fn cancel_job(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        let entries: Vec<u32> = job.placed.keys().copied().collect();
        let queued = job.cursor;
        self.unqueue(id, queued);
        for index in entries {
            self.stop_task(TaskId { job: id, index }, 0, now);
        }
        self.close(id);
        self.check_finished(id);
    }

    /// A job was cancelled: whoever holds it may answer its machines until then whatever is under way to
    /// them, and no longer.
    pub fn bound_lease_renewal(&mut self, id: JobId, until: Timestamp) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.cancelled) {
            job.renew_until = until;
        }
    }

    /// Whether an answer to a machine's newest report is sure to end every cancelled task there in time,
    /// or not to keep it up. A task that the report shows is stopped by the answer itself, and a launch
    /// of a predecessor, or under a lower token, is voided by it. A direct launch of ours without an
    /// answer is not, and where the state service gives no higher token, only the end of the lease is
    /// left.
    pub fn may_renew_lease(&self, name: &MachineName, now: Timestamp) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return true;
        };
        let under_way = |p: &Placement| {
            let void = |(token, session)| token < machine.token || session < machine.session;
            p.last_status.is_none() && p.unconfirmed_launch_of.is_some_and(|launch| !void(launch))
        };
        let late = |task: &TaskId| {
            let Some(job) = self.jobs.get(&task.job) else {
                return false;
            };
            let late = job.cancelled && now >= job.renew_until;
            late && job.placed.get(&task.index).is_some_and(under_way)
        };
        !machine.tasks.iter().any(late)
    }

    /// Stops a task. One that was certainly never launched is gone at once.
    pub fn stop_task(&mut self, task: TaskId, grace_ms: u64, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        if placement.launched.is_none() && !placement.inherited && placement.last_status.is_none() {
            self.drop_placement(task, now, true);
            return;
        }
        let machine = placement.machine.clone();
        self.preemption_candidates
            .remove(task, job.spec.priority, placement.placed_at);
        match &mut placement.stop {
            // A second stop may only shorten the grace.
            Some(stop) => stop.grace_ms = stop.grace_ms.min(grace_ms),
            None => placement.stop = Some(Stop { grace_ms }),
        }
        self.urgent_machines.insert(machine);
    }

    /// Puts a job's waiting tasks into the queue, as many as the window allows.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.cancelled || job.finishing || self.job_probes.contains_key(&id) {
            return;
        }
        let rank = rank_of(job);
        if job.spec.kind == JobKind::Gang {
            if job.placed.is_empty() && !job.all_done() {
                self.queue.add(EntryKey::Gang(id), rank);
            }
            return;
        }
        // All tasks placed and queued lie below the cursor, so this is a bound on how many
        // wait: an array of 100,000 does not fill the heap.
        let limit = self.policy.window.max(1);
        let mut waiting = job
            .cursor
            .saturating_sub(job.done_count() + job.placed.len() as u32);
        while job.cursor < job.spec.tasks && waiting < limit {
            let index = job.cursor;
            job.cursor += 1;
            if !job.is_done(index) && !job.placed.contains_key(&index) {
                self.queue.add(
                    EntryKey::Task(TaskId { job: id, index }),
                    (rank.0, rank.1, rank.2, index),
                );
                waiting += 1;
            }
        }
    }

    /// Counts a placement wherever placements count.
    fn count_in(&mut self, task: TaskId, spec: &JobSpec, placement: &Placement) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used += spec.needs;
        }
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.hold(task, spec);
            self.capacity_index.update(machine);
        }
        self.preemption_candidates.add(task, spec, placement);
        self.unrecorded += usize::from(!placement.durable);
    }

    /// Takes a placement out of every count.
    fn count_out(&mut self, task: TaskId, spec: &JobSpec, placement: &Placement, now: Timestamp) {
        if let Some(team) = self.teams.get_mut(&spec.team) {
            team.used -= spec.needs;
        }
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.let_go(task, spec, now);
            self.capacity_index.update(machine);
        }
        self.preemption_candidates
            .remove(task, spec.priority, placement.placed_at);
        self.unrecorded -= usize::from(!placement.durable);
    }

    /// Removes a placement whose task is proven gone or was never launched, and queues the
    /// task again unless the job is over.
    pub(crate) fn drop_placement(&mut self, task: TaskId, now: Timestamp, requeue: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.remove(&task.index) else {
            return;
        };
        let spec = job.spec.clone();
        self.count_out(task, &spec, &placement, now);
        self.touch(task);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.spec.kind == JobKind::Gang {
            self.gang_lost_member(task.job, now);
        } else if requeue && !job.cancelled && !job.is_done(task.index) && task.index < job.cursor {
            let failures = job.failures.get(&task.index).copied().unwrap_or(0);
            let rank = rank_of(job);
            let rank = (rank.0, rank.1, rank.2, task.index);
            if failures == 0 {
                self.queue.add(EntryKey::Task(task), rank);
            } else {
                self.queue
                    .add_failed(EntryKey::Task(task), rank, failures, now);
            }
        }
        self.queue.move_all(now);
        self.check_finished(task.job);
    }

    /// The rest of a gang that lost a member stops; when all are gone it starts anew.
    fn gang_lost_member(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.placed.is_empty() {
            job.gang_began = None;
            let failures = job.failures.values().copied().max().unwrap_or(0);
            if job.cancelled || job.all_done() || self.job_probes.contains_key(&id) {
                return;
            }
            let rank = rank_of(job);
            if failures == 0 {
                self.queue.add(EntryKey::Gang(id), rank);
            } else {
                self.queue
                    .add_failed(EntryKey::Gang(id), rank, failures, now);
            }
        } else if !job.all_done() {
            self.stop_gang(id, now);
        }
    }

    /// Orderly stop of a gang: every member gets its halt in the same round, with grace to
    /// save if the gang has started.
    pub fn stop_gang(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let progress = job.gang_began.is_some() && !job.cancelled && !job.all_done();
        let grace = if job.spec.checkpoint > Duration::ZERO && progress {
            job.spec.save.whole_millis() + 1_000
        } else {
            0
        };
        let members: Vec<u32> = job
            .placed
            .iter()
            .filter(|(_, p)| p.stop.is_none())
            .map(|(i, _)| *i)
            .collect();
        for index in members {
            self.stop_task(TaskId { job: id, index }, grace, now);
        }
    }

    pub(crate) fn check_finished(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A gang is done with its first task, but a member that was started anew meanwhile still
        // takes its place and counts against the limit until it is gone.
        let over = job.all_done() && (job.spec.kind != JobKind::Gang || job.placed.is_empty());
        if !job.finishing && (over || (job.cancelled && job.placed.is_empty())) {
            job.finishing = true;
            self.finished.push(id);
            self.close(id);
        }
    }

    /// A job counts towards its team's guarantee no longer.
    fn close(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(team) = self.teams.get_mut(&job.spec.team) {
            team.closed(job);
        }
    }

    /// Jobs whose end is to be written now.
    pub fn take_finished(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.finished)
    }

    /// The job's end is durable, which settles the outcomes of all its tasks.
    pub fn remove_job(&mut self, id: JobId, now: Timestamp) {
        self.close(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        tracing::debug!(job = %id, took_ms = now.duration_since(job.seen_at).whole_millis(), "job over");
        self.unqueue(id, job.cursor);
        for (index, placement) in &job.placed {
            self.count_out(
                TaskId {
                    job: id,
                    index: *index,
                },
                &job.spec,
                placement,
                now,
            );
        }
        self.undurable_outcomes.retain(|(task, _)| task.job != id);
        for chunk in 0..job.spec.tasks.div_ceil(CHUNK) {
            self.dirty.remove(&(id, chunk));
        }
    }

    /// Takes a job's entries, of which `handed_out` tasks have been queued, out of the queue.
    pub(crate) fn unqueue(&mut self, id: JobId, handed_out: u32) {
        for index in 0..handed_out {
            self.queue.remove(EntryKey::Task(TaskId { job: id, index }));
        }
        self.queue.remove(EntryKey::Gang(id));
        self.cancel_reservations_of_job(id);
    }

    pub(crate) fn touch(&mut self, task: TaskId) {
        self.dirty.insert((task.job, task.index / CHUNK));
    }

    /// Machines to which commands should go without waiting for their next report.
    pub fn take_urgent_machines(&mut self) -> BTreeSet<MachineName> {
        std::mem::take(&mut self.urgent_machines)
    }

    /// Addresses of some machines, those heard last first.
    pub fn addresses(&self, most: usize) -> Vec<(MachineName, String)> {
        let mut heard: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.address.is_some() && m.notice.is_none())
            .collect();
        heard.sort_by_key(|m| std::cmp::Reverse(m.last_seen_at));
        let address = |m: &Machine| Some((m.name.clone(), m.address.clone()?));
        heard.into_iter().take(most).filter_map(address).collect()
    }

    /// Whether progress waits to be written.
    pub fn has_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a placement waits to be written, so that starts hang on the next round.
    pub fn has_unrecorded(&self) -> bool {
        self.unrecorded > 0
    }

    /// Hands out the chunks that changed since the last call.
    pub fn take_dirty(&mut self) -> Vec<(ChunkKey, TaskChunk)> {
        std::mem::take(&mut self.dirty)
            .into_iter()
            .filter_map(|key| self.jobs.get(&key.0).map(|job| (key, job.chunk(key.1))))
            .collect()
    }

    /// Gives back chunks that did not fit into the round.
    pub fn restore_dirty(&mut self, keys: impl IntoIterator<Item = ChunkKey>) {
        self.dirty.extend(keys);
    }

    /// What a round with these chunks would make durable.
    pub fn changes_in(&self, keys: &[ChunkKey]) -> CommittedChanges {
        let mut written = CommittedChanges::default();
        for (id, chunk) in keys {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let from = chunk * CHUNK;
            for (index, p) in job.placed.range(from..from + CHUNK) {
                if !p.durable {
                    written.placements.push((
                        TaskId {
                            job: *id,
                            index: *index,
                        },
                        p.attempt,
                    ));
                }
            }
        }
        let included: BTreeSet<&ChunkKey> = keys.iter().collect();
        written.outcomes = self
            .undurable_outcomes
            .iter()
            .filter(|(task, _)| included.contains(&(task.job, task.index / CHUNK)))
            .copied()
            .collect();
        written
    }

    /// The round is durable: its placements may be launched, its outcomes forgotten.
    pub fn confirm(&mut self, written: &CommittedChanges) {
        for (task, attempt) in &written.placements {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            if let Some(p) = job.placed.get_mut(&task.index) {
                if p.attempt == *attempt {
                    self.unrecorded -= usize::from(!p.durable);
                    p.durable = true;
                    let machine = p.machine.clone();
                    self.urgent_machines.insert(machine);
                }
            }
        }
        for outcome in &written.outcomes {
            self.undurable_outcomes.remove(outcome);
        }
    }

    /// Works out anew which jobs lie within their team's guarantee: those that fit into it
    /// together with the team's earlier unfinished jobs. Since the sum only grows, they are the
    /// first of the team's jobs, and only teams whose jobs have changed are looked at.
    pub(crate) fn refresh_guarantees(&mut self) {
        let mut changed = Vec::new();
        for team in self.teams.values_mut().filter(|team| team.stale) {
            team.stale = false;
            let fitting = |order: &[JobId]| {
                let mut sum = Resources::default();
                let fits = |id: &&JobId| {
                    let Some(job) = self.jobs.get(*id) else {
                        return true;
                    };
                    sum += job.spec.needs.times(u64::from(job.spec.tasks));
                    sum.fits_quota(&team.guarantee)
                };
                order
                    .iter()
                    .take_while(fits)
                    .copied()
                    .collect::<BTreeSet<JobId>>()
            };
            let mut order: Vec<JobId> = team.open.iter().map(|(_, id)| *id).collect();
            if self.overloaded {
                // Its guarantee goes to what it can get done with it, not to its oldest jobs.
                order.sort_by_key(|id| self.jobs.get(id).map(due));
            }
            let within = fitting(&order);
            order.sort_by_key(|id| std::cmp::Reverse(self.jobs.get(id).map(|j| j.spec.priority)));
            let strictly_guaranteed = fitting(&order);
            for id in &order {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.strictly_guaranteed = strictly_guaranteed.contains(id);
                }
            }
            for id in team.within.symmetric_difference(&within) {
                let Some(job) = self.jobs.get_mut(id) else {
                    continue;
                };
                // What ends or is cancelled stays what it was.
                if team.open.contains(&(job.order, *id)) {
                    job.guaranteed = within.contains(id);
                    changed.push(*id);
                }
            }
            team.within = within;
        }
        for id in changed {
            self.rerank(id);
        }
    }

    /// A job's place in the order has changed.
    pub(crate) fn rerank(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rank = rank_of(job);
        for index in 0..job.cursor {
            let key = EntryKey::Task(TaskId { job: id, index });
            self.queue.rerank(key, (rank.0, rank.1, rank.2, index));
        }
        self.queue.rerank(EntryKey::Gang(id), rank);
    }
}

/// Rank of a job's entries. Among equals the order is that of submissions, each set back by a
/// multiple of the time that the job takes with its team's whole limit: what is short is not
/// kept waiting behind what will be late anyway, and what is long is not put off for ever.
pub(crate) fn rank_of(job: &Job) -> Rank {
    (
        u8::from(!job.guaranteed),
        std::cmp::Reverse(job.spec.priority),
        due(job),
        0,
    )
}

/// A job's place among its equals.
fn due(job: &Job) -> u64 {
    job.order
        .saturating_add(job.size_penalty.whole_millis() + job.overload_penalty.whole_millis())
}

impl PartitionState {
    /// Records a placement and counts it at once.
    pub(crate) fn place(
        &mut self,
        task: TaskId,
        machine: &MachineName,
        attempt: Attempt,
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let placement = Placement::new(machine.clone(), attempt, now);
        let waited = now.duration_since(job.seen_at).whole_millis();
        let cached = self
            .machines
            .get(machine)
            .is_some_and(|m| m.has_image(&job.spec.image));
        tracing::debug!(%task, %machine, class = job.spec.class, waited, cached, guaranteed = job.guaranteed, "placed");
        self.waits.push(waited);
        job.placed.insert(task.index, placement.clone());
        let spec = job.spec.clone();
        self.count_in(task, &spec, &placement);
        self.touch(task);
    }
}
