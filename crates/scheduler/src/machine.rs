//! A machine of the partition, as its newest status and what was sent to it show it.

use crate::placement::{DirectLaunch, TaskAttempt};
use model::DurationExt;
use model::{
    FencingToken, JobId, JobKind, JobSpec, MachineName, PartitionId, Resources, SequenceNumber,
    TaskId, Timestamp, WorkerEpoch, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::workers::{ExitCause, TaskState};

/// How long exited tasks are retained before the tokens are raised for them, so that one change
/// settles those of some time.
const EXITED_TASK_RETENTION: Duration = Duration::from_secs(45);

/// A task in the machine's newest status that is not placed there.
#[derive(Debug, Clone, PartialEq)]
pub struct OrphanedTask {
    pub id: TaskAttempt,
    pub state: TaskState,
    pub exit_cause: Option<ExitCause>,
}

/// A machine that is to be transferred to another partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingTransfer {
    pub to: PartitionId,
    /// The transfer is abandoned if the machine still has tasks by then.
    pub until: Timestamp,
}

/// A machine's position in the capacity index. The derived order is that of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityKey {
    pub class: u32,
    pub replica_count: u64,
    pub milli_gpus: u64,
    pub milli_cpus: u64,
}

/// Results of liveness probes of a machine.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeState {
    /// A probe has been sent and its result is not known yet.
    pub pending: bool,
    /// Number of unanswered probes since the machine's last status.
    pub missed: u32,
    /// When the first of them failed.
    pub first_missed_at: Timestamp,
    /// When the last of them failed.
    pub last_missed_at: Timestamp,
}

/// Where a previous leader reached a machine that has not sent its status to this one yet.
#[derive(Debug, Clone)]
pub(crate) struct ReplicatedEndpoint {
    pub address: String,
    pub worker_epoch: WorkerEpoch,
    /// It sent heartbeats to the previous leader.
    pub reporting: bool,
}

/// A machine of the partition and the worker on it.
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
    /// Needs of all placed tasks.
    pub used: Resources,
    /// Capacity reserved for entries of the queue.
    pub(crate) reserved: Resources,
    /// The gang for which the machine is reserved.
    pub(crate) reserved_for_gang: Option<JobId>,
    /// Since when a machine with GPUs has had no GPU work.
    pub(crate) no_gpu_work_since: Option<Timestamp>,
    /// Its position in the capacity index; none if it accepts no tasks.
    pub(crate) capacity_key: Option<CapacityKey>,
    /// Tasks that are placed here.
    pub tasks: BTreeSet<TaskId>,
    /// Number of replicas of services among them.
    pub replica_count: u64,
    /// Number of best-effort tasks among them.
    pub best_effort_count: u64,
    /// Needs of the best-effort tasks.
    pub best_effort_used: Resources,
    /// When the last task that is not best-effort was removed.
    pub last_regular_removed_at: Timestamp,
    /// Fencing token of the replies and commands to it.
    pub token: FencingToken,
    /// Worker epoch in its newest status.
    pub worker_epoch: WorkerEpoch,
    /// Sequence number of its newest status.
    pub sequence_number: SequenceNumber,
    /// Highest token that the worker reports to have seen.
    pub seen_token: FencingToken,
    /// When its newest status came in, by a heartbeat or the response to a direct call; none: no status
    /// since this controller leads the partition.
    pub last_seen_at: Option<Timestamp>,
    /// What a previous leader replicated, until the machine sends its own status.
    pub(crate) replicated_endpoint: Option<ReplicatedEndpoint>,
    pub(crate) probe_state: ProbeState,
    /// Since when nothing has shown that what is sent to it arrives, although its heartbeats may: see the
    /// module `liveness`.
    pub(crate) suspected_since: Option<Timestamp>,
    /// When its lease was last renewed by the reply to a heartbeat.
    pub lease_renewed_at: Timestamp,
    /// When a direct launch was last sent to it. A worker epoch without any renewal still lasts for one
    /// lease from its start, and the launch named an epoch that had started by then.
    pub last_direct_call_at: Timestamp,
    /// When its newest heartbeat came in, as opposed to the response to a direct call: only heartbeats
    /// renew its lease, so only they make it usable for new tasks.
    pub last_heartbeat_at: Option<Timestamp>,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Timestamp>,
    /// It is being transferred to another partition or returned to the cloud.
    pub leaving: bool,
    /// Tasks of different jobs have failed on it.
    pub quarantined: bool,
    /// Failures since the last success, by job.
    pub failures_by_job: BTreeMap<JobId, u32>,
    /// Tasks in its newest status that are not placed here.
    pub orphaned_tasks: Vec<OrphanedTask>,
    /// Cached images with their sizes in gigabytes, least recently used first.
    pub images: Vec<(Arc<str>, f64)>,
    /// Since when no task has been placed here.
    pub idle_since: Timestamp,
    /// To be transferred as soon as it has no tasks; it takes no new ones until then.
    pub pending_transfer: Option<PendingTransfer>,
    /// Until then its tasks are moved elsewhere and it takes no new ones.
    pub draining_until: Option<Timestamp>,
    /// Launches in the reply to the newest heartbeat, which may not have arrived yet: only the next
    /// heartbeat shows that the reply has arrived or was lost.
    pub response_launches: Vec<TaskAttempt>,
    /// Direct launches of attempts that the worker may still remember. A copy of one may arrive at any
    /// later time, even of one that was answered.
    pub(crate) direct_launches: BTreeMap<TaskAttempt, DirectLaunch>,
    /// Since when it has had exited tasks that must not be forgotten before it has seen a higher token.
    pub(crate) exited_retained_since: Option<Timestamp>,
    /// The least upper bound of all lost direct launches. Until it is superseded, the worker may execute
    /// one of them.
    pub lost_launch_bound: Option<DirectLaunch>,
}

impl Machine {
    /// Adds a placed task to the counts.
    pub fn add_task(&mut self, task: TaskId, spec: &JobSpec) {
        if self.tasks.insert(task) {
            self.used += spec.needs;
            self.replica_count += u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort_count += 1;
                self.best_effort_used += spec.needs;
            }
        }
    }

    /// Number of tasks that are not best-effort.
    pub fn regular_count(&self) -> u64 {
        self.tasks.len() as u64 - self.best_effort_count
    }

    /// Removes a task from the counts.
    pub fn remove_task(&mut self, task: TaskId, spec: &JobSpec, now: Timestamp) {
        if self.tasks.remove(&task) {
            self.used -= spec.needs;
            self.replica_count -= u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort_count -= 1;
                self.best_effort_used -= spec.needs;
            } else if self.regular_count() == 0 {
                self.last_regular_removed_at = now;
            }
            if self.tasks.is_empty() {
                self.idle_since = now;
            }
        }
    }

    /// A machine that has not sent its status yet.
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
            reserved_for_gang: None,
            no_gpu_work_since: None,
            capacity_key: None,
            tasks: BTreeSet::new(),
            replica_count: 0,
            best_effort_count: 0,
            best_effort_used: Resources::default(),
            last_regular_removed_at: Timestamp::default(),
            token,
            worker_epoch: WorkerEpoch(0),
            sequence_number: SequenceNumber(0),
            seen_token: FencingToken(0),
            last_seen_at: None,
            replicated_endpoint: None,
            probe_state: ProbeState::default(),
            suspected_since: None,
            lease_renewed_at: Timestamp::default(),
            last_direct_call_at: Timestamp::default(),
            last_heartbeat_at: None,
            reclaim_at: None,
            leaving: false,
            quarantined: false,
            failures_by_job: BTreeMap::new(),
            orphaned_tasks: Vec::new(),
            images: Vec::new(),
            idle_since: Timestamp::default(),
            pending_transfer: None,
            draining_until: None,
            response_launches: Vec::new(),
            direct_launches: BTreeMap::new(),
            exited_retained_since: None,
            lost_launch_bound: None,
        }
    }

    /// Capacity that is not used; part of it may be reserved.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Whether the image is cached.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Notes that a task with this image has fetched it; returns the images that were evicted from the
    /// cache.
    pub(crate) fn touch_image(&mut self, image: &Arc<str>, gb: f64) -> Vec<Arc<str>> {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        let mut evicted = Vec::new();
        while total > self.cache_gb && self.images.len() > 1 {
            let (name, gb) = self.images.remove(0);
            total -= gb;
            evicted.push(name);
        }
        evicted
    }

    /// Whether new tasks may be placed here.
    pub fn usable(&self, now: Timestamp, heartbeat_grace: Duration) -> bool {
        !self.leaving
            && self.pending_transfer.is_none()
            && self.draining_until.is_none_or(|until| now >= until)
            && !self.quarantined
            && self.lost_launch_bound.is_none()
            && self.suspected_since.is_none()
            && self.reclaim_at.is_none()
            && self.seen_token <= self.token
            && self
                .last_heartbeat_at
                .is_some_and(|at| now.duration_since(at) <= heartbeat_grace)
    }

    /// Whether the worker will not execute the launch any more.
    pub(crate) fn has_superseded(&self, launch: &DirectLaunch) -> bool {
        launch.is_superseded_by(self.seen_token, self.worker_epoch)
    }

    /// A direct launch was lost that could start a task again after the worker has forgotten it.
    pub fn record_lost_launch(&mut self, launch: DirectLaunch) {
        let previous = self.lost_launch_bound.unwrap_or_default();
        self.lost_launch_bound = Some(DirectLaunch {
            token: previous.token.max(launch.token),
            worker_epoch: previous.worker_epoch.max(launch.worker_epoch),
        });
    }

    /// Whether no launch of an exited task can arrive any more that the worker would execute.
    ///
    /// A launch of an attempt that the worker remembers has no effect, so a copy of it does harm only
    /// after the worker has forgotten the attempt; even if the task was done, since its job may have been
    /// cancelled after that.
    pub(crate) fn may_forget(&self, orphan: &OrphanedTask) -> bool {
        self.direct_launches
            .get(&orphan.id)
            .is_none_or(|launch| self.has_superseded(launch))
    }

    /// Updates since when exited tasks are retained, and drops launches that no longer matter.
    pub(crate) fn update_exited_tasks(&mut self, now: Timestamp) {
        let orphaned_tasks = std::mem::take(&mut self.orphaned_tasks);
        let retains_any = orphaned_tasks
            .iter()
            .any(|orphan| orphan.state == TaskState::Exited && !self.may_forget(orphan));
        self.exited_retained_since = retains_any.then(|| self.exited_retained_since.unwrap_or(now));
        let tasks = &self.tasks;
        self.direct_launches.retain(|launched, _| {
            tasks.contains(&launched.task)
                || orphaned_tasks.iter().any(|orphan| orphan.id == *launched)
        });
        self.orphaned_tasks = orphaned_tasks;
    }

    /// Whether its record must get a higher token to supersede a lost launch.
    pub fn lost_launch_needs_higher_token(&self) -> bool {
        self.lost_launch_bound.is_some() && self.seen_token >= self.token
    }

    /// Whether it has retained exited tasks for so long that all machines of the partition should get a
    /// higher token.
    pub fn exited_tasks_need_higher_token(&self, now: Timestamp) -> bool {
        let is_due = self
            .exited_retained_since
            .is_some_and(|since| now.duration_since(since) >= EXITED_TASK_RETENTION);
        is_due && self.seen_token >= self.token
    }

    /// Whether its lease was renewed so recently that it should not have expired.
    pub(crate) fn lease_should_be_valid(&self, lease: Duration, now: Timestamp) -> bool {
        self.lease_renewed_at > Timestamp::default()
            && now.duration_since(self.lease_renewed_at) < lease
    }

    /// Whether its heartbeats arrive here while nothing that is sent to it arrives there.
    pub fn is_unreachable(&self) -> bool {
        self.suspected_since
            .is_some_and(|since| self.last_heartbeat_at.is_some_and(|at| at > since))
    }

    /// The reply to a heartbeat renews the machine's lease.
    ///
    /// A heartbeat that is not newer than the known status was sent before that status came in, so the
    /// reply to it renews the lease from then only: a late copy of a heartbeat does not defer lease expiry.
    pub fn renew_lease(&mut self, is_newer: bool, now: Timestamp) {
        let renewed_at = if is_newer {
            now
        } else {
            self.last_seen_at.unwrap_or_default()
        };
        self.lease_renewed_at = self.lease_renewed_at.max(renewed_at);
    }

    /// Whether every task must be gone, because no leader can have renewed the lease for its whole
    /// duration.
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
