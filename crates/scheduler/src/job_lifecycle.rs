//! The life of a job in the partition: admission or loading, queueing, cancellation, completion and removal.

use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use crate::task_chunk::TaskChunk;
use model::DurationExt;
use model::{JobId, JobKind, JobSpec, TaskId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

impl PartitionState {
    /// Adds an open job with its progress from the placement log; a new job has none.
    pub fn add_job(
        &mut self,
        spec: impl Into<Arc<JobSpec>>,
        submitted_at_ms: u64,
        chunks: &[(u32, TaskChunk)],
        now: Timestamp,
    ) {
        let spec = spec.into();
        let id = spec.id;
        if self.jobs.contains_key(&id) || !self.teams.contains(&spec.team) {
            return;
        }
        let job = self.restore_job(spec, submitted_at_ms, chunks, now);
        for (index, placement) in &job.placed {
            let task = TaskId {
                job: id,
                index: *index,
            };
            self.add_to_counts(task, &job.spec, placement);
        }
        self.teams.open_job(&job);
        log_job_added(&job);
        let lost_tasks = self.tasks_on_unknown_machines(&job);
        self.jobs.insert(id, job);
        for task in lost_tasks {
            self.drop_placement(task, now, false);
        }
        if self.jobs.get(&id).is_some_and(|job| job.all_done()) {
            self.stop_gang(id, now);
        }
        self.enqueue_job(id);
        self.check_finished(id);
    }

    /// Builds the job from its spec and progress. It is not added to any counts.
    fn restore_job(
        &self,
        spec: Arc<JobSpec>,
        submitted_at_ms: u64,
        chunks: &[(u32, TaskChunk)],
        now: Timestamp,
    ) -> Job {
        let mut job = Job::new(spec, submitted_at_ms, now);
        job.size_penalty = self.size_penalty_of(&job.spec);
        job.colocated_only = job.spec.fits_type_without_gpus(&self.machine_types);
        job.completion_objective = job
            .spec
            .deadline
            .or_else(|| self.completion_objectives.get(&job.spec.class).copied());
        for (chunk_number, chunk) in chunks {
            job.restore_chunk(*chunk_number, chunk, now);
        }
        job
    }

    /// Tasks that are placed on machines without a record. A machine's record is deleted only after the cloud
    /// has confirmed its release, so these tasks are gone.
    fn tasks_on_unknown_machines(&self, job: &Job) -> Vec<TaskId> {
        job.placed
            .iter()
            .filter(|(_, placement)| !self.machines.contains_key(&placement.machine))
            .map(|(index, _)| TaskId {
                job: job.spec.id,
                index: *index,
            })
            .collect()
    }

    /// By how much a job is deferred in the queue for its size: a multiple of the time that it takes with its
    /// team's whole limit.
    fn size_penalty_of(&self, spec: &JobSpec) -> Duration {
        // A gang counts as one task, otherwise large gangs would starve behind small ones.
        let tasks = if spec.kind == JobKind::Gang {
            1
        } else {
            u64::from(spec.task_count)
        };
        let concurrent_tasks = self.teams.max_concurrent_tasks(spec);
        let run_time_ms = spec.estimated_run_time.whole_millis() * tasks / concurrent_tasks;
        Duration::from_millis(run_time_ms * self.policy.size_penalty_factor)
    }

    /// Cancels a job for its user: none of its tasks is launched any more, and all that are placed are stopped.
    pub fn cancel_job(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        let placed: Vec<u32> = job.placed.keys().copied().collect();
        let queued_below = job.next_index_to_queue;
        self.dequeue_job(id, queued_below);
        for index in placed {
            self.stop_task(TaskId { job: id, index }, 0, now);
        }
        self.close_job(id);
        self.check_finished(id);
    }

    /// Queues a gang, or as many waiting tasks of another job as
    /// [`Policy::max_queued_tasks_per_job`](crate::Policy::max_queued_tasks_per_job) allows.
    pub(crate) fn enqueue_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.cancelled || job.finishing || self.job_probes.contains(&id) {
            return;
        }
        let rank = Rank::of_job(job);
        if job.spec.kind == JobKind::Gang {
            if job.placed.is_empty() && !job.all_done() {
                self.queue.add(EntryKey::Gang(id), rank);
            }
            return;
        }
        // All placed and queued tasks lie below `next_index_to_queue`, so this is an upper bound on the number
        // of queued tasks. The limit keeps an array of 100,000 tasks from filling the queue.
        let limit = self.policy.max_queued_tasks_per_job.max(1);
        let mut max_queued = job
            .next_index_to_queue
            .saturating_sub(job.done_count() + job.placed.len() as u32);
        while job.next_index_to_queue < job.spec.task_count && max_queued < limit {
            let index = job.next_index_to_queue;
            job.next_index_to_queue += 1;
            if !job.is_done(index) && !job.placed.contains_key(&index) {
                let entry = EntryKey::Task(TaskId { job: id, index });
                self.queue.add(entry, rank.for_task(index));
                max_queued += 1;
            }
        }
    }

    /// Removes a job's entries from the queue and cancels their reservations. `queued_below`: all queued
    /// tasks have lower indexes.
    pub(crate) fn dequeue_job(&mut self, id: JobId, queued_below: u32) {
        for index in 0..queued_below {
            self.queue.remove(EntryKey::Task(TaskId { job: id, index }));
        }
        self.queue.remove(EntryKey::Gang(id));
        self.cancel_reservations_of_job(id);
    }

    /// Checks whether the job has reached its terminal state, and if so reports it by
    /// [`PartitionState::take_finished`].
    pub(crate) fn check_finished(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The first task that is done completes a gang, but a member that was started again meanwhile uses
        // capacity and counts against the limit until it is gone.
        let is_done = job.all_done() && (job.spec.kind != JobKind::Gang || job.placed.is_empty());
        let is_cancelled = job.cancelled && job.placed.is_empty();
        if !job.finishing && (is_done || is_cancelled) {
            job.finishing = true;
            self.finished.push(id);
            self.close_job(id);
        }
    }

    /// Removes a job from the jobs that count towards its team's guarantee.
    fn close_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            self.teams.close_job(job);
        }
    }

    /// Returns the jobs that have reached their terminal state since the last call. The caller writes that
    /// state.
    pub fn take_finished(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.finished)
    }

    /// Removes a job whose terminal state is durable. That makes the outcomes of all its tasks durable as well.
    pub fn remove_job(&mut self, id: JobId, now: Timestamp) {
        self.close_job(id);
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        tracing::debug!(job = %id, took_ms = now.duration_since(job.added_at).whole_millis(), "job removed");
        self.dequeue_job(id, job.next_index_to_queue);
        for (index, placement) in &job.placed {
            let task = TaskId {
                job: id,
                index: *index,
            };
            self.remove_from_counts(task, &job.spec, placement, now);
        }
        self.uncommitted.forget_job(id, job.spec.task_count);
    }
}

fn log_job_added(job: &Job) {
    let spec = &job.spec;
    tracing::debug!(
        job = %spec.id,
        class = spec.class,
        team = %spec.team,
        tasks = spec.task_count,
        priority = ?spec.priority,
        spot = spec.spot_allowed,
        estimate_ms = spec.estimated_run_time.whole_millis(),
        deadline_ms = spec.deadline.map(|deadline| deadline.whole_millis()),
        "job added"
    );
}
