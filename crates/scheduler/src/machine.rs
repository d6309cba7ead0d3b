//! A machine of the partition: its capacity, the tasks placed on it, what its newest status shows, and
//! the launches that were sent to it.

use crate::command_batch::StopDelivery;
use crate::heartbeat_size::HeartbeatSize;
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

/// How long a worker keeps exited tasks that it must not forget yet before the partition's tokens are
/// raised for them. One raise settles all the tasks that have exited meanwhile.
const EXITED_TASK_RETENTION: Duration = Duration::from_secs(45);

/// A task that a machine's newest status lists but that is not placed on the machine.
#[derive(Debug, Clone, PartialEq)]
pub struct OrphanedTask {
    pub id: TaskAttempt,
    pub state: TaskState,
    pub exit_cause: Option<ExitCause>,
    /// Length of its entry in the status, in bytes.
    pub(crate) entry_bytes: usize,
}

/// A machine that is to be transferred to another partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingTransfer {
    pub to: PartitionId,
    /// When the transfer is abandoned if the machine still has tasks.
    pub until: Timestamp,
}

/// A machine's key in the capacity index. The index is sorted by the derived order, so the order of the
/// fields matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CapacityKey {
    /// Index of the machine's class: its type, its zone, and whether it is a spot machine.
    pub class: u32,
    pub replica_count: u64,
    pub milli_gpus: u64,
    pub milli_cpus: u64,
}

/// Liveness probes of a machine and their results.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProbeState {
    /// A probe has been sent and its result is not known yet.
    pub pending: bool,
    /// Number of unanswered probes since the machine's newest status.
    pub missed: u32,
    /// When the first of these failed.
    pub first_missed_at: Timestamp,
    /// When the last of these failed.
    pub last_missed_at: Timestamp,
}

/// Where a previous leader reached a machine that has not sent a status to this leader yet.
#[derive(Debug, Clone)]
pub(crate) struct ReplicatedEndpoint {
    pub address: String,
    pub worker_epoch: WorkerEpoch,
    /// Whether it sent heartbeats to the previous leader.
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
    /// Resources of all tasks that are placed here.
    pub used: Resources,
    /// Resources that are reserved here for queue entries.
    pub(crate) reserved: Resources,
    /// The gang for which the machine is reserved.
    pub(crate) reserved_for_gang: Option<JobId>,
    /// Since when a machine with GPUs has had tasks, but no GPU work among them.
    pub(crate) no_gpu_work_since: Option<Timestamp>,
    /// Its key in the capacity index; none while it is not in the index.
    pub(crate) capacity_key: Option<CapacityKey>,
    /// Tasks that are placed here.
    pub tasks: BTreeSet<TaskId>,
    /// Number of replicas of services among the tasks.
    pub replica_count: u64,
    /// Number of best-effort tasks among the tasks.
    pub best_effort_count: u64,
    /// Resources of the best-effort tasks.
    pub best_effort_used: Resources,
    /// When the number of tasks that are not best-effort last dropped to 0.
    pub last_regular_removed_at: Timestamp,
    /// Fencing token under which this leader sends replies and commands to it.
    pub token: FencingToken,
    /// Worker epoch in its newest status.
    pub worker_epoch: WorkerEpoch,
    /// Sequence number of its newest status.
    pub sequence_number: SequenceNumber,
    /// Highest fencing token that the worker has reported to have seen.
    pub seen_token: FencingToken,
    /// When its newest status came in, by a heartbeat or in the response to a direct call. None if this
    /// leader has had no status of it.
    pub last_seen_at: Option<Timestamp>,
    /// Where a previous leader reached it, from the replicated records; none once the machine has sent a
    /// status to this leader.
    pub(crate) replicated_endpoint: Option<ReplicatedEndpoint>,
    pub(crate) probe_state: ProbeState,
    /// Since when it has been suspected that replies and commands do not reach it, although its heartbeats
    /// may arrive here: see the module `liveness`.
    pub(crate) suspected_since: Option<Timestamp>,
    /// When its lease was last renewed by the reply to a heartbeat.
    pub lease_renewed_at: Timestamp,
    /// When a direct launch was last sent to it. Lease expiry counts from then too: a worker epoch lasts
    /// for one lease from its start even if the lease is never renewed, and the epoch that the launch named
    /// had started by then.
    pub last_direct_call_at: Timestamp,
    /// When its newest heartbeat came in. Responses to direct calls do not count: only the reply to a
    /// heartbeat renews its lease, so only heartbeats make it usable for new tasks.
    pub last_heartbeat_at: Option<Timestamp>,
    /// When the cloud will reclaim it, if the worker has been notified.
    pub reclaim_at: Option<Timestamp>,
    /// It is being transferred to another partition or returned to the cloud.
    pub leaving: bool,
    /// It gets no new tasks, since tasks of different jobs have failed on it.
    pub quarantined: bool,
    /// Number of failed tasks since a task last succeeded on it, by job.
    pub failures_by_job: BTreeMap<JobId, u32>,
    /// Tasks that its newest status lists but that are not placed here.
    pub orphaned_tasks: Vec<OrphanedTask>,
    /// Cached images with their sizes in GB, the least recently used first.
    pub images: Vec<(Arc<str>, f64)>,
    /// Since when no task has been placed here.
    pub idle_since: Timestamp,
    /// The transfer for which it takes no new tasks; it is transferred as soon as it has none.
    pub pending_transfer: Option<PendingTransfer>,
    /// Until when it takes no new tasks, because its tasks are being moved to other machines.
    pub draining_until: Option<Timestamp>,
    /// Launches that were sent in the reply to its newest heartbeat. The reply may still be on its way:
    /// only the next heartbeat shows that it has arrived or was lost.
    pub response_launches: Vec<TaskAttempt>,
    /// Direct launches of attempts that the worker may still remember. The network may deliver a copy of a
    /// launch at any later time, even after it has been answered.
    pub(crate) direct_launches: BTreeMap<TaskAttempt, DirectLaunch>,
    /// Since when it has had exited tasks that the worker must not forget before it has seen a higher
    /// token.
    pub(crate) exited_retained_since: Option<Timestamp>,
    /// The highest token and the highest worker epoch of all lost direct launches. Until the worker has
    /// superseded this bound, it may execute one of them.
    pub lost_launch_bound: Option<DirectLaunch>,
    /// Size of its next heartbeat.
    pub(crate) heartbeat_size: HeartbeatSize,
    /// Stop commands that were sent to it.
    pub(crate) stop_delivery: StopDelivery,
    /// Whether the last message to it could not carry all commands that were due.
    pub(crate) has_unsent_commands: bool,
}

impl Machine {
    /// Adds a placed task and counts it.
    pub fn add_task(&mut self, id: TaskAttempt, spec: &JobSpec) {
        if self.tasks.insert(id.task) {
            self.heartbeat_size.add_placed(id);
            self.used += spec.task_resources;
            self.replica_count += u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort_count += 1;
                self.best_effort_used += spec.task_resources;
            }
        }
    }

    /// Number of tasks that are not best-effort.
    pub fn regular_count(&self) -> u64 {
        self.tasks.len() as u64 - self.best_effort_count
    }

    /// Removes a task and no longer counts it.
    pub fn remove_task(&mut self, id: TaskAttempt, spec: &JobSpec, now: Timestamp) {
        if self.tasks.remove(&id.task) {
            self.heartbeat_size.remove_placed(id);
            self.used -= spec.task_resources;
            self.replica_count -= u64::from(spec.kind == JobKind::Service);
            if spec.is_best_effort() {
                self.best_effort_count -= 1;
                self.best_effort_used -= spec.task_resources;
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
        machine_type: &MachineType,
        zone: ZoneName,
        spot: bool,
        token: FencingToken,
    ) -> Self {
        Machine {
            name,
            machine_type: machine_type.name.clone(),
            zone,
            spot,
            address: None,
            capacity: Resources::offered(
                machine_type.cpus,
                machine_type.gpus,
                machine_type.memory_gb,
            ),
            cache_gb: machine_type.cache_gb,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
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
            heartbeat_size: HeartbeatSize::default(),
            stop_delivery: StopDelivery::default(),
            has_unsent_commands: false,
        }
    }

    /// Capacity that no placed task uses; part of it may be reserved.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Whether the image is cached.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| &**name == image)
    }

    /// Records that a task has fetched or used an image. Returns the images that the cache evicts for it.
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
    pub fn usable(&self, now: Timestamp, heartbeat_timeout: Duration) -> bool {
        !self.leaving
            && self.pending_transfer.is_none()
            && self.draining_until.is_none_or(|until| now >= until)
            && !self.quarantined
            && self.lost_launch_bound.is_none()
            && self.suspected_since.is_none()
            && self.reclaim_at.is_none()
            && self.seen_token <= self.token
            && self.heartbeat_size.has_room()
            && self
                .last_heartbeat_at
                .is_some_and(|at| now.duration_since(at) <= heartbeat_timeout)
    }

    /// Whether the worker certainly no longer executes the launch.
    pub(crate) fn has_superseded(&self, launch: &DirectLaunch) -> bool {
        launch.is_superseded_by(self.seen_token, self.worker_epoch)
    }

    /// The direct launch of an attempt, if the worker may still execute a copy of it.
    pub(crate) fn unsuperseded_launch(&self, id: &TaskAttempt) -> Option<DirectLaunch> {
        self.direct_launches
            .get(id)
            .copied()
            .filter(|launch| !self.has_superseded(launch))
    }

    /// Records a lost direct launch: if it arrived after the worker has forgotten the task, it would start
    /// the task again.
    pub fn record_lost_launch(&mut self, launch: DirectLaunch) {
        let previous = self.lost_launch_bound.unwrap_or_default();
        self.lost_launch_bound = Some(DirectLaunch {
            token: previous.token.max(launch.token),
            worker_epoch: previous.worker_epoch.max(launch.worker_epoch),
        });
    }

    /// Whether the worker may forget an exited task: it no longer executes any direct launch of it.
    ///
    /// A launch of an attempt that the worker remembers has no effect. A late copy that arrives after the
    /// worker has forgotten the attempt starts it again. That does harm even if the task was done, since
    /// its job may have been cancelled after that.
    pub(crate) fn may_forget(&self, orphan: &OrphanedTask) -> bool {
        self.direct_launches
            .get(&orphan.id)
            .is_none_or(|launch| self.has_superseded(launch))
    }

    /// Updates since when there are exited tasks that must not be forgotten, and drops the direct launches
    /// of tasks that are neither placed here nor listed by the newest status.
    pub(crate) fn update_exited_tasks(&mut self, now: Timestamp) {
        let orphaned_tasks = std::mem::take(&mut self.orphaned_tasks);
        let retained_bytes: usize = orphaned_tasks
            .iter()
            .filter(|orphan| orphan.state == TaskState::Exited && !self.may_forget(orphan))
            .map(|orphan| orphan.entry_bytes)
            .sum();
        let orphaned_bytes = orphaned_tasks.iter().map(|orphan| orphan.entry_bytes).sum();
        self.heartbeat_size
            .set_orphaned(orphaned_bytes, retained_bytes);
        self.exited_retained_since =
            (retained_bytes > 0).then(|| self.exited_retained_since.unwrap_or(now));
        self.drop_unneeded_launches(&orphaned_tasks);
        self.orphaned_tasks = orphaned_tasks;
    }

    /// Drops the direct launches of tasks that are neither placed here nor listed by the newest status. If the worker
    /// may still execute a copy of one, it has lost a task that it was not told to forget.
    fn drop_unneeded_launches(&mut self, listed: &[OrphanedTask]) {
        let tasks = &self.tasks;
        let is_needed = |launched: &TaskAttempt| {
            tasks.contains(&launched.task) || listed.iter().any(|orphan| orphan.id == *launched)
        };
        let unneeded: Vec<TaskAttempt> = self
            .direct_launches
            .keys()
            .filter(|launched| !is_needed(launched))
            .copied()
            .collect();
        for launched in unneeded {
            if let Some(launch) = self.unsuperseded_launch(&launched) {
                self.record_lost_launch(launch);
            }
            self.direct_launches.remove(&launched);
        }
    }

    /// Whether its record must get a higher token to supersede a lost launch: the worker has already seen
    /// the present one.
    pub fn lost_launch_needs_higher_token(&self) -> bool {
        self.lost_launch_bound.is_some() && self.seen_token >= self.token
    }

    /// Whether its worker has had to keep exited tasks for so long, or so many of them, that all machines of the
    /// partition should get a higher token.
    pub fn exited_tasks_need_higher_token(&self, now: Timestamp) -> bool {
        let needs_room = self.heartbeat_size.has_many_retained() || self.has_unsent_commands;
        let is_due = self
            .exited_retained_since
            .is_some_and(|since| needs_room || now.duration_since(since) >= EXITED_TASK_RETENTION);
        is_due && self.seen_token >= self.token
    }

    /// Whether its lease was renewed so recently that it should not have expired.
    pub(crate) fn lease_should_be_valid(&self, lease_duration: Duration, now: Timestamp) -> bool {
        self.lease_renewed_at > Timestamp::default()
            && now.duration_since(self.lease_renewed_at) < lease_duration
    }

    /// Whether its heartbeats arrive here although it is suspected that nothing sent to it arrives there.
    pub fn is_unreachable(&self) -> bool {
        self.suspected_since
            .is_some_and(|since| self.last_heartbeat_at.is_some_and(|at| at > since))
    }

    /// Records that the reply to a heartbeat renews the machine's lease.
    ///
    /// `is_newer`: the heartbeat is newer than the status known before. Any other heartbeat was sent before
    /// the known status came in, so the reply to it renews the lease only from that time on: a late copy of
    /// a heartbeat does not defer lease expiry.
    pub fn renew_lease(&mut self, is_newer: bool, now: Timestamp) {
        let renewed_at = if is_newer {
            now
        } else {
            self.last_seen_at.unwrap_or_default()
        };
        self.lease_renewed_at = self.lease_renewed_at.max(renewed_at);
    }

    /// Whether its lease must have expired, so that all its tasks are gone: for the whole duration of a
    /// lease, clock drift included, no leader can have renewed it.
    pub fn lease_expired(
        &self,
        now: Timestamp,
        predecessors_valid_until: Timestamp,
        lease_duration: Duration,
    ) -> bool {
        now > self
            .lease_renewed_at
            .max(self.last_direct_call_at)
            .max(predecessors_valid_until)
            + lease_duration.with_clock_drift()
    }
}
