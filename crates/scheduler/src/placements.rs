//! Creating, stopping and removing placements, and the counts and indexes that follow them.

use crate::partition_state::PartitionState;
use crate::placement::{LaunchState, Placement, Stop};
use crate::queue_entry::{EntryKey, Rank};
use model::DurationExt;
use model::{Attempt, JobId, JobKind, JobSpec, MachineName, TaskId, Timestamp};
use std::time::Duration;

/// Low bits of an attempt's number, which count the attempts within the leader's term.
const ATTEMPT_BITS: u32 = 24;
/// Grace period for members of a gang beyond the time that they need to save a checkpoint (ms).
const GANG_STOP_MARGIN_MS: u64 = 1_000;

impl PartitionState {
    /// Returns a number that no attempt of any task has had. It begins with the term, which only rises.
    pub(crate) fn new_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.term.0 << ATTEMPT_BITS) | self.attempts)
    }

    /// Places a task on a machine. The placement counts at once; its task is launched when it is durable.
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
        let waited_ms = now.duration_since(job.added_at).whole_millis();
        let cached = self
            .machines
            .get(machine)
            .is_some_and(|machine| machine.has_image(&job.spec.image));
        tracing::debug!(%task, %machine, class = job.spec.class, waited_ms, cached, guaranteed = job.guaranteed, "task placed");
        self.placement_waits_ms.push(waited_ms);
        job.placed.insert(task.index, placement.clone());
        let spec = job.spec.clone();
        self.add_to_counts(task, &spec, &placement);
        self.uncommitted.mark_dirty(task);
    }

    /// Adds a placement to all counts and indexes that depend on placements.
    pub(crate) fn add_to_counts(&mut self, task: TaskId, spec: &JobSpec, placement: &Placement) {
        self.teams.charge(spec);
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.add_task(placement.id(task), spec);
            self.capacity_index.update(machine);
        }
        self.preemption_candidates.add(task, spec, placement);
        if !placement.durable {
            self.uncommitted.add_placement();
        }
    }

    /// Removes a placement from all counts and indexes that depend on placements.
    pub(crate) fn remove_from_counts(
        &mut self,
        task: TaskId,
        spec: &JobSpec,
        placement: &Placement,
        now: Timestamp,
    ) {
        self.teams.release(spec);
        if let Some(machine) = self.machines.get_mut(&placement.machine) {
            machine.remove_task(placement.id(task), spec, now);
            self.capacity_index.update(machine);
        }
        self.preemption_candidates
            .remove(task, spec.priority, placement.placed_at);
        if !placement.durable {
            self.uncommitted.remove_placement();
        }
    }

    /// Stops a task. If it is certain that it was never launched, its placement is removed at once.
    pub fn stop_task(&mut self, task: TaskId, grace_ms: u64, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        if placement.launch == LaunchState::NotLaunched && placement.last_status.is_none() {
            self.drop_placement(task, now, true);
            return;
        }
        let machine = placement.machine.clone();
        self.preemption_candidates
            .remove(task, job.spec.priority, placement.placed_at);
        match &mut placement.stop {
            // A further stop may shorten the grace period, but not extend it.
            Some(stop) => stop.grace_ms = stop.grace_ms.min(grace_ms),
            None => placement.stop = Some(Stop { grace_ms }),
        }
        self.urgent_machines.insert(machine);
    }

    /// Stops all members of a gang at the same time. They get a grace period to save a checkpoint if the gang
    /// has started and is neither cancelled nor done.
    pub fn stop_gang(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let has_progress = job.gang_started_at.is_some() && !job.cancelled && !job.all_done();
        let grace_ms = if job.spec.checkpoint_interval > Duration::ZERO && has_progress {
            job.spec.checkpoint_save_time.whole_millis() + GANG_STOP_MARGIN_MS
        } else {
            0
        };
        let members: Vec<u32> = job
            .placed
            .iter()
            .filter(|(_, placement)| placement.stop.is_none())
            .map(|(index, _)| *index)
            .collect();
        for index in members {
            self.stop_task(TaskId { job: id, index }, grace_ms, now);
        }
    }

    /// Removes a placement whose task is known to be gone or was never launched. If `requeue` is set, a task
    /// whose job is no gang is queued again, unless it is done or its job is cancelled.
    pub(crate) fn drop_placement(&mut self, task: TaskId, now: Timestamp, requeue: bool) {
        let logical_time_ms = self.logical_time_ms(now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.remove(&task.index) else {
            return;
        };
        if job.placed.is_empty() {
            job.unplaced_since_ms = logical_time_ms;
        }
        let spec = job.spec.clone();
        self.remove_from_counts(task, &spec, &placement, now);
        self.uncommitted.mark_dirty(task);
        if spec.kind == JobKind::Gang {
            self.handle_lost_gang_member(task.job, now);
        } else if requeue {
            self.requeue_task(task, now);
        }
        self.queue.move_all(now);
        self.check_finished(task.job);
    }

    /// Queues a task again. Tasks that `enqueue_job` has not reached yet are left to it.
    fn requeue_task(&mut self, task: TaskId, now: Timestamp) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.cancelled || job.is_done(task.index) || task.index >= job.next_index_to_queue {
            return;
        }
        let failures = job.failures.get(&task.index).copied().unwrap_or(0);
        let rank = Rank::of_job(job).for_task(task.index);
        self.queue_with_failures(EntryKey::Task(task), rank, failures, now);
    }

    /// Stops the other members of a gang that has lost a member, and queues the gang again when the last one
    /// is gone.
    fn handle_lost_gang_member(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.placed.is_empty() {
            if !job.all_done() {
                self.stop_gang(id, now);
            }
            return;
        }
        job.gang_started_at = None;
        if job.cancelled || job.all_done() || self.job_probes.contains(&id) {
            return;
        }
        let failures = job.failures.values().copied().max().unwrap_or(0);
        let rank = Rank::of_job(job);
        self.queue_with_failures(EntryKey::Gang(id), rank, failures, now);
    }

    /// Queues an entry; after failures, with backoff.
    fn queue_with_failures(&mut self, entry: EntryKey, rank: Rank, failures: u32, now: Timestamp) {
        if failures == 0 {
            self.queue.add(entry, rank);
        } else {
            self.queue.add_with_backoff(entry, rank, failures, now);
        }
    }
}
