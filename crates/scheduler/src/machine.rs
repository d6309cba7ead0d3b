//! A machine of the share, as its newest report and our own doings show it.

use crate::failover::ReplicatedEndpoint;
use model::DurationExt;
use model::{
    Attempt, FencingToken, JobId, JobKind, JobSpec, MachineName, PartitionId, Resources,
    SequenceNumber, TaskId, Timestamp, WorkerEpoch, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::workers::{ExitCause, TaskState};

/// How long exited tasks are kept before tokens are raised for them: those of some time at once.
const EXITED_TASK_RETENTION: Duration = Duration::from_secs(45);

/// A task in the newest report that has no placement here.
#[derive(Debug, Clone, PartialEq)]
pub struct OrphanedTask {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskState,
    pub why: Option<ExitCause>,
}

/// A machine's way to another partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingTransfer {
    pub to: PartitionId,
    /// When it is kept after all if it is not empty by then.
    pub until: Timestamp,
}

/// Where a machine stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub class: u32,
    pub pinned: u64,
    pub milli_gpus: u64,
    pub milli_cpus: u64,
}

/// What came of asking a machine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeState {
    /// A question is under way.
    pub pending: bool,
    /// Questions without an answer since it was heard last.
    pub missed: u32,
    /// When the first and the last of them were given up.
    pub first: Timestamp,
    pub at: Timestamp,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    pub name: MachineName,
    pub machine_type: String,
    pub zone: ZoneName,
    pub spot: bool,
    pub address: Option<String>,
    pub capacity: Resources,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    /// What placements take, proven gone or not.
    pub used: Resources,
    /// Room promised to entries of the queue.
    pub(crate) reserved: Resources,
    /// A gang for which it is kept.
    pub(crate) held_for: Option<JobId>,
    /// Since when a machine with GPUs has had other work only.
    pub(crate) no_gpu_work_since: Option<Timestamp>,
    /// Where it stands in the index of rooms.
    pub(crate) place: Option<Place>,
    pub tasks: BTreeSet<TaskId>,
    /// Replicas of services among them.
    pub pinned: u64,
    /// Best-effort tasks among them, and what they take.
    pub best_effort: u64,
    pub best_effort_used: Resources,
    /// When the last task that is not best-effort left.
    pub regular_left_at: Timestamp,
    /// Token that our answers bear.
    pub token: FencingToken,
    pub session: WorkerEpoch,
    pub seq: SequenceNumber,
    /// Highest token that the worker says it has seen.
    pub seen_token: FencingToken,
    /// When the newest report came in; none: not heard since we hold the share.
    pub last_seen_at: Option<Timestamp>,
    /// What a predecessor said of it, until it is heard.
    pub(crate) replicated_endpoint: Option<ReplicatedEndpoint>,
    /// What came of asking it directly whether it is there.
    pub(crate) probe_state: ProbeState,
    /// Since when nothing shows that what we send reaches it, although it may be heard: see `heartbeat_grace.rs`.
    pub(crate) suspected_since: Option<Timestamp>,
    /// When we answered it last.
    pub lease_renewed_at: Timestamp,
    /// When we last sent it a direct launch. A session that nobody answers still lives for one
    /// lease from its begin, and the launch named a session that had begun by then.
    pub last_direct_call_at: Timestamp,
    /// When its newest report came in, as opposed to a direct answer: only reports keep its
    /// lease alive, so only they make it fit for new tasks.
    pub last_heartbeat_at: Option<Timestamp>,
    /// When the cloud takes it.
    pub notice: Option<Timestamp>,
    /// On its way to another partition or back to the cloud.
    pub leaving: bool,
    /// Fails what it starts.
    pub quarantined: bool,
    /// Failures since the last success, by job.
    pub failures_by_job: BTreeMap<JobId, u32>,
    pub orphaned_tasks: Vec<OrphanedTask>,
    /// Images it holds, least recently used first.
    pub images: Vec<(Arc<str>, f64)>,
    pub idle_since: Timestamp,
    /// Goes to another partition as soon as it is empty, and takes nothing new until then.
    pub pending_transfer: Option<PendingTransfer>,
    /// Being emptied until then, and takes nothing new.
    pub emptied_until: Option<Timestamp>,
    /// Launches in the newest answer to a report, which may still be under way: only the next
    /// report shows that it has arrived or was dropped.
    pub answer_launches: Vec<(TaskId, Attempt)>,
    /// Direct launches of ours whose attempts the worker may still remember: under which token and in which
    /// session. A copy of one may come at any later time, also of one that was answered.
    pub(crate) direct: BTreeMap<(TaskId, Attempt), (FencingToken, WorkerEpoch)>,
    /// Since when it has had exited tasks that must not be forgotten before it has seen a higher token.
    pub(crate) exited_retained_since: Option<Timestamp>,
    /// Token and session of a lost direct launch. Only a worker that has seen a higher token or
    /// has begun a newer session will not execute it any more.
    pub unconfirmed_launch: Option<(FencingToken, WorkerEpoch)>,
}

impl Machine {
    /// Counts a task in.
    pub fn hold(&mut self, task: TaskId, spec: &JobSpec) {
        if self.tasks.insert(task) {
            self.used += spec.needs;
            self.pinned += u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort += 1;
                self.best_effort_used += spec.needs;
            }
        }
    }

    /// Tasks that are not best-effort.
    pub fn regular(&self) -> u64 {
        self.tasks.len() as u64 - self.best_effort
    }

    /// Counts a task out.
    pub fn let_go(&mut self, task: TaskId, spec: &JobSpec, now: Timestamp) {
        if self.tasks.remove(&task) {
            self.used -= spec.needs;
            self.pinned -= u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort -= 1;
                self.best_effort_used -= spec.needs;
            } else if self.regular() == 0 {
                self.regular_left_at = now;
            }
            if self.tasks.is_empty() {
                self.idle_since = now;
            }
        }
    }

    /// A machine of which nothing is known but its record.
    pub fn new(
        name: MachineName,
        kind: &MachineType,
        zone: ZoneName,
        spot: bool,
        token: FencingToken,
    ) -> Self {
        Machine {
            name,
            machine_type: kind.name.clone(),
            zone,
            spot,
            address: None,
            capacity: Resources::offered(kind.cpus, kind.gpus, kind.memory_gb),
            cache_gb: kind.cache_gb,
            fetch_gb_per_s: kind.fetch_gb_per_s,
            used: Resources::default(),
            reserved: Resources::default(),
            held_for: None,
            no_gpu_work_since: None,
            place: None,
            tasks: BTreeSet::new(),
            pinned: 0,
            best_effort: 0,
            best_effort_used: Resources::default(),
            regular_left_at: Timestamp::default(),
            token,
            session: WorkerEpoch(0),
            seq: SequenceNumber(0),
            seen_token: FencingToken(0),
            last_seen_at: None,
            replicated_endpoint: None,
            probe_state: ProbeState::default(),
            suspected_since: None,
            lease_renewed_at: Timestamp::default(),
            last_direct_call_at: Timestamp::default(),
            last_heartbeat_at: None,
            notice: None,
            leaving: false,
            quarantined: false,
            failures_by_job: BTreeMap::new(),
            orphaned_tasks: Vec::new(),
            images: Vec::new(),
            idle_since: Timestamp::default(),
            pending_transfer: None,
            emptied_until: None,
            answer_launches: Vec::new(),
            direct: BTreeMap::new(),
            exited_retained_since: None,
            unconfirmed_launch: None,
        }
    }

    /// Room that is neither used nor promised.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Whether the image is here already.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Notes that a task with this image got past its fetch; returns the images that had to
    /// make room for it.
    pub(crate) fn touch_image(&mut self, image: &Arc<str>, gb: f64) -> Vec<Arc<str>> {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        let mut lost = Vec::new();
        while total > self.cache_gb && self.images.len() > 1 {
            let (name, gb) = self.images.remove(0);
            total -= gb;
            lost.push(name);
        }
        lost
    }

    /// Whether new tasks may be placed here.
    pub fn usable(&self, now: Timestamp, heartbeat_grace: Duration) -> bool {
        !self.leaving
            && self.pending_transfer.is_none()
            && self.emptied_until.is_none_or(|until| now >= until)
            && !self.quarantined
            && self.unconfirmed_launch.is_none()
            && self.suspected_since.is_none()
            && self.notice.is_none()
            && self.seen_token <= self.token
            && self
                .last_heartbeat_at
                .is_some_and(|at| now.duration_since(at) <= heartbeat_grace)
    }

    /// A direct launch was lost that could start again what is forgotten now.
    pub fn record_lost_launch(&mut self, token: FencingToken, session: WorkerEpoch) {
        let (old, before) = self.unconfirmed_launch.unwrap_or_default();
        self.unconfirmed_launch = Some((old.max(token), before.max(session)));
    }

    /// Whether no launch of an exited task can arrive any more that the worker would execute. An attempt
    /// that it remembers has no effect, so a copy of a launch does harm only after its forget; even where
    /// the task was completed, since its job may have been cancelled after that.
    pub(crate) fn may_forget(&self, orphan: &OrphanedTask) -> bool {
        self.direct
            .get(&(orphan.task, orphan.attempt))
            .is_none_or(|(token, session)| self.seen_token > *token || self.session > *session)
    }

    /// Notes which exited tasks are kept, and what need not be known of launches any more.
    pub(crate) fn update_exited_tasks(&mut self, now: Timestamp) {
        let orphaned_tasks = std::mem::take(&mut self.orphaned_tasks);
        let kept = orphaned_tasks
            .iter()
            .any(|s| s.state == TaskState::Exited && !self.may_forget(s));
        self.exited_retained_since = kept.then(|| self.exited_retained_since.unwrap_or(now));
        let tasks = &self.tasks;
        self.direct.retain(|(task, attempt), _| {
            tasks.contains(task)
                || orphaned_tasks
                    .iter()
                    .any(|s| s.task == *task && s.attempt == *attempt)
        });
        self.orphaned_tasks = orphaned_tasks;
    }

    /// Whether its record must get a higher token to void a lost launch.
    pub fn needs_higher_token(&self) -> bool {
        self.unconfirmed_launch.is_some() && self.seen_token >= self.token
    }

    /// Whether it has kept exited tasks for so long that all machines of the share should get a higher
    /// token.
    pub fn retains_exited_tasks(&self, now: Timestamp) -> bool {
        let kept = self
            .exited_retained_since
            .is_some_and(|at| now.duration_since(at) >= EXITED_TASK_RETENTION);
        kept && self.seen_token >= self.token
    }

    /// Whether we have answered it so lately that its lease should stand.
    pub(crate) fn answered_lately(&self, lease: Duration, now: Timestamp) -> bool {
        self.lease_renewed_at > Timestamp::default()
            && now.duration_since(self.lease_renewed_at) < lease
    }

    /// Whether it is heard and not reached: it reports, and nothing that we send gets there.
    pub fn is_unreachable(&self) -> bool {
        self.suspected_since
            .is_some_and(|since| self.last_heartbeat_at.is_some_and(|at| at > since))
    }

    /// We answer a report. One that is older than what is known was sent before that came in, so an answer
    /// to it keeps the lease up for no longer: a copy that comes late does not put the end of a lease off.
    pub fn answer(&mut self, newer: bool, now: Timestamp) {
        let known = self.last_seen_at.unwrap_or_default();
        self.lease_renewed_at = self.lease_renewed_at.max(if newer { now } else { known });
    }

    /// Whether every task must be gone: nobody entitled has answered for a whole lease.
    pub fn lease_expired(
        &self,
        now: Timestamp,
        predecessors_valid_until: Timestamp,
        lease: Duration,
    ) -> bool {
        now > self
            .lease_renewed_at
            .max(self.last_direct_call_at)
            .max(predecessors_valid_until)
            + lease.with_clock_drift()
    }
}
