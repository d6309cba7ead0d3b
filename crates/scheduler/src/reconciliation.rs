//! Reconciliation of the partition's state with the statuses of workers.
//!
//! A status shows which tasks are on a machine. The placements there are updated by what it proves: a task
//! is launched, runs, has exited, or is gone. Tasks that it lists without a placement become orphaned
//! tasks.

use crate::job::Job;
use crate::machine::{Machine, OrphanedTask};
use crate::partition_state::PartitionState;
use crate::placement::{LaunchState, TaskAttempt};
use model::duration_from_secs;
use model::{
    Attempt, FencingToken, JobKind, MachineName, SequenceNumber, TaskId, Timestamp, WorkerEpoch,
};
use std::time::Duration;
use wire::limits::listed_task_bytes;
use wire::workers::{ExitCause, Heartbeat, TaskState, TaskStatus};

/// How long before a machine is reclaimed its tasks are stopped, in addition to the time that saving a
/// checkpoint takes.
const RECLAIM_MARGIN: Duration = Duration::from_millis(2_500);

/// How a worker's status arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// In a heartbeat: the worker has processed the reply to the previous heartbeat, or never will.
    Heartbeat,
    /// In the response to a direct call: the reply to the last heartbeat may still be on its way.
    DirectResponse,
}

/// A worker's status, with the fields of the message converted to the types of the model.
struct Status<'a> {
    machine: MachineName,
    worker_epoch: WorkerEpoch,
    sequence_number: SequenceNumber,
    token: FencingToken,
    source: StatusSource,
    received_at: Timestamp,
    address: &'a str,
    /// Time until the cloud reclaims the machine, if the worker knows of it.
    reclaimed_in: Option<Duration>,
    tasks: Vec<ListedTask<'a>>,
}

/// A task in a worker's status.
struct ListedTask<'a> {
    id: TaskAttempt,
    status: &'a TaskStatus,
}

impl<'a> Status<'a> {
    /// Converts a message; tasks whose ids cannot be parsed are left out.
    fn new(heartbeat: &'a Heartbeat, source: StatusSource, received_at: Timestamp) -> Self {
        let listed = |status: &'a TaskStatus| {
            let id = TaskAttempt {
                task: TaskId::parse(&status.task)?,
                attempt: Attempt(status.attempt),
            };
            Some(ListedTask { id, status })
        };
        Status {
            machine: MachineName::from(heartbeat.machine.as_str()),
            worker_epoch: WorkerEpoch(heartbeat.worker_epoch),
            sequence_number: SequenceNumber(heartbeat.sequence_number),
            token: FencingToken(heartbeat.token),
            source,
            received_at,
            address: &heartbeat.address,
            reclaimed_in: heartbeat.reclaimed_in_s.map(duration_from_secs),
            tasks: heartbeat.tasks.iter().filter_map(listed).collect(),
        }
    }

    fn is_newer_than(&self, machine: &Machine) -> bool {
        let known = (machine.worker_epoch, machine.sequence_number);
        machine.last_seen_at.is_none() || (self.worker_epoch, self.sequence_number) > known
    }

    /// Whether the worker had seen this leader's token when it made the status. Every earlier status may be older
    /// than anything that a previous leader did on the machine.
    fn shows_token_of(&self, machine: &Machine) -> bool {
        self.token >= machine.token
    }

    fn find(&self, id: TaskAttempt) -> Option<&'a TaskStatus> {
        let listed = self.tasks.iter().find(|listed| listed.id == id)?;
        Some(listed.status)
    }
}

impl PartitionState {
    /// Reconciles the state with the status in a heartbeat or in the response to a direct call.
    ///
    /// Returns false, without any change, if the machine is unknown or the status is not newer than the
    /// known one: an older status proves nothing.
    pub fn reconcile(
        &mut self,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: Timestamp,
    ) -> bool {
        let status = Status::new(heartbeat, source, now);
        let timeout = self.heartbeat_timeout();
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return false;
        };
        if !status.is_newer_than(machine) {
            return false;
        }
        let is_first = machine.last_seen_at.is_none();
        let is_reachable_again = machine.update_suspicion(&status, self.lease_duration);
        let was_usable = machine.usable(now, timeout);
        machine.apply_status(&status);
        let placed: Vec<TaskId> = machine.tasks.iter().copied().collect();
        for task in placed {
            self.observe_placement(task, &status);
        }
        self.update_orphaned_tasks(&status);
        if let Some(machine) = self.machines.get_mut(&status.machine) {
            if machine.usable(now, timeout) {
                self.capacity_index.add_or_update(machine);
            }
            if machine.heartbeat_size.is_exceeded() {
                // Its heartbeats are rejected, so the commands to forget tasks have to reach it directly.
                self.unsent_commands
                    .entry(status.machine.clone())
                    .or_insert(now);
            }
        }
        let is_usable_again = source == StatusSource::Heartbeat && !was_usable;
        if is_first || is_reachable_again || is_usable_again {
            self.queue.move_all(now);
        }
        true
    }

    /// Updates a placement on the machine from what the status shows of its task.
    fn observe_placement(&mut self, task: TaskId, status: &Status<'_>) {
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        let launch = placement.launch.unconfirmed_direct();
        if launch.is_some_and(|launch| machine.has_superseded(&launch)) {
            placement.launch.settle_direct_launch();
        }
        let listed = status.find(placement.id(task));
        if placement.launch == LaunchState::Inherited && !status.shows_token_of(machine) {
            // A previous leader may have launched the same attempt after this status, so whether it lists the task,
            // omits it or shows it as exited proves nothing. It is only displayed.
            placement.last_status = listed.map(|listed| listed.state);
            return;
        }
        let Some(listed) = listed else {
            self.handle_absent_task(task, status);
            return;
        };
        placement.last_status = Some(listed.state);
        placement.launch.record_observed();
        if listed.state != TaskState::Fetching {
            self.capacity_index
                .touch_image(machine, &job.spec.image, job.spec.image_gb);
        }
        let now = status.received_at;
        match listed.state {
            TaskState::Exited => {
                self.handle_exit(task, listed.exit_cause.unwrap_or(ExitCause::Error), now);
            }
            TaskState::Running => {
                let placed_at = placement.placed_at;
                job.record_running(placed_at, now);
                self.record_gang_start(task.job, now);
            }
            TaskState::Waiting => self.trigger_deferred_launches(task.job),
            _ => {}
        }
    }

    /// Handles a placed task that a newer status does not list. If a previous leader placed it, the status shows this
    /// leader's token.
    fn handle_absent_task(&mut self, task: TaskId, status: &Status<'_>) {
        let Some(machine) = self.machines.get_mut(&status.machine) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        if let Some(launch) = placement.launch.unconfirmed_direct() {
            // The launch may still arrive, so the task keeps its placement.
            if placement.stop.is_some() || placement.last_status.is_some() {
                machine.record_lost_launch(launch);
            }
            return;
        }
        if placement.launch.is_launched_in_response()
            && status.source == StatusSource::DirectResponse
        {
            return;
        }
        if let Some(launch) = machine.unsuperseded_launch(&placement.id(task)) {
            // The worker has lost a task that it was not told to forget. A late copy of the launch would start it
            // again, so it keeps its placement until the worker executes no such copy any more.
            if placement.last_status.is_some() {
                machine.record_lost_launch(launch);
                return;
            }
        }
        let was_launched = placement.launch.is_launched();
        placement.launch = LaunchState::NotLaunched;
        let was_running = placement.last_status.take().is_some();
        let is_lost_gang_member =
            job.spec.kind == JobKind::Gang && was_launched && job.gang_started_at.is_some();
        // The placement is dropped if the task was there and is gone because of a new worker epoch, if it
        // never arrived and is no longer wanted, or if a repeated launch would not arrive either. Otherwise
        // the launch was lost together with a reply and is sent to the same machine again.
        if placement.stop.is_some()
            || was_running
            || is_lost_gang_member
            || machine.suspected_since.is_some()
        {
            self.drop_placement(task, status.received_at, true);
        }
    }

    /// Records the outcome of an exited task and drops its placement. The worker is told to forget the task
    /// once the outcome is durable.
    fn handle_exit(&mut self, task: TaskId, cause: ExitCause, now: Timestamp) {
        let Some(placement) = self.placement(task) else {
            return;
        };
        let attempt = placement.attempt;
        let name = placement.machine.clone();
        let is_stopped = placement.stop.is_some();
        if let Some(launch) = placement.launch.unconfirmed_direct() {
            // If the worker forgot the task now, the unconfirmed launch could start it again.
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.record_lost_launch(launch);
            }
        }
        tracing::debug!(%task, machine = %name, ?cause, is_stopped, "task exited");
        match cause {
            ExitCause::Done => self.record_completion(task, &name),
            ExitCause::Error if !is_stopped => self.record_task_failure(task, &name, now),
            ExitCause::NoFreeCapacity | ExitCause::Busy | ExitCause::Unknown => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    *job.failures.entry(task.index).or_default() += 1;
                }
            }
            _ => {}
        }
        self.uncommitted.add_outcome(TaskAttempt { task, attempt });
        self.uncommitted.mark_dirty(task);
        self.drop_placement(task, now, true);
        let is_done_gang = |job: &Job| job.spec.kind == JobKind::Gang && job.all_done();
        if self.jobs.get(&task.job).is_some_and(is_done_gang) {
            self.stop_gang(task.job, now);
        }
    }

    fn record_completion(&mut self, task: TaskId, name: &MachineName) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.successes += 1;
        if job.spec.kind == JobKind::Gang {
            // The first task of a gang that is done completes the whole gang.
            for index in 0..job.spec.task_count {
                job.mark_done(index);
            }
        } else {
            job.mark_done(task.index);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.failures_by_job.clear();
        }
    }

    /// Updates the orphaned tasks of a machine: those that the status lists but that are not placed there.
    fn update_orphaned_tasks(&mut self, status: &Status<'_>) {
        let is_placed_here = |id: TaskAttempt| {
            self.placement(id.task).is_some_and(|placement| {
                placement.machine == status.machine && placement.attempt == id.attempt
            })
        };
        let orphaned_tasks = status
            .tasks
            .iter()
            .filter(|listed| !is_placed_here(listed.id))
            .map(|listed| OrphanedTask {
                id: listed.id,
                state: listed.status.state,
                exit_cause: listed.status.exit_cause,
                entry_bytes: listed_task_bytes(listed.status),
            })
            .collect();
        if let Some(machine) = self.machines.get_mut(&status.machine) {
            machine.orphaned_tasks = orphaned_tasks;
            machine.update_exited_tasks(status.received_at);
        }
    }

    /// Stops the tasks on machines shortly before the cloud reclaims these. Tasks with checkpoints get the
    /// time to save one. A reported exit proves at once that a task is gone, whereas tasks on a machine
    /// that vanishes count as running until its lease expires.
    pub fn drain_reclaimed_machines(&mut self, now: Timestamp) {
        let mut stops: Vec<TaskId> = Vec::new();
        for machine in self.machines.values() {
            let Some(reclaim_at) = machine.reclaim_at else {
                continue;
            };
            let left_ms = reclaim_at.as_millis().saturating_sub(now.as_millis());
            let left = Duration::from_millis(left_ms);
            let is_due = |task: &&TaskId| self.must_stop_before_reclaim(**task, left);
            stops.extend(machine.tasks.iter().filter(is_due));
        }
        for task in stops {
            let is_gang = |job: &Job| job.spec.kind == JobKind::Gang;
            if self.jobs.get(&task.job).is_some_and(is_gang) {
                self.stop_gang(task.job, now);
            } else {
                let grace_ms = self.grace_period_ms(task);
                self.stop_task(task, grace_ms, now);
            }
        }
    }

    /// Whether a task must be stopped now because its machine is reclaimed in `left`; false if it is being
    /// stopped already.
    fn must_stop_before_reclaim(&self, task: TaskId, left: Duration) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let needed = if job.spec.checkpoint_interval > Duration::ZERO {
            job.spec.checkpoint_save_time + RECLAIM_MARGIN
        } else {
            RECLAIM_MARGIN
        };
        let is_stopping = self
            .placement(task)
            .is_some_and(|placement| placement.stop.is_some());
        left <= needed && !is_stopping
    }
}

impl Machine {
    /// Updates whether the machine is suspected of not receiving commands and replies. Returns true if the
    /// status shows that a suspected machine receives them again.
    fn update_suspicion(&mut self, status: &Status<'_>, lease_duration: Duration) -> bool {
        if status.source == StatusSource::DirectResponse && self.suspected_since.take().is_some() {
            tracing::debug!(machine = %status.machine, "machine reachable again");
            return true;
        }
        // Its lease has expired although replies have renewed it: they do not reach the machine.
        let lost_lease = status.source == StatusSource::Heartbeat
            && self.last_seen_at.is_some()
            && status.worker_epoch > self.worker_epoch
            && self.lease_should_be_valid(lease_duration, status.received_at);
        if lost_lease {
            self.suspected_since.get_or_insert(status.received_at);
        }
        false
    }

    /// Updates the machine's own fields from a newer status.
    fn apply_status(&mut self, status: &Status<'_>) {
        let now = status.received_at;
        let is_first = self.last_seen_at.is_none();
        self.worker_epoch = status.worker_epoch;
        self.sequence_number = status.sequence_number;
        self.seen_token = self.seen_token.max(status.token);
        self.last_seen_at = Some(now);
        self.probe_state.missed = 0;
        if status.source == StatusSource::Heartbeat {
            self.last_heartbeat_at = Some(now);
            // A worker sends one heartbeat at a time, so the reply to the previous one has arrived or is
            // lost.
            self.response_launches.clear();
        }
        self.address = Some(status.address.to_owned());
        if let Some(endpoint) = self.replicated_endpoint.take() {
            // It has sent heartbeats to the previous leader until recently: this status counts as one,
            // which gives it one interval to find this leader.
            if endpoint.reporting && endpoint.worker_epoch == status.worker_epoch {
                self.last_heartbeat_at.get_or_insert(now);
            }
        }
        self.reclaim_at = status.reclaimed_in.map(|duration| now + duration);
        if is_first && self.tasks.is_empty() {
            self.idle_since = now;
        }
        // A status with the token of the launch is not enough: only a higher token or a later worker epoch
        // supersedes the launch.
        if self
            .lost_launch_bound
            .is_some_and(|launch| self.has_superseded(&launch))
        {
            self.lost_launch_bound = None;
        }
    }
}
